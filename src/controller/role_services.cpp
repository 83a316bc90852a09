#include "controller/role_services.h"

#include <utility>

#include "controller/live_service_gateway.h"
#include "net/timed.h"
#include "peers/messages.h"

namespace nickelramp::controller {

namespace {
constexpr Millis kRequestTimeout = 2500;
}

RoleServices::RoleServices(Connections connections,
                           const lease::LeaseGuard<lease::Scheduling>& leader_guard,
                           LeaderLease leader_lease, FenceChanged fence_changed)
    : connections_(connections),
      leader_guard_(leader_guard),
      leader_lease_(std::move(leader_lease)),
      fence_changed_(std::move(fence_changed)) {}

// --- the key-value store

void RoleServices::commit(kvstore::Transaction transaction, RoleRecordStore::CommitDone done) {
    connections_.store.commit(transaction, kvstore::RequestClass::election, kRequestTimeout,
                              net::with_time(connections_.loop, std::move(done)),
                              while_valid(leader_guard_));
}

void RoleServices::list_roles(RoleRecordStore::ListDone done) {
    connections_.store.list(lease::kRoleKeyPrefix, kvstore::RequestClass::control,
                            net::with_time(connections_.loop, std::move(done)));
}

void RoleServices::commit_garbage_collection(const Proof& proof, kvstore::Transaction transaction,
                                             GarbageCollectionStore::CommitDone done) {
    connections_.store.commit(transaction, kvstore::RequestClass::background, kRequestTimeout,
                              net::with_time(connections_.loop, std::move(done)),
                              [proof] { return proof.is_valid(); });
}

void RoleServices::list_page(const std::string& prefix, const std::string& after, std::size_t limit,
                             GarbageCollectionStore::ListDone done) {
    connections_.store.list_page(prefix, after, limit, kvstore::RequestClass::background,
                                 net::with_time(connections_.loop, std::move(done)));
}

void RoleServices::grant_lease(Millis ttl, LeaseDone done) {
    connections_.store.grant_lease(ttl, net::with_time(connections_.loop, std::move(done)));
}

void RoleServices::renew_lease(std::uint64_t lease_id, LeaseDone done) {
    connections_.store.renew_lease(lease_id, kRequestTimeout,
                                   net::with_time(connections_.loop, std::move(done)));
}

void RoleServices::revoke_lease(std::uint64_t lease_id) {
    connections_.store.revoke_lease(lease_id);
}

// --- peers

// A failed send is ignored, as the assignment is repeated a second later.
void RoleServices::send_assignment(const std::string& peer, const peers::RoleAssignment& message) {
    (void)connections_.peers.send_as_leader(peer, peers::encode(message));
}

bool RoleServices::send_request(const std::string& peer, const peers::DelegatedRequest& message) {
    return connections_.peers.send_as_leader(peer, peers::encode(message));
}

void RoleServices::send_result(const std::string& peer, const peers::DelegatedResult& message) {
    connections_.peers.network().send(peer, peers::encode(message));
}

// --- the cloud

void RoleServices::provision(const lease::LeaseProof<lease::ScaleOut>& proof,
                             const cloud::ProvisioningIntent& intent, ProvisionDone done) {
    connections_.cloud.provision(proof, intent.name, intent.type, intent.zone, intent.spot,
                                 intent.count, net::with_time(connections_.loop, std::move(done)));
}

void RoleServices::release(const lease::LeaseProof<lease::ScaleIn>& proof,
                           const std::vector<std::string>& machines, ProvisionDone done) {
    using Result = cloud::ProvisionReply::Result;
    auto on_released = [done = std::move(done)](Millis now, bool released) {
        done(now, {released ? Result::provisioned : Result::unknown, {}});
    };
    connections_.cloud.release(proof, machines,
                               net::with_time(connections_.loop, std::move(on_released)));
}

}  // namespace nickelramp::controller
