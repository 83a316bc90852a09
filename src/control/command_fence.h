/// @file
/// Decides when nothing that was sent to a worker can take effect there any more.
///
/// A message may arrive late, and a copy of a message that was executed and answered may arrive at
/// any time after that. A reply therefore proves that a message has arrived, but not that it will
/// not arrive again, and the pages set no limit to its delay. Only what the worker checks itself is
/// conclusive: it rejects messages whose token is lower than the highest that it has seen, or whose
/// incarnation is not its own, and it ignores the start of an attempt that it lists
/// (docs/design/repeated-requests.md).
///
/// Runs on the controller's loop thread, owns no sockets and reads no clock. Times are milliseconds
/// of the steady clock.
#pragma once
#include "cluster/cluster_state.h"
#include "shards/shard_lease_table.h"
#include "wire/messages.h"

namespace nickelramp::control {

/// Fences the messages that were sent to the machines of a term by raising fencing tokens.
///
/// Guarantees: no token is issued twice for a machine, and every token is higher than the ones
/// before. Called by CommandSender and HeartbeatReconciler. Lives as long as the term. All
/// references must outlive it.
class CommandFence {
  public:
    CommandFence(cluster::TermContext& term, cluster::ClusterState& cluster,
                 shards::ShardLeaseTable& shards)
        : term_(term), cluster_(cluster), shards_(shards) {}

    /// Returns whether no start command of the attempt can take effect on a worker that does not
    /// list the attempt. A heartbeat that does not list a fenced attempt proves that it is gone.
    [[nodiscard]] static bool is_fenced(const jobs::Attempt& attempt,
                                        const machines::Machine& machine);
    /// Returns whether a message under the machine's present token may tell the worker to forget
    /// the attempt. The worker sees the higher token in the same message, so it rejects every start
    /// command of the attempt once it no longer lists it.
    [[nodiscard]] static bool may_forget(const jobs::Attempt& attempt,
                                         const machines::Machine& machine) {
        return machine.token > attempt.token;
    }
    /// The same for an attempt that is not in the cluster state. It may have been started under any
    /// token up to that of the last start command.
    [[nodiscard]] static bool may_forget_unknown(const machines::Machine& machine) {
        return machine.token > machine.last_start_token;
    }

    /// Issues the machine's next token, which the worker must confirm before it is sent further
    /// start commands. For messages whose outcome is unknown and for workers that have lost
    /// attempts.
    void raise_token(machines::Machine& machine, Millis now);
    /// Issues the machine's next token. Start commands may be sent under it at once: they carry it
    /// to the worker.
    void advance_token(machines::Machine& machine, Millis now);

  private:
    [[nodiscard]] std::uint64_t next_token(machines::Machine& machine);

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    shards::ShardLeaseTable& shards_;
};

}  // namespace nickelramp::control
