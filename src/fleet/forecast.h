// How much of some kind of demand arrives, and how unevenly, with old news fading.
#pragma once
#include <cmath>

#include "base/time.h"

namespace nickelramp::fleet {

class Forecast {
  public:
    void arrived(double amount, Millis at) {
        fade(at);
        // News from before the last update has faded a little already.
        double weight = std::exp(-static_cast<double>(last_ - at) / kMemoryMs);
        sum_ += amount * weight;
        squares_ += amount * amount * weight;
    }
    // Expected to arrive within so many seconds.
    double within(double seconds, Millis now) {
        fade(now);
        return sum_ / (kMemoryMs / 1000.0) * seconds;
    }
    // The standard deviation of that, for arrivals that know nothing of each other.
    double deviation(double seconds, Millis now) {
        fade(now);
        return std::sqrt(squares_ / (kMemoryMs / 1000.0) * seconds);
    }

  private:
    static constexpr double kMemoryMs = 180'000;
    void fade(Millis now) {
        if (now <= last_) return;
        double factor = std::exp(-static_cast<double>(now - last_) / kMemoryMs);
        sum_ *= factor;
        squares_ *= factor;
        last_ = now;
    }
    double sum_ = 0, squares_ = 0;
    Millis last_ = 0;
};

}  // namespace nickelramp::fleet
