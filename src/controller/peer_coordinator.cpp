#include "controller/peer_coordinator.h"

#include "net/address.h"

namespace nickelramp::controller {

namespace {

constexpr Millis kBroadcastInterval = 1'000;
constexpr std::size_t kMaxDisplayedJobs = 1'000;

void add_progress(const control::ControlLoop& control_loop, peers::Status& status) {
    for (const auto& [job_id, job] : control_loop.open_jobs()) {
        if (status.progress.size() >= kMaxDisplayedJobs) break;
        const auto progress = control_loop.progress(job_id);
        if (progress.done + progress.running > 0)
            status.progress.push_back({job_id, progress.done, progress.running});
    }
}

}  // namespace

PeerCoordinator::PeerCoordinator(const Dependencies& dependencies)
    : dependencies_(dependencies),
      network_(dependencies.clock.loop(), dependencies.settings.peers, *this) {}

int PeerCoordinator::listen() {
    return network_.listen(*net::parse_address(dependencies_.settings.peer_listen));
}

void PeerCoordinator::on_peer_status(const peers::Status& status) {
    const Millis now = dependencies_.clock.now();
    dependencies_.role_manager.on_status(status, now);
    dependencies_.heartbeat_handler.on_peer_status(status, now);
    dependencies_.readiness.on_peer_status(status);
    if (control::ControlLoop* control_loop = dependencies_.term.running_control_loop()) {
        control_loop->on_peer_status(status, now);
        displayed_counts_.clear();
    } else if (status.term != 0) {
        on_leader_status(status);
    }
}

void PeerCoordinator::on_leader_status(const peers::Status& status) {
    const Millis now = dependencies_.clock.now();
    last_leader_message_at_ = now;
    lost_zones_.clear();
    for (const auto& lost : status.lost_zones)
        lost_zones_[lost.zone] = now - static_cast<Millis>(lost.age_ms);
    displayed_counts_.clear();
    for (const auto& job : status.progress) displayed_counts_[job.id] = {job.done, job.running};
}

void PeerCoordinator::on_shard_grant(const peers::ShardGrant& grant) {
    if (dependencies_.term.running()) return;
    dependencies_.shard_holder.on_grant(grant, dependencies_.machine_types.types());
}

void PeerCoordinator::on_shard_status(const peers::ShardStatus& status) {
    if (control::ControlLoop* control_loop = dependencies_.term.running_control_loop())
        control_loop->on_shard_status(status, dependencies_.clock.now());
}

void PeerCoordinator::on_heartbeat_delegation(const peers::HeartbeatDelegation& delegation) {
    const Millis now = dependencies_.clock.now();
    last_leader_message_at_ = now;
    dependencies_.partition_responder.on_delegation(
        delegation, dependencies_.shard_holder.holder().incarnation(), now);
}

void PeerCoordinator::on_role_assignment(const peers::RoleAssignment& assignment) {
    dependencies_.role_manager.on_assignment(assignment, dependencies_.clock.now());
}

void PeerCoordinator::on_delegated_request(const peers::DelegatedRequest& request) {
    dependencies_.role_manager.on_delegated_request(request);
}

void PeerCoordinator::on_delegated_result(const peers::DelegatedResult& result) {
    dependencies_.role_manager.on_delegated_result(result, dependencies_.clock.now());
}

void PeerCoordinator::on_forwarded_heartbeat(const peers::ForwardedHeartbeat& heartbeat) {
    dependencies_.heartbeat_handler.on_forwarded_heartbeat(heartbeat);
}

void PeerCoordinator::on_forwarded_reply(const peers::ForwardedReply& reply) {
    dependencies_.heartbeat_handler.on_forwarded_reply(reply);
}

void PeerCoordinator::broadcast_if_due() {
    const Millis now = dependencies_.clock.now();
    if (now < next_broadcast_at_) return;
    next_broadcast_at_ = now + kBroadcastInterval;
    broadcast();
}

void PeerCoordinator::broadcast() {
    network_.send_all(peers::encode(make_status()));
    if (dependencies_.term.running()) {
        send_shard_grants();
        send_heartbeat_delegations();
        dependencies_.role_manager.send_assignment(dependencies_.clock.now());
    }
    const control::ShardHolder& holder = dependencies_.shard_holder.holder();
    if (const auto status = holder.status()) network_.send(holder.leader(), peers::encode(*status));
}

peers::Status PeerCoordinator::make_status() const {
    const Millis now = dependencies_.clock.now();
    const control::ControlLoop* control_loop = dependencies_.term.running_control_loop();
    peers::Status status;
    status.from = dependencies_.settings.name;
    status.incarnation = dependencies_.shard_holder.holder().incarnation();
    status.clock_ms = static_cast<std::uint64_t>(now);
    status.term = control_loop != nullptr ? dependencies_.term.term() : 0;
    status.state_age_ms =
        static_cast<std::uint64_t>(now - dependencies_.store_client.last_answer_at());
    dependencies_.partition_responder.fill_status(status, now);
    dependencies_.role_manager.fill_status(status, now);
    dependencies_.heartbeat_handler.fill_status(status, now);
    if (control_loop != nullptr) {
        status.lost_zones = control_loop->lost_zones(now);
        add_progress(*control_loop, status);
    }
    return status;
}

void PeerCoordinator::send_shard_grants() {
    control::ControlLoop* control_loop = dependencies_.term.running_control_loop();
    if (control_loop == nullptr) return;
    for (const auto& [peer, grant] : control_loop->shard_renewals(
             dependencies_.term.cancellations_known_until(), dependencies_.clock.now()))
        send_as_leader(peer, peers::encode(grant));
}

void PeerCoordinator::send_heartbeat_delegations() {
    control::ControlLoop* control_loop = dependencies_.term.running_control_loop();
    if (control_loop == nullptr) return;
    for (const auto& [peer, delegation] : control_loop->heartbeat_delegations(
             dependencies_.term.cancellations_known_until(), dependencies_.clock.now()))
        send_as_leader(peer, peers::encode(delegation));
}

bool PeerCoordinator::send_as_leader(const std::string& peer, const peers::LeaderFrame& frame) {
    const auto proof = dependencies_.term.scheduling_guard().prove();
    return proof && network_.send(*proof, peer, frame);
}

wire::TaskCounts PeerCoordinator::displayed_counts(const std::string& job_id) const {
    const auto found = displayed_counts_.find(job_id);
    return found == displayed_counts_.end() ? wire::TaskCounts{} : found->second;
}

void PeerCoordinator::hand_over_lost_zones(control::ControlLoop& control_loop) {
    for (const auto& [zone, since] : lost_zones_) control_loop.inherit_lost_zone(zone, since);
    lost_zones_.clear();
}

}  // namespace nickelramp::controller
