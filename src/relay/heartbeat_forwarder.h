/// \file
/// The forwarding side of the fan-in of heartbeats: hands workers' heartbeats to the leader over
/// the connections between controllers, so that no controller needs a connection to every worker
/// (docs/design/forwarding.md).
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

/// In milliseconds. A worker gives up after 4 s; it would most likely drop a reply that is older
/// than this.
inline constexpr Millis kHeartbeatTimeout = 3'500;

/// Forwards heartbeats and matches the replies.
///
/// Guarantees: every heartbeat that forward() took is replied to exactly once. A leader's reply is
/// passed on only if it is for this process, for a heartbeat that the worker still waits for, and
/// of the term that the heartbeat was forwarded to. At most 8,192 heartbeats are pending. Decides
/// nothing, owns no sockets and reads no clock. Owned and called by controller::HeartbeatHandler on
/// the loop thread.
class HeartbeatForwarder {
  public:
    /// Passes the reply on to the worker; `term`: of the leader whose reply it is.
    using Respond = std::function<void(const machines::HeartbeatReply&, std::uint64_t term)>;
    /// Sends a frame to a peer. False: the peer cannot be reached or does not keep up.
    using Send = std::function<bool(const std::string& peer, const peers::PeerFrame&)>;

    /// `name` and `incarnation`: of this controller and its process.
    HeartbeatForwarder(std::string name, std::uint64_t incarnation, Send send)
        : name_(std::move(name)), incarnation_(incarnation), send_(std::move(send)) {}

    /// Learns from every peer's status who leads, in which process, and its clock.
    void on_peer_status(const peers::Status& status, Millis now);
    /// The term of the leader that heartbeats can be forwarded to now; 0: there is none.
    [[nodiscard]] std::uint64_t reachable_term(Millis now) const;

    /// `follows_term`: of the last accepting reply on the worker's connection; 0: none. False: no
    /// leader can be reached, and `respond` will not be called.
    [[nodiscard]] bool forward(const wire::Heartbeat& heartbeat, std::uint64_t follows_term,
                               Respond respond, Millis now);
    /// The leader's reply. Counted as unmatched and dropped unless a worker still waits for it.
    void on_reply(const peers::ForwardedReply& reply, Millis now);
    /// Replies "unavailable" to heartbeats that the leader did not reply to in time; their workers
    /// try another controller. Called several times a second.
    void expire(Millis now);

    /// For the metrics, since the process began.
    struct Counters {
        std::uint64_t forwarded = 0;
        std::uint64_t replied = 0;
        std::uint64_t expired = 0;
        std::uint64_t unmatched = 0;  ///< replies that no worker waited for
        std::uint64_t shed = 0;       ///< not forwarded: too many pending, or the leader is slow
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
    using Table = std::map<std::uint64_t, Pending>;  ///< by number, so by deadline too
    [[nodiscard]] peers::ForwardedHeartbeat make_message(const wire::Heartbeat& heartbeat,
                                                         std::uint64_t follows_term, Millis now);
    void finish(Table::iterator pending, const machines::HeartbeatReply& reply);
    void drop_older_heartbeat(const std::string& machine);

    const std::string name_;
    const std::uint64_t incarnation_;
    const Send send_;
    std::optional<Leader> leader_;
    Table pending_;
    std::unordered_map<std::string, std::uint64_t> by_machine_;  ///< its pending number
    std::uint64_t last_number_ = 0;
    Counters counters_;
};

}  // namespace nickelramp::relay
