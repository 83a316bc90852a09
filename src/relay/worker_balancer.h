// Where workers should report: spreads them over the controllers by zone, then by how many of their
// sockets are in use. Only controllers that can handle the report at that moment are named, and not
// those from which workers come back: they may be out of the workers' reach. Workers move slowly,
// so that what peers say of themselves keeps up. Pure: is handed the time.
#pragma once
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "base/time.h"
#include "machines/worker_capacity.h"
#include "peers/messages.h"
#include "wire/messages.h"
#include "wire/settings.h"

namespace nickelramp::relay {

class WorkerBalancer {
  public:
    explicit WorkerBalancer(const wire::Settings& settings) : settings_(settings) {}

    void on_peer_status(const peers::Status& status, Millis now);
    // This controller's sockets in use, and whether it leads.
    void set_own_load(std::size_t sockets, std::size_t worker_sockets, bool leads, Millis now);
    // Connections of workers that it has room for beside those of users.
    std::size_t own_worker_capacity() const { return own_worker_capacity_; }
    // A worker has come to this controller, perhaps since it was not answered elsewhere.
    void on_worker_arrived(const std::string& machine, Millis now);
    // The controller that the worker should report to instead; empty: it stays. `term`: the
    // leader's.
    std::string better_controller(const wire::Heartbeat& heartbeat, std::uint64_t term, Millis now);
    // What all controllers that have been heard of lately can take.
    machines::WorkerCapacity worker_capacity(Millis now) const;
    std::uint64_t redirected_count() const { return redirected_count_; }

  private:
    static constexpr Millis kNotSeenYet = -kNever;
    struct Peer {
        std::string zone;
        std::uint64_t heartbeat_term = 0;
        double load = 0;
        Millis last_status_at = 0, full_at = kNotSeenYet, avoided_until = 0;
        std::size_t worker_sockets = 0, worker_capacity = 0;  // for workers
    };
    static std::size_t free_worker_slots(std::size_t sockets, std::size_t worker_sockets,
                                         std::size_t most);
    double cost(double load, const std::string& zone, const wire::Heartbeat& heartbeat) const;
    bool take_redirect_token(Millis now);
    void forget_old_redirects(Millis now);

    const wire::Settings& settings_;
    std::map<std::string, Peer> peers_;
    double own_load_ = 0;
    std::size_t own_worker_capacity_ = 0;
    Millis own_full_at_ = kNotSeenYet;
    Millis older_version_seen_at_ = kNotSeenYet;  // a peer of one was last heard
    double redirect_tokens_ = 0;                  // workers that may be moved now
    Millis refilled_at_ = 0;
    std::uint64_t redirected_count_ = 0;
    // Workers that were sent away lately: where to, and when; and the same in that order.
    struct Redirect {
        std::string peer;
        Millis at = 0;
    };
    std::map<std::string, Redirect> redirects_;
    std::deque<std::pair<Millis, std::string>> redirect_order_;
};

}  // namespace nickelramp::relay
