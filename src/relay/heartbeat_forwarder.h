// The forwarding side of the fan-in of reports: hands workers' reports to the leader over the back
// channel, so that no controller needs a connection to every worker. It decides nothing: an answer
// is passed on only if it is for this process, for a report that a worker still waits for, and of
// the term that the report was forwarded to. Owns no sockets and is handed the time.
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

// A worker gives up after 4 s. What is older than this would most likely be dropped by it.
inline constexpr Millis kHeartbeatTimeout = 3'500;

class HeartbeatForwarder {
  public:
    // Called at most once; `term`: of the leader whose answer it is.
    using Respond = std::function<void(const machines::HeartbeatReply&, std::uint64_t term)>;
    // False: the peer cannot be reached or does not keep up.
    using Send = std::function<bool(const std::string& peer, const peers::PeerFrame&)>;

    HeartbeatForwarder(std::string name, std::uint64_t incarnation, Send send)
        : name_(std::move(name)), incarnation_(incarnation), send_(std::move(send)) {}

    // Learns from every peer's status who leads, in which process, and its clock.
    void on_peer_status(const peers::Status& status, Millis now);
    // The term of the leader that reports can be forwarded to now; 0: there is none.
    std::uint64_t reachable_term(Millis now) const;

    // `follows_term`: of the last answer 200 on the worker's connection; 0: none. False: nobody can
    // be asked, and `respond` will not be called.
    bool forward(const wire::Heartbeat& heartbeat, std::uint64_t follows_term, Respond respond,
                 Millis now);
    void on_reply(const peers::ForwardedReply& answer, Millis now);
    // Reports that were not answered in time get 503; their workers try another controller.
    void expire(Millis now);

    struct Counters {
        std::uint64_t forwarded = 0, replied = 0, expired = 0, unmatched = 0, shed = 0;
    };
    const Counters& counters() const { return counters_; }
    std::size_t pending() const { return pending_.size(); }

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
    using Table = std::map<std::uint64_t, Pending>;  // by number, so by deadline too
    void finish(Table::iterator it, const machines::HeartbeatReply& reply);
    void drop_older_heartbeats(const std::string& machine);

    const std::string name_;
    const std::uint64_t incarnation_;
    const Send send_;
    std::optional<Leader> leader_;
    Table pending_;
    std::unordered_map<std::string, std::uint64_t> by_machine_;
    std::uint64_t last_number_ = 0;
    Counters counters_;
};

}  // namespace nickelramp::relay
