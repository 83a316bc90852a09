/// @file
/// Updates the cluster state from the machine states in heartbeats and command replies.
///
/// Runs on the controller's loop thread, owns no sockets and reads no clock. Times are milliseconds
/// of the steady clock.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_state.h"
#include "control/command_fence.h"
#include "control/command_sender.h"
#include "control/reachability_monitor.h"
#include "control/reply_commands.h"
#include "machines/heartbeat_reply.h"
#include "sharding/shard_allocator.h"
#include "sharding/shard_lease_writer.h"

namespace nickelramp::control {

/// Handles heartbeats and the machine states in command replies, and decides how to reply to a
/// heartbeat.
///
/// Only messages that prove the machine's state (machines::proves_state) change the states of its
/// tasks. Any other message leads at most to a probe. Accepting a heartbeat renews the worker's
/// lease. A heartbeat is accepted only if this term is responsible for the machine and, unless the
/// machine is empty, replies are known to reach it. Owned and called by ControlLoop, which checks
/// first that its term is not over. All references must outlive the reconciler.
class HeartbeatReconciler {
  public:
    HeartbeatReconciler(cluster::TermContext& term, cluster::ClusterState& cluster,
                        cluster::ControlActions& actions, CommandFence& fence,
                        ReplyCommands& reply_commands, CommandSender& command_sender,
                        const ReachabilityMonitor& reachability_monitor,
                        const sharding::ShardAllocator& shard_allocator,
                        sharding::ShardLeaseWriter& shard_lease_writer)
        : term_(term),
          cluster_(cluster),
          actions_(actions),
          fence_(fence),
          reply_commands_(reply_commands),
          command_sender_(command_sender),
          reachability_monitor_(reachability_monitor),
          shard_allocator_(shard_allocator),
          shard_lease_writer_(shard_lease_writer) {}

    /// Applies a heartbeat and returns its reply: misdirected if another controller holds the
    /// machine, unavailable if no controller is responsible for it now or if its lease must expire.
    [[nodiscard]] machines::HeartbeatReply on_heartbeat(const wire::Heartbeat& heartbeat,
                                                        const machines::HeartbeatArrival& arrival,
                                                        Millis now);
    /// Applies the machine state from the reply to a direct message.
    void on_command_reply(machines::Machine& machine, const wire::Heartbeat& heartbeat, Millis now);
    /// Advances a machine from booting through joining to ready. It becomes ready, and may be given
    /// tasks, once its grant is recorded and it has confirmed its token.
    void join_machine(machines::Machine& machine, Millis now);

  private:
    [[nodiscard]] std::optional<machines::HeartbeatReply> rejection_of(
        const wire::Heartbeat& heartbeat) const;
    machines::Machine& find_or_add_machine(const wire::Heartbeat& heartbeat, Millis now);
    void set_identity(machines::Machine& machine, const wire::Heartbeat& heartbeat);
    void on_machine_reached(machines::Machine& machine, Millis now);
    void probe_if_doubtful(machines::Machine& machine, machines::EvidenceFreshness freshness,
                           bool reached, Millis now);
    machines::HeartbeatReply reject_unissued_token(machines::Machine& machine,
                                                   machines::EvidenceFreshness freshness,
                                                   Millis now);
    machines::HeartbeatReply reply_to(machines::Machine& machine, const wire::Heartbeat& heartbeat,
                                      machines::EvidenceFreshness freshness, Millis now);

    void apply_proven_state(machines::Machine& machine, const wire::Heartbeat& heartbeat,
                            std::uint64_t previous_incarnation,
                            machines::EvidenceFreshness freshness, Millis now);
    std::vector<jobs::Attempt*> apply_task_reports(machines::Machine& machine,
                                                   const wire::Heartbeat& heartbeat, Millis now);
    void apply_absences(machines::Machine& machine, const std::vector<jobs::Attempt*>& unreported,
                        Millis now);
    void on_booted(machines::Machine& machine, Millis now);
    void request_grant(machines::Machine& machine, Millis now);

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    cluster::ControlActions& actions_;
    CommandFence& fence_;
    ReplyCommands& reply_commands_;
    CommandSender& command_sender_;
    const ReachabilityMonitor& reachability_monitor_;
    const sharding::ShardAllocator& shard_allocator_;
    sharding::ShardLeaseWriter& shard_lease_writer_;
};

}  // namespace nickelramp::control
