// One controller's part in the duties: which it has, and its acts under them. As leader it
// appoints, itself at first; cleaning goes to a helper, and so does the talk with the cloud while
// only the helper's road to it is open. As helper it acts under what the leader charged it with,
// each charge a lease by its own clock. Handed messages and the time; the clock is read at acts
// only.
#pragma once
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "autoscaling/intent_log.h"
#include "peers/messages.h"
#include "roles/delegated_requests.h"
#include "roles/garbage_collector.h"
#include "roles/role_assigner.h"

namespace nickelramp::roles {

class RoleManager {
  public:
    using CommitDone = std::function<void(Millis, const kvstore::CommitReply&)>;
    using ListDone = std::function<void(Millis, const kvstore::ListReply&)>;
    using LeaseDone = std::function<void(Millis, const kvstore::LeaseReply&)>;
    using ProvisionDone = std::function<void(Millis, const cloud::ProvisionReply&)>;
    struct Hooks {
        std::function<Millis()> clock;
        std::function<lease::Lease()>
            leader_lease;  // this node's right to decide; its fence is the term
        // The state service.
        std::function<void(kvstore::Transaction, CommitDone)> commit;
        std::function<void(const lease::LeaseProof<lease::GarbageCollection>&, kvstore::Transaction,
                           CommitDone)>
            commit_garbage_collection;
        std::function<void(const std::string& prefix, ListDone)> list;
        std::function<void(const std::string& prefix, const std::string& after, std::size_t most,
                           ListDone)>
            list_page;
        std::function<bool()> has_spare_budget;
        std::function<void(Millis life, LeaseDone)> grant_lease;
        std::function<void(std::uint64_t hold, LeaseDone)> renew_lease;
        std::function<void(std::uint64_t hold)> revoke_lease;
        // Peers; false: it could not be sent.
        std::function<void(const std::string& peer, const peers::RoleAssignment&)> send_assignment;
        std::function<bool(const std::string& peer, const peers::DelegatedRequest&)> send_request;
        std::function<void(const std::string& peer, const peers::DelegatedResult&)> send_result;
        // The cloud.
        std::function<void(const lease::LeaseProof<lease::ScaleOut>&,
                           const autoscaling::ProvisioningIntent&, ProvisionDone)>
            provision;
        std::function<void(const lease::LeaseProof<lease::ScaleIn>&,
                           const std::vector<std::string>&, ProvisionDone)>
            release;
        std::function<bool(Millis now)> cloud_unreachable;  // it has not answered for long
        // The leader's book.
        std::function<void(lease::Role, std::uint64_t fence)> fence_changed;
    };
    RoleManager(std::string node, std::uint64_t incarnation, std::size_t most_writes, Hooks hooks);

    // The term begins; `term` is the condition of its transactions, `hold` the leader's.
    void start_leading(std::uint64_t number, kvstore::Condition term, std::uint64_t hold,
                       Millis now);
    void stop_leading();
    void on_fence_rejected(lease::Role role) { assigner_.on_fence_rejected(role); }

    void on_status(const peers::Status& status, Millis now);
    void fill_status(peers::Status& status, Millis now) const;
    void on_assignment(const peers::RoleAssignment& assignment, Millis now);
    void on_delegated_request(const peers::DelegatedRequest& request, Millis now);
    void on_delegated_result(const peers::DelegatedResult& result, Millis now) {
        delegated_requests_.on_result(result, now);
    }
    void run_due_work(Millis now);
    // Charges, every second.
    void send_assignment(Millis now);

    // What the leader's book asks of the cloud, by whoever has the duty.
    void provision(const autoscaling::ProvisioningIntent& rental, ProvisionDone done, Millis now);
    void release(const std::vector<std::string>& machines, ProvisionDone done, Millis now);

    const RoleAssigner& assigner() const { return assigner_; }
    const GarbageCollector& garbage_collector() const { return garbage_collector_; }
    wire::Json overview() const;
    // Until when this controller may act under the duty, and by which fence.
    lease::Lease lease_for(lease::Role role) const;

  private:
    // The helper's own hold.
    enum class HelperLeaseState { none, acquiring, held };
    void set_helper_lease_state(HelperLeaseState state) { helper_lease_state_ = state; }
    struct Peer {
        std::uint64_t incarnation = 0, clock_ms = 0, lease_id = 0;
        bool state_service_answers = false;  // by the state service
        Millis last_status_at = 0;
    };
    const Peer* fresh_peer(const std::string& name, Millis now) const;
    void choose_helper(Millis now);
    void assign_roles(Millis now);
    bool better_held_by_helper(lease::Role role, Millis now) const;
    void maintain_helper_lease(Millis now);
    void drop_helper_lease(const char* why);
    void answer_next_turn(ProvisionDone done, cloud::ProvisionReply reply) {
        deferred_answers_.emplace_back(std::move(done), std::move(reply));
    }
    template <typename Send>
    void dispatch_request(lease::Role role, peers::DelegatedRequest request, ProvisionDone done,
                          Millis now, Send&& send);

    std::string node_;
    std::uint64_t incarnation_;
    Hooks hooks_;
    RoleAssigner assigner_;
    GarbageCollector garbage_collector_;
    DelegatedRequests delegated_requests_;
    lease::LeaseGuard<lease::ScaleOut> scale_out_guard_;
    lease::LeaseGuard<lease::ScaleIn> scale_in_guard_;
    lease::LeaseGuard<lease::GarbageCollection> garbage_collection_guard_;
    std::vector<std::pair<ProvisionDone, cloud::ProvisionReply>>
        deferred_answers_;  // answered at the next turn

    // As leader.
    std::uint64_t term_ = 0;
    Millis leading_since_ = 0;
    std::map<std::string, Peer> peers_;
    std::string helper_;
    Millis assignment_sent_at_[lease::kRoleCount] =
        {};  // the last charge with it that this leader sent

    // As helper.
    HelperLeaseState helper_lease_state_ = HelperLeaseState::none;
    std::uint64_t helper_lease_id_ = 0;
    lease::LeaseValidity helper_lease_validity_;
    Millis renew_at_ = 0;
    Millis keep_helper_lease_until_ =
        0;  // nobody has charged this controller since long: its hold ends
    Millis assigned_until_[lease::kRoleCount] = {};
    std::uint64_t assigning_term_ = 0;
};

}  // namespace nickelramp::roles
