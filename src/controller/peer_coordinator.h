/// \file
/// What this controller tells the other controllers, and what it does with what they send.
#pragma once
#include <cstdint>
#include <map>
#include <string>

#include "controller/heartbeat_handler.h"
#include "controller/loop_clock.h"
#include "controller/machine_type_store.h"
#include "controller/readiness_monitor.h"
#include "controller/shard_holder_runner.h"
#include "controller/term_runner.h"
#include "kvstore/client.h"
#include "partition/partition_responder.h"
#include "peers/peer_message_handler.h"
#include "peers/peer_network.h"
#include "roles/role_manager.h"
#include "wire/job_messages.h"
#include "wire/settings.h"

namespace nickelramp::controller {

/// Owns the connections to the other controllers. Every second it broadcasts this controller's
/// status and, as leader, sends shard grants, heartbeat delegations and role assignments; as
/// shard holder it reports to the leader. Received messages are handed to the parts that handle
/// them. Messages may be lost: each is repeated by its sender's next broadcast or times out there.
/// What only a leader may send goes out only while its lease lasts. Runs on the loop's thread.
class PeerCoordinator : private peers::PeerMessageHandler {
  public:
    /// The parts that send or receive through the peers; all must outlive the coordinator.
    struct Dependencies {
        const wire::Settings& settings;
        const LoopClock& clock;
        const kvstore::Client& store_client;
        const MachineTypeStore& machine_types;
        TermRunner& term;
        ShardHolderRunner& shard_holder;
        partition::PartitionResponder& partition_responder;
        HeartbeatHandler& heartbeat_handler;
        roles::RoleManager& role_manager;
        ReadinessMonitor& readiness;
    };
    explicit PeerCoordinator(const Dependencies& dependencies);

    /// Accepts connections of peers. 0 or a libuv error.
    [[nodiscard]] int listen();
    /// Broadcasts when a second has passed since the last time.
    void broadcast_if_due();
    /// Sends all shard holders their leases as they now are. Only while a term runs.
    void send_shard_grants();

    /// Sends a message that only a leader may send. False: this controller's lease as leader has
    /// ended, or the peer cannot be reached.
    bool send_as_leader(const std::string& peer, const peers::LeaderFrame& frame);
    [[nodiscard]] peers::PeerNetwork& network() { return network_; }

    /// When the last message of a leader came, in the loop's time; 0: never.
    [[nodiscard]] Millis leader_seen_at() const { return leader_seen_at_; }
    /// A job's counts as the leader last broadcast them; zeros if it did not.
    [[nodiscard]] wire::TaskCounts displayed_counts(const std::string& job_id) const;
    /// Tells a new control loop which zones the last leader had lost, and forgets them.
    void hand_over_lost_zones(control::ControlLoop& control_loop);

  private:
    // peers::PeerMessageHandler
    void on_peer_status(const peers::Status& status) override;
    void on_shard_grant(const peers::ShardGrant& grant) override;
    void on_shard_status(const peers::ShardStatus& status) override;
    void on_heartbeat_delegation(const peers::HeartbeatDelegation& delegation) override;
    void on_role_assignment(const peers::RoleAssignment& assignment) override;
    void on_delegated_request(const peers::DelegatedRequest& request) override;
    void on_delegated_result(const peers::DelegatedResult& result) override;
    void on_forwarded_heartbeat(const peers::ForwardedHeartbeat& heartbeat) override;
    void on_forwarded_reply(const peers::ForwardedReply& reply) override;

    void on_leader_status(const peers::Status& status);
    void broadcast();
    [[nodiscard]] peers::Status make_status() const;
    void send_heartbeat_delegations();

    const Dependencies parts_;
    peers::PeerNetwork network_;
    std::map<std::string, wire::TaskCounts> displayed_counts_;  // by job id
    std::map<std::string, Millis> lost_zones_;  // since when, as the leader last broadcast them
    Millis leader_seen_at_ = 0;
    Millis next_broadcast_at_ = 0;
};

}  // namespace nickelramp::controller
