#include "leadership/term.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::leadership {

namespace {
constexpr Millis kWatchWait = 5000;
constexpr Millis kRetry = 500;
}  // namespace

const char* name(State s) {
    switch (s) {
        case State::following:
            return "following";
        case State::reading:
            return "reading";
        case State::holding:
            return "holding";
        case State::claiming:
            return "claiming";
        case State::leading:
            return "leading";
        case State::doubting:
            return "doubting";
    }
    return "?";
}

Election::Election(Store& store, std::string node, std::uint64_t seed, Hooks hooks)
    : store_(store),
      node_(std::move(node)),
      hooks_(std::move(hooks)),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      validity_(duties::kHoldLife) {}

void Election::start() { read_seat(); }

void Election::set_state(State s) {
    if (s == state_) return;
    spdlog::info("leadership: {} -> {}", name(state_), name(s));
    state_ = s;
}

void Election::by(Millis& date, Millis at) {
    date = at;
    hooks_.wake(at);
}

void Election::tend(Millis now) {
    auto due = [now](Millis& date) {
        if (now < date) return false;
        date = kNever;
        return true;
    };
    if (due(validity_at_)) check_validity(now);
    if (due(renew_at_)) renew(now);
    if (due(campaign_at_)) campaign(now);
    if (due(watch_at_)) read_seat();
    const Millis next = std::min({campaign_at_, renew_at_, validity_at_, watch_at_});
    if (next < kNever) hooks_.wake(next);
}

// Reads the seat, then watches it.
void Election::read_seat() {
    store_.list("lead/", [this](Millis t, const state::ListReply& r) {
        if (r.outcome != state::Outcome::ok) {
            by(watch_at_, t + kRetry);
            return;
        }
        revision_ = r.revision;
        std::string node;
        std::uint64_t version = 0;
        for (const state::Item& i : r.items) {
            if (i.key != kSeatKey) continue;
            node = wire::text(i.value, "node").value_or("");
            version = i.version;
        }
        seat_seen(node, version, t);
        watch();
    });
}

void Election::watch() {
    store_.watch("lead/", revision_, kWatchWait, [this](Millis t, const state::ListReply& r) {
        if (r.outcome != state::Outcome::ok) {
            by(watch_at_, t + (r.outcome == state::Outcome::expired ? 0 : kRetry));
            return;
        }
        revision_ = std::max(revision_, r.revision);
        for (const state::Item& i : r.items) {
            if (i.key != kSeatKey) continue;
            if (i.deleted)
                seat_seen("", 0, t);
            else
                seat_seen(wire::text(i.value, "node").value_or(""), i.version, t);
        }
        watch();
    });
}

void Election::seat_seen(const std::string& node, std::uint64_t version, Millis now) {
    bool changed = node != leader_;
    leader_ = node;
    seat_version_ = version;
    seat_known_ = true;
    if (changed) hooks_.leader_changed(node);
    bool mine = state_ == State::leading || state_ == State::doubting;
    if (mine && node != node_) {
        over(node.empty() ? "the hold ended" : node + " has taken the seat", now);
        return;
    }
    if (state_ == State::following && version == 0) {
        // A moment's difference spares most conflicts.
        by(campaign_at_, now + static_cast<Millis>(random_() % 120));
    }
}

void Election::campaign(Millis now) {
    if (state_ != State::following || !seat_known_ || seat_version_ != 0) return;
    if (now < rest_until_) {
        by(campaign_at_, rest_until_);
        return;
    }
    set_state(State::reading);
    read_term();
}

void Election::give_up(Millis now) {
    set_state(State::following);
    by(campaign_at_, now + kRetry);
}

void Election::read_term() {
    store_.get(kTermKey, [this](Millis t, const state::GetReply& r) {
        if (state_ != State::reading) return;
        if (r.outcome == state::Outcome::missing) {
            term_ = 1;
            term_version_ = 0;
        } else if (r.outcome == state::Outcome::ok) {
            term_ = wire::count(r.item.value, "term").value_or(0) + 1;
            term_version_ = r.item.version;
        } else {
            give_up(t);
            return;
        }
        set_state(State::holding);
        take_hold(t);
    });
}

void Election::take_hold(Millis now) {
    hold_sent_ = now;
    store_.lease(duties::kHoldLife, [this](Millis t, const state::LeaseReply& r) {
        if (state_ != State::holding) return;
        if (r.outcome != state::Outcome::ok) {
            give_up(t);
            return;
        }
        hold_ = r.lease;
        set_state(State::claiming);
        claim();
    });
}

void Election::claim() {
    state::Txn txn;
    txn.conditions = {{kSeatKey, 0}, {kTermKey, term_version_}};
    txn.writes = {{kSeatKey, wire::Json{{"node", node_}}, hold_},
                  {kTermKey, wire::Json{{"term", term_}, {"node", node_}}, 0}};
    store_.commit(txn, [this](Millis t, const state::CommitReply& r) {
        if (state_ != State::claiming) return;
        if (r.outcome != state::Outcome::ok) {
            // Also when the outcome is unknown: without the term's stamp nobody can lead. The hold
            // is ended, so that a seat taken after all falls free.
            store_.end_lease(hold_);
            hold_ = 0;
            give_up(t);
            return;
        }
        term_version_ = r.revision;
        leader_ = node_;
        seat_version_ = r.revision;
        validity_.reset();
        validity_.renewed(hold_sent_);
        set_state(State::leading);
        by(renew_at_, t + duties::kHoldRenewEvery / 2);
        check_validity(t);
        hooks_.elected(term_, term_version_);
        hooks_.confirmed(validity_.until());
    });
}

void Election::renew(Millis now) {
    if (state_ != State::leading && state_ != State::doubting) return;
    by(renew_at_, now + duties::kHoldRenewEvery);
    store_.renew(hold_, [this, now, hold = hold_](Millis t, const state::LeaseReply& r) {
        if (hold != hold_ || (state_ != State::leading && state_ != State::doubting)) return;
        if (r.outcome == state::Outcome::ok) {
            validity_.renewed(now);
            if (state_ == State::doubting && validity_.valid(t)) set_state(State::leading);
            hooks_.confirmed(validity_.until());
            check_validity(t);
        } else if (r.outcome == state::Outcome::missing) {
            over("the hold ended", t);
        }
    });
}

void Election::check_validity(Millis now) {
    if (state_ != State::leading) return;
    if (!validity_.valid(now)) {
        set_state(State::doubting);
        return;
    }
    by(validity_at_, validity_.until());
}

void Election::step_down(const std::string& why, Millis rest, Millis now) {
    if (state_ != State::leading && state_ != State::doubting) return;
    rest_until_ = now + rest;
    store_.end_lease(hold_);
    over(why, now);
}

void Election::over(const std::string& why, Millis now) {
    spdlog::warn("term {} is over: {}", term_, why);
    renew_at_ = validity_at_ = kNever;
    validity_.reset();
    hold_ = 0;
    set_state(State::following);
    hooks_.deposed(why);
    by(campaign_at_, now + kRetry);
}

}  // namespace nickelramp::leadership
