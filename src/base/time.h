/// @file
/// Time inside a process: milliseconds of its steady clock. Decisions never read a clock; whoever
/// calls them passes the time, so that a simulation can run them under a clock of its own.
#pragma once
#include <cstdint>

namespace nickelramp {

/// A moment of the steady clock, or a duration, in milliseconds. A process compares only moments of
/// its own clock.
using Millis = std::int64_t;

/// Later than every moment that occurs; durations can be added to it without overflow.
inline constexpr Millis kNever = INT64_MAX / 4;

/// The duration of so many seconds, rounded towards zero to whole milliseconds.
[[nodiscard]] inline Millis seconds(double duration_s) {
    return static_cast<Millis>(duration_s * 1000.0);
}

// Two steady clocks drift apart by at most 0.05%; twice that (a thousandth) and 20 ms leave room
// for rounding and for the granularity of timers.
inline constexpr Millis kDriftDivisor = 1000;
inline constexpr Millis kDriftAllowance = 20;

/// The longest that a duration measured by another clock may last by this one.
[[nodiscard]] inline Millis with_clock_drift(Millis duration) {
    return duration + duration / kDriftDivisor + kDriftAllowance;
}

/// The shortest that a duration measured by another clock may last by this one.
[[nodiscard]] inline Millis without_clock_drift(Millis duration) {
    return duration - duration / kDriftDivisor - kDriftAllowance;
}

}  // namespace nickelramp
