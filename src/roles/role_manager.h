/// @file
/// Manages the roles that one controller holds, and the operations that it performs under them.
///
/// The leader first holds all roles itself. It transfers garbage collection to a helper, and also
/// the cloud roles while it cannot reach the cloud itself. A helper acts under the roles that the
/// leader assigned to it. Each assignment expires by the helper's own clock.
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

/// Owned by the controller; every call is made on the event loop's thread with the loop's time. The
/// steady clock is read only to check leases. Guarantees that this controller acts under a role
/// only while the lease returned by lease_for() is valid, and that no other controller does so at
/// the same time.
class RoleManager {
  public:
    using ProvisionDone = RoleCloud::ProvisionDone;

    /// `max_operations` limits one transaction. Replies that arrive after the manager is destroyed
    /// must not be delivered to it.
    RoleManager(std::string name, std::uint64_t incarnation, std::size_t max_operations,
                RoleServices services);

    // --- Calls on the leader

    /// Begins a term. `condition` is the condition of its transactions, `lease_id` the leader's
    /// lease.
    void start_leading(std::uint64_t term, kvstore::Condition condition, std::uint64_t lease_id,
                       Millis now);
    void stop_leading();
    /// Handles a transaction that failed because its condition on the role's fence did not hold.
    void on_fence_rejected(lease::Role role) { assigner_.on_fence_rejected(role); }
    /// Sends the helper its assignment. Called every second.
    void send_assignment(Millis now);
    /// Requests machines from the cloud, directly or through the controller that holds the role.
    /// `done` is called exactly once and never from within the call. The result is `not_sent` if no
    /// controller may send the request now.
    void provision(const cloud::ProvisioningIntent& intent, ProvisionDone done, Millis now);
    /// Releases machines to the cloud in the same way.
    void release(const std::vector<std::string>& machines, ProvisionDone done, Millis now);
    void on_delegated_result(const peers::DelegatedResult& result, Millis now) {
        delegated_requests_.on_result(result, now);
    }

    // --- Calls on a helper

    /// Adds the helper lease to the status message.
    void fill_status(peers::Status& status, Millis now) const;
    void on_assignment(const peers::RoleAssignment& assignment, Millis now);
    void on_delegated_request(const peers::DelegatedRequest& request);

    // --- Calls on either

    void on_status(const peers::Status& status, Millis now) { peers_.on_status(status, now); }
    /// Called at every tick.
    void run_due_work(Millis now);

    [[nodiscard]] const RoleAssigner& assigner() const { return assigner_; }
    [[nodiscard]] const GarbageCollector& garbage_collector() const { return garbage_collector_; }
    /// Returns the content of the administration page.
    [[nodiscard]] wire::Json overview() const;
    /// Returns the fence under which this controller may act in the role, and until when.
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
    std::vector<std::function<void(Millis now)>> deferred_;  // replies delivered at the next tick

    // Used on the leader.
    std::uint64_t term_ = 0;
    Millis leading_since_ = 0;
    std::string helper_;  // name of the helper; empty: none
    // Time at which this leader last sent an assignment with the role.
    Millis assignment_sent_at_[lease::kRoleCount] = {};

    // Used on a helper.
    HelperLease helper_lease_;
    Millis assigned_until_[lease::kRoleCount] = {};
    std::uint64_t assigning_term_ = 0;  // of the last assignment; earlier terms are ignored
};

}  // namespace nickelramp::roles
