/// @file
/// Time-based checks of machines: late boots, unresponsive machines, idle machines and expired
/// leases.
///
/// Runs on the controller's loop thread, owns no sockets and reads no clock. Times are milliseconds
/// of the steady clock.
#pragma once
#include <optional>

#include "autoscaling/autoscaler.h"
#include "cluster/cluster_state.h"
#include "cluster/release_reason.h"
#include "control/command_sender.h"
#include "control/reachability_monitor.h"
#include "failure/failure_detector.h"
#include "partition/partition_responder.h"

namespace nickelramp::control {

/// Checks every machine that is due and schedules its next check: after a second if it is healthy
/// and in use, otherwise after 200 ms.
///
/// Attempts on a machine are declared gone only when its lease has certainly expired, whichever
/// controller may have replied to its heartbeats. The failure detector decides whether an
/// unresponsive machine is declared lost. Machines that become unresponsive together are counted
/// before the first of them is declared lost. Owned by ControlLoop and called by ControlLoop::tick.
/// All references must outlive the checker.
class MachineChecker {
  public:
    MachineChecker(const cluster::TermContext& term, cluster::ClusterState& cluster,
                   autoscaling::Autoscaler& autoscaler, CommandSender& command_sender,
                   failure::FailureDetector& failure_detector,
                   const partition::HeartbeatDelegator& heartbeat_delegator,
                   const ReachabilityMonitor& reachability_monitor)
        : term_(term),
          cluster_(cluster),
          autoscaler_(autoscaler),
          command_sender_(command_sender),
          failure_detector_(failure_detector),
          heartbeat_delegator_(heartbeat_delegator),
          reachability_monitor_(reachability_monitor) {}

    /// Checks the machines that are due. Then sends the cloud the releases whose intents are
    /// recorded.
    void check_machines(Millis now);
    /// Returns whether another controller should lead because this one has not reached any machine
    /// for too long while heartbeats still arrive through other controllers.
    [[nodiscard]] bool commands_lost(Millis now) const;

  private:
    void probe_after_lost_commands(Millis now);
    void check_machine(machines::Machine& machine, Millis now);
    void check_reachability(machines::Machine& machine, Millis now);
    void check_lease(machines::Machine& machine, Millis now);
    void check_boot(machines::Machine& machine, Millis now);
    void check_idle(machines::Machine& machine, Millis now);
    [[nodiscard]] std::optional<cluster::ReleaseReason> idle_release_reason(
        const machines::Machine& machine, Millis now) const;
    [[nodiscard]] Millis time_since_reached(const machines::Machine& machine, Millis now) const;
    [[nodiscard]] Millis lost_timeout() const;
    [[nodiscard]] bool awaiting_takeover(Millis now) const;

    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    autoscaling::Autoscaler& autoscaler_;
    CommandSender& command_sender_;
    failure::FailureDetector& failure_detector_;
    const partition::HeartbeatDelegator& heartbeat_delegator_;
    const ReachabilityMonitor& reachability_monitor_;
    std::size_t next_probe_index_ = 0;  ///< in the list of machines
    Millis next_probe_at_ = 0;
};

}  // namespace nickelramp::control
