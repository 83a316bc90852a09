#include "sharding/shard_allocator.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "readiness/peer_health.h"

namespace nickelramp::sharding {

using jobs::Job;
using jobs::JobState;
using machines::Machine;
using machines::MachineState;
using placement::Need;

namespace {
constexpr Millis kLeaseDuration = 4'000;
constexpr Millis kAllocationInterval = 500;
constexpr std::size_t kMaxJobsPerShard = 40;
}  // namespace

const char* name(ShardLeaseState state) {
    switch (state) {
        case ShardLeaseState::recording:
            return "recording";
        case ShardLeaseState::active:
            return "active";
        case ShardLeaseState::expiring:
            return "expiring";
        case ShardLeaseState::reclaiming:
            return "reclaiming";
        case ShardLeaseState::recovering:
            return "recovering";
    }
    return "?";
}

// --- Leasing of shards and delegation of jobs

void ShardAllocator::on_peer_status(const peers::Status& status, Millis now) {
    const bool healthy = status.state_age_ms < readiness::kRecentAnswerMs;
    peers_[status.from] = {status.incarnation, status.clock_ms, healthy, now};
}

bool ShardAllocator::status_is_recent(const Peer& peer, Millis now) {
    return now - peer.last_status_at <= readiness::kPeerStatusLifetime;
}

const ShardAllocator::Peer* ShardAllocator::peer_of(const ShardLease& lease) const {
    const auto entry = peers_.find(lease.holder);
    return entry == peers_.end() ? nullptr : &entry->second;
}

bool ShardAllocator::has_lease(const std::string& holder) const {
    return std::any_of(leases_.begin(), leases_.end(),
                       [&](const auto& entry) { return entry.second.holder == holder; });
}

void ShardAllocator::allocate_shards(Millis now) {
    const auto count = static_cast<std::size_t>(term_.options().delegated_machines);
    if (count == 0 || !term_.lease_confirmed(now) || lease_writer_.write_in_flight() ||
        jobs_starving_ || now < next_allocation_at_)
        return;
    next_allocation_at_ = now + kAllocationInterval;
    for (const auto& [peer_name, peer] : peers_) {
        if (!peer.healthy || !status_is_recent(peer, now) || has_lease(peer_name)) continue;
        const std::vector<Machine*> machines = machine_selector_.select(count, now);
        if (machines.empty()) continue;
        lease_machines(machines, peer_name, peer, now);
        lease_writer_.write(now);
        return;
    }
}

void ShardAllocator::lease_machines(const std::vector<Machine*>& machines,
                                    const std::string& holder, const Peer& peer, Millis now) {
    std::vector<std::string> names;
    names.reserve(machines.size());
    for (const Machine* machine : machines) names.push_back(machine->name);
    const std::uint32_t shard_number = lease_writer_.table().lease_out(names, holder);
    ShardLease& lease = leases_[shard_number];
    lease.holder = holder;
    lease.incarnation = peer.incarnation;
    lease.idle_since = now;
    for (Machine* machine : machines) {
        lease.capacity.push_back(
            empty_machine_capacity(machine->index, cluster_.types()[machine->type]));
        machine->token = lease_writer_.table().shard(shard_number).fencing_token;
        machine->shard_recorded = false;
        cluster_.set_machine_state(*machine, MachineState::leased_out);
    }
    spdlog::info("shard leased shard={} holder={} machines={}", shard_number, holder,
                 machines.size());
}

bool ShardAllocator::can_be_delegated(const Job& job) const {
    if (term_.is_shard_holder() || leases_.empty()) return false;
    if (!job.attempts.empty() || job.commit_in_flight) return false;
    if (job.unplaced_tasks() != job.spec.tasks || !rules_.within_quota(job, job.spec.tasks))
        return false;
    // The replicas of a service never end, so the shard would never become idle.
    if (job.is_service()) return false;
    // All machines of a shard are in one zone.
    if (job.spec.spread && job.spec.tasks > 1) return false;
    // Records of earlier attempts may name machines outside the shard.
    return job.chunks.empty() && job.gang_attempt == 0;
}

bool ShardAllocator::delegate_job(Job& job, Millis now) {
    if (!can_be_delegated(job)) return false;
    for (auto& [shard_number, lease] : leases_) {
        if (lease.state != ShardLeaseState::active || lease.jobs.size() >= kMaxJobsPerShard)
            continue;
        const Peer* peer = peer_of(lease);
        if (peer == nullptr || !status_is_recent(*peer, now)) continue;
        if (!reserve_for_job(lease, job)) continue;
        lease.jobs.push_back(job.spec.id);
        cluster_.delegate_job(job, shard_number);
        job.delegation_confirmed_at = now;
        spdlog::debug("job delegated job={} holder={} shard={}", job.spec.id, lease.holder,
                      shard_number);
        return true;
    }
    return false;
}

// Reserves capacity for all tasks of the job, or for none if they do not all fit.
bool ShardAllocator::reserve_for_job(ShardLease& lease, const Job& job) const {
    const Need need = placement::need_of(job);
    std::vector<MachineCapacity> capacity = lease.capacity;
    std::uint32_t tasks_left = job.spec.tasks;
    for (MachineCapacity& machine_capacity : capacity) {
        const Machine* machine = cluster_.machine_by_index(machine_capacity.machine);
        if (machine != nullptr && rules_.allowed(job, *machine))
            tasks_left -= reserve_tasks(machine_capacity, need, tasks_left);
    }
    if (tasks_left > 0) return false;
    lease.capacity = std::move(capacity);
    return true;
}

std::vector<AddressedGrant> ShardAllocator::renewals(Millis cancellations_known_until, Millis now) {
    std::vector<AddressedGrant> grants;
    if (!term_.lease_confirmed(now)) return grants;
    for (auto& [shard_number, lease] : leases_) {
        const shards::Shard& shard = lease_writer_.table().shard(shard_number);
        if (!may_renew(lease, shard, now)) continue;
        grants.push_back(
            {lease.holder, grant_for(shard_number, lease, shard, cancellations_known_until, now)});
        lease.expires_at = now + with_clock_drift(kLeaseDuration);
    }
    return grants;
}

bool ShardAllocator::may_renew(const ShardLease& lease, const shards::Shard& shard,
                               Millis now) const {
    const Peer* peer = peer_of(lease);
    if (lease.state != ShardLeaseState::active || peer == nullptr) return false;
    if (!status_is_recent(*peer, now) || peer->incarnation != lease.incarnation) return false;
    return !shard.dirty && !shard.write_uncertain;
}

peers::ShardGrant ShardAllocator::grant_for(std::uint32_t shard_number, const ShardLease& lease,
                                            const shards::Shard& shard,
                                            Millis cancellations_known_until, Millis now) const {
    peers::ShardGrant grant;
    grant.from = term_.settings().name;
    grant.term = term_.info().number;
    grant.term_version = term_.info().version;
    grant.shard = shard_number;
    grant.shard_version = shard.version;
    grant.token = shard.fencing_token;
    grant.incarnation = lease.incarnation;
    grant.status_clock_ms = peers_.at(lease.holder).clock_ms;
    grant.lease_ms = static_cast<std::uint64_t>(kLeaseDuration);
    grant.view_age_ms = static_cast<std::uint64_t>(now - cancellations_known_until);
    grant.machines = shard.members;
    for (const std::string& id : lease.jobs) {
        const Job* job = cluster_.job(id);
        if (job == nullptr) continue;
        grant.jobs.push_back({id, job->state == JobState::cancelled ? 1U : 0U});
    }
    return grant;
}

// --- Queries

std::string ShardAllocator::holder_of(Index machine) const {
    for (const auto& [shard_number, lease] : leases_) {
        if (lease.state != ShardLeaseState::active) continue;
        for (const MachineCapacity& machine_capacity : lease.capacity) {
            if (machine_capacity.machine == machine) return lease.holder;
        }
    }
    return "";
}

std::vector<std::uint64_t> ShardAllocator::active_tokens() const {
    std::vector<std::uint64_t> tokens;
    for (const auto& [shard_number, lease] : leases_)
        tokens.push_back(lease_writer_.table().shard(shard_number).fencing_token);
    return tokens;
}

}  // namespace nickelramp::sharding
