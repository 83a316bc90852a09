/// @file
/// The commands in replies to heartbeats: stop and forget commands, repeated until a heartbeat
/// shows that they were executed.
///
/// Runs on the controller's loop thread, owns no sockets and reads no clock. Times are milliseconds
/// of the steady clock.
#pragma once
#include <vector>

#include "cluster/cluster_state.h"
#include "control/command_fence.h"
#include "wire/messages.h"

namespace nickelramp::control {

/// Selects the commands for the reply to a heartbeat.
///
/// A forget command is sent only under a higher token than the start command of its attempt, so
/// that the worker rejects late copies of that (CommandFence). Owned by ControlLoop, called by
/// HeartbeatReconciler. Lives as long as the term. All references must outlive it.
class ReplyCommands {
  public:
    ReplyCommands(const cluster::ClusterState& cluster, CommandFence& fence)
        : cluster_(cluster), fence_(fence) {}

    /// Returns the stop and forget commands for the reply to `heartbeat`, including those for tasks
    /// that are not in the cluster state. Returns at most kMaxCommandsPerMessage commands. They are
    /// sent under `machine.token`, which is advanced first if forget commands need a higher one.
    [[nodiscard]] std::vector<wire::Command> take(machines::Machine& machine,
                                                  const wire::Heartbeat& heartbeat, Millis now);

  private:
    [[nodiscard]] std::vector<wire::Command> commands_for_attempts(
        const machines::Machine& machine) const;
    void add_commands_for_unknown_tasks(const machines::Machine& machine,
                                        const std::vector<wire::TaskReport>& unknown,
                                        std::vector<wire::Command>& commands) const;
    [[nodiscard]] std::vector<wire::TaskReport> unknown_tasks(
        const machines::Machine& machine, const wire::Heartbeat& heartbeat) const;
    [[nodiscard]] bool needs_higher_token(const machines::Machine& machine,
                                          const std::vector<wire::TaskReport>& unknown) const;
    [[nodiscard]] bool forget_is_due(const jobs::Attempt& attempt) const;

    const cluster::ClusterState& cluster_;
    CommandFence& fence_;
};

}  // namespace nickelramp::control
