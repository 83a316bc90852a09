/// \file
/// Tells an outage of the key-value store for all controllers from one for this controller alone.
#pragma once
#include <cstdint>

#include "base/time.h"

namespace nickelramp::readiness {

/// A controller whose last answer from the key-value store is not older than this is served, in
/// milliseconds.
inline constexpr std::uint64_t kRecentAnswerMs = 8'000;
/// For how long the last status of a peer counts.
inline constexpr Millis kPeerStatusLifetime = 2'500;
/// How long the key-value store must fail this controller before that means anything.
inline constexpr Millis kMinOutageDuration = 1'500;

/// Whether a peer's status shows that the outage is not everybody's. Only an answer that the peer
/// got after this controller's outage began shows that: a peer that asks little has not noticed the
/// outage yet and believes itself served. All times are of this controller's loop:
/// `unserved_since` when its outage began, `peer_answered_at` when the peer was last answered,
/// `peer_status_at` when the status came that says so.
[[nodiscard]] inline bool peer_served_meanwhile(Millis unserved_since, Millis peer_answered_at,
                                                Millis peer_status_at, Millis now) {
    // So that an answer from the moment at which the outage began does not count.
    constexpr Millis kMinDelay = kMinOutageDuration / 3;
    return now - peer_status_at < kPeerStatusLifetime &&
           peer_answered_at > unserved_since + kMinDelay;
}

}  // namespace nickelramp::readiness
