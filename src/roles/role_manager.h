/// @file
/// One controller's part in the roles: which of them it holds, and its acts under them.
///
/// As leader it assigns them, to itself at first. Garbage collection goes to a helper, and so do
/// the calls to the cloud while only the helper can reach it. As helper it acts under what the
/// leader assigned to it, each assignment a lease by its own clock.
#pragma once
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lease/lease_guard.h"
#include "lease/role.h"
#include "peers/messages.h"
#include "roles/delegated_requests.h"
#include "roles/garbage_collector.h"
#include "roles/helper_lease.h"
#include "roles/peer_directory.h"
#include "roles/role_assigner.h"
#include "roles/role_services.h"
#include "wire/cbor.h"

namespace nickelramp::roles {

/// Owned by the controller; every call is made on the loop's thread with its time. The clock is
/// read at acts only. Guarantees that this controller acts under a role only while lease_for() says
/// so, and that nobody else does meanwhile.
class RoleManager {
  public:
    using ProvisionDone = RoleCloud::ProvisionDone;

    /// `max_operations` is of one transaction. Replies that come after the manager is destroyed
    /// must not be delivered to it.
    RoleManager(std::string name, std::uint64_t incarnation, std::size_t max_operations,
                RoleServices services);

    // --- the leader's side

    /// The term begins. `condition` is that of its transactions, `lease_id` the leader's lease.
    void start_leading(std::uint64_t term, kvstore::Condition condition, std::uint64_t lease_id,
                       Millis now);
    void stop_leading();
    /// A transaction that was conditional on the role's fence failed for it.
    void on_fence_rejected(lease::Role role) { assigner_.on_fence_rejected(role); }
    /// Sends the helper its assignment; called every second.
    void send_assignment(Millis now);
    /// Asks for machines, as the cluster's autoscaler wants it: directly, or through whoever holds
    /// the role. `done` is called once and never from within the call. `not_sent`: nobody may send
    /// it now.
    void provision(const cloud::ProvisioningIntent& intent, ProvisionDone done, Millis now);
    /// Releases machines, likewise.
    void release(const std::vector<std::string>& machines, ProvisionDone done, Millis now);
    void on_delegated_result(const peers::DelegatedResult& result, Millis now) {
        delegated_requests_.on_result(result, now);
    }

    // --- the helper's side

    /// Tells the leader this helper's lease.
    void fill_status(peers::Status& status, Millis now) const;
    void on_assignment(const peers::RoleAssignment& assignment, Millis now);
    void on_delegated_request(const peers::DelegatedRequest& request);

    // --- both

    void on_status(const peers::Status& status, Millis now) { peers_.on_status(status, now); }
    /// Called at every tick.
    void run_due_work(Millis now);

    [[nodiscard]] const RoleAssigner& assigner() const { return assigner_; }
    [[nodiscard]] const GarbageCollector& garbage_collector() const { return garbage_collector_; }
    /// For the administration page.
    [[nodiscard]] wire::Json overview() const;
    /// Until when this controller may act under the role, and by which fence.
    [[nodiscard]] lease::Lease lease_for(lease::Role role) const;

  private:
    void choose_helper(Millis now);
    void assign_roles(Millis now);
    void assign_role(lease::Role role, const PeerDirectory::Peer* helper, Millis now);
    bool better_held_by_helper(lease::Role role, Millis now) const;
    lease::RoleRecord helper_record(const PeerDirectory::Peer& helper) const;
    void assign_from(const peers::RoleAssignment& assignment, lease::Role role, Millis valid_until);
    void delegate(lease::Role role, peers::DelegatedRequest request, ProvisionDone done,
                  Millis now);
    void answer_not_sent(ProvisionDone done);
    bool execute_provision(const peers::DelegatedRequest& request, const ProvisionDone& done);
    bool execute_release(const peers::DelegatedRequest& request, const ProvisionDone& done);

    std::string name_;
    std::uint64_t incarnation_;
    RoleServices services_;
    RoleAssigner assigner_;
    GarbageCollector garbage_collector_;
    DelegatedRequests delegated_requests_;
    PeerDirectory peers_;
    lease::LeaseGuard<lease::ScaleOut> scale_out_guard_;
    lease::LeaseGuard<lease::ScaleIn> scale_in_guard_;
    lease::LeaseGuard<lease::GarbageCollection> garbage_collection_guard_;
    std::vector<std::function<void(Millis now)>> deferred_;  // answers given at the next turn

    // As leader.
    std::uint64_t term_ = 0;
    Millis leading_since_ = 0;
    std::string helper_;  // empty: none
    // When this leader last sent an assignment with the role.
    Millis assignment_sent_at_[lease::kRoleCount] = {};

    // As helper.
    HelperLease helper_lease_;
    Millis assigned_until_[lease::kRoleCount] = {};
    std::uint64_t assigning_term_ = 0;  // of the last assignment; earlier ones are ignored
};

}  // namespace nickelramp::roles
