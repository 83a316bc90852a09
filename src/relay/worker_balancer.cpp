#include "relay/worker_balancer.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "net/limits.h"
#include "readiness/peer_health.h"

namespace nickelramp::relay {

namespace {
// The leader takes fewer workers than the others, because it needs sockets for commands and
// processor time for scheduling decisions.
constexpr double kLeaderLoadFactor = 1.5;
// Cost of a connection to another zone, as a share of a controller's sockets.
constexpr double kZoneChangeCost = 0.2;
// Workers are not redirected for smaller gains, so that they do not oscillate between controllers.
constexpr double kMinGain = 0.15;
// Workers redirected per second: a share of the controller's sockets, but at least the minimum.
constexpr double kRedirectedSharePerSecond = 0.02;
constexpr double kMinRedirectsPerSecond = 2;
constexpr double kMillisPerSecond = 1000;
// A worker that comes back within the return window got no reply from the controller that it was
// redirected to. No worker is redirected to that controller during the avoidance time.
constexpr Millis kReturnWindow = 30'000;
constexpr Millis kAvoidanceTime = 30'000;
// Limits of the share of a controller's sockets that is available to workers, regardless of users.
constexpr double kMinWorkerShare = 0.2;
constexpr double kMaxWorkerShare = 0.62;
// Share of the server sockets that is planned for use. The rest is reserved for bursts of users.
constexpr double kPlannedShare = 0.95;
// With a higher share of its sockets in use, a controller occasionally refuses connections.
constexpr double kFullThreshold = 0.95 * net::kServerSocketShare;
// A controller from which no status was received for longer is assumed to have stopped, and not to
// return soon.
constexpr Millis kRecentWindow = 60'000;

double utilization(std::size_t sockets, std::size_t max_sockets) {
    return static_cast<double>(sockets) / static_cast<double>(max_sockets);
}
double weighted_load(std::size_t sockets, std::size_t max_sockets, bool leads) {
    return utilization(sockets, max_sockets) * (leads ? kLeaderLoadFactor : 1);
}
bool is_full(std::size_t sockets, std::size_t max_sockets) {
    return utilization(sockets, max_sockets) > kFullThreshold;
}
}  // namespace

void WorkerBalancer::on_peer_status(const peers::Status& status, Millis now) {
    const auto known =
        std::find_if(settings_.peers.begin(), settings_.peers.end(),
                     [&](const wire::Peer& peer) { return peer.name == status.from; });
    if (known == settings_.peers.end()) return;
    if (status.max_sockets == 0) {
        older_version_seen_at_ = now;
        return;
    }
    Peer& peer = peers_[status.from];
    peer.zone = known->zone;
    peer.heartbeat_term = status.heartbeat_term;
    peer.load = weighted_load(status.sockets, status.max_sockets, status.term != 0);
    peer.last_status_at = now;
    peer.worker_sockets = status.worker_sockets;
    peer.worker_capacity = worker_slots(status.sockets, status.worker_sockets, status.max_sockets);
    if (is_full(status.sockets, status.max_sockets)) peer.full_at = now;
}

// Returns how many of a controller's sockets are available to workers, given those used by others.
std::size_t WorkerBalancer::worker_slots(std::size_t sockets, std::size_t worker_sockets,
                                         std::size_t max_sockets) {
    const auto all = static_cast<double>(max_sockets);
    const auto used_by_others = static_cast<double>(sockets - std::min(sockets, worker_sockets));
    const double left = kPlannedShare * net::kServerSocketShare * all - used_by_others;
    return static_cast<std::size_t>(std::clamp(left, kMinWorkerShare * all, kMaxWorkerShare * all));
}

void WorkerBalancer::set_own_load(std::size_t sockets, std::size_t worker_sockets, bool leads,
                                  Millis now) {
    own_load_ = weighted_load(sockets, settings_.max_sockets, leads);
    own_worker_capacity_ = worker_slots(sockets, worker_sockets, settings_.max_sockets);
    if (is_full(sockets, settings_.max_sockets)) own_full_at_ = now;
}

machines::WorkerCapacity WorkerBalancer::worker_capacity(Millis now) const {
    machines::WorkerCapacity total;
    total.max_machines = own_worker_capacity_;
    total.sockets_exhausted = now - own_full_at_ < kRecentWindow;
    for (const auto& [name, peer] : peers_) {
        if (now - peer.last_status_at > kRecentWindow) continue;
        total.sockets_exhausted |= now - peer.full_at < kRecentWindow;
        total.max_machines += peer.worker_capacity;
    }
    // The capacity of a controller of an earlier version is not known.
    if (now - older_version_seen_at_ < kRecentWindow) total.max_machines = SIZE_MAX;
    return total;
}

double WorkerBalancer::cost(double load, const std::string& zone,
                            const wire::Heartbeat& heartbeat) const {
    return load + (zone == heartbeat.zone ? 0 : kZoneChangeCost);
}

void WorkerBalancer::forget_old_redirects(Millis now) {
    while (!redirect_order_.empty() && now - redirect_order_.front().at > kReturnWindow) {
        const RedirectTime& oldest = redirect_order_.front();
        const auto redirect = redirects_.find(oldest.machine);
        // The worker may have been redirected again since.
        if (redirect != redirects_.end() && redirect->second.at == oldest.at)
            redirects_.erase(redirect);
        redirect_order_.pop_front();
    }
}

void WorkerBalancer::on_worker_arrived(const std::string& machine, Millis now) {
    forget_old_redirects(now);
    const auto redirect = redirects_.find(machine);
    if (redirect == redirects_.end()) return;
    peers_[redirect->second.peer].avoided_until = now + kAvoidanceTime;
    redirects_.erase(redirect);
}

bool WorkerBalancer::can_take_worker(const Peer& peer, std::uint64_t term, Millis now) const {
    return peer.heartbeat_term == term && peer.worker_sockets < peer.worker_capacity &&
           now - peer.last_status_at < readiness::kPeerStatusLifetime && now >= peer.avoided_until;
}

std::string WorkerBalancer::better_controller(const wire::Heartbeat& heartbeat, std::uint64_t term,
                                              Millis now) {
    const double own_cost = cost(own_load_, settings_.zone, heartbeat);
    std::vector<const std::string*> better;
    for (const auto& [name, peer] : peers_) {
        if (can_take_worker(peer, term, now) &&
            cost(peer.load, peer.zone, heartbeat) + kMinGain < own_cost)
            better.push_back(&name);
    }
    if (better.empty() || !take_redirect_token(now)) return {};
    ++redirected_count_;
    // Spread workers over all better controllers, because many controllers redirect workers at the
    // same time.
    const std::size_t choice = std::hash<std::string>{}(heartbeat.machine) % better.size();
    const std::string& peer = *better[choice];
    redirects_[heartbeat.machine] = {peer, now};
    redirect_order_.push_back({now, heartbeat.machine});
    return peer;
}

// Takes a token from a bucket whose capacity is one second's redirects.
bool WorkerBalancer::take_redirect_token(Millis now) {
    const double per_second =
        std::max(kMinRedirectsPerSecond,
                 kRedirectedSharePerSecond * static_cast<double>(settings_.max_sockets));
    const double elapsed_s = static_cast<double>(now - refilled_at_) / kMillisPerSecond;
    redirect_tokens_ = std::min(per_second, redirect_tokens_ + per_second * elapsed_s);
    refilled_at_ = now;
    if (redirect_tokens_ < 1) return false;
    redirect_tokens_ -= 1;
    return true;
}

}  // namespace nickelramp::relay
