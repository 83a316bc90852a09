// What a term's book asks of the world: the state service, machines and the cloud, each under the
// right that it needs. The leader has one, and whoever holds a block another.
#pragma once
#include <uv.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "cluster/service_gateway.h"
#include "controller/worker_connections.h"
#include "kvstore/client.h"
#include "lease/lease_guard.h"
#include "roles/role_manager.h"

namespace nickelramp::controller {

// Asked when the bytes go out: does the right that lasted when this was asked for still last?
template <typename For>
net::HttpClient::MaySend while_valid(const lease::LeaseGuard<For>& gate) {
    return [permit = gate.prove()] { return permit && permit->is_valid(); };
}

class LiveServiceGateway : public cluster::ServiceGateway {
  public:
    struct Services {
        uv_loop_t* loop;
        kvstore::Client& state;
        WorkerConnections& worker_connections;
        roles::RoleManager& role_manager;
    };
    LiveServiceGateway(Services services, const lease::LeaseGuard<lease::Scheduling>& deciding,
                       const lease::LeaseGuard<lease::Responding>& answering,
                       std::function<void(const std::string&)> deposed)
        : services_(services),
          scheduling_guard_(deciding),
          responding_guard_(answering),
          on_deposed_(std::move(deposed)) {}

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
    Millis now() const { return static_cast<Millis>(uv_now(services_.loop)); }

    const Services services_;
    const lease::LeaseGuard<lease::Scheduling>& scheduling_guard_;
    const lease::LeaseGuard<lease::Responding>& responding_guard_;
    std::function<void(const std::string&)> on_deposed_;
};

}  // namespace nickelramp::controller
