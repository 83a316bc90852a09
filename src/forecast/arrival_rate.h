// How much of some kind of demand arrives, and how unevenly, with old news fading.
#pragma once
#include <cmath>

#include "base/time.h"

namespace nickelramp::forecast {

class ArrivalRate {
  public:
    void record(double amount, Millis at) {
        decay(at);
        // News from before the last update has faded a little already.
        double weight = std::exp(-static_cast<double>(decayed_at_ - at) / kDecayTimeMs);
        sum_ += amount * weight;
        sum_of_squares_ += amount * amount * weight;
    }
    // Expected to arrive within so many seconds.
    double expected_within(double seconds, Millis now) {
        decay(now);
        return sum_ / (kDecayTimeMs / 1000.0) * seconds;
    }
    // The standard deviation of that, for arrivals that know nothing of each other.
    double deviation_within(double seconds, Millis now) {
        decay(now);
        return std::sqrt(sum_of_squares_ / (kDecayTimeMs / 1000.0) * seconds);
    }

  private:
    static constexpr double kDecayTimeMs = 180'000;
    void decay(Millis now) {
        if (now <= decayed_at_) return;
        double factor = std::exp(-static_cast<double>(now - decayed_at_) / kDecayTimeMs);
        sum_ *= factor;
        sum_of_squares_ *= factor;
        decayed_at_ = now;
    }
    double sum_ = 0, sum_of_squares_ = 0;
    Millis decayed_at_ = 0;
};

}  // namespace nickelramp::forecast
