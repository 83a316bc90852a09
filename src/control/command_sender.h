/// @file
/// Sends start and stop commands to workers in direct messages. ReplyCommands repeats stop commands
/// in heartbeat replies.
///
/// Like all of src/control, this module runs on the controller's loop thread, owns no sockets and
/// reads no clock. Messages are sent through cluster::ServiceGateway, and times are arguments in
/// milliseconds of the steady clock (Millis).
#pragma once
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_state.h"
#include "control/command_fence.h"
#include "failure/failure_detector.h"
#include "wire/messages.h"

namespace nickelramp::control {

/// Why a worker rejected a direct message.
enum class CommandRejection {
    token,        ///< it has seen a higher token
    incarnation,  ///< it has another incarnation
};
/// Returns the reason's fixed name in metrics.
[[nodiscard]] const char* name(CommandRejection rejection);

/// Keeps at most one direct message in flight per machine and a bounded number over all machines.
///
/// A start command is sent only while the lease of the leader or shard holder is confirmed, only
/// for an attempt whose checkpoint is committed, and only to a machine that has confirmed its
/// fencing token. After a message of unknown outcome the machine's token is raised, so that the
/// worker rejects the message if it arrives late. Called by ControlLoop, HeartbeatReconciler and
/// MachineChecker. Lives as long as the term.
class CommandSender {
  public:
    /// Receives the machine states in command replies. Implemented by ControlLoop.
    class Listener {
      public:
        virtual ~Listener() = default;
        /// Called with the machine's state from the reply to a direct message.
        virtual void on_command_reply(machines::Machine& machine, const wire::Heartbeat& heartbeat,
                                      Millis now) = 0;
        /// Called when a worker has rejected a direct message.
        virtual void on_commands_rejected(CommandRejection rejection) = 0;
    };

    /// All references must outlive the sender.
    CommandSender(cluster::TermContext& term, cluster::ClusterState& cluster,
                  cluster::ControlActions& actions, CommandFence& fence,
                  const failure::FailureDetector& failure_detector, Listener& listener)
        : term_(term),
          cluster_(cluster),
          actions_(actions),
          fence_(fence),
          failure_detector_(failure_detector),
          listener_(listener) {}

    /// Adds the machine to the queue that send_queued() processes.
    void queue(machines::Machine& machine);
    /// Sends the due commands of all queued machines. Schedules a later check of a machine whose
    /// commands cannot be sent yet.
    void send_queued(Millis now);
    /// Queues a message to the machine even if no command is due, ignoring any back-off. The reply
    /// carries the machine's state and confirms its token.
    void probe(machines::Machine& machine, Millis now);

    /// Returns when the first command was lost, if since then no command was answered and commands
    /// to at least three machines that still send heartbeats were lost. In that case the fault is
    /// more likely in this controller's network path than in the machines. Returns kNever
    /// otherwise.
    [[nodiscard]] Millis commands_lost_since() const {
        return lost_command_machines_.size() < kLostCommandsThreshold ? kNever : first_lost_at_;
    }

  private:
    static constexpr std::size_t kLostCommandsThreshold = 3;

    void send(machines::Machine& machine, Millis now);
    [[nodiscard]] bool may_send(const machines::Machine& machine, Millis now);
    std::vector<wire::Command> take_due_commands(machines::Machine& machine, Millis now);
    std::optional<wire::Command> take_due_command(jobs::Attempt& attempt,
                                                  machines::Machine& machine, Millis now);
    [[nodiscard]] bool waits_for_gang_images(const jobs::Job& job,
                                             const machines::Machine& machine) const;

    void on_command_reply(const std::string& machine_name, std::uint64_t token,
                          const cluster::CommandReply& reply, Millis now);
    void on_answered(machines::Machine& machine, std::uint64_t token, const wire::Heartbeat& state,
                     bool executed, Millis now);
    void on_not_answered(machines::Machine& machine, std::uint64_t token, bool outcome_unknown,
                         Millis now);
    [[nodiscard]] Millis retry_delay(const machines::Machine& machine, bool outcome_unknown) const;
    void record_lost_command(const machines::Machine& machine, Millis now);

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    cluster::ControlActions& actions_;
    CommandFence& fence_;
    const failure::FailureDetector& failure_detector_;
    Listener& listener_;
    std::vector<Index> queued_;              ///< machines, in the order of queueing
    std::set<Index> lost_command_machines_;  ///< cleared when a command is answered
    Millis first_lost_at_ = 0;
    std::size_t in_flight_count_ = 0;  ///< direct messages without a reply yet
};

}  // namespace nickelramp::control
