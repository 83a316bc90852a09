#include "election/election.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::election {

namespace {
constexpr Millis kWatchWait = 5000;
constexpr Millis kRetry = 500;
}  // namespace

const char* name(ElectionState state) {
    switch (state) {
        case ElectionState::following:
            return "following";
        case ElectionState::reading_term:
            return "reading";
        case ElectionState::acquiring_lease:
            return "holding";
        case ElectionState::claiming_leadership:
            return "claiming";
        case ElectionState::leading:
            return "leading";
        case ElectionState::lease_uncertain:
            return "doubting";
    }
    return "?";
}

Election::Election(ElectionStore& store, std::string node, std::uint64_t seed, Hooks hooks)
    : store_(store),
      node_(std::move(node)),
      hooks_(std::move(hooks)),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      lease_validity_(lease::kLeaseDuration) {}

void Election::start() { read_leader(); }

void Election::set_state(ElectionState state) {
    if (state == state_) return;
    spdlog::info("leadership: {} -> {}", name(state_), name(state));
    state_ = state;
}

void Election::schedule_at(Millis& date, Millis at) {
    date = at;
    hooks_.wake(at);
}

void Election::run_due_work(Millis now) {
    auto due = [now](Millis& date) {
        if (now < date) return false;
        date = kNever;
        return true;
    };
    if (due(check_validity_at_)) check_lease_validity(now);
    if (due(renew_at_)) renew_lease(now);
    if (due(campaign_at_)) campaign(now);
    if (due(watch_at_)) read_leader();
    const Millis next = std::min({campaign_at_, renew_at_, check_validity_at_, watch_at_});
    if (next < kNever) hooks_.wake(next);
}

// Reads the seat, then watches it.
void Election::read_leader() {
    store_.list("lead/", [this](Millis t, const kvstore::ListReply& reply) {
        if (reply.status != kvstore::Status::ok) {
            schedule_at(watch_at_, t + kRetry);
            return;
        }
        watch_revision_ = reply.revision;
        std::string node;
        std::uint64_t version = 0;
        for (const kvstore::Entry& entry : reply.entries) {
            if (entry.key != kLeaderKey) continue;
            node = wire::text_field(entry.value, "node").value_or("");
            version = entry.version;
        }
        on_leader_read(node, version, t);
        watch();
    });
}

void Election::watch() {
    store_.watch(
        "lead/", watch_revision_, kWatchWait, [this](Millis t, const kvstore::ListReply& reply) {
            if (reply.status != kvstore::Status::ok) {
                schedule_at(
                    watch_at_,
                    t + (reply.status == kvstore::Status::lease_or_revision_expired ? 0 : kRetry));
                return;
            }
            watch_revision_ = std::max(watch_revision_, reply.revision);
            for (const kvstore::Entry& entry : reply.entries) {
                if (entry.key != kLeaderKey) continue;
                if (entry.deleted)
                    on_leader_read("", 0, t);
                else
                    on_leader_read(wire::text_field(entry.value, "node").value_or(""),
                                   entry.version, t);
            }
            watch();
        });
}

void Election::on_leader_read(const std::string& node, std::uint64_t version, Millis now) {
    bool changed = node != leader_;
    leader_ = node;
    leader_key_version_ = version;
    leader_key_known_ = true;
    if (changed) hooks_.leader_changed(node);
    bool mine = state_ == ElectionState::leading || state_ == ElectionState::lease_uncertain;
    if (mine && node != node_) {
        end_leadership(node.empty() ? "the hold ended" : node + " has taken the seat", now);
        return;
    }
    if (state_ == ElectionState::following && version == 0) {
        // A moment's difference spares most conflicts.
        schedule_at(campaign_at_, now + static_cast<Millis>(random_() % 120));
    }
}

void Election::campaign(Millis now) {
    if (state_ != ElectionState::following || !leader_key_known_ || leader_key_version_ != 0)
        return;
    if (now < backoff_until_) {
        schedule_at(campaign_at_, backoff_until_);
        return;
    }
    set_state(ElectionState::reading_term);
    read_term();
}

void Election::abandon_campaign(Millis now) {
    set_state(ElectionState::following);
    schedule_at(campaign_at_, now + kRetry);
}

void Election::read_term() {
    store_.get(kTermKey, [this](Millis t, const kvstore::GetReply& reply) {
        if (state_ != ElectionState::reading_term) return;
        if (reply.status == kvstore::Status::missing) {
            term_ = 1;
            term_version_ = 0;
        } else if (reply.status == kvstore::Status::ok) {
            term_ = wire::count_field(reply.entry.value, "term").value_or(0) + 1;
            term_version_ = reply.entry.version;
        } else {
            abandon_campaign(t);
            return;
        }
        set_state(ElectionState::acquiring_lease);
        acquire_lease(t);
    });
}

void Election::acquire_lease(Millis now) {
    lease_requested_at_ = now;
    store_.grant_lease(lease::kLeaseDuration, [this](Millis t, const kvstore::LeaseReply& reply) {
        if (state_ != ElectionState::acquiring_lease) return;
        if (reply.status != kvstore::Status::ok) {
            abandon_campaign(t);
            return;
        }
        lease_id_ = reply.lease_id;
        set_state(ElectionState::claiming_leadership);
        claim_leadership();
    });
}

void Election::claim_leadership() {
    kvstore::Transaction transaction;
    transaction.conditions = {{kLeaderKey, 0}, {kTermKey, term_version_}};
    transaction.writes = {{kLeaderKey, wire::Json{{"node", node_}}, lease_id_},
                          {kTermKey, wire::Json{{"term", term_}, {"node", node_}}, 0}};
    store_.commit(transaction, [this](Millis t, const kvstore::CommitReply& reply) {
        if (state_ != ElectionState::claiming_leadership) return;
        if (reply.status != kvstore::Status::ok) {
            // Also when the outcome is unknown: without the term's stamp nobody can lead. The hold
            // is ended, so that a seat taken after all falls free.
            store_.revoke_lease(lease_id_);
            lease_id_ = 0;
            abandon_campaign(t);
            return;
        }
        term_version_ = reply.revision;
        leader_ = node_;
        leader_key_version_ = reply.revision;
        lease_validity_.reset();
        lease_validity_.extend(lease_requested_at_);
        set_state(ElectionState::leading);
        schedule_at(renew_at_, t + lease::kLeaseRenewInterval / 2);
        check_lease_validity(t);
        hooks_.elected(term_, term_version_);
        hooks_.lease_confirmed(lease_validity_.valid_until());
    });
}

void Election::renew_lease(Millis now) {
    if (state_ != ElectionState::leading && state_ != ElectionState::lease_uncertain) return;
    schedule_at(renew_at_, now + lease::kLeaseRenewInterval);
    store_.renew_lease(
        lease_id_, [this, now, hold = lease_id_](Millis t, const kvstore::LeaseReply& reply) {
            if (hold != lease_id_ ||
                (state_ != ElectionState::leading && state_ != ElectionState::lease_uncertain))
                return;
            if (reply.status == kvstore::Status::ok) {
                lease_validity_.extend(now);
                if (state_ == ElectionState::lease_uncertain && lease_validity_.valid(t))
                    set_state(ElectionState::leading);
                hooks_.lease_confirmed(lease_validity_.valid_until());
                check_lease_validity(t);
            } else if (reply.status == kvstore::Status::missing) {
                end_leadership("the hold ended", t);
            }
        });
}

void Election::check_lease_validity(Millis now) {
    if (state_ != ElectionState::leading) return;
    if (!lease_validity_.valid(now)) {
        set_state(ElectionState::lease_uncertain);
        return;
    }
    schedule_at(check_validity_at_, lease_validity_.valid_until());
}

void Election::step_down(const std::string& why, Millis rest, Millis now) {
    if (state_ != ElectionState::leading && state_ != ElectionState::lease_uncertain) return;
    backoff_until_ = now + rest;
    store_.revoke_lease(lease_id_);
    end_leadership(why, now);
}

void Election::end_leadership(const std::string& why, Millis now) {
    spdlog::warn("term {} is over: {}", term_, why);
    renew_at_ = check_validity_at_ = kNever;
    lease_validity_.reset();
    lease_id_ = 0;
    set_state(ElectionState::following);
    hooks_.deposed(why);
    schedule_at(campaign_at_, now + kRetry);
}

}  // namespace nickelramp::election
