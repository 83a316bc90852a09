/// @file
/// Implements the external services of the roles with this controller's clients and connections.
#pragma once
#include <uv.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "cloud/cloud_client.h"
#include "controller/peer_coordinator.h"
#include "kvstore/client.h"
#include "lease/lease_guard.h"
#include "roles/role_services.h"

namespace nickelramp::controller {

/// Implements the interfaces of roles/role_services.h. Owned by Controller, like the RoleManager
/// that uses it. Runs on the loop's thread. All constructor arguments must outlive it.
class RoleServices : private roles::RoleStateStore,
                     private roles::RolePeerChannel,
                     private roles::RoleCloud,
                     private roles::Leadership {
  public:
    struct Connections {
        uv_loop_t* loop;
        kvstore::Client& store;
        cloud::CloudClient& cloud;
        PeerCoordinator& peers;
    };
    using LeaderLease = std::function<lease::Lease()>;
    using FenceChanged = std::function<void(lease::Role, std::uint64_t fence)>;

    /// The constructor only stores references. `leader_guard` proves the leader's lease, under
    /// which transactions are sent; the peer coordinator uses the same guard.
    RoleServices(Connections connections, const lease::LeaseGuard<lease::Scheduling>& leader_guard,
                 LeaderLease leader_lease, FenceChanged fence_changed);

    /// Returns the interfaces for the RoleManager.
    [[nodiscard]] roles::RoleServices services() { return {*this, *this, *this, *this}; }

  private:
    // roles::RoleStateStore
    void commit(kvstore::Transaction transaction, RoleRecordStore::CommitDone done) override;
    void list_roles(RoleRecordStore::ListDone done) override;
    void commit_garbage_collection(const Proof& proof, kvstore::Transaction transaction,
                                   GarbageCollectionStore::CommitDone done) override;
    void list_page(const std::string& prefix, const std::string& after, std::size_t limit,
                   GarbageCollectionStore::ListDone done) override;
    bool has_spare_budget() const override { return connections_.store.has_spare_budget(); }
    void grant_lease(Millis ttl, LeaseDone done) override;
    void renew_lease(std::uint64_t lease_id, LeaseDone done) override;
    void revoke_lease(std::uint64_t lease_id) override;

    // roles::RolePeerChannel
    void send_assignment(const std::string& peer, const peers::RoleAssignment& message) override;
    bool send_request(const std::string& peer, const peers::DelegatedRequest& message) override;
    void send_result(const std::string& peer, const peers::DelegatedResult& message) override;

    // roles::RoleCloud
    void provision(const lease::LeaseProof<lease::ScaleOut>& proof,
                   const cloud::ProvisioningIntent& intent, ProvisionDone done) override;
    void release(const lease::LeaseProof<lease::ScaleIn>& proof,
                 const std::vector<std::string>& machines, ProvisionDone done) override;
    bool is_unreachable(Millis now) const override {
        return connections_.cloud.is_unreachable(now);
    }

    // roles::Leadership
    Millis clock() const override { return static_cast<Millis>(uv_hrtime() / 1'000'000); }
    lease::Lease leader_lease() const override { return leader_lease_(); }
    void on_fence_changed(lease::Role role, std::uint64_t fence) override {
        fence_changed_(role, fence);
    }

    Connections connections_;
    const lease::LeaseGuard<lease::Scheduling>& leader_guard_;
    LeaderLease leader_lease_;
    FenceChanged fence_changed_;
};

}  // namespace nickelramp::controller
