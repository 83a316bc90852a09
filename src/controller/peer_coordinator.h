/// @file
/// Sends this controller's messages to the other controllers and dispatches received ones.
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
/// status. As leader it also sends shard grants, heartbeat delegations and role assignments, and as
/// shard holder it sends the shard's status to the leader. It passes received messages to the
/// components that handle them. Messages may be lost: each is either repeated with its sender's
/// next broadcast or times out at the sender. Messages that only a leader may send are sent only
/// while its lease is valid. Runs on the loop's thread.
class PeerCoordinator : private peers::PeerMessageHandler {
  public:
    /// The components whose messages are sent or received. All must outlive the coordinator.
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

    /// Starts accepting connections from peers.
    /// @return 0 or a libuv error code.
    [[nodiscard]] int listen();
    /// Broadcasts if a second has passed since the last broadcast.
    void broadcast_if_due();
    /// Sends all shard holders their current leases. Does nothing unless a term runs.
    void send_shard_grants();

    /// Sends a message that only a leader may send.
    /// @return False if this controller's lease as leader has ended or the peer is unreachable.
    bool send_as_leader(const std::string& peer, const peers::LeaderFrame& frame);
    [[nodiscard]] peers::PeerNetwork& network() { return network_; }

    /// Returns when the last message of a leader was received, in the loop's time, or 0 if never.
    [[nodiscard]] Millis last_leader_message_at() const { return last_leader_message_at_; }
    /// Returns a job's task counts from the leader's last broadcast, or zeros if it had none.
    [[nodiscard]] wire::TaskCounts displayed_counts(const std::string& job_id) const;
    /// Passes the zones that the last leader reported as lost to a new control loop, and clears
    /// them.
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

    const Dependencies dependencies_;
    peers::PeerNetwork network_;
    std::map<std::string, wire::TaskCounts> displayed_counts_;  // by job id
    std::map<std::string, Millis> lost_zones_;  // by zone: since when, per the leader
    Millis last_leader_message_at_ = 0;
    Millis next_broadcast_at_ = 0;
};

}  // namespace nickelramp::controller
