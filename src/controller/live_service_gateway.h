/// @file
/// Connects a control loop to the real services: key-value store, workers and cloud.
#pragma once
#include <uv.h>

#include <functional>
#include <string>
#include <vector>

#include "cluster/service_gateway.h"
#include "controller/worker_connections.h"
#include "kvstore/client.h"
#include "lease/lease_guard.h"
#include "roles/role_manager.h"

namespace nickelramp::controller {

/// Returns a check that is made right before the bytes of a request are sent, however long it was
/// queued. The check tells whether the lease that was valid when this function was called is still
/// valid. It always fails if no lease was valid at the call.
template <typename For>
net::HttpClient::MaySend while_valid(const lease::LeaseGuard<For>& guard) {
    return [proof = guard.prove()] { return proof && proof->is_valid(); };
}

/// Sends the calls of a control loop, each under the lease that it requires: transactions and
/// commands that start tasks under the scheduling lease, all other commands under the responding
/// lease, and requests to the cloud through the role manager. A call whose lease has ended is not
/// sent, and its callback receives an outcome that says so. The leader and the shard holder each
/// have a gateway of their own. Runs on the loop's thread.
class LiveServiceGateway : public cluster::ServiceGateway {
  public:
    /// The services that the gateway calls. All must outlive it.
    struct Services {
        uv_loop_t* loop;
        kvstore::Client& state;
        WorkerConnections& worker_connections;
        roles::RoleManager& role_manager;
    };
    /// Called with a reason for the log when a transaction shows that another controller leads.
    using OnDeposed = std::function<void(const std::string& reason)>;

    LiveServiceGateway(Services services,
                       const lease::LeaseGuard<lease::Scheduling>& scheduling_guard,
                       const lease::LeaseGuard<lease::Responding>& responding_guard,
                       OnDeposed on_deposed);

    void commit(kvstore::Transaction transaction,
                std::function<void(Millis, const kvstore::CommitReply&)> done) override;
    void read(const std::string& key,
              std::function<void(Millis, const kvstore::GetReply&)> done) override;
    void list(const std::string& prefix,
              std::function<void(Millis, const kvstore::ListReply&)> done) override;
    void send_commands(const std::string& machine, const std::string& address, std::uint64_t token,
                       std::uint64_t session, const std::vector<wire::Command>& commands,
                       std::function<void(Millis, const cluster::CommandReply&)> done) override;
    void provision_machines(
        const std::string& request, const std::string& type, const std::string& zone, bool spot,
        std::uint32_t count,
        std::function<void(Millis, const cloud::ProvisionReply&)> done) override;
    void release_machines(const std::vector<std::string>& machines,
                          std::function<void(Millis, bool)> done) override;
    void on_role_fence_rejected(lease::Role role) override {
        services_.role_manager.on_fence_rejected(role);
    }
    void on_deposed(const std::string& why) override { on_deposed_(why); }

  private:
    [[nodiscard]] Millis now() const { return static_cast<Millis>(uv_now(services_.loop)); }

    const Services services_;
    const lease::LeaseGuard<lease::Scheduling>& scheduling_guard_;
    const lease::LeaseGuard<lease::Responding>& responding_guard_;
    const OnDeposed on_deposed_;
};

}  // namespace nickelramp::controller
