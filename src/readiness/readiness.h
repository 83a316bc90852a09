/// \file
/// Whether this controller can serve users, and if not, why.
#pragma once
#include <cstddef>
#include <vector>

#include "base/time.h"
#include "kvstore/types.h"

namespace nickelramp::readiness {

/// starting: the machine types are not known yet
/// serving:  the key-value store answers, as far as is known
/// outage:   it serves no controller; users are told to retry, and no health check has to recover
///           afterwards
/// rejected: it serves others and rejects this controller
/// cut_off:  it does not answer this controller; others are answered, or cannot be heard either
enum class ReadinessState { starting, serving, outage, rejected, cut_off };
/// The name on the administration pages and in the log.
[[nodiscard]] const char* name(ReadinessState state);

/// What the last status of another controller said, in this controller's loop time.
struct PeerHealth {
    Millis last_status_at = 0;
    Millis last_answer_at = 0;  ///< The key-value store last answered the peer then.
};

/// The users' requests that wait for the key-value store here.
struct PendingRequests {
    std::size_t requests = 0;
    Millis since = 0;  ///< No request waited then; the oldest came later.
};

/// Evaluates the readiness from what the key-value store says to this controller and what the other
/// controllers say that it says to them. Logs when a time without service begins, every ten seconds
/// while it lasts, and when it ends. Is handed the time, in milliseconds of the loop; used by
/// controller::ReadinessMonitor.
class Readiness {
  public:
    /// `peer_count`: the other controllers in the settings.
    Readiness(std::size_t peer_count, Millis now) : peer_count_(peer_count), state_since_(now) {}

    /// Evaluates anew. `peers`: of all controllers that have ever sent a status.
    ReadinessState update(bool machine_types_known, const kvstore::ServiceHealth& health,
                          const std::vector<PeerHealth>& peers, const PendingRequests& pending,
                          Millis now);
    [[nodiscard]] ReadinessState state() const { return state_; }
    /// What health checks are told. In an outage for all, all controllers stay ready.
    [[nodiscard]] bool ready() const {
        return state_ == ReadinessState::serving || state_ == ReadinessState::outage;
    }
    /// Whether a leader should give up its term for a controller that is served. Not when it is cut
    /// off: the machines of its zone may be cut off with it, and as long as its lease lasts it
    /// answers them (docs/design/failure-domains.md). Its lease as leader then expires by itself.
    [[nodiscard]] bool should_hand_over() const {
        return state_ == ReadinessState::rejected && peers_served_;
    }

  private:
    ReadinessState evaluate(bool machine_types_known, const kvstore::ServiceHealth& health,
                            const std::vector<PeerHealth>& peers, Millis now);
    void set_state(ReadinessState state, Millis now);
    void log_if_due(const PendingRequests& pending, Millis now);

    std::size_t peer_count_;
    ReadinessState state_ = ReadinessState::starting;
    Millis state_since_;  // when serving last began or ended
    Millis next_log_at_ = 0;
    bool peers_served_ = false;  // some peer is served during this controller's outage
};

}  // namespace nickelramp::readiness
