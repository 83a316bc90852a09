// What the role manager needs of this controller's services.
#include "controller/controller.h"
#include "net/timed.h"

namespace nickelramp::controller {

namespace {
constexpr Millis kCallTimeout = 2'500;
}

roles::RoleManager::Hooks Controller::role_manager_hooks() {
    roles::RoleManager::Hooks h;
    h.clock = LoopClock::steady_now;
    h.leader_lease = [this] { return term_.scheduling_lease(); };
    h.commit = [this](kvstore::Transaction transaction, roles::RoleManager::CommitDone done) {
        store_client_.commit(transaction, kvstore::RequestClass::election, kCallTimeout,
                             net::with_time(clock_.loop(), std::move(done)),
                             while_valid(term_.scheduling_guard()));
    };
    h.commit_garbage_collection = [this](const lease::LeaseProof<lease::GarbageCollection>& permit,
                                         const kvstore::Transaction& transaction,
                                         roles::RoleManager::CommitDone done) {
        store_client_.commit(transaction, kvstore::RequestClass::background, kCallTimeout,
                             net::with_time(clock_.loop(), std::move(done)),
                             [permit] { return permit.is_valid(); });
    };
    h.list = [this](const std::string& prefix, roles::RoleManager::ListDone done) {
        store_client_.list(prefix, kvstore::RequestClass::control,
                           net::with_time(clock_.loop(), std::move(done)));
    };
    h.list_page = [this](const std::string& prefix, const std::string& after, std::size_t most,
                         roles::RoleManager::ListDone done) {
        store_client_.list_page(prefix, after, most, kvstore::RequestClass::background,
                                net::with_time(clock_.loop(), std::move(done)));
    };
    h.has_spare_budget = [this] { return store_client_.has_spare_budget(); };
    h.grant_lease = [this](Millis life, roles::RoleManager::LeaseDone done) {
        store_client_.grant_lease(life, net::with_time(clock_.loop(), std::move(done)));
    };
    h.renew_lease = [this](std::uint64_t hold, roles::RoleManager::LeaseDone done) {
        store_client_.renew_lease(hold, kCallTimeout,
                                  net::with_time(clock_.loop(), std::move(done)));
    };
    h.revoke_lease = [this](std::uint64_t hold) { store_client_.revoke_lease(hold); };
    h.send_assignment = [this](const std::string& peer, const peers::RoleAssignment& assignment) {
        peer_coordinator_.send_as_leader(peer, peers::encode(assignment));
    };
    h.send_request = [this](const std::string& peer, const peers::DelegatedRequest& request) {
        return peer_coordinator_.send_as_leader(peer, peers::encode(request));
    };
    h.send_result = [this](const std::string& peer, const peers::DelegatedResult& result) {
        peer_coordinator_.network().send(peer, peers::encode(result));
    };
    h.provision = [this](const lease::LeaseProof<lease::ScaleOut>& permit,
                         const autoscaling::ProvisioningIntent& intent,
                         roles::RoleManager::ProvisionDone done) {
        cloud_client_.provision(permit, intent.name, intent.type, intent.zone, intent.spot,
                                intent.count, net::with_time(clock_.loop(), std::move(done)));
    };
    h.release = [this](const lease::LeaseProof<lease::ScaleIn>& permit,
                       const std::vector<std::string>& machines,
                       roles::RoleManager::ProvisionDone done) {
        cloud_client_.release(permit, machines, [this, done = std::move(done)](bool ok) {
            using Result = cloud::ProvisionReply::Result;
            done(clock_.now(), {ok ? Result::provisioned : Result::unknown, {}});
        });
    };
    h.cloud_unreachable = [this](Millis t) { return cloud_client_.is_unreachable(t); };
    h.fence_changed = [this](lease::Role role, std::uint64_t fence) {
        if (control::ControlLoop* control_loop = term_.control_loop())
            control_loop->set_role_fence(role, fence);
    };
    return h;
}

}  // namespace nickelramp::controller
