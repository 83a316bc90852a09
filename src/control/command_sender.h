/// \file
/// Sends commands to workers. Starts are sent directly; stops and forgets are sent directly and
/// repeated in every heartbeat reply until a heartbeat shows that they were obeyed.
///
/// Like all of src/control it runs on the controller's one loop thread, owns no sockets and reads
/// no clock: messages go out through cluster::ServiceGateway, times are arguments in milliseconds
/// of the steady clock (Millis).
#pragma once
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_state.h"
#include "failure/failure_detector.h"
#include "wire/messages.h"

namespace nickelramp::control {

/// Keeps at most one direct message in flight per machine, and a bounded number over all machines.
///
/// Guarantees: a start is sent only for an attempt whose checkpoint is committed, to a machine that
/// has confirmed its token, and while the leader's or holder's lease is confirmed. After a message
/// of unknown outcome the machine's token is raised, so that the message is rejected if it arrives
/// late. Called by ControlLoop, HeartbeatReconciler and MachineChecker; lives as long as the term.
class CommandSender {
  public:
    /// Receives what command replies carry. Implemented by ControlLoop.
    class Listener {
      public:
        virtual ~Listener() = default;
        /// The reply to a direct message brought the machine's state.
        virtual void on_command_reply(machines::Machine& machine, const wire::Heartbeat& heartbeat,
                                      Millis now) = 0;
    };

    /// All references must outlive the sender.
    CommandSender(cluster::TermContext& term, cluster::ClusterState& cluster,
                  cluster::ControlActions& actions,
                  const failure::FailureDetector& failure_detector, Listener& observer)
        : term_(term),
          cluster_(cluster),
          actions_(actions),
          failure_detector_(failure_detector),
          listener_(observer) {}

    /// Marks the machine as having something to be sent by the next send_queued().
    void queue(machines::Machine& machine);
    /// Sends to all queued machines. What can't be sent yet wakes the machine later.
    void send_queued(Millis now);
    /// Queues a message even without commands, past any back-off: its reply tells what is on the
    /// machine and confirms the token.
    void probe(machines::Machine& machine, Millis now);
    /// The commands of the reply to `heartbeat`: stops and forgets, also of tasks that the cluster
    /// state does not know. At most 200.
    [[nodiscard]] std::vector<wire::Command> commands_for_reply(const machines::Machine& machine,
                                                                const wire::Heartbeat& heartbeat);
    /// Gives the machine the next token. What is in flight to it is rejected by it from the moment
    /// that it shows the new token. Does nothing when the grant has no tokens left.
    void raise_token(machines::Machine& machine, Millis now);

    /// Since when no command has been answered while commands to at least three machines that went
    /// on sending heartbeats were lost: then this controller's own path to the machines has failed,
    /// rather than the machines. kNever: that is not so.
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

    [[nodiscard]] std::vector<wire::Command> pending_commands(
        const machines::Machine& machine) const;
    void add_commands_for_unknown_tasks(const machines::Machine& machine,
                                        const wire::Heartbeat& heartbeat,
                                        std::vector<wire::Command>& commands) const;

    void on_command_reply(const std::string& machine_name, std::uint64_t token,
                          const cluster::CommandReply& reply, Millis now);
    void on_answered(machines::Machine& machine, std::uint64_t token, const wire::Heartbeat& state,
                     bool executed, Millis now);
    void on_not_answered(machines::Machine& machine, std::uint64_t token, bool outcome_unknown,
                         Millis now);
    [[nodiscard]] Millis retry_delay(const machines::Machine& machine, bool outcome_unknown) const;
    void note_lost_command(const machines::Machine& machine, Millis now);

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    cluster::ControlActions& actions_;
    const failure::FailureDetector& failure_detector_;
    Listener& listener_;
    std::vector<Index> queued_;              ///< machines, in the order of queueing
    std::set<Index> lost_command_machines_;  ///< since a command was last answered
    Millis first_lost_at_ = 0;
    std::size_t in_flight_count_ = 0;  ///< direct messages without a reply yet
};

}  // namespace nickelramp::control
