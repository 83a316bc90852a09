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
constexpr Millis kLease = 4'000;
constexpr Millis kIdleLease = 8'000;
// A block is taken back when its holder has not named a job that it was given for so long (no grant
// comes to it), or when others found no place meanwhile. That is done within as long again.
constexpr Millis kTakenWithin = jobs::kMaxHoldBack / 2;
constexpr Millis kShareEvery = 500;
constexpr std::size_t kMostJobs = 40;  // lent with one block

// Sets room aside for as many of the tasks left as fit.
template <typename Room>
void take_room(Room& r, const Need& need, std::uint32_t& left) {
    while (left > 0 && placement::fits_within(r.cpus, r.gpus, r.memory_gb, need)) {
        r.cpus -= need.cpus;
        r.gpus -= need.gpus;
        r.memory_gb -= need.memory_gb;
        --left;
    }
}
}  // namespace

void ShardAllocator::on_peer_status(const peers::Status& status, Millis now) {
    peers_[status.from] = {status.incarnation, status.clock_ms,
                           status.state_age_ms < readiness::kRecentAnswerMs, now};
}

const char* name(ShardLeaseState state) {
    static const char* names[] = {"wanted", "granted", "ending", "reclaimed", "reading"};
    return names[static_cast<int>(state)];
}

void ShardAllocator::set_lease_state(std::uint32_t block, ShardLease& lease,
                                     ShardLeaseState state) {
    spdlog::info("block {} of {}: {} -> {}", block, lease.holder, name(lease.state), name(state));
    lease.state = state;
}

// Lends each healthy peer a block of empty machines of one zone.
void ShardAllocator::allocate_shards(Millis now) {
    const auto share = static_cast<std::size_t>(term_.options().delegated_machines);
    if (share == 0 || !term_.lease_confirmed(now) || lease_writer_.write_in_flight() ||
        jobs_starving_ || now < next_allocation_at_)
        return;
    next_allocation_at_ = now + kShareEvery;
    for (const auto& [name, peer] : peers_) {
        if (!peer.healthy || now - peer.last_status_at > readiness::kPeerStatusLifetime) continue;
        bool has = std::any_of(leases_.begin(), leases_.end(),
                               [&](const auto& l) { return l.second.holder == name; });
        if (has) continue;
        std::map<Index, std::vector<Machine*>> by_zone;
        for (const wire::MachineType& machine_type : cluster_.types()) {
            const Index type = cluster_.type_names().find(machine_type.name);
            const bool enough = forecast_.mutable_demand(type).available_for_whole_machine_tasks >
                                forecast_.wanted_spare_machines(type, now) + share;
            cluster_.free_capacity().for_each_candidate(
                {machine_type.cpus, machine_type.gpus, machine_type.memory_gb},
                [&](const auto& kind) { return kind.type == type; },
                [&](Index i) {
                    Machine* machine = cluster_.machine_by_index(i);
                    if (machine->attempts.empty() && machine->shard_recorded &&
                        machine->reserved_for == kNone && !machine->command_in_flight &&
                        (machine->spot || enough) && now >= machine->probation_until &&
                        machine->confirmed()) {
                        by_zone[machine->zone].push_back(machine);
                    }
                    return by_zone[machine->zone].size() < share;
                });
        }
        for (auto& [zone, list] : by_zone) {
            if (list.size() < share) continue;
            list.resize(share);
            std::vector<std::string> names;
            for (Machine* machine : list) names.push_back(machine->name);
            std::uint32_t block = lease_writer_.table().lease_out(names, name);
            ShardLease& lease = leases_[block];
            lease.holder = name;
            lease.incarnation = peer.incarnation;
            lease.idle_since = now;
            for (Machine* machine : list) {
                const wire::MachineType& machine_type = cluster_.types()[machine->type];
                lease.capacity.push_back(
                    {machine->index, machine_type.cpus, machine_type.gpus, machine_type.memory_gb});
                machine->token = lease_writer_.table().shard(block).fencing_token;
                machine->shard_recorded = false;
                cluster_.set_machine_state(*machine, MachineState::leased_out);
            }
            spdlog::info("lending {} machines to {} as block {}", list.size(), name, block);
            lease_writer_.write(now);
            return;
        }
    }
}

void ShardAllocator::on_shard_recorded(std::uint32_t block, Millis now) {
    auto it = leases_.find(block);
    if (it == leases_.end()) return;
    ShardLease& lease = it->second;
    if (lease.state == ShardLeaseState::recording) {
        set_lease_state(block, lease, ShardLeaseState::active);
        lease.expires_at = lease.holder_confirmed_at = now;
        return;
    }
    if (lease.state != ShardLeaseState::reclaiming) return;
    // The holder's transactions fail from here on: what its records say now is what can be.
    // Its machines seem empty until then: they were once returned as idle, or lent again.
    set_lease_state(block, lease, ShardLeaseState::recovering);
    std::erase_if(lease.jobs,
                  [this](const std::string& id) { return cluster_.job(id) == nullptr; });
    for (const std::string& id : lease.jobs) reclaim_job(*cluster_.job(id));
    finish_recovery(block);
}

void ShardAllocator::finish_recovery(std::uint32_t block) {
    auto it = leases_.find(block);
    if (it == leases_.end() || it->second.state != ShardLeaseState::recovering) return;
    if (!it->second.jobs.empty()) return;
    for (const MachineCapacity& r : it->second.capacity) {
        Machine* machine = cluster_.machine_by_index(r.machine);
        if (machine == nullptr) continue;
        machine->recovering_jobs = false;
        machine->token_confirmation_pending = true;  // its answer makes it ready
        actions_.queue_commands(*machine);
    }
    leases_.erase(it);
}

// Gives a job whole to a holder that has room for all of it.
bool ShardAllocator::delegate_job(Job& job, Millis now) {
    if (term_.is_shard_holder() || leases_.empty() || !job.attempts.empty() || job.commit_in_flight)
        return false;
    if (job.unplaced_tasks() != job.spec.tasks || !rules_.within_limit(job, job.spec.tasks))
        return false;
    // Replicas stay: they would keep a block from ever being empty.
    if (job.is_service()) return false;
    if (job.spec.spread && job.spec.tasks > 1) return false;  // a block is of one zone
    // Records of earlier attempts may name machines that the holder does not have.
    if (!job.chunks.empty() || job.gang_attempt != 0) return false;
    for (auto& [block, l] : leases_) {
        auto peer = peers_.find(l.holder);
        if (l.state != ShardLeaseState::active || l.jobs.size() >= kMostJobs) continue;
        if (peer == peers_.end() ||
            now - peer->second.last_status_at > readiness::kPeerStatusLifetime)
            continue;
        Need need = placement::need_of(job);
        auto room = l.capacity;
        std::uint32_t left = job.spec.tasks;
        for (MachineCapacity& r : room) {
            Machine* machine = cluster_.machine_by_index(r.machine);
            if (machine != nullptr && rules_.allowed(job, *machine)) take_room(r, need, left);
        }
        if (left > 0) continue;
        l.capacity = room;
        l.jobs.push_back(job.spec.id);
        cluster_.delegate_job(job, block);
        job.delegation_confirmed_at = now;
        spdlog::debug("job {} goes to {} with block {}", job.spec.id, l.holder, block);
        return true;
    }
    return false;
}

// The holder has it no more: what was set aside for it is free.
void ShardAllocator::on_job_left(Job& job) {
    auto it = leases_.find(job.delegated_shard);
    cluster_.reclaim_job(job);
    if (it == leases_.end()) return;
    ShardLease& lease = it->second;
    std::erase(lease.jobs, job.spec.id);
    // Packs the rest anew; what holders do within is theirs.
    for (MachineCapacity& r : lease.capacity) {
        Machine* machine = cluster_.machine_by_index(r.machine);
        if (machine == nullptr) continue;
        const wire::MachineType& machine_type = cluster_.types()[machine->type];
        r = {r.machine, machine_type.cpus, machine_type.gpus, machine_type.memory_gb};
    }
    for (const std::string& id : lease.jobs) {
        Job* other = cluster_.job(id);
        if (other == nullptr) continue;
        Need need = placement::need_of(*other);
        std::uint32_t left = other->spec.tasks;
        for (MachineCapacity& r : lease.capacity) take_room(r, need, left);
    }
}

void ShardAllocator::on_open_record_deleted(const std::string& id) {
    Job* job = cluster_.job(id);
    if (job == nullptr || job->delegated_shard == kNone) return;
    const std::uint32_t block = job->delegated_shard;
    on_job_left(*job);
    finish_recovery(block);
    cluster_.set_job_state(*job, JobState::finished);
    cluster_.remove_job(id);
}

std::vector<std::pair<std::string, peers::ShardGrant>> ShardAllocator::renewals(Millis view_fresh,
                                                                                Millis now) {
    std::vector<std::pair<std::string, peers::ShardGrant>> out;
    if (!term_.lease_confirmed(now)) return out;
    for (auto& [block, l] : leases_) {
        auto peer = peers_.find(l.holder);
        if (l.state != ShardLeaseState::active || peer == peers_.end()) continue;
        if (now - peer->second.last_status_at > readiness::kPeerStatusLifetime) continue;
        if (peer->second.incarnation != l.incarnation) continue;
        const shards::Shard& shard = lease_writer_.table().shard(block);
        if (shard.dirty || shard.write_uncertain) continue;
        peers::ShardGrant g;
        g.from = term_.settings().name;
        g.term = term_.info().number;
        g.term_version = term_.info().version;
        g.shard = block;
        g.shard_version = shard.version;
        g.token = shard.fencing_token;
        g.incarnation = l.incarnation;
        g.status_clock_ms = peer->second.clock_ms;
        g.lease_ms = static_cast<std::uint64_t>(kLease);
        g.view_age_ms = static_cast<std::uint64_t>(now - view_fresh);
        g.machines = shard.members;
        for (const std::string& id : l.jobs) {
            Job* job = cluster_.job(id);
            if (job != nullptr) g.jobs.push_back({id, job->state == JobState::cancelled ? 1u : 0u});
        }
        l.expires_at = now + with_clock_drift(kLease);
        out.emplace_back(l.holder, std::move(g));
    }
    return out;
}

void ShardAllocator::on_shard_status(const peers::ShardStatus& shard_status, Millis now) {
    for (auto& [block, l] : leases_) {
        if (l.holder != shard_status.from ||
            lease_writer_.table().shard(block).fencing_token != shard_status.token)
            continue;
        l.holder_confirmed_at = now;
        for (const peers::ShardStatus::Job& n : shard_status.jobs) {
            Job* job = cluster_.job(n.id);
            if (job == nullptr || job->delegated_shard != block) continue;
            job->delegation_confirmed_at = now;
            job->delegated_done = n.done;
            job->delegated_running = n.running;
        }
        if (!shard_status.unhealthy_machines.empty() && l.state == ShardLeaseState::active) {
            set_lease_state(block, l,
                            ShardLeaseState::expiring);  // the leader looks after them itself
        }
    }
}

// Ends leases that are idle, wanted elsewhere or no longer renewed, and takes their blocks back.
void ShardAllocator::check_leases(Millis now) {
    for (auto& [block, l] : leases_) {
        if (l.state == ShardLeaseState::active) {
            auto peer = peers_.find(l.holder);
            bool lost = peer == peers_.end() ||
                        (now > l.expires_at &&
                         now - peer->second.last_status_at > readiness::kPeerStatusLifetime);
            if (!l.jobs.empty()) l.idle_since = now;
            bool idle = now - l.idle_since > kIdleLease;
            bool unhealthy = peer != peers_.end() &&
                             (!peer->second.healthy || peer->second.incarnation != l.incarnation);
            // It has let the block go and does not take it up again, or has never heard of it.
            const bool silent = now - l.holder_confirmed_at > kIdleLease;
            const bool dropped = std::any_of(l.jobs.begin(), l.jobs.end(), [&](const auto& id) {
                const Job* job = cluster_.job(id);
                return job != nullptr && now - job->delegation_confirmed_at > kTakenWithin;
            });
            if (lost || idle || unhealthy || silent || dropped ||
                term_.options().delegated_machines == 0 ||
                (jobs_starving_ && (l.jobs.empty() || now - starving_since_ > kTakenWithin))) {
                set_lease_state(block, l, ShardLeaseState::expiring);
            }
        }
        if (l.state != ShardLeaseState::expiring || now < l.expires_at ||
            !term_.lease_confirmed(now))
            continue;
        if (term_.role_fence(lease::Role::shard_reclaim) == 0) continue;
        set_lease_state(block, l, ShardLeaseState::reclaiming);
        lease_writer_.table().reclaim(block);
        for (const MachineCapacity& r : l.capacity) {
            Machine* machine = cluster_.machine_by_index(r.machine);
            if (machine == nullptr) continue;
            // The holder has heard more than this book.
            cluster_.take_control(*machine, lease_writer_.table().shard(block).fencing_token, now);
            machine->lease_until = partition::last_possible_lease_end(term_.settings(), now);
            machine->recovering_jobs = true;
            cluster_.set_machine_state(*machine, MachineState::joining);
            actions_.queue_commands(*machine);
        }
    }
}

void ShardAllocator::reclaim_job(Job& j) {
    std::uint64_t theirs = lease_writer_.table().shard(j.delegated_shard).fencing_token -
                           1;  // at most: grants follow each other
    term_.gateway().list(
        "run/" + j.spec.id + "/",
        term_.guarded([this, id = j.spec.id, theirs](Millis t, const kvstore::ListReply& reply) {
            Job* job = cluster_.job(id);
            if (job == nullptr || job->delegated_shard == kNone) return;
            if (reply.status != kvstore::Status::ok) {
                reclaim_job(*job);
                return;
            }
            const std::uint32_t block = job->delegated_shard;
            on_job_left(*job);
            cluster_.reload_job(*job);
            lifecycle_.load_checkpoints(reply, theirs, t);
            lifecycle_.complete_load(*job, t);
            finish_recovery(block);
            actions_.send_queued_commands(t);
        }));
}

std::string ShardAllocator::holder_of(Index machine) const {
    for (const auto& [block, l] : leases_) {
        if (l.state != ShardLeaseState::active) continue;
        for (const MachineCapacity& r : l.capacity) {
            if (r.machine == machine) return l.holder;
        }
    }
    return "";
}

std::vector<std::uint64_t> ShardAllocator::active_tokens() const {
    std::vector<std::uint64_t> out;
    for (const auto& [block, l] : leases_)
        out.push_back(lease_writer_.table().shard(block).fencing_token);
    return out;
}

}  // namespace nickelramp::sharding
