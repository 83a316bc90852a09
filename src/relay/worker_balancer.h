/// @file
/// Balances workers over the controllers. A worker preferably sends its heartbeats to a controller
/// in its own zone, and to one with few sockets in use.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/time.h"
#include "machines/worker_capacity.h"
#include "peers/messages.h"
#include "wire/messages.h"
#include "wire/settings.h"

namespace nickelramp::relay {

/// Decides which workers are redirected to another controller.
///
/// Guarantees: a worker is redirected only to a controller that can handle its heartbeat at that
/// moment, and not to one from which another worker came back in the last 30 s, because workers may
/// be unable to reach that controller. Redirects are rate-limited, so that the peers' load reports
/// keep up with them. Reads no clock. Owned and called by controller::HeartbeatHandler on the loop
/// thread. `settings` must outlive it.
class WorkerBalancer {
  public:
    explicit WorkerBalancer(const wire::Settings& settings) : settings_(settings) {}

    /// Records a peer's load. Ignores peers that are not in the settings.
    void on_peer_status(const peers::Status& status, Millis now);
    /// Records this controller's load.
    /// @param sockets The number of sockets in use.
    /// @param worker_sockets The number of those that workers use.
    /// @param leads Whether this controller is the leader.
    void set_own_load(std::size_t sockets, std::size_t worker_sockets, bool leads, Millis now);
    /// Returns how many worker connections this controller can accept besides those of users.
    [[nodiscard]] std::size_t own_worker_capacity() const { return own_worker_capacity_; }
    /// Records that a worker has connected to this controller. If the worker was redirected to
    /// another controller recently, it probably got no reply there. That controller is then avoided
    /// for a while.
    void on_worker_arrived(const std::string& machine, Millis now);
    /// Returns the controller that the worker should send its heartbeats to instead, or an empty
    /// string if it should stay.
    /// @param term The leader's term.
    [[nodiscard]] std::string better_controller(const wire::Heartbeat& heartbeat,
                                                std::uint64_t term, Millis now);
    /// Returns the total capacity of all controllers whose status was received in the last minute.
    /// It is unlimited while one of them runs a version that does not report its sockets.
    [[nodiscard]] machines::WorkerCapacity worker_capacity(Millis now) const;
    /// Returns the number of redirected workers, for the metrics.
    [[nodiscard]] std::uint64_t redirected_count() const { return redirected_count_; }

  private:
    static constexpr Millis kNotSeenYet = -kNever;
    struct Peer {
        std::string zone;
        std::uint64_t heartbeat_term = 0;
        double load = 0;  ///< share of its sockets in use, weighted higher for a leader
        Millis last_status_at = 0;
        Millis full_at = kNotSeenYet;  ///< when it last was out of sockets
        Millis avoided_until = 0;
        std::size_t worker_sockets = 0;
        std::size_t worker_capacity = 0;
    };
    /// A worker that was redirected recently.
    struct Redirect {
        std::string peer;
        Millis at = 0;
    };
    struct RedirectTime {
        Millis at = 0;
        std::string machine;
    };
    [[nodiscard]] static std::size_t worker_slots(std::size_t sockets, std::size_t worker_sockets,
                                                  std::size_t max_sockets);
    [[nodiscard]] bool can_take_worker(const Peer& peer, std::uint64_t term, Millis now) const;
    [[nodiscard]] double cost(double load, const std::string& zone,
                              const wire::Heartbeat& heartbeat) const;
    [[nodiscard]] bool take_redirect_token(Millis now);
    void forget_old_redirects(Millis now);

    const wire::Settings& settings_;
    std::map<std::string, Peer> peers_;  ///< by name
    double own_load_ = 0;
    std::size_t own_worker_capacity_ = 0;
    Millis own_full_at_ = kNotSeenYet;
    Millis older_version_seen_at_ = kNotSeenYet;  ///< last status without socket counts
    double redirect_tokens_ = 0;                  ///< workers that may be redirected now
    Millis refilled_at_ = 0;
    std::uint64_t redirected_count_ = 0;
    std::map<std::string, Redirect> redirects_;  ///< by machine
    std::deque<RedirectTime> redirect_order_;    ///< including replaced ones, oldest first
};

}  // namespace nickelramp::relay
