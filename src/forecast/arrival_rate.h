/// @file
/// How much of some kind of demand arrives, and how unevenly.
#pragma once
#include <cmath>

#include "base/time.h"

namespace nickelramp::forecast {

/// An exponentially decayed sum of arrivals: old ones count less and less. The unit of the amounts
/// is the caller's (machines, replicas, cpus). Times are milliseconds of the steady clock; asking
/// decays the sums up to the time asked for.
class ArrivalRate {
  public:
    /// That much arrived at this time, which may be before the last one asked for.
    void record(double amount, Millis at) {
        decay(at);
        // What arrived before the last update has decayed a little already.
        const double weight = std::exp(-static_cast<double>(decayed_at_ - at) / kDecayTimeMs);
        sum_ += amount * weight;
        sum_of_squares_ += amount * amount * weight;
    }
    /// How much is expected to arrive within so many seconds.
    [[nodiscard]] double expected_within(double seconds, Millis now) {
        decay(now);
        return sum_ / kDecayTimeS * seconds;
    }
    /// The standard deviation of that, for arrivals that are independent of each other.
    [[nodiscard]] double deviation_within(double seconds, Millis now) {
        decay(now);
        return std::sqrt(sum_of_squares_ / kDecayTimeS * seconds);
    }

  private:
    static constexpr double kDecayTimeMs = 180'000;
    static constexpr double kDecayTimeS = kDecayTimeMs / 1000.0;
    void decay(Millis now) {
        if (now <= decayed_at_) return;
        const double factor = std::exp(-static_cast<double>(now - decayed_at_) / kDecayTimeMs);
        sum_ *= factor;
        sum_of_squares_ *= factor;
        decayed_at_ = now;
    }
    double sum_ = 0, sum_of_squares_ = 0;
    Millis decayed_at_ = 0;
};

}  // namespace nickelramp::forecast
