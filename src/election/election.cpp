#include "election/election.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace nickelramp::election {

namespace {
constexpr const char* kPrefix = "lead/";
constexpr Millis kWatchWait = 5000;
constexpr Millis kRetry = 500;
constexpr Millis kMaxJitter = 120;

std::string leader_of(const kvstore::Entry& entry) {
    return wire::text_field(entry.value, "node").value_or("");
}
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

Election::Election(ElectionStore& store, ElectionObserver& observer, std::string name,
                   std::uint64_t seed, RequestWakeUp request_wake_up)
    : store_(store),
      observer_(observer),
      name_(std::move(name)),
      request_wake_up_(std::move(request_wake_up)),
      random_(static_cast<std::minstd_rand::result_type>(seed)),
      lease_validity_(lease::kLeaseDuration) {}

void Election::start() { read_leader(); }

void Election::set_state(ElectionState state) {
    if (state == state_) return;
    spdlog::info("election: state={} previous={}", name(state), name(state_));
    state_ = state;
}

void Election::schedule_at(Millis& due_at, Millis at) {
    due_at = at;
    request_wake_up_(at);
}

void Election::run_due_work(Millis now) {
    auto take_due = [now](Millis& due_at) {
        if (now < due_at) return false;
        due_at = kNever;
        return true;
    };
    if (take_due(check_validity_at_)) check_lease_validity(now);
    if (take_due(renew_at_)) renew_lease(now);
    if (take_due(campaign_at_)) campaign(now);
    if (take_due(read_leader_at_)) read_leader();
    const Millis next = std::min({campaign_at_, renew_at_, check_validity_at_, read_leader_at_});
    if (next < kNever) request_wake_up_(next);
}

// --- Reading the current leader

void Election::read_leader() {
    store_.list(kPrefix, [this](Millis now, const kvstore::ListReply& reply) {
        if (reply.status != kvstore::Status::ok) {
            schedule_at(read_leader_at_, now + kRetry);
            return;
        }
        watch_revision_ = reply.revision;
        std::string leader;
        std::uint64_t version = 0;
        for (const kvstore::Entry& entry : reply.entries) {
            if (entry.key != kLeaderKey) continue;
            leader = leader_of(entry);
            version = entry.version;
        }
        on_leader_read(leader, version, now);
        watch_leader();
    });
}

void Election::watch_leader() {
    store_.watch(
        kPrefix, watch_revision_, kWatchWait, [this](Millis now, const kvstore::ListReply& reply) {
            if (reply.status == kvstore::Status::ok) {
                on_leader_changes(reply, now);
                watch_leader();
                return;
            }
            // If the watch revision is too old, the leader is read again at once.
            const bool expired = reply.status == kvstore::Status::lease_or_revision_expired;
            schedule_at(read_leader_at_, now + (expired ? 0 : kRetry));
        });
}

void Election::on_leader_changes(const kvstore::ListReply& reply, Millis now) {
    watch_revision_ = std::max(watch_revision_, reply.revision);
    for (const kvstore::Entry& entry : reply.entries) {
        if (entry.key != kLeaderKey) continue;
        if (entry.deleted)
            on_leader_read("", 0, now);
        else
            on_leader_read(leader_of(entry), entry.version, now);
    }
}

void Election::on_leader_read(const std::string& leader, std::uint64_t version, Millis now) {
    const bool changed = leader != leader_;
    leader_ = leader;
    leader_key_version_ = version;
    leader_key_known_ = true;
    if (changed) observer_.on_leader_changed(leader);
    if (is_leader() && leader != name_) {
        end_leadership(leader.empty() ? "lease expired" : "superseded by " + leader, now);
        return;
    }
    if (state_ == ElectionState::following && version == 0) {
        // Candidates that start at different times rarely conflict.
        schedule_at(campaign_at_, now + static_cast<Millis>(random_() % kMaxJitter));
    }
}

// --- Campaign: read the term, acquire a lease, claim the leader key

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
    store_.get(kTermKey, [this](Millis now, const kvstore::GetReply& reply) {
        if (state_ != ElectionState::reading_term) return;
        const std::optional<std::uint64_t> version = kvstore::version_of(reply);
        if (!version) {
            abandon_campaign(now);
            return;
        }
        term_version_ = *version;
        term_ = 1;
        if (reply.status == kvstore::Status::ok)
            term_ = wire::count_field(reply.entry.value, "term").value_or(0) + 1;
        set_state(ElectionState::acquiring_lease);
        acquire_lease(now);
    });
}

void Election::acquire_lease(Millis now) {
    lease_requested_at_ = now;
    store_.grant_lease(lease::kLeaseDuration, [this](Millis now, const kvstore::LeaseReply& reply) {
        if (state_ != ElectionState::acquiring_lease) return;
        if (reply.status != kvstore::Status::ok) {
            abandon_campaign(now);
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
    transaction.writes = {{kLeaderKey, wire::Json{{"node", name_}}, lease_id_},
                          {kTermKey, wire::Json{{"term", term_}, {"node", name_}}, 0}};
    store_.commit(transaction, [this](Millis now, const kvstore::CommitReply& reply) {
        if (state_ != ElectionState::claiming_leadership) return;
        if (reply.status == kvstore::Status::ok)
            start_leading(reply.revision, now);
        else
            on_claim_failed(now);
    });
}

// Also called if the outcome is unknown, because leading requires the version of the term key,
// which only a successful reply contains. Revoking the lease deletes the leader key if the
// transaction was applied.
void Election::on_claim_failed(Millis now) {
    store_.revoke_lease(lease_id_);
    lease_id_ = 0;
    abandon_campaign(now);
}

void Election::start_leading(std::uint64_t version, Millis now) {
    term_version_ = version;
    leader_ = name_;
    leader_key_version_ = version;
    lease_validity_.reset();
    lease_validity_.extend(lease_requested_at_);
    set_state(ElectionState::leading);
    schedule_at(renew_at_, now + lease::kLeaseRenewInterval / 2);
    check_lease_validity(now);
    observer_.on_elected(term_, term_version_);
    observer_.on_lease_confirmed(lease_validity_.valid_until());
}

// --- Leader lease

void Election::renew_lease(Millis now) {
    if (!is_leader()) return;
    schedule_at(renew_at_, now + lease::kLeaseRenewInterval);
    auto on_reply = [this, requested_at = now, lease_id = lease_id_](
                        Millis now, const kvstore::LeaseReply& reply) {
        if (lease_id != lease_id_ || !is_leader()) return;
        if (reply.status == kvstore::Status::ok)
            on_lease_renewed(requested_at, now);
        else if (reply.status == kvstore::Status::missing)
            end_leadership("lease expired", now);
    };
    store_.renew_lease(lease_id_, on_reply);
}

void Election::on_lease_renewed(Millis requested_at, Millis now) {
    lease_validity_.extend(requested_at);
    if (state_ == ElectionState::lease_uncertain && lease_validity_.valid(now))
        set_state(ElectionState::leading);
    observer_.on_lease_confirmed(lease_validity_.valid_until());
    check_lease_validity(now);
}

void Election::check_lease_validity(Millis now) {
    if (state_ != ElectionState::leading) return;
    if (!lease_validity_.valid(now)) {
        set_state(ElectionState::lease_uncertain);
        return;
    }
    schedule_at(check_validity_at_, lease_validity_.valid_until());
}

void Election::step_down(const std::string& reason, Millis backoff, Millis now) {
    if (!is_leader()) return;
    backoff_until_ = now + backoff;
    store_.revoke_lease(lease_id_);
    end_leadership(reason, now);
}

void Election::end_leadership(const std::string& reason, Millis now) {
    spdlog::warn("election: leadership ended: term={} reason=\"{}\"", term_, reason);
    renew_at_ = check_validity_at_ = kNever;
    lease_validity_.reset();
    lease_id_ = 0;
    set_state(ElectionState::following);
    observer_.on_deposed();
    schedule_at(campaign_at_, now + kRetry);
}

}  // namespace nickelramp::election
