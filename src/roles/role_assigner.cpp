#include "roles/role_assigner.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace nickelramp::roles {

namespace {
constexpr Millis kRetry = 500;
constexpr Millis kReadInterval = 2'000;  // for records of roles that other controllers hold
}  // namespace

const char* name(RoleState state) {
    static constexpr const char* kNames[] = {"unknown", "vacant", "claiming",
                                             "held",    "moving", "elsewhere"};
    return kNames[static_cast<std::size_t>(state)];
}

void RoleAssigner::set_state(lease::Role role, RoleState state) {
    Entry& changed = entry(role);
    if (changed.state != state) {
        spdlog::info("roles: role={} state={} previous={} holder={}", lease::name(role),
                     name(state), name(changed.state), changed.record.holder);
    }
    changed.state = state;
    if (is_leading()) observer_.on_fence_changed(role, known_fence(role));
}

void RoleAssigner::start_leading(kvstore::Condition term, std::uint64_t lease_id, Millis now) {
    ++generation_;
    request_in_flight_ = false;
    term_ = std::move(term);
    lease_id_ = lease_id;
    for (lease::Role role : lease::kAllRoles) {
        entry(role).taken_back_fence = 0;
        set_state(role, RoleState::unknown);
    }
    run_due_work(now);
}

void RoleAssigner::stop_leading() {
    if (!is_leading()) return;
    ++generation_;
    request_in_flight_ = false;
    for (lease::Role role : lease::kAllRoles) set_state(role, RoleState::unknown);
    lease_id_ = 0;
}

void RoleAssigner::run_due_work(Millis now) {
    if (!is_leading() || request_in_flight_) return;
    // Another controller that holds a role may be gone. Only the record shows it.
    const bool unread =
        std::any_of(std::begin(entries_), std::end(entries_), [now](const Entry& entry) {
            return (entry.state == RoleState::unknown ||
                    entry.state == RoleState::held_elsewhere) &&
                   now >= entry.read_at;
        });
    const bool vacant =
        std::any_of(std::begin(entries_), std::end(entries_),
                    [](const Entry& entry) { return entry.state == RoleState::vacant; });
    if (unread)
        read_records(now);
    else if (vacant)
        claim_vacant_roles();
}

void RoleAssigner::read_records(Millis now) {
    request_in_flight_ = true;
    for (Entry& entry : entries_) entry.read_at = now + kRetry;
    store_.list_roles(
        [this, generation = generation_](Millis now, const kvstore::ListReply& reply) {
            if (generation != generation_) return;
            request_in_flight_ = false;
            if (reply.status != kvstore::Status::ok) return;  // retried at `read_at`
            for (lease::Role role : lease::kAllRoles) apply_records(role, reply, now);
            run_due_work(now);
        });
}

void RoleAssigner::apply_records(lease::Role role, const kvstore::ListReply& reply, Millis now) {
    const Entry& known = entry(role);
    // A transaction of this leader that is in flight is resolved by its own reply, and the list may
    // be older than this leader's last transaction.
    if (known.state == RoleState::claiming || known.state == RoleState::transferring ||
        reply.revision < known.fence)
        return;
    const std::string key = lease::role_key(role);
    const auto found =
        std::find_if(reply.entries.begin(), reply.entries.end(),
                     [&](const kvstore::Entry& candidate) { return candidate.key == key; });
    if (found == reply.entries.end()) {
        set_state(role, RoleState::vacant);
        return;
    }
    entry(role).read_at = now + kReadInterval;
    apply_record(role, *found);
}

void RoleAssigner::apply_record(lease::Role role, const kvstore::Entry& found) {
    Entry& known = entry(role);
    if (auto record = lease::decode_role_record(found.value)) {
        if (found.version > known.fence || known.state == RoleState::unknown)
            on_record_read(role, *record, found.version);
        return;
    }
    // The record is left alone. It is deleted with the lease it is attached to, or by an operator.
    if (found.version != known.unreadable_version)
        spdlog::error("roles: invalid role record: key={} version={}", found.key, found.version);
    known.unreadable_version = found.version;
    set_state(role, RoleState::unknown);
}

void RoleAssigner::on_record_read(lease::Role role, const lease::RoleRecord& record,
                                  std::uint64_t fence) {
    Entry& known = entry(role);
    known.record = record;
    known.fence = fence;
    // A role that this process held under an earlier lease counts as held elsewhere. It becomes
    // vacant when that lease ends.
    set_state(role, record == own_record() ? RoleState::held_here : RoleState::held_elsewhere);
}

void RoleAssigner::claim_vacant_roles() {
    kvstore::Transaction transaction;
    transaction.conditions = {term_};
    std::vector<lease::Role> claimed;
    for (lease::Role role : lease::kAllRoles) {
        if (state(role) != RoleState::vacant) continue;
        const std::string key = lease::role_key(role);
        claimed.push_back(role);
        transaction.conditions.push_back({key, 0});
        transaction.writes.push_back({key, lease::encode_role_record(own_record()), lease_id_});
        set_state(role, RoleState::claiming);
    }
    request_in_flight_ = true;
    store_.commit(std::move(transaction), [this, claimed, generation = generation_](
                                              Millis now, const kvstore::CommitReply& reply) {
        if (generation == generation_) on_claimed(claimed, reply, now);
    });
}

void RoleAssigner::on_claimed(const std::vector<lease::Role>& claimed,
                              const kvstore::CommitReply& reply, Millis now) {
    request_in_flight_ = false;
    for (lease::Role role : claimed) {
        if (state(role) != RoleState::claiming) continue;
        if (reply.status == kvstore::Status::ok) {
            on_record_read(role, own_record(), reply.revision);
            continue;
        }
        // The transaction may have been applied, so the record is read.
        entry(role).read_at = now + kRetry;
        set_state(role, RoleState::unknown);
    }
}

// Changes the holder in one transaction, on condition that the record is unchanged and the term has
// not ended.
void RoleAssigner::write_transfer(lease::Role role, const lease::RoleRecord& to) {
    const std::string key = lease::role_key(role);
    kvstore::Transaction transaction;
    transaction.conditions = {term_, {key, fence(role)}};
    transaction.writes = {{key, lease::encode_role_record(to), to.lease_id}};
    set_state(role, RoleState::transferring);
    auto on_reply = [this, role, to, generation = generation_](Millis now,
                                                               const kvstore::CommitReply& reply) {
        if (generation != generation_ || state(role) != RoleState::transferring) return;
        if (reply.status == kvstore::Status::ok) {
            on_record_read(role, to, reply.revision);
            return;
        }
        // The record shows the current holder. If the transaction is applied late, it fails once
        // the record has changed; until then the transfer is requested again.
        entry(role).read_at = now + kRetry;
        set_state(role, RoleState::unknown);
    };
    store_.commit(std::move(transaction), std::move(on_reply));
}

void RoleAssigner::transfer(lease::Role role, const lease::RoleRecord& to) {
    if (is_leading() && state(role) == RoleState::held_here) write_transfer(role, to);
}

void RoleAssigner::transfer_back(lease::Role role) {
    if (!is_leading() || state(role) != RoleState::held_elsewhere) return;
    entry(role).taken_back_fence = fence(role);
    write_transfer(role, own_record());
}

void RoleAssigner::on_fence_rejected(lease::Role role) {
    if (!is_leading()) return;
    if (state(role) != RoleState::held_here && state(role) != RoleState::held_elsewhere) return;
    entry(role).read_at = 0;
    set_state(role, RoleState::unknown);
}

void RoleAssigner::on_assigned(lease::Role role, std::uint64_t fence, std::uint64_t lease_id) {
    Entry& assigned = entry(role);
    if (is_leading() || fence < assigned.fence) return;
    assigned.fence = fence;
    assigned.record = {name_, incarnation_, lease_id};
    set_state(role, RoleState::held_here);
}

void RoleAssigner::on_unassigned(lease::Role role) {
    if (!is_leading() && state(role) == RoleState::held_here) set_state(role, RoleState::unknown);
}

void RoleAssigner::on_lease_lost() {
    for (lease::Role role : lease::kAllRoles) on_unassigned(role);
}

}  // namespace nickelramp::roles
