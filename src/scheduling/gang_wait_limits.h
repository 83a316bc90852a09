/// @file
/// How long a gang may wait within its team's quota before that is cleared for it.
#pragma once
#include "base/time.h"

namespace nickelramp::scheduling {

/// Even the largest jobs are to begin within this time, in milliseconds.
inline constexpr Millis kGangStartTarget = 240'000;
/// From this age on, what comes free in its team's quota is reserved for a gang. Sooner, arrays
/// would wait longer than gangs gain (docs/rounds.md, round 49).
inline constexpr Millis kReserveQuotaAfter = kGangStartTarget * 5 / 8;
/// From this age on, work of the same team is stopped for it.
inline constexpr Millis kPreemptInQuotaAfter = kGangStartTarget * 3 / 4;

}  // namespace nickelramp::scheduling
