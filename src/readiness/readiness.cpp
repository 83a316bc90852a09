#include "readiness/readiness.h"

#include <spdlog/spdlog.h>

#include "readiness/peer_health.h"

namespace nickelramp::readiness {

namespace {
constexpr Millis kLogInterval = 10'000;

double in_seconds(Millis duration) { return static_cast<double>(duration) / 1000.0; }
}  // namespace

const char* name(ReadinessState state) {
    switch (state) {
        case ReadinessState::starting:
            return "starting";
        case ReadinessState::serving:
            return "serving";
        case ReadinessState::outage:
            return "outage";
        case ReadinessState::rejected:
            return "refused";
        case ReadinessState::store_unreachable:
            return "cut off";
    }
    return "?";
}

ReadinessState Readiness::evaluate(bool machine_types_known, const kvstore::ServiceHealth& health,
                                   const std::vector<PeerHealth>& peers, Millis now) {
    peers_served_ = false;
    if (!machine_types_known) return ReadinessState::starting;
    const bool rejected = health.refused_since >= 0;
    const Millis unserved_since = rejected ? health.refused_since : health.unanswered_since;
    if (unserved_since < 0 || now - unserved_since < kMinOutageDuration)
        return ReadinessState::serving;
    bool any_peer_reachable = false;
    for (const PeerHealth& peer : peers) {
        any_peer_reachable |= now - peer.last_status_at < kPeerStatusLifetime;
        peers_served_ |=
            peer_served_meanwhile(unserved_since, peer.last_answer_at, peer.last_status_at, now);
    }
    const bool outage_for_all = !peers_served_ && (any_peer_reachable || peer_count_ == 0);
    if (outage_for_all) return ReadinessState::outage;
    // Either some peer is served, or no peer is reachable, in which case the fault is more likely
    // to be on this controller's side.
    return rejected ? ReadinessState::rejected : ReadinessState::store_unreachable;
}

ReadinessState Readiness::update(bool machine_types_known, const kvstore::ServiceHealth& health,
                                 const std::vector<PeerHealth>& peers,
                                 const PendingRequests& pending, Millis now) {
    set_state(evaluate(machine_types_known, health, peers, now), now);
    log_if_due(pending, now);
    return state_;
}

void Readiness::log_if_due(const PendingRequests& pending, Millis now) {
    if (state_ == ReadinessState::serving || now < next_log_at_) return;
    next_log_at_ = now + kLogInterval;
    const Millis oldest = pending.requests == 0 ? 0 : now - pending.since;
    spdlog::warn("not serving: state={} duration_s={:.1f} waits_for={} pending={} oldest_s={:.1f}",
                 name(state_), in_seconds(now - state_since_),
                 state_ == ReadinessState::starting ? "machine_types" : "kvstore", pending.requests,
                 in_seconds(oldest));
}

void Readiness::set_state(ReadinessState state, Millis now) {
    if (state == state_) return;
    if (state == ReadinessState::serving) {
        spdlog::info("serving again: previous_state={} duration_s={:.1f}", name(state_),
                     in_seconds(now - state_since_));
    } else {
        next_log_at_ = now;
    }
    // A change between two states that are not serving does not restart the measured duration.
    if (state == ReadinessState::serving || state_ == ReadinessState::serving) state_since_ = now;
    state_ = state;
}

}  // namespace nickelramp::readiness
