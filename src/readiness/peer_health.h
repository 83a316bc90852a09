/// @file
/// Distinguishes an outage of the key-value store for all controllers from an outage for this
/// controller only.
#pragma once
#include <cstdint>

#include "base/time.h"

namespace nickelramp::readiness {

/// Maximum age, in milliseconds, of a controller's last answer from the key-value store if the
/// store is considered to serve it.
inline constexpr std::uint64_t kRecentAnswerMs = 8'000;
/// How long the last status of a peer is valid.
inline constexpr Millis kPeerStatusLifetime = 2'500;
/// Failures of the key-value store that are shorter than this are ignored.
inline constexpr Millis kMinOutageDuration = 1'500;

/// Returns whether a peer's status proves that the outage does not affect all controllers. Only an
/// answer that the peer received after this controller's outage began proves that, because a peer
/// that sends few requests may not have noticed the outage yet. All times are those of this
/// controller's loop.
/// @param unserved_since when this controller's outage began.
/// @param peer_answered_at when the key-value store last answered the peer.
/// @param peer_status_at when the status that reports this answer arrived.
[[nodiscard]] inline bool peer_served_meanwhile(Millis unserved_since, Millis peer_answered_at,
                                                Millis peer_status_at, Millis now) {
    // Excludes answers from the moment at which the outage began.
    constexpr Millis kMinDelay = kMinOutageDuration / 3;
    return now - peer_status_at < kPeerStatusLifetime &&
           peer_answered_at > unserved_since + kMinDelay;
}

}  // namespace nickelramp::readiness
