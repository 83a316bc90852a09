// Commands to machines: starts go directly, stops and forgets directly and with every answer to a
// report. One direct message a machine at a time, a share of the sockets at once.
#pragma once
#include <set>
#include <string>
#include <vector>

#include "cluster/cluster_state.h"
#include "failure/failure_detector.h"
#include "wire/messages.h"

namespace nickelramp::control {

class CommandSender {
  public:
    class Listener {
      public:
        virtual ~Listener() = default;
        // A direct message brought a report back.
        virtual void on_command_reply(machines::Machine& machine, const wire::Heartbeat& heartbeat,
                                      Millis now) = 0;
    };

    CommandSender(cluster::TermContext& term, cluster::ClusterState& cluster,
                  cluster::ControlActions& actions,
                  const failure::FailureDetector& failure_detector, Listener& observer)
        : term_(term),
          book_(cluster),
          actions_(actions),
          failure_detector_(failure_detector),
          listener_(observer) {}

    void queue(machines::Machine& machine);  // it has something to be sent, at the end of this turn
    void send_queued(Millis now);
    // What the answer to its report says.
    std::vector<wire::Command> commands_for_reply(machines::Machine& machine,
                                                  const wire::Heartbeat& heartbeat);
    // What is under way to it is dead once it shows the token that it gets now.
    void raise_token(machines::Machine& machine, Millis now);

    // Since when no command has been answered, while several machines went on reporting to which
    // commands were lost: the way from here to the machines has failed, and not they. kNever: not
    // so.
    Millis commands_lost_since() const {
        return lost_command_machines_.size() < kLostCommandsThreshold ? kNever : first_lost_at_;
    }

  private:
    static constexpr std::size_t kLostCommandsThreshold = 3;
    void note_lost_command(const machines::Machine& machine, Millis now);
    void commands_for_unknown_tasks(machines::Machine& machine, const wire::Heartbeat& heartbeat,
                                    std::vector<wire::Command>& out);
    std::vector<wire::Command> pending_commands(machines::Machine& machine);
    void send(machines::Machine& machine, Millis now);
    bool waits_for_gang_checkpoint(const jobs::Job& job, const machines::Machine& machine) const;
    void on_command_reply(const std::string& name, std::uint64_t token,
                          const cluster::CommandReply& reply, Millis now);

    cluster::TermContext& term_;
    cluster::ClusterState& book_;
    cluster::ControlActions& actions_;
    const failure::FailureDetector& failure_detector_;
    Listener& listener_;
    std::vector<Index> queued_;
    std::set<Index> lost_command_machines_;  // since a command was last answered
    Millis first_lost_at_ = 0;
    std::size_t in_flight_count_ = 0;  // messages to machines that are not answered yet
};

}  // namespace nickelramp::control
