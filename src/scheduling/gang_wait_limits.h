/// @file
/// How long a gang waits before quota of its team is reserved or freed for it.
#pragma once
#include "base/time.h"

namespace nickelramp::scheduling {

/// Target time from acceptance to start, even for the largest gangs.
inline constexpr Millis kGangStartTarget = 240'000;
/// Age from which quota that its team frees is reserved for a waiting gang. Reserving earlier
/// delays arrays by more than it speeds up gangs (docs/rounds.md, round 49).
inline constexpr Millis kReserveQuotaAfter = kGangStartTarget * 5 / 8;
/// Age from which tasks of the same team are preempted for a waiting gang.
inline constexpr Millis kPreemptInQuotaAfter = kGangStartTarget * 3 / 4;

}  // namespace nickelramp::scheduling
