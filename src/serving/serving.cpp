#include "serving/serving.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "peers/standing.h"

namespace nickelramp::serving {

namespace {
constexpr Millis kSayEvery = 10'000;
}

const char* name(State s) {
    switch (s) {
        case State::starting:
            return "starting";
        case State::serving:
            return "serving";
        case State::outage:
            return "outage";
        case State::refused:
            return "refused";
        case State::cut_off:
            return "cut off";
    }
    return "?";
}

State Serving::judge(bool types_known, const state::Health& health,
                     const std::vector<PeerNews>& peers, Millis now) {
    others_served_ = false;
    if (!types_known) return State::starting;
    const bool refuses = health.refused_since >= 0;
    const Millis since = refuses ? health.refused_since : health.unanswered_since;
    if (since < 0 || now - since < peers::kNotServedFor) return State::serving;
    const State alone = refuses ? State::refused : State::cut_off;
    bool heard = false;
    for (const PeerNews& p : peers) {
        heard |= now - p.heard_at < peers::kPeerFresh;
        others_served_ |= peers::served_meanwhile(since, p.answered_at, p.heard_at, now);
    }
    if (others_served_) return alone;
    // Nobody is there to say that the outage is everybody's: it had better be taken for this
    // node's.
    return heard || others_ == 0 ? State::outage : alone;
}

State Serving::look(bool types_known, const state::Health& health,
                    const std::vector<PeerNews>& peers, const Waiting& waiting, Millis now) {
    set_state(judge(types_known, health, peers, now), now);
    if (state_ != State::serving && now >= say_at_) {
        say_at_ = now + kSayEvery;
        const Millis oldest = waiting.requests == 0 ? 0 : now - waiting.since;
        spdlog::warn(
            "serves nothing for {:.1f} s ({}): waits for {}; {} requests wait, some for "
            "{:.1f} s",
            static_cast<double>(now - since_) / 1000.0, name(state_),
            state_ == State::starting ? "the machine types" : "the state service", waiting.requests,
            static_cast<double>(oldest) / 1000.0);
    }
    return state_;
}

void Serving::set_state(State s, Millis now) {
    if (s == state_) return;
    if (s == State::serving) {
        spdlog::info("serves users again after {:.1f} s ({})",
                     static_cast<double>(now - since_) / 1000.0, name(state_));
    } else {
        say_at_ = now;
    }
    // One kind of not serving may turn out to be another: since when stays.
    if (s == State::serving || state_ == State::serving) since_ = now;
    state_ = s;
}

}  // namespace nickelramp::serving
