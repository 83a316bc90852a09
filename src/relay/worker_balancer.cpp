#include "relay/worker_balancer.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "net/limits.h"
#include "readiness/peer_health.h"

namespace nickelramp::relay {

namespace {
// The leader needs sockets for commands, and every one that it saves is processor time for
// decisions: it takes fewer workers than the others.
constexpr double kLeaderFactor = 1.5;
// Part of a controller's sockets that staying in the worker's zone is worth.
constexpr double kZoneWorth = 0.2;
// Smaller differences move nobody, so that workers do not go to and fro.
constexpr double kLeastGain = 0.15;
// Of a controller's sockets, a second.
constexpr double kMovedPart = 0.02;
constexpr double kLeastMoved = 2;  // a second
constexpr double kMillisPerSecond = 1000;
// Who is back so soon was not answered there: nobody else is sent there for a while.
constexpr Millis kBackWithin = 30'000, kAvoided = 30'000;
// Of a controller's sockets, the least and the most that workers may have, whatever users need.
constexpr double kLeastForWorkers = 0.2, kMostForWorkers = 0.62;
// Of those for connections, kept for users that come in a burst.
constexpr double kUsed = 0.95;
// Of its sockets: beyond that it refuses connections now and then.
constexpr double kFull = 0.95 * net::kServerSocketShare;
// A controller that has not been heard for longer has ended, and is not coming back soon.
constexpr Millis kRecently = 60'000;

double used(std::size_t sockets, std::size_t most) {
    return static_cast<double>(sockets) / static_cast<double>(most);
}
double load(std::size_t sockets, std::size_t most, bool leads) {
    return used(sockets, most) * (leads ? kLeaderFactor : 1);
}
bool full(std::size_t sockets, std::size_t most) { return used(sockets, most) > kFull; }
}  // namespace

void WorkerBalancer::on_peer_status(const peers::Status& status, Millis now) {
    auto known = std::find_if(settings_.peers.begin(), settings_.peers.end(),
                              [&](const wire::Peer& peer) { return peer.name == status.from; });
    if (known == settings_.peers.end()) return;
    if (status.max_sockets == 0) {
        older_version_seen_at_ = now;
        return;
    }
    Peer& peer = peers_[status.from];
    peer.zone = known->zone;
    peer.heartbeat_term = status.heartbeat_term;
    peer.load = load(status.sockets, status.max_sockets, status.term != 0);
    peer.last_status_at = now;
    peer.worker_sockets = status.worker_sockets;
    peer.worker_capacity =
        free_worker_slots(status.sockets, status.worker_sockets, status.max_sockets);
    if (full(status.sockets, status.max_sockets)) peer.full_at = now;
}

// What users leave of a controller's sockets.
std::size_t WorkerBalancer::free_worker_slots(std::size_t sockets, std::size_t worker_sockets,
                                              std::size_t most) {
    const auto all = static_cast<double>(most);
    const double others = static_cast<double>(sockets - std::min(sockets, worker_sockets));
    const double left = kUsed * net::kServerSocketShare * all - others;
    return static_cast<std::size_t>(
        std::clamp(left, kLeastForWorkers * all, kMostForWorkers * all));
}

void WorkerBalancer::set_own_load(std::size_t sockets, std::size_t worker_sockets, bool leads,
                                  Millis now) {
    own_load_ = load(sockets, settings_.max_sockets, leads);
    own_worker_capacity_ = free_worker_slots(sockets, worker_sockets, settings_.max_sockets);
    if (full(sockets, settings_.max_sockets)) own_full_at_ = now;
}

machines::WorkerCapacity WorkerBalancer::worker_capacity(Millis now) const {
    machines::WorkerCapacity all;
    all.max_machines = own_worker_capacity_;
    all.sockets_exhausted = now - own_full_at_ < kRecently;
    for (const auto& [name, peer] : peers_) {
        if (now - peer.last_status_at > kRecently) continue;
        all.sockets_exhausted |= now - peer.full_at < kRecently;
        all.max_machines += peer.worker_capacity;
    }
    // What one of an earlier version has room for nobody knows.
    if (now - older_version_seen_at_ < kRecently) all.max_machines = SIZE_MAX;
    return all;
}

double WorkerBalancer::cost(double load, const std::string& zone,
                            const wire::Heartbeat& heartbeat) const {
    return load + (zone == heartbeat.zone ? 0 : kZoneWorth);
}

void WorkerBalancer::forget_old_redirects(Millis now) {
    while (!redirect_order_.empty() && now - redirect_order_.front().first > kBackWithin) {
        auto sent = redirects_.find(redirect_order_.front().second);
        if (sent != redirects_.end() && sent->second.at == redirect_order_.front().first)
            redirects_.erase(sent);
        redirect_order_.pop_front();
    }
}

void WorkerBalancer::on_worker_arrived(const std::string& machine, Millis now) {
    forget_old_redirects(now);
    auto sent = redirects_.find(machine);
    if (sent == redirects_.end()) return;
    peers_[sent->second.peer].avoided_until = now + kAvoided;
    redirects_.erase(sent);
}

std::string WorkerBalancer::better_controller(const wire::Heartbeat& heartbeat, std::uint64_t term,
                                              Millis now) {
    const double own = cost(own_load_, settings_.zone, heartbeat);
    std::vector<const std::string*> choice;
    for (const auto& [name, peer] : peers_) {
        const bool able =
            peer.heartbeat_term == term && peer.worker_sockets < peer.worker_capacity &&
            now - peer.last_status_at < readiness::kPeerStatusLifetime && now >= peer.avoided_until;
        if (able && cost(peer.load, peer.zone, heartbeat) + kLeastGain < own)
            choice.push_back(&name);
    }
    if (choice.empty() || !take_redirect_token(now)) return {};
    ++redirected_count_;
    // Spread over all that are better: many controllers move workers at the same time.
    const std::string& to = *choice[std::hash<std::string>{}(heartbeat.machine) % choice.size()];
    redirects_[heartbeat.machine] = {to, now};
    redirect_order_.emplace_back(now, heartbeat.machine);
    return to;
}

bool WorkerBalancer::take_redirect_token(Millis now) {
    const double a_second =
        std::max(kLeastMoved, kMovedPart * static_cast<double>(settings_.max_sockets));
    const double since = static_cast<double>(now - refilled_at_) / kMillisPerSecond;
    redirect_tokens_ = std::min(a_second, redirect_tokens_ + a_second * since);
    refilled_at_ = now;
    if (redirect_tokens_ < 1) return false;
    redirect_tokens_ -= 1;
    return true;
}

}  // namespace nickelramp::relay
