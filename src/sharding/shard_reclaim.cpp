// Implements the part of ShardAllocator that ends shard leases and reclaims shards.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "partition/partition_responder.h"
#include "sharding/shard_allocator.h"

namespace nickelramp::sharding {

using jobs::Job;
using jobs::JobState;
using machines::Machine;
using machines::MachineState;

namespace {
constexpr Millis kMaxIdle = 8'000;
constexpr Millis kMaxUnconfirmed = 8'000;
// A shard is reclaimed when its holder has not reported a delegated job for this long (no grant
// reaches the holder), or when other jobs could not be placed for this long. Reclaiming it takes at
// most as long again, so that no job is held back for longer than jobs::kMaxWithholdingTime.
constexpr Millis kMaxJobUnconfirmed = jobs::kMaxWithholdingTime / 2;
constexpr Millis kMaxStarving = jobs::kMaxWithholdingTime / 2;
}  // namespace

const char* name(ShardExpiryReason reason) {
    switch (reason) {
        case ShardExpiryReason::holder_lost:
            return "holder-lost";
        case ShardExpiryReason::holder_unhealthy:
            return "holder-unhealthy";
        case ShardExpiryReason::holder_unconfirmed:
            return "holder-unconfirmed";
        case ShardExpiryReason::job_unconfirmed:
            return "job-unconfirmed";
        case ShardExpiryReason::machine_unhealthy:
            return "machine-unhealthy";
        case ShardExpiryReason::idle:
            return "idle";
        case ShardExpiryReason::capacity_needed:
            return "capacity-needed";
        case ShardExpiryReason::sharding_disabled:
            return "sharding-disabled";
    }
    return "?";
}

void ShardAllocator::set_lease_state(std::uint32_t shard_number, ShardLease& lease,
                                     ShardLeaseState state) {
    spdlog::info("shard lease state changed shard={} holder={} from={} to={}", shard_number,
                 lease.holder, name(lease.state), name(state));
    lease.state = state;
}

void ShardAllocator::expire(std::uint32_t shard_number, ShardLease& lease,
                            ShardExpiryReason reason) {
    spdlog::info("shard lease not renewed shard={} holder={} reason={}", shard_number, lease.holder,
                 name(reason));
    set_lease_state(shard_number, lease, ShardLeaseState::expiring);
}

// --- Expiry of shard leases and ends of delegated jobs

void ShardAllocator::check_leases(Millis now) {
    for (auto& [shard_number, lease] : leases_) {
        if (lease.state == ShardLeaseState::active) {
            if (!lease.jobs.empty()) lease.idle_since = now;
            if (const auto reason = expiry_reason(lease, now)) expire(shard_number, lease, *reason);
        }
        const bool has_expired =
            lease.state == ShardLeaseState::expiring && now >= lease.expires_at;
        if (!has_expired || !term_.lease_confirmed(now)) continue;
        if (term_.role_fence(lease::Role::shard_reclaim) == 0) continue;  // role not held
        reclaim_shard(shard_number, lease, now);
    }
}

std::optional<ShardExpiryReason> ShardAllocator::expiry_reason(const ShardLease& lease,
                                                               Millis now) const {
    const Peer* peer = peer_of(lease);
    if (peer == nullptr || (now > lease.expires_at && !status_is_recent(*peer, now)))
        return ShardExpiryReason::holder_lost;
    if (!peer->healthy || peer->incarnation != lease.incarnation)
        return ShardExpiryReason::holder_unhealthy;
    // The holder has released the shard and does not accept it again, or has never received a
    // grant.
    if (now - lease.holder_confirmed_at > kMaxUnconfirmed)
        return ShardExpiryReason::holder_unconfirmed;
    if (has_unconfirmed_job(lease, now)) return ShardExpiryReason::job_unconfirmed;
    if (now - lease.idle_since > kMaxIdle) return ShardExpiryReason::idle;
    if (term_.options().delegated_machines == 0) return ShardExpiryReason::sharding_disabled;
    const bool starving_long = now - starving_since_ > kMaxStarving;
    if (jobs_starving_ && (lease.jobs.empty() || starving_long))
        return ShardExpiryReason::capacity_needed;
    return std::nullopt;
}

bool ShardAllocator::has_unconfirmed_job(const ShardLease& lease, Millis now) const {
    return std::any_of(lease.jobs.begin(), lease.jobs.end(), [&](const std::string& id) {
        const Job* job = cluster_.job(id);
        return job != nullptr && now - job->delegation_confirmed_at > kMaxJobUnconfirmed;
    });
}

void ShardAllocator::on_shard_status(const peers::ShardStatus& shard_status, Millis now) {
    for (auto& [shard_number, lease] : leases_) {
        const shards::Shard& shard = lease_writer_.table().shard(shard_number);
        if (lease.holder != shard_status.from || shard.fencing_token != shard_status.token)
            continue;
        lease.holder_confirmed_at = now;
        for (const peers::ShardStatus::Job& reported : shard_status.jobs) {
            Job* job = cluster_.job(reported.id);
            if (job == nullptr || job->delegated_shard != shard_number) continue;
            job->delegation_confirmed_at = now;
            job->delegated_done = reported.done;
            job->delegated_running = reported.running;
        }
        if (!shard_status.unhealthy_machines.empty() && lease.state == ShardLeaseState::active)
            expire(shard_number, lease, ShardExpiryReason::machine_unhealthy);
    }
}

void ShardAllocator::on_open_record_deleted(const std::string& id) {
    Job* job = cluster_.job(id);
    if (job == nullptr || job->delegated_shard == kNone) return;
    const std::uint32_t shard_number = job->delegated_shard;
    take_job_from_holder(*job);
    finish_recovery(shard_number);
    cluster_.set_job_state(*job, JobState::finished);
    cluster_.remove_job(id);
}

// Removes the job from the holder's lease and frees the capacity that is reserved for it.
void ShardAllocator::take_job_from_holder(Job& job) {
    const auto entry = leases_.find(job.delegated_shard);
    cluster_.reclaim_job(job);
    if (entry == leases_.end()) return;
    ShardLease& lease = entry->second;
    std::erase(lease.jobs, job.spec.id);
    recount_capacity(lease);
}

// Reserves capacity anew for the remaining jobs. The holder's actual placement of their tasks may
// differ and is not known here.
void ShardAllocator::recount_capacity(ShardLease& lease) const {
    for (MachineCapacity& machine_capacity : lease.capacity) {
        const Machine* machine = cluster_.machine_by_index(machine_capacity.machine);
        if (machine == nullptr) continue;
        machine_capacity =
            empty_machine_capacity(machine_capacity.machine, cluster_.types()[machine->type]);
    }
    for (const std::string& id : lease.jobs) {
        const Job* job = cluster_.job(id);
        if (job == nullptr) continue;
        std::uint32_t tasks_left = job->spec.tasks;
        for (MachineCapacity& machine_capacity : lease.capacity)
            tasks_left -= reserve_tasks(machine_capacity, placement::need_of(*job), tasks_left);
    }
}

// --- Reclaiming of shards with expired leases

void ShardAllocator::reclaim_shard(std::uint32_t shard_number, ShardLease& lease, Millis now) {
    set_lease_state(shard_number, lease, ShardLeaseState::reclaiming);
    shards::ShardLeaseTable& table = lease_writer_.table();
    table.reclaim(shard_number);
    for (const MachineCapacity& machine_capacity : lease.capacity) {
        Machine* machine = cluster_.machine_by_index(machine_capacity.machine);
        if (machine == nullptr) continue;
        // The holder has received messages from the machine that this controller has not.
        cluster_.take_control(*machine, table.shard(shard_number).fencing_token, now);
        machine->lease_until = partition::last_possible_lease_end(term_.settings(), now);
        machine->recovering_jobs = true;
        cluster_.set_machine_state(*machine, MachineState::joining);
        actions_.queue_commands(*machine);
    }
}

void ShardAllocator::on_shard_recorded(std::uint32_t shard_number, Millis now) {
    const auto entry = leases_.find(shard_number);
    if (entry == leases_.end()) return;
    ShardLease& lease = entry->second;
    if (lease.state == ShardLeaseState::recording) {
        set_lease_state(shard_number, lease, ShardLeaseState::active);
        lease.expires_at = now;
        lease.holder_confirmed_at = now;
        return;
    }
    if (lease.state != ShardLeaseState::reclaiming) return;
    // The holder's transactions fail from here on, so the current checkpoints name all attempts
    // that may be running. Until they are read, the machines look empty. The recovering state
    // prevents a fault in which such machines were returned to the cloud as idle or leased out
    // again.
    set_lease_state(shard_number, lease, ShardLeaseState::recovering);
    std::erase_if(lease.jobs,
                  [this](const std::string& id) { return cluster_.job(id) == nullptr; });
    for (const std::string& id : lease.jobs) reclaim_job(*cluster_.job(id));
    finish_recovery(shard_number);
}

void ShardAllocator::reclaim_job(Job& job) {
    // Grant numbers only increase, so any token that the holder derived from its grant is lower
    // than the token under which the shard was reclaimed.
    const std::uint64_t highest_holder_token =
        lease_writer_.table().shard(job.delegated_shard).fencing_token - 1;
    term_.gateway().list("run/" + job.spec.id + "/",
                         term_.guarded([this, id = job.spec.id, highest_holder_token](
                                           Millis replied_at, const kvstore::ListReply& reply) {
                             on_checkpoints_listed(id, highest_holder_token, reply, replied_at);
                         }));
}

void ShardAllocator::on_checkpoints_listed(const std::string& id,
                                           std::uint64_t highest_holder_token,
                                           const kvstore::ListReply& reply, Millis now) {
    Job* job = cluster_.job(id);
    if (job == nullptr || job->delegated_shard == kNone) return;
    if (reply.status != kvstore::Status::ok) {
        reclaim_job(*job);
        return;
    }
    const std::uint32_t shard_number = job->delegated_shard;
    take_job_from_holder(*job);
    cluster_.reload_job(*job);
    lifecycle_.load_checkpoints(reply, highest_holder_token, now);
    lifecycle_.complete_load(*job, now);
    finish_recovery(shard_number);
    actions_.send_queued_commands(now);
}

// Ends the lease once the last of its jobs is recovered. Its machines are the leader's again.
void ShardAllocator::finish_recovery(std::uint32_t shard_number) {
    const auto entry = leases_.find(shard_number);
    if (entry == leases_.end()) return;
    const ShardLease& lease = entry->second;
    if (lease.state != ShardLeaseState::recovering || !lease.jobs.empty()) return;
    for (const MachineCapacity& machine_capacity : lease.capacity) {
        Machine* machine = cluster_.machine_by_index(machine_capacity.machine);
        if (machine == nullptr) continue;
        machine->recovering_jobs = false;
        machine->token_confirmation_pending = true;  // the machine's reply makes it ready
        actions_.queue_commands(*machine);
    }
    leases_.erase(entry);
}

}  // namespace nickelramp::sharding
