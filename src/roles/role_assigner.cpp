#include "roles/role_assigner.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::roles {

namespace {
constexpr Millis kRetry = 500;
constexpr Millis kLookEvery = 2'000;  // at duties that others have
}  // namespace

const char* name(RoleState state) {
    static const char* names[] = {"unknown", "vacant", "claiming", "held", "moving", "elsewhere"};
    return names[static_cast<std::size_t>(state)];
}

void RoleAssigner::set_state(lease::Role role, RoleState s) {
    Entry& e = entry(role);
    if (e.state != s) {
        spdlog::info("duty {}: {} -> {}{}", lease::name(role), name(e.state), name(s),
                     s == RoleState::held_elsewhere ? ", " + e.record.holder : "");
    }
    e.state = s;
    if (is_leading()) hooks_.fence_changed(role, known_fence(role));
}

void RoleAssigner::start_leading(kvstore::Condition term, std::uint64_t hold, Millis now) {
    ++generation_;
    read_in_flight_ = false;
    term_ = std::move(term);
    lease_id_ = hold;
    for (lease::Role role : lease::kAllRoles) {
        entry(role).taken_back_fence = 0;
        set_state(role, RoleState::unknown);
    }
    run_due_work(now);
}

void RoleAssigner::stop_leading() {
    if (!is_leading()) return;
    ++generation_;
    read_in_flight_ = false;
    for (lease::Role role : lease::kAllRoles) set_state(role, RoleState::unknown);
    lease_id_ = 0;
}

void RoleAssigner::run_due_work(Millis now) {
    if (!is_leading() || read_in_flight_) return;
    bool unread = false, free = false;
    for (lease::Role role : lease::kAllRoles) {
        const Entry& e = entry(role);
        // A holder elsewhere may have ended: the record says so, and only the record.
        unread |= (e.state == RoleState::unknown || e.state == RoleState::held_elsewhere) &&
                  now >= e.retry_at;
        free |= e.state == RoleState::vacant;
    }
    if (unread)
        read_records(now);
    else if (free)
        claim_vacant_roles();
}

void RoleAssigner::read_records(Millis now) {
    read_in_flight_ = true;
    for (lease::Role role : lease::kAllRoles) entry(role).retry_at = now + kRetry;
    hooks_.list([this, g = generation_](Millis t, const kvstore::ListReply& reply) {
        if (g != generation_) return;
        read_in_flight_ = false;
        if (reply.status != kvstore::Status::ok) return;  // asked again at its date
        for (lease::Role role : lease::kAllRoles) apply_records(role, reply, t);
        run_due_work(t);
    });
}

void RoleAssigner::apply_records(lease::Role role, const kvstore::ListReply& reply, Millis now) {
    Entry& e = entry(role);
    // This leader's own transactions are answered by themselves, and the list may be from before
    // the last of them.
    if (e.state == RoleState::claiming || e.state == RoleState::transferring ||
        reply.revision < e.fence)
        return;
    auto it = std::find_if(
        reply.entries.begin(), reply.entries.end(),
        [&](const kvstore::Entry& entry) { return entry.key == lease::role_key(role); });
    if (it == reply.entries.end()) {
        set_state(role, RoleState::vacant);
        return;
    }
    e.retry_at = now + kLookEvery;
    if (auto record = lease::decode_role_record(it->value)) {
        if (it->version > e.fence || e.state == RoleState::unknown)
            on_record_read(role, *record, it->version);
        return;
    }
    // Left alone: it goes with the hold that it is attached to, or an operator drops it.
    if (it->version != e.unreadable_version) spdlog::error("record {} cannot be read", it->key);
    e.unreadable_version = it->version;
    set_state(role, RoleState::unknown);
}

void RoleAssigner::on_record_read(lease::Role role, const lease::RoleRecord& record,
                                  std::uint64_t fence) {
    Entry& e = entry(role);
    e.record = record;
    e.fence = fence;
    // Also what this process had on an earlier hold is another's: it ends with that hold.
    set_state(role, record == own_record() ? RoleState::held_here : RoleState::held_elsewhere);
}

void RoleAssigner::claim_vacant_roles() {
    kvstore::Transaction transaction;
    transaction.conditions = {term_};
    std::vector<lease::Role> asked;
    for (lease::Role role : lease::kAllRoles) {
        if (state(role) != RoleState::vacant) continue;
        asked.push_back(role);
        transaction.conditions.push_back({lease::role_key(role), 0});
        transaction.writes.push_back(
            {lease::role_key(role), lease::encode_role_record(own_record()), lease_id_});
        set_state(role, RoleState::claiming);
    }
    read_in_flight_ = true;
    hooks_.commit(std::move(transaction),
                  [this, asked, g = generation_](Millis t, const kvstore::CommitReply& reply) {
                      if (g != generation_) return;
                      read_in_flight_ = false;
                      for (lease::Role role : asked) {
                          if (state(role) != RoleState::claiming) continue;
                          if (reply.status == kvstore::Status::ok) {
                              on_record_read(role, own_record(), reply.revision);
                              continue;
                          }
                          // It may have been applied after all: the record tells.
                          entry(role).retry_at = t + kRetry;
                          set_state(role, RoleState::unknown);
                      }
                  });
}

// One transaction: the record changes hands on condition that it is as known and the term lasts.
void RoleAssigner::write_transfer(lease::Role role, const lease::RoleRecord& to) {
    Entry& e = entry(role);
    kvstore::Transaction transaction;
    transaction.conditions = {term_, {lease::role_key(role), e.fence}};
    transaction.writes = {{lease::role_key(role), lease::encode_role_record(to), to.lease_id}};
    set_state(role, RoleState::transferring);
    hooks_.commit(std::move(transaction),
                  [this, role, to, g = generation_](Millis t, const kvstore::CommitReply& reply) {
                      if (g != generation_ || state(role) != RoleState::transferring) return;
                      if (reply.status == kvstore::Status::ok) {
                          on_record_read(role, to, reply.revision);
                          return;
                      }
                      // Whoever has it now, or may have it soon, is found in the record. A late
                      // transaction fails once the record has changed; until then it is asked for.
                      entry(role).retry_at = t + kRetry;
                      set_state(role, RoleState::unknown);
                  });
}

void RoleAssigner::transfer(lease::Role role, const lease::RoleRecord& to) {
    if (is_leading() && state(role) == RoleState::held_here) write_transfer(role, to);
}

void RoleAssigner::take_back(lease::Role role) {
    if (!is_leading() || state(role) != RoleState::held_elsewhere) return;
    entry(role).taken_back_fence = fence(role);
    write_transfer(role, own_record());
}

void RoleAssigner::on_fence_rejected(lease::Role role) {
    if (!is_leading() ||
        (state(role) != RoleState::held_here && state(role) != RoleState::held_elsewhere))
        return;
    entry(role).retry_at = 0;
    set_state(role, RoleState::unknown);
}

void RoleAssigner::on_assigned(lease::Role role, std::uint64_t fence, std::uint64_t hold) {
    Entry& e = entry(role);
    if (is_leading() || fence < e.fence) return;
    e.fence = fence;
    e.record = {node_, incarnation_, hold};
    set_state(role, RoleState::held_here);
}

void RoleAssigner::on_unassigned(lease::Role role) {
    if (!is_leading() && state(role) == RoleState::held_here) set_state(role, RoleState::unknown);
}

void RoleAssigner::on_lease_lost() {
    for (lease::Role role : lease::kAllRoles) on_unassigned(role);
}

}  // namespace nickelramp::roles
