#include "controller/readiness_monitor.h"

#include <algorithm>
#include <vector>

namespace nickelramp::controller {

namespace {
std::size_t count_other_controllers(const wire::Settings& settings) {
    return static_cast<std::size_t>(
        std::count_if(settings.peers.begin(), settings.peers.end(),
                      [&](const wire::Peer& peer) { return peer.name != settings.name; }));
}
}  // namespace

ReadinessMonitor::ReadinessMonitor(const wire::Settings& settings, const LoopClock& clock,
                                   const kvstore::Client& store_client,
                                   const api::JobRequestHandler& requests)
    : clock_(clock),
      store_client_(store_client),
      job_requests_(requests),
      readiness_(count_other_controllers(settings), clock.now()) {}

void ReadinessMonitor::on_peer_status(const peers::Status& status) {
    const Millis now = clock_.now();
    peer_health_[status.from] = {now, now - static_cast<Millis>(status.state_age_ms)};
}

void ReadinessMonitor::update() {
    std::vector<readiness::PeerHealth> peers;
    peers.reserve(peer_health_.size());
    for (const auto& [name, health] : peer_health_) peers.push_back(health);
    readiness_.update(job_requests_.has_machine_types(), store_client_.health(), peers,
                      job_requests_.pending_requests(), clock_.now());
}

}  // namespace nickelramp::controller
