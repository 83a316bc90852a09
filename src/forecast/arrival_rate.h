/// @file
/// Estimates the rate and the deviation of arriving demand.
#pragma once
#include <cmath>

#include "base/time.h"

namespace nickelramp::forecast {

/// An exponentially decayed sum of arrivals. The caller chooses the unit of the amounts (machines,
/// replicas, CPUs). Times are milliseconds of the steady clock. Queries decay the sums up to the
/// given time.
class ArrivalRate {
  public:
    /// Records an arrival. `at` may precede the time up to which the sums have been decayed.
    void record(double amount, Millis at) {
        decay(at);
        // An arrival before the last update has already decayed.
        const double weight = std::exp(-static_cast<double>(decayed_at_ - at) / kDecayTimeMs);
        sum_ += amount * weight;
        sum_of_squares_ += amount * amount * weight;
    }
    /// Returns the amount that is expected to arrive within the given time.
    [[nodiscard]] double expected_within(double seconds, Millis now) {
        decay(now);
        return sum_ / kDecayTimeS * seconds;
    }
    /// Returns the standard deviation of that amount, for independent arrivals.
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
