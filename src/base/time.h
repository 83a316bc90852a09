/// @file
/// Time inside a process: milliseconds of its steady clock. Decision code never reads a clock; the
/// caller passes the time, so that simulations can run it with a simulated clock.
#pragma once
#include <cstdint>

namespace nickelramp {

/// A time point of the steady clock, or a duration, in milliseconds. Only time points of the same
/// process are comparable.
using Millis = std::int64_t;

/// Later than any time point that occurs. Durations can be added to it without overflow.
inline constexpr Millis kNever = INT64_MAX / 4;

/// Converts seconds to milliseconds, rounding towards zero.
[[nodiscard]] inline Millis seconds(double duration_s) {
    return static_cast<Millis>(duration_s * 1000.0);
}

// Two steady clocks are assumed to drift apart by at most 0.05%. The margin is twice that (1/1000)
// plus 20 ms for rounding and timer granularity.
inline constexpr Millis kDriftDivisor = 1000;
inline constexpr Millis kDriftAllowance = 20;

/// Returns the upper bound, on this process's clock, of a duration measured on another clock.
[[nodiscard]] inline Millis with_clock_drift(Millis duration) {
    return duration + duration / kDriftDivisor + kDriftAllowance;
}

/// Returns the lower bound, on this process's clock, of a duration measured on another clock.
[[nodiscard]] inline Millis without_clock_drift(Millis duration) {
    return duration - duration / kDriftDivisor - kDriftAllowance;
}

}  // namespace nickelramp
