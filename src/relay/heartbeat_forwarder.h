/// @file
/// Forwards workers' heartbeats to the leader over the connections between controllers, so that no
/// controller needs a connection to every worker (docs/design/forwarding.md).
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "machines/heartbeat_reply.h"
#include "peers/forwarding.h"

namespace nickelramp::relay {

/// Time limit for the reply to a forwarded heartbeat. A worker's request times out after 4 s, so a
/// later reply would most likely be dropped.
inline constexpr Millis kHeartbeatTimeout = 3'500;

/// Forwards heartbeats and matches the replies to them.
///
/// Guarantees: every heartbeat that forward() accepted is replied to exactly once. A leader's reply
/// is passed on only if it is addressed to this process, answers a heartbeat that the worker still
/// waits for, and is of the term that the heartbeat was forwarded to. At most 8,192 heartbeats are
/// pending. Makes no scheduling decisions, owns no sockets and reads no clock. Owned and called by
/// controller::HeartbeatHandler on the loop thread.
class HeartbeatForwarder {
  public:
    /// Passes the reply on to the worker. `term` is the term of the leader that sent it.
    using Respond = std::function<void(const machines::HeartbeatReply&, std::uint64_t term)>;
    /// Sends a frame to a peer. Returns false if the peer is unreachable or does not keep up.
    using Send = std::function<bool(const std::string& peer, const peers::PeerFrame&)>;

    /// @param name The name of this controller.
    /// @param incarnation The incarnation of this process.
    HeartbeatForwarder(std::string name, std::uint64_t incarnation, Send send)
        : name_(std::move(name)), incarnation_(incarnation), send_(std::move(send)) {}

    /// Updates which leader is known, and its process and clock, from a peer's status.
    void on_peer_status(const peers::Status& status, Millis now);
    /// Returns the term of the leader that heartbeats can be forwarded to now, or 0 if there is
    /// none.
    [[nodiscard]] std::uint64_t reachable_term(Millis now) const;

    /// Forwards a heartbeat to the leader.
    /// @param follows_term The term of the last accepting reply on the worker's connection; 0 if
    /// there was none.
    /// @return False if the heartbeat could not be forwarded. `respond` is not called then.
    [[nodiscard]] bool forward(const wire::Heartbeat& heartbeat, std::uint64_t follows_term,
                               Respond respond, Millis now);
    /// Passes the leader's reply on to the worker that waits for it. If none does, the reply is
    /// counted as unmatched and dropped.
    void on_reply(const peers::ForwardedReply& reply, Millis now);
    /// Replies "unavailable" to heartbeats that the leader did not reply to in time, so that their
    /// workers try another controller. Called several times a second.
    void expire(Millis now);

    /// Counts since the process started, for the metrics.
    struct Counters {
        std::uint64_t forwarded = 0;
        std::uint64_t replied = 0;
        std::uint64_t expired = 0;
        std::uint64_t unmatched = 0;  ///< replies for which no worker was waiting
        std::uint64_t shed = 0;       ///< not forwarded: too many are pending, or sending failed
    };
    [[nodiscard]] const Counters& counters() const { return counters_; }
    [[nodiscard]] std::size_t pending() const { return pending_.size(); }

  private:
    struct Leader {
        std::string name;
        std::uint64_t term = 0, incarnation = 0, clock_ms = 0;
        Millis last_status_at = 0;
    };
    struct Pending {
        std::string machine;
        std::uint64_t term = 0;
        Millis deadline = 0;
        Respond respond;
    };
    /// By sequence number, which is also the order of the deadlines.
    using PendingTable = std::map<std::uint64_t, Pending>;
    [[nodiscard]] peers::ForwardedHeartbeat make_message(const wire::Heartbeat& heartbeat,
                                                         std::uint64_t follows_term, Millis now);
    void finish(PendingTable::iterator pending, const machines::HeartbeatReply& reply);
    void drop_older_heartbeat(const std::string& machine);

    const std::string name_;
    const std::uint64_t incarnation_;
    const Send send_;
    std::optional<Leader> leader_;
    PendingTable pending_;
    /// The sequence number of each machine's pending heartbeat.
    std::unordered_map<std::string, std::uint64_t> by_machine_;
    std::uint64_t last_number_ = 0;
    Counters counters_;
};

}  // namespace nickelramp::relay
