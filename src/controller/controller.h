/// @file
/// Composes the components of one controller process and connects them.
#pragma once
#include <uv.h>

#include <cstdint>
#include <string>
#include <vector>

#include "admin/metrics.h"
#include "admin/request_handler.h"
#include "api/confirmed_reads_driver.h"
#include "api/job_request_handler.h"
#include "cloud/cloud_client.h"
#include "controller/heartbeat_handler.h"
#include "controller/instance_poller.h"
#include "controller/leadership_monitor.h"
#include "controller/loop_clock.h"
#include "controller/machine_type_store.h"
#include "controller/peer_coordinator.h"
#include "controller/readiness_monitor.h"
#include "controller/request_router.h"
#include "controller/role_services.h"
#include "controller/shard_holder_runner.h"
#include "controller/term_runner.h"
#include "controller/worker_connections.h"
#include "election/election_driver.h"
#include "kvstore/client.h"
#include "net/http_server.h"
#include "net/timer.h"
#include "partition/partition_responder.h"
#include "roles/role_manager.h"
#include "wire/settings.h"

namespace nickelramp::controller {

/// Features that are off unless the command line enables them.
struct FeatureFlags {
    bool drain_plans = false;  ///< Serve drain plans under `/admin/plans`.
};

/// Owns the components of the process, connects them and runs the periodic tick. It makes no
/// decisions itself. Each interface that it implements gives one component access to the others.
/// Created by `main`; everything runs on the loop's thread. Once started, it serves until the
/// process ends. The components retry calls to services that do not respond.
class Controller : private HeartbeatHandler::Environment,
                   private MachineTypeStore::Listener,
                   private TermRunner::Listener,
                   private election::ElectionObserver,
                   private admin::AdminRequestHandler::Backend {
  public:
    /// The loop and the settings must outlive the controller. No message is sent before `start`.
    Controller(uv_loop_t* loop, const wire::Settings& settings, const FeatureFlags& features);

    /// Starts listening for requests and peers, and starts all components.
    /// @return 0 or a libuv error code. After an error, the controller must not be used.
    [[nodiscard]] int start();

  private:
    // HeartbeatHandler::Environment
    Millis updated_now() override { return clock_.updated_now(); }
    control::ControlLoop* leader_control_loop() override { return term_.running_control_loop(); }
    std::uint64_t term() const override { return term_.term(); }
    bool may_renew_leases() const override { return term_.may_renew_leases(); }
    const std::string& elected_leader() const override { return election_.leader(); }
    bool responds_for_leader(Millis now) override;
    std::size_t open_sockets() const override {
        return http_server_.connections() + worker_connections_.size();
    }
    std::size_t worker_sockets() const override { return http_server_.worker_connections(); }

    // MachineTypeStore::Listener
    bool leads() const override { return term_.running(); }
    void on_machine_types(const std::vector<wire::MachineType>& types) override;

    // TermRunner::Listener
    void on_term_starting() override;
    void on_control_loop_created(control::ControlLoop& control_loop) override;
    void on_term_loaded(control::ControlLoop& control_loop) override;
    void on_term_started() override;
    void on_term_ended() override { instance_poller_.stop(); }
    void on_open_jobs_applied() override { peer_coordinator_.send_shard_grants(); }

    // election::ElectionObserver
    void on_elected(std::uint64_t term, std::uint64_t version) override;
    void on_lease_confirmed(Millis valid_until) override;
    void on_deposed() override { term_.begin_closing(); }
    void on_leader_changed(const std::string& leader) override;

    // admin::AdminRequestHandler::Backend
    wire::Json status() const override;
    void update_gauges() override;
    void on_options_changed(const admin::Options& options) override;

    // Callbacks and dependencies of the components.
    api::JobRequestHandler::Hooks job_request_hooks();
    RoleServices::Connections role_connections();
    void on_role_fence_changed(lease::Role role, std::uint64_t fence);
    LiveServiceGateway::Services gateway_services();
    TermRunner::Dependencies term_dependencies();
    PeerCoordinator::Dependencies peer_dependencies();
    RequestRouter::Dependencies router_dependencies();

    [[nodiscard]] wire::TaskCounts progress_of(const std::string& job_id) const;
    void tick();
    void run_leader_tick(control::ControlLoop& control_loop);
    void step_down(StepDownReason reason);
    void prune_worker_connections(const control::ControlLoop& control_loop);
    [[nodiscard]] const char* store_health_text() const;

    const wire::Settings& settings_;
    const FeatureFlags features_;
    const LoopClock clock_;
    admin::Metrics metrics_;
    net::HttpServer http_server_;
    kvstore::Client store_client_;
    cloud::CloudClient cloud_client_;
    WorkerConnections worker_connections_;
    api::ConfirmedReadsDriver confirmed_reads_;
    api::JobRequestHandler job_requests_;
    election::ElectionDriver election_;
    MachineTypeStore machine_types_;
    TermRunner term_;
    ShardHolderRunner shard_holder_;
    InstancePoller instance_poller_;
    LeadershipMonitor leadership_monitor_;
    ReadinessMonitor readiness_;
    partition::PartitionResponder partition_responder_;
    HeartbeatHandler heartbeat_handler_;
    RoleServices role_services_;
    roles::RoleManager role_manager_;
    PeerCoordinator peer_coordinator_;
    admin::AdminRequestHandler admin_requests_;
    RequestRouter router_;
    net::Timer tick_timer_;
    Millis next_prune_at_ = 0;
};

}  // namespace nickelramp::controller
