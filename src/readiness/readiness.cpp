#include "readiness/readiness.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "readiness/peer_health.h"

namespace nickelramp::readiness {

namespace {
constexpr Millis kSayEvery = 10'000;
}

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
        case ReadinessState::cut_off:
            return "cut off";
    }
    return "?";
}

ReadinessState Readiness::evaluate(bool types_known, const kvstore::ServiceHealth& health,
                                   const std::vector<PeerHealth>& peers, Millis now) {
    peers_served_ = false;
    if (!types_known) return ReadinessState::starting;
    const bool refuses = health.refused_since >= 0;
    const Millis since = refuses ? health.refused_since : health.unanswered_since;
    if (since < 0 || now - since < readiness::kMinOutageDuration) return ReadinessState::serving;
    const ReadinessState alone = refuses ? ReadinessState::rejected : ReadinessState::cut_off;
    bool heard = false;
    for (const PeerHealth& p : peers) {
        heard |= now - p.last_status_at < readiness::kPeerStatusLifetime;
        peers_served_ |=
            readiness::peer_served_meanwhile(since, p.last_answer_at, p.last_status_at, now);
    }
    if (peers_served_) return alone;
    // Nobody is there to say that the outage is everybody's: it had better be taken for this
    // node's.
    return heard || peer_count_ == 0 ? ReadinessState::outage : alone;
}

ReadinessState Readiness::update(bool types_known, const kvstore::ServiceHealth& health,
                                 const std::vector<PeerHealth>& peers,
                                 const PendingRequests& waiting, Millis now) {
    set_state(evaluate(types_known, health, peers, now), now);
    if (state_ != ReadinessState::serving && now >= next_log_at_) {
        next_log_at_ = now + kSayEvery;
        const Millis oldest = waiting.requests == 0 ? 0 : now - waiting.since;
        spdlog::warn(
            "serves nothing for {:.1f} s ({}): waits for {}; {} requests wait, some for "
            "{:.1f} s",
            static_cast<double>(now - since_) / 1000.0, name(state_),
            state_ == ReadinessState::starting ? "the machine types" : "the state service",
            waiting.requests, static_cast<double>(oldest) / 1000.0);
    }
    return state_;
}

void Readiness::set_state(ReadinessState state, Millis now) {
    if (state == state_) return;
    if (state == ReadinessState::serving) {
        spdlog::info("serves users again after {:.1f} s ({})",
                     static_cast<double>(now - since_) / 1000.0, name(state_));
    } else {
        next_log_at_ = now;
    }
    // One kind of not serving may turn out to be another: since when stays.
    if (state == ReadinessState::serving || state_ == ReadinessState::serving) since_ = now;
    state_ = state;
}

}  // namespace nickelramp::readiness
