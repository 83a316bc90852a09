// One controller: sockets, clients and timers around the slices.
#pragma once
#include <uv.h>

#include <map>
#include <memory>
#include <string>
#include <unordered_map>

#include "admin/request_handler.h"
#include "api/confirmed_reads_driver.h"
#include "api/job_request_handler.h"
#include "cloud/cloud_client.h"
#include "control/control_loop.h"
#include "control/shard_holder.h"
#include "controller/heartbeat_handler.h"
#include "controller/live_service_gateway.h"
#include "controller/role_services.h"
#include "controller/worker_connections.h"
#include "election/election_driver.h"
#include "kvstore/client.h"
#include "net/http_server.h"
#include "partition/partition_responder.h"
#include "peers/peer_network.h"
#include "readiness/readiness.h"
#include "roles/role_manager.h"
#include "wire/settings.h"

namespace nickelramp::controller {

// What is not served unless the command line asks for it.
struct FeatureFlags {
    bool drain_plans = false;  // drain plans, /admin/plans
};

class Controller : private HeartbeatHandler::Controller, private election::ElectionObserver {
  public:
    Controller(uv_loop_t* loop, const wire::Settings& settings, const FeatureFlags& features);

    // 0 or a libuv error.
    int start();

  private:
    // idle:     does not lead
    // loading:  elected, reading the records
    // running:  the dispatcher decides
    // closing:  the term is over; its book is put away at the next turn
    enum class TermPhase { idle, loading, running, closing };
    void set_term_phase(TermPhase b) { term_phase_ = b; }

    void handle(const net::Request& request, net::Responder responder);

    Millis clock_now() override;
    control::ControlLoop* leader_control_loop() override;
    std::uint64_t term() const override { return term_; }
    bool may_renew_leases() const override;
    const std::string& elected_leader() const override { return election_.leader(); }
    bool responds_for_leader(Millis now) override;
    std::size_t open_sockets() const override {
        return http_server_.connections() + worker_connections_.size();
    }
    std::size_t worker_sockets() const override { return http_server_.worker_connections(); }
    void update_readiness();

    // election::ElectionObserver
    void on_elected(std::uint64_t term, std::uint64_t version) override;
    void on_lease_confirmed(Millis valid_until) override;
    void on_deposed() override { end_term(); }
    void on_leader_changed(const std::string& leader) override;

    void load_term();
    void list_grants_and_intents(
        std::function<void(const kvstore::ListReply&, const kvstore::ListReply&)> then);
    void on_term_loaded();
    void on_term_load_failed();
    void end_term();
    void watch_open_jobs();
    void tick();
    void poll_instances();
    void poll_machine_types();
    void store_machine_types();
    void on_machine_types(const std::vector<wire::MachineType>& types, bool from_cloud);

    // The back channel, and what this node holds for the leader.
    void on_peer_status(const peers::Status& status);
    void on_shard_grant(const peers::ShardGrant& grant);
    void broadcast_status();
    void update_shard_holder();
    wire::Json status() const;
    void update_gauges();
    void update_heartbeat_gauges();
    void send_shard_grants();
    void send_heartbeat_delegations();
    void on_cancellations_seen(Millis until);

    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }
    // Read at acts: what the loop knows of the time may be from before a freeze.
    static Millis clock() { return static_cast<Millis>(uv_hrtime() / 1'000'000); }
    std::int64_t wall_ms() const;
    lease::Lease leader_lease() const;
    template <typename Message>
    bool send_as_leader(const std::string& peer, const Message& message);

    uv_loop_t* loop_;
    const wire::Settings& settings_;
    const FeatureFlags features_;
    admin::Metrics metrics_;
    net::HttpServer http_server_;
    kvstore::Client state_client_;
    cloud::CloudClient cloud_client_;
    WorkerConnections worker_connections_;
    api::ConfirmedReadsDriver confirmed_reads_;
    api::JobRequestHandler job_requests_;
    election::ElectionDriver election_;
    net::Timer tick_timer_, instances_timer_, types_timer_, load_timer_, close_timer_, watch_timer_;

    std::vector<wire::MachineType> machine_types_;
    bool machine_types_stored_ = false;

    TermPhase term_phase_ = TermPhase::idle;
    std::unique_ptr<control::ControlLoop> control_loop_;
    std::uint64_t generation_ = 0;  // of terms; late answers of an earlier one are dropped
    std::uint64_t term_ = 0, term_version_ = 0;
    std::uint64_t open_revision_ = 0;
    Millis cancellations_known_until_ = 0;  // every cancellation up to then is known
    Millis watch_lost_since_ = 0;
    lease::LeaseGuard<lease::Scheduling> leader_scheduling_guard_,
        holder_scheduling_guard_;  // as leader, as holder
    lease::LeaseGuard<lease::Responding> leader_responding_guard_,
        holder_responding_guard_;  // likewise
    LiveServiceGateway leader_gateway_, holder_gateway_;
    readiness::Readiness readiness_;
    peers::PeerNetwork peer_network_;
    std::map<std::string, readiness::PeerHealth> peer_health_;
    std::map<std::string, std::pair<std::uint64_t, std::uint64_t>>
        displayed_progress_;  // done, running: for display
    Millis next_status_at_ = 0;
    control::ShardHolder shard_holder_;
    partition::PartitionResponder partition_responder_;
    HeartbeatHandler heartbeat_handler_;
    Millis leader_status_at_ = 0;
    std::map<std::string, Millis> lost_zones_;  // since when, as the leader last said
    RoleServices role_services_;
    roles::RoleManager role_manager_;
    net::Timer dispose_timer_;
    admin::AdminRequestHandler admin_requests_;
    Millis next_prune_at_ = 0;
};

}  // namespace nickelramp::controller
