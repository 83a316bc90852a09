// How leases of shards end: ShardAllocator's other half.
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
// A shard is taken back when its holder has not named a job for this long (no grant reaches it), or
// when others have found no place meanwhile. Taking it back needs as long again at the most, so
// that no job is held back longer than jobs::kMaxHoldBack.
constexpr Millis kMaxJobUnconfirmed = jobs::kMaxHoldBack / 2;
constexpr Millis kMaxStarving = jobs::kMaxHoldBack / 2;
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

// --- ending

void ShardAllocator::check_leases(Millis now) {
    for (auto& [shard_number, lease] : leases_) {
        if (lease.state == ShardLeaseState::active) {
            if (!lease.jobs.empty()) lease.idle_since = now;
            if (const auto reason = expiry_reason(lease, now)) expire(shard_number, lease, *reason);
        }
        const bool run_out = lease.state == ShardLeaseState::expiring && now >= lease.expires_at;
        if (!run_out || !term_.lease_confirmed(now)) continue;
        if (term_.role_fence(lease::Role::shard_reclaim) == 0) continue;  // nobody may reclaim now
        reclaim_shard(shard_number, lease, now);
    }
}

std::optional<ShardExpiryReason> ShardAllocator::expiry_reason(const ShardLease& lease,
                                                               Millis now) const {
    const Peer* peer = peer_of(lease);
    if (peer == nullptr || (now > lease.expires_at && !heard_recently(*peer, now)))
        return ShardExpiryReason::holder_lost;
    if (!peer->healthy || peer->incarnation != lease.incarnation)
        return ShardExpiryReason::holder_unhealthy;
    // It has let the shard go and does not take it up again, or has never heard of it.
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

// The holder has the job no more: the capacity reserved for it is free.
void ShardAllocator::take_job_from_holder(Job& job) {
    const auto entry = leases_.find(job.delegated_shard);
    cluster_.reclaim_job(job);
    if (entry == leases_.end()) return;
    ShardLease& lease = entry->second;
    std::erase(lease.jobs, job.spec.id);
    recount_capacity(lease);
}

// Packs the remaining jobs anew. Where the holder has really placed their tasks is its own concern.
void ShardAllocator::recount_capacity(ShardLease& lease) const {
    for (MachineCapacity& on_machine : lease.capacity) {
        const Machine* machine = cluster_.machine_by_index(on_machine.machine);
        if (machine == nullptr) continue;
        on_machine = empty_machine_capacity(on_machine.machine, cluster_.types()[machine->type]);
    }
    for (const std::string& id : lease.jobs) {
        const Job* job = cluster_.job(id);
        if (job == nullptr) continue;
        std::uint32_t tasks_left = job->spec.tasks;
        for (MachineCapacity& on_machine : lease.capacity)
            tasks_left -= reserve_tasks(on_machine, placement::need_of(*job), tasks_left);
    }
}

// --- reclaiming

void ShardAllocator::reclaim_shard(std::uint32_t shard_number, ShardLease& lease, Millis now) {
    set_lease_state(shard_number, lease, ShardLeaseState::reclaiming);
    shards::ShardLeaseTable& table = lease_writer_.table();
    table.reclaim(shard_number);
    for (const MachineCapacity& on_machine : lease.capacity) {
        Machine* machine = cluster_.machine_by_index(on_machine.machine);
        if (machine == nullptr) continue;
        // The holder has received messages of the machine that this controller has not.
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
    // The holder's transactions fail from here on, so the checkpoints as they are now name all that
    // may run. Until they are read the machines look empty: some were once returned as idle, or
    // leased out again.
    set_lease_state(shard_number, lease, ShardLeaseState::recovering);
    std::erase_if(lease.jobs,
                  [this](const std::string& id) { return cluster_.job(id) == nullptr; });
    for (const std::string& id : lease.jobs) reclaim_job(*cluster_.job(id));
    finish_recovery(shard_number);
}

void ShardAllocator::reclaim_job(Job& job) {
    // Shards are granted one after the other, so the holder raised its own token to less than the
    // one under which the shard was taken back.
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

// Ends the lease when the last of its jobs is recovered: its machines are the leader's again.
void ShardAllocator::finish_recovery(std::uint32_t shard_number) {
    const auto entry = leases_.find(shard_number);
    if (entry == leases_.end()) return;
    const ShardLease& lease = entry->second;
    if (lease.state != ShardLeaseState::recovering || !lease.jobs.empty()) return;
    for (const MachineCapacity& on_machine : lease.capacity) {
        Machine* machine = cluster_.machine_by_index(on_machine.machine);
        if (machine == nullptr) continue;
        machine->recovering_jobs = false;
        machine->token_confirmation_pending = true;  // its reply makes it ready
        actions_.queue_commands(*machine);
    }
    leases_.erase(entry);
}

}  // namespace nickelramp::sharding
