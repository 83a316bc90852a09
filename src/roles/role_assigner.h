/// @file
/// Who holds which role. The leader assigns the roles: to itself at first, to another controller
/// where that is better, by one transaction that moves the record to the other's lease, so that
/// there is no moment in which two hold it or, while both live, nobody does. A role that another
/// controller holds outlives a change of leader; one whose holder's lease ends becomes vacant and
/// is claimed by whoever leads.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "kvstore/types.h"
#include "lease/role.h"

namespace nickelramp::roles {

enum class RoleState {
    unknown,        ///< its record has to be read
    vacant,         ///< nobody holds it
    claiming,       ///< this leader's transaction that claims it is under way
    held_here,      ///< by this controller
    transferring,   ///< the transaction that moves it is under way; nobody acts under it here
    held_elsewhere  ///< by another controller
};
/// The state's name on administration pages, which logs use, too.
[[nodiscard]] const char* name(RoleState state);

/// The records of roles in the key-value store. `done` is called once, later.
class RoleRecordStore {
  public:
    using CommitDone = std::function<void(Millis now, const kvstore::CommitReply&)>;
    using ListDone = std::function<void(Millis now, const kvstore::ListReply&)>;

    virtual ~RoleRecordStore() = default;
    /// Sent only while this controller certainly leads.
    virtual void commit(kvstore::Transaction transaction, CommitDone done) = 0;
    /// All records of roles.
    virtual void list_roles(ListDone done) = 0;
};

/// Who has to know the fences of roles as this leader knows them.
class FenceObserver {
  public:
    virtual ~FenceObserver() = default;
    /// 0: nobody is known to hold the role. Called on every change of the role's state.
    virtual void on_fence_changed(lease::Role role, std::uint64_t fence) = 0;
};

/// Both sides: the leader's, which assigns, and the helper's, which is told. Owned by RoleManager
/// on the loop's thread; handed replies and the time, owns no sockets and reads no clock. Failed
/// transactions are resolved by reading the record again.
class RoleAssigner {
  public:
    /// `store` and `observer` must outlive the assigner.
    RoleAssigner(std::string name, std::uint64_t incarnation, RoleRecordStore& store,
                 FenceObserver& observer)
        : name_(std::move(name)), incarnation_(incarnation), store_(store), observer_(observer) {}

    // --- the leader's side

    /// A term begins. `term` is the condition of its transactions; the roles that this controller
    /// takes are attached to its `lease_id`.
    void start_leading(kvstore::Condition term, std::uint64_t lease_id, Millis now);
    /// The term is over; what is attached to its lease vanishes with it.
    void stop_leading();
    [[nodiscard]] bool is_leading() const { return lease_id_ != 0; }
    /// Reads the records that are not known, and claims vacant roles.
    void run_due_work(Millis now);
    /// A transaction that was conditional on the role's fence failed for it: the record is read
    /// again.
    void on_fence_rejected(lease::Role role);
    /// Moves a role that this controller holds to another controller's lease.
    void transfer(lease::Role role, const lease::RoleRecord& to);
    /// Takes the role back from a holder whose assignments have expired.
    void take_back(lease::Role role);
    /// May its holder elsewhere be assigned the role? Not once it was to be taken back: a
    /// transaction of unknown outcome may be applied later, and this leader would act beside the
    /// holder.
    [[nodiscard]] bool may_assign(lease::Role role) const {
        return state(role) == RoleState::held_elsewhere &&
               entry(role).taken_back_fence != fence(role);
    }

    // --- the helper's side: what the leader says that this controller holds

    void on_assigned(lease::Role role, std::uint64_t fence, std::uint64_t lease_id);
    void on_unassigned(lease::Role role);
    /// The helper's own lease is gone, and every role attached to it.
    void on_lease_lost();

    // --- both

    [[nodiscard]] RoleState state(lease::Role role) const { return entry(role).state; }
    /// As last known; valid while the state is held_here or held_elsewhere.
    [[nodiscard]] const lease::RoleRecord& record(lease::Role role) const {
        return entry(role).record;
    }
    [[nodiscard]] std::uint64_t fence(lease::Role role) const { return entry(role).fence; }
    /// The fence if somebody is known to hold the role, otherwise 0.
    [[nodiscard]] std::uint64_t known_fence(lease::Role role) const {
        const RoleState known = state(role);
        const bool held = known == RoleState::held_here || known == RoleState::held_elsewhere;
        return held ? fence(role) : 0;
    }
    /// The fence if this controller may act under the role, as far as its record goes; otherwise 0.
    [[nodiscard]] std::uint64_t acting_fence(lease::Role role) const {
        return state(role) == RoleState::held_here ? fence(role) : 0;
    }

  private:
    struct Entry {
        RoleState state = RoleState::unknown;
        lease::RoleRecord record;
        std::uint64_t fence = 0;
        std::uint64_t taken_back_fence = 0;    // to be taken back from that fence, in this term
        Millis read_at = 0;                    // its record is read then, if need be
        std::uint64_t unreadable_version = 0;  // at which it was logged that it cannot be read
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
    std::uint64_t generation_ = 0;    // replies to an earlier term are dropped
    bool request_in_flight_ = false;  // a read of the records, or a claim
    Entry entries_[lease::kRoleCount];
};

}  // namespace nickelramp::roles
