#include "roles/peer_directory.h"

#include "readiness/peer_health.h"

namespace nickelramp::roles {

void PeerDirectory::on_status(const peers::Status& status, Millis now) {
    const bool state_service_answers = status.state_age_ms < readiness::kRecentAnswerMs;
    peers_[status.from] = {status.incarnation, status.clock_ms, status.lease_id,
                           state_service_answers, now};
}

const PeerDirectory::Peer* PeerDirectory::find_eligible(const std::string& name, Millis now) const {
    const auto found = peers_.find(name);
    if (found == peers_.end()) return nullptr;
    const Peer& peer = found->second;
    const bool recent = now - peer.last_status_at <= readiness::kPeerStatusLifetime;
    return recent && peer.state_service_answers ? &peer : nullptr;
}

std::string PeerDirectory::first_eligible(Millis now) const {
    for (const auto& [name, peer] : peers_) {
        if (find_eligible(name, now) != nullptr) return name;
    }
    return "";
}

}  // namespace nickelramp::roles
