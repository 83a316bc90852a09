/// \file
/// To which controller workers should send their heartbeats: spreads them over the controllers by
/// zone, then by how many of their sockets are in use.
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

/// Guarantees: a worker is redirected only to a controller that can handle its heartbeat at that
/// moment, and not to one from which another worker came back in the last 30 s, as that may be out
/// of the workers' reach. Workers are moved slowly, so that what peers say of themselves keeps up.
/// Reads no clock (milliseconds are arguments). Owned and called by controller::HeartbeatHandler on
/// the loop thread; `settings` must outlive it.
class WorkerBalancer {
  public:
    explicit WorkerBalancer(const wire::Settings& settings) : settings_(settings) {}

    /// A peer's sockets. Ignores names that are not in the settings.
    void on_peer_status(const peers::Status& status, Millis now);
    /// This controller's sockets in use, how many of them workers use, and whether it leads.
    void set_own_load(std::size_t sockets, std::size_t worker_sockets, bool leads, Millis now);
    /// How many connections of workers this controller has room for beside those of users.
    [[nodiscard]] std::size_t own_worker_capacity() const { return own_worker_capacity_; }
    /// A worker has connected to this controller, perhaps because it got no reply elsewhere.
    void on_worker_arrived(const std::string& machine, Millis now);
    /// The controller that the worker should send its heartbeats to instead; empty: it stays.
    /// `term`: the leader's.
    [[nodiscard]] std::string better_controller(const wire::Heartbeat& heartbeat,
                                                std::uint64_t term, Millis now);
    /// What all controllers that were heard of in the last minute can take; unlimited while one of
    /// them runs a version that does not say so.
    [[nodiscard]] machines::WorkerCapacity worker_capacity(Millis now) const;
    /// For the metrics.
    [[nodiscard]] std::uint64_t redirected_count() const { return redirected_count_; }

  private:
    static constexpr Millis kNotSeenYet = -kNever;
    struct Peer {
        std::string zone;
        std::uint64_t heartbeat_term = 0;
        double load = 0;  ///< part of its sockets in use, weighted
        Millis last_status_at = 0;
        Millis full_at = kNotSeenYet;  ///< when it was last out of sockets
        Millis avoided_until = 0;
        std::size_t worker_sockets = 0;
        std::size_t worker_capacity = 0;
    };
    /// A worker that was sent to another controller lately.
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
    Millis older_version_seen_at_ = kNotSeenYet;  ///< status of a peer without socket counts
    double redirect_tokens_ = 0;                  ///< workers that may be moved now
    Millis refilled_at_ = 0;
    std::uint64_t redirected_count_ = 0;
    std::map<std::string, Redirect> redirects_;  ///< by machine
    std::deque<RedirectTime> redirect_order_;    ///< the same and older ones, oldest first
};

}  // namespace nickelramp::relay
