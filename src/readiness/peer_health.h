// Is it everybody that the state service refuses, or this node alone?
#pragma once
#include "base/time.h"

namespace nickelramp::readiness {

inline constexpr std::uint64_t kRecentAnswerMs = 8'000;  // its state service answered so lately
inline constexpr Millis kPeerStatusLifetime = 2'500;     // a peer heard of so lately counts
inline constexpr Millis kMinOutageDuration = 1'500;  // a node not served for less says nothing yet

// Shows the peer that an outage is not everybody's? Only an answer that it got after this node's
// trouble began: a peer that asks little has not noticed the outage yet and believes itself
// served.
inline bool peer_served_meanwhile(Millis unserved_since, Millis peer_answered_at,
                                  Millis peer_heard_at, Millis now) {
    return now - peer_heard_at < kPeerStatusLifetime &&
           peer_answered_at > unserved_since + kMinOutageDuration / 3;
}

}  // namespace nickelramp::readiness
