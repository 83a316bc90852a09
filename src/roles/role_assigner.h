/// @file
/// Assignment of roles to controllers. The leader first claims each role for itself and may then
/// transfer it to another controller. One transaction moves the record to the other controller's
/// lease, so that a role never has two holders, and is not vacant while both controllers are alive.
/// A role held by another controller outlives a change of leader. When the holder's lease ends, the
/// role becomes vacant and the current leader claims it.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "kvstore/types.h"
#include "lease/role.h"

namespace nickelramp::roles {

enum class RoleState {
    unknown,        ///< the record has to be read
    vacant,         ///< nobody holds it
    claiming,       ///< this leader's transaction that claims the role is in flight
    held_here,      ///< this controller holds it
    transferring,   ///< a transfer is in flight; this controller does not act under the role
    held_elsewhere  ///< another controller holds it
};
/// Returns the state's name, as used on administration pages and in logs.
[[nodiscard]] const char* name(RoleState state);

/// Access to the role records in the key-value store. `done` is called exactly once, after the call
/// has returned.
class RoleRecordStore {
  public:
    using CommitDone = std::function<void(Millis now, const kvstore::CommitReply&)>;
    using ListDone = std::function<void(Millis now, const kvstore::ListReply&)>;

    virtual ~RoleRecordStore() = default;
    /// Commits the transaction. It is sent only while this controller is certainly the leader.
    virtual void commit(kvstore::Transaction transaction, CommitDone done) = 0;
    /// Lists all role records.
    virtual void list_roles(ListDone done) = 0;
};

/// Is notified of the role fences that this leader knows.
class FenceObserver {
  public:
    virtual ~FenceObserver() = default;
    /// Called on every change of the role's state. `fence` is 0 if no holder is known.
    virtual void on_fence_changed(lease::Role role, std::uint64_t fence) = 0;
};

/// Implements both sides: the leader's, which assigns roles, and the helper's, which is assigned
/// roles. Owned by RoleManager; runs on the event loop's thread, owns no sockets and reads no
/// clock. After a failed transaction the record is read again.
class RoleAssigner {
  public:
    /// `store` and `observer` must outlive the assigner.
    RoleAssigner(std::string name, std::uint64_t incarnation, RoleRecordStore& store,
                 FenceObserver& observer)
        : name_(std::move(name)), incarnation_(incarnation), store_(store), observer_(observer) {}

    // --- Calls on the leader

    /// Begins a term. `term` is the condition of its transactions. Records of roles that this
    /// controller claims are attached to its lease `lease_id`.
    void start_leading(kvstore::Condition term, std::uint64_t lease_id, Millis now);
    /// Ends the term. Records attached to its lease are deleted with the lease.
    void stop_leading();
    [[nodiscard]] bool is_leading() const { return lease_id_ != 0; }
    /// Reads records that are unknown or due to be read again, and claims vacant roles.
    void run_due_work(Millis now);
    /// Handles a transaction that failed because its condition on the role's fence did not hold.
    /// The record is read again.
    void on_fence_rejected(lease::Role role);
    /// Moves a role that this controller holds to another controller's lease.
    void transfer(lease::Role role, const lease::RoleRecord& to);
    /// Transfers the role back to this leader from a holder whose assignments have expired.
    void transfer_back(lease::Role role);
    /// Returns whether the role may be assigned to the other controller that holds it. It may not
    /// once transfer_back() was called for the current fence. That transaction may still be applied
    /// late, and then both this leader and the holder would act under the role.
    [[nodiscard]] bool may_assign(lease::Role role) const {
        return state(role) == RoleState::held_elsewhere &&
               entry(role).taken_back_fence != fence(role);
    }

    // --- Calls on a helper

    /// Records that the leader assigned the role to this controller.
    void on_assigned(lease::Role role, std::uint64_t fence, std::uint64_t lease_id);
    /// Records that the leader's assignment no longer contains the role.
    void on_unassigned(lease::Role role);
    /// Handles the end of the helper lease, which ends every role attached to it.
    void on_lease_lost();

    // --- Calls on either

    [[nodiscard]] RoleState state(lease::Role role) const { return entry(role).state; }
    /// Returns the last known record; valid while the state is held_here or held_elsewhere.
    [[nodiscard]] const lease::RoleRecord& record(lease::Role role) const {
        return entry(role).record;
    }
    [[nodiscard]] std::uint64_t fence(lease::Role role) const { return entry(role).fence; }
    /// Returns the fence if the role is known to have a holder, otherwise 0.
    [[nodiscard]] std::uint64_t known_fence(lease::Role role) const {
        const RoleState known = state(role);
        const bool held = known == RoleState::held_here || known == RoleState::held_elsewhere;
        return held ? fence(role) : 0;
    }
    /// Returns the fence if this controller holds the role according to its record, otherwise 0.
    /// The validity of the lease is not checked.
    [[nodiscard]] std::uint64_t acting_fence(lease::Role role) const {
        return state(role) == RoleState::held_here ? fence(role) : 0;
    }

  private:
    struct Entry {
        RoleState state = RoleState::unknown;
        lease::RoleRecord record;
        std::uint64_t fence = 0;
        // Fence at which transfer_back() was called in this term.
        std::uint64_t taken_back_fence = 0;
        Millis read_at = 0;                    // earliest time at which the record is read again
        std::uint64_t unreadable_version = 0;  // last version that was logged as invalid
    };
    Entry& entry(lease::Role role) { return entries_[static_cast<std::size_t>(role)]; }
    const Entry& entry(lease::Role role) const { return entries_[static_cast<std::size_t>(role)]; }
    void set_state(lease::Role role, RoleState state);
    void on_record_read(lease::Role role, const lease::RoleRecord& record, std::uint64_t fence);
    void read_records(Millis now);
    void apply_records(lease::Role role, const kvstore::ListReply& reply, Millis now);
    void apply_record(lease::Role role, const kvstore::Entry& found);
    void claim_vacant_roles();
    void on_claimed(const std::vector<lease::Role>& claimed, const kvstore::CommitReply& reply,
                    Millis now);
    void write_transfer(lease::Role role, const lease::RoleRecord& to);
    lease::RoleRecord own_record() const { return {name_, incarnation_, lease_id_}; }

    std::string name_;
    std::uint64_t incarnation_;
    RoleRecordStore& store_;
    FenceObserver& observer_;
    kvstore::Condition term_;
    std::uint64_t lease_id_ = 0;      // 0: this controller does not lead
    std::uint64_t generation_ = 0;    // replies to requests of earlier generations are dropped
    bool request_in_flight_ = false;  // a read of the records or a claim
    Entry entries_[lease::kRoleCount];
};

}  // namespace nickelramp::roles
