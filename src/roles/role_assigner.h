// Who does which duty. The leader appoints: itself at first, another controller where that is
// better, by one transaction that moves the record to the other's hold, so that there is no moment
// in which two hold it or, while both live, nobody does. A duty that another holds outlives a
// change of leader; one whose holder's hold ends falls vacant and is claimed by whoever leads.
//
// Both sides are here. Handed replies and the time; owns no sockets and reads no clock.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "lease/lease_guard.h"
#include "lease/role.h"

namespace nickelramp::roles {

// unknown:   its record has to be read
// vacant:    nobody has it
// claiming:  this leader's transaction for it is under way
// held:      by this controller
// moving:    the transaction that gives it away is under way; it is not done meanwhile
// elsewhere: another controller has it
enum class RoleState { unknown, vacant, claiming, held_here, transferring, held_elsewhere };
const char* name(RoleState s);

class RoleAssigner {
  public:
    struct Hooks {
        std::function<void(kvstore::Transaction,
                           std::function<void(Millis, const kvstore::CommitReply&)>)>
            commit;
        std::function<void(std::function<void(Millis, const kvstore::ListReply&)>)> list;
        // The duty's fence as this leader knows it; 0: nobody is known to have it.
        std::function<void(lease::Role, std::uint64_t fence)> fence_changed;
    };
    RoleAssigner(std::string node, std::uint64_t incarnation, Hooks hooks)
        : node_(std::move(node)), incarnation_(incarnation), hooks_(std::move(hooks)) {}

    // --- the leader's side
    // A term begins; its duties hang on the leader's own hold.
    void start_leading(kvstore::Condition term, std::uint64_t hold, Millis now);
    // It is over; what hung on its hold goes with it.
    void stop_leading();
    bool is_leading() const { return lease_id_ != 0; }
    // Reads what is not known and claims what is vacant.
    void run_due_work(Millis now);
    // A transaction that named the duty's fence has failed for it: its record is read again.
    void on_fence_rejected(lease::Role role);
    // Moves the duty to another controller's hold.
    void transfer(lease::Role role, const lease::RoleRecord& to);
    // Takes it back from a holder whose charges are over.
    void take_back(lease::Role role);
    // May its holder elsewhere be charged? Not once it was asked to be taken back: a transaction of
    // unknown outcome may be carried out later, and this leader would act beside the holder.
    bool may_assign(lease::Role role) const {
        return state(role) == RoleState::held_elsewhere &&
               entry(role).taken_back_fence != fence(role);
    }

    // --- the helper's side: what the leader says that this controller has
    void on_assigned(lease::Role role, std::uint64_t fence, std::uint64_t hold);
    void on_unassigned(lease::Role role);
    void on_lease_lost();  // the helper's own

    RoleState state(lease::Role role) const { return entry(role).state; }
    const lease::RoleRecord& record(lease::Role role) const { return entry(role).record; }
    std::uint64_t fence(lease::Role role) const { return entry(role).fence; }
    // The fence if somebody is known to have the duty; 0: nobody is.
    std::uint64_t known_fence(lease::Role role) const {
        return state(role) == RoleState::held_here || state(role) == RoleState::held_elsewhere
                   ? fence(role)
                   : 0;
    }
    // May this controller act under the duty, as far as its record goes? 0: no.
    std::uint64_t acting_fence(lease::Role role) const {
        return state(role) == RoleState::held_here ? fence(role) : 0;
    }

  private:
    struct Entry {
        RoleState state = RoleState::unknown;
        lease::RoleRecord record;
        std::uint64_t fence = 0;
        std::uint64_t taken_back_fence = 0;  // asked to be taken back from that fence, in this term
        Millis retry_at = 0;                 // its record is read then, if need be
        std::uint64_t unreadable_version = 0;  // the stamp at which that was logged
    };
    Entry& entry(lease::Role role) { return entries_[static_cast<std::size_t>(role)]; }
    const Entry& entry(lease::Role role) const { return entries_[static_cast<std::size_t>(role)]; }
    void set_state(lease::Role role, RoleState s);
    void on_record_read(lease::Role role, const lease::RoleRecord& record, std::uint64_t fence);
    void apply_records(lease::Role role, const kvstore::ListReply& reply, Millis now);
    void read_records(Millis now);
    void claim_vacant_roles();
    void write_transfer(lease::Role role, const lease::RoleRecord& to);
    lease::RoleRecord own_record() const { return {node_, incarnation_, lease_id_}; }

    std::string node_;
    std::uint64_t incarnation_;
    Hooks hooks_;
    kvstore::Condition term_;
    std::uint64_t lease_id_ = 0;
    std::uint64_t generation_ = 0;  // answers to an earlier term are dropped
    bool read_in_flight_ = false;
    Entry entries_[lease::kRoleCount];
};

}  // namespace nickelramp::roles
