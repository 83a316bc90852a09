/// @file
/// Determines whether this controller can serve users and, if not, why.
#pragma once
#include <cstddef>
#include <vector>

#include "base/time.h"
#include "kvstore/types.h"

namespace nickelramp::readiness {

/// - starting: the machine types are not known yet
/// - serving: the key-value store answers, as far as is known
/// - outage: the store serves no controller; users are told to retry, and health checks still pass,
///   so that none has to recover afterwards
/// - rejected: the store serves other controllers and rejects this one
/// - store_unreachable: the store does not answer this controller, and it answers others or no peer
///   is reachable
enum class ReadinessState { starting, serving, outage, rejected, store_unreachable };
/// Returns the state's name on the administration pages and in the log.
[[nodiscard]] const char* name(ReadinessState state);

/// Health of a peer according to its last status, in this controller's loop time.
struct PeerHealth {
    Millis last_status_at = 0;
    Millis last_answer_at = 0;  ///< when the key-value store last answered the peer
};

/// User requests of this controller that wait for the key-value store.
struct PendingRequests {
    std::size_t requests = 0;
    Millis since = 0;  ///< no request was pending then; the oldest came later
};

/// Determines the readiness from the key-value store's answers to this controller and from the
/// answers to other controllers that they report. Logs when a period without service begins, every
/// ten seconds while it lasts, and when it ends. Times are arguments, in milliseconds of the loop.
/// Used by controller::ReadinessMonitor.
class Readiness {
  public:
    /// @param peer_count number of other controllers in the settings.
    Readiness(std::size_t peer_count, Millis now) : peer_count_(peer_count), state_since_(now) {}

    /// Updates and returns the state.
    /// @param peers all controllers that have ever sent a status.
    ReadinessState update(bool machine_types_known, const kvstore::ServiceHealth& health,
                          const std::vector<PeerHealth>& peers, const PendingRequests& pending,
                          Millis now);
    [[nodiscard]] ReadinessState state() const { return state_; }
    /// Returns the result for health checks. In an outage for all, all controllers stay ready.
    [[nodiscard]] bool ready() const {
        return state_ == ReadinessState::serving || state_ == ReadinessState::outage;
    }
    /// Returns whether a leader should hand its term over to a controller that the store serves. It
    /// should not when it is partitioned: its zone's machines may be in the same partition, and the
    /// leader replies to them as long as its lease lasts (docs/design/failure-domains.md). Its
    /// lease as leader then expires by itself.
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
