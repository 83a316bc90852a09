// Time inside a process: milliseconds of the steady clock. Decisions never read a clock; they are
// handed the time.
#pragma once
#include <cstdint>

namespace nickelramp {

using Millis = std::int64_t;

inline constexpr Millis kNever = INT64_MAX / 4;

inline Millis seconds(double s) { return static_cast<Millis>(s * 1000.0); }

// Two steady clocks drift apart by at most 0.05%; twice that leaves room for rounding.
inline Millis with_clock_drift(Millis d) { return d + d / 1000 + 20; }
inline Millis without_clock_drift(Millis d) { return d - d / 1000 - 20; }

}  // namespace nickelramp
