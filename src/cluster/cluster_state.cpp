// Jobs and teams: how they enter the book, change state and leave it.
#include "cluster/cluster_state.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "partition/partition_responder.h"

namespace nickelramp::cluster {

using jobs::JobState;

namespace {
constexpr Millis kGatherPause = 30'000;  // others may have what was gathered for so long
}

ClusterState::ClusterState(TermContext& term, ClusterObserver& observer, ControlActions& actions,
                           Millis now)
    : term_(term),
      observer_(observer),
      actions_(actions),
      // An earlier leader may have gone on answering for a while after it lost the state service.
      inherited_leases_expire_at_(partition::last_possible_lease_end(term.settings(), now)) {
    for (const wire::Team& team : term.settings().teams) add_team(team);
    for (const std::string& z : term.settings().zones) zone_names_.add(z);
}

void ClusterState::add_team(const wire::Team& rule) {
    team_names_.add(rule.name);
    team_rules_.push_back(rule);
    team_usage_.emplace_back();
    quota_reservations_.emplace_back();
    guaranteed_quotas_.push_back(std::make_unique<GuaranteedQuota>(rule));
}

void ClusterState::set_machine_types(const std::vector<wire::MachineType>& types) {
    for (const wire::MachineType& machine_type : types) {
        Index i = type_names_.add(machine_type.name);
        if (i >= types_.size()) types_.resize(i + 1);
        types_[i] = machine_type;
        for (const std::string& z : machine_type.zones) zone_names_.add(z);
    }
    request_scheduling();
}

Job* ClusterState::job(const std::string& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

std::vector<std::uint32_t> ClusterState::live_tasks_by_zone(const Job& job) const {
    std::vector<std::uint32_t> out(zone_names_.size());
    for (const auto& attempt : job.attempts) {
        const Machine* machine = machine_of(*attempt);
        if (attempt->live() && machine != nullptr && machine->zone != kNone) ++out[machine->zone];
    }
    return out;
}

std::vector<Index> ClusterState::take_due(DeadlineQueue& agenda, Millis now) {
    std::vector<Index> out;
    for (Index i = agenda.pop_due(now); i != kNone; i = agenda.pop_due(now)) out.push_back(i);
    return out;
}

Job& ClusterState::add_job(const jobs::OpenRecord& record, std::uint64_t version,
                           std::int64_t wall_ms, Millis now) {
    auto owned = std::make_unique<Job>();
    Job& job = *owned;
    job.spec = record.spec;
    job.version = version;
    job.accepted_wall_ms = record.accepted_wall_ms;
    job.accepted_at = now - std::max<std::int64_t>(0, wall_ms - record.accepted_wall_ms);
    job.team = team_names_.find(job.spec.team);
    if (job.team == kNone) {
        // Accepted under other settings: without a team rule nothing limits it.
        add_team({job.spec.team});
        job.team = team_names_.find(job.spec.team);
    }
    job.image = image_names_.add(job.spec.image);
    job.job_class = class_names_.add(job.spec.job_class);
    if (job.spec.zone) job.zone = zone_names_.add(*job.spec.zone);
    job.allowed_type.assign(type_names_.size(), job.spec.any_type ? 1 : 0);
    for (const std::string& t : job.spec.types) {
        Index i = type_names_.find(t);
        if (i != kNone) job.allowed_type[i] = 1;
    }
    if (free_job_slots_.empty()) {
        job.index = static_cast<Index>(job_slots_.size());
        job_slots_.push_back(&job);
    } else {
        job.index = free_job_slots_.back();
        free_job_slots_.pop_back();
        job_slots_[job.index] = &job;
    }
    job.accepted_event = job.dependencies.add_event({});
    job.cancelled_event = job.dependencies.add_event({.forcible = true});
    job.dependencies.submit(job.accepted_event);
    observer_.on_job_added(job);
    jobs_.emplace(job.spec.id, std::move(owned));
    if (record.cancelled || record.cancel_requested) {
        job.dependencies.submit(job.cancelled_event);
        set_job_state(job, JobState::cancelled);
    } else {
        guaranteed_quotas_[job.team]->add(job);
    }
    request_scheduling();
    return job;
}

void ClusterState::load_checkpoint(Job& job, std::uint32_t chunk, const jobs::RunRecord& record,
                                   std::uint64_t version, std::uint64_t token, Millis now) {
    jobs::Chunk& c = job.chunks[chunk];
    c.version = version;
    c.done_recorded = record.done;
    std::uint32_t first = chunk * jobs::kChunkTasks;
    for (std::uint32_t i = 0; i < jobs::kChunkTasks && first + i < job.spec.tasks; ++i) {
        if ((record.done >> i & 1) != 0) job.mark_done(first + i);
    }
    c.dirty = false;
    // Chunks are begun in order, tasks within them too.
    for (const jobs::RunEntry& entry : record.entries) {
        if (entry.task >= job.spec.tasks) continue;
        job.gang_attempt = std::max(job.gang_attempt, entry.attempt);
        if (job.is_done(entry.task)) {
            if (!entry.started) continue;
        }
        if (!entry.started) {
            job.retry_tasks.push_back({entry.task, entry.attempt});
            continue;
        }
        if (registry_.is_tombstoned(entry.machine)) {  // gone meanwhile, with all on it
            if (!job.is_gang()) job.retry_tasks.push_back({entry.task, entry.attempt});
            continue;
        }
        // It may be there: it counts until proven gone.
        Machine* machine = add_machine(entry.machine, now);
        if (machine->state == MachineState::booting)
            machine->lease_until = inherited_leases_expire_at_;
        auto attempt = std::make_unique<Attempt>();
        attempt->job = job.index;
        attempt->task = entry.task;
        attempt->number = entry.attempt;
        attempt->machine = machine->index;
        attempt->placed_at = now;
        attempt->state.mutable_value() = AttemptState::starting;
        attempt->token = token;
        attempt->incarnation = UINT64_MAX;
        if (machine->type != kNone) {
            // Its image is likely there still, whatever has become of the task.
            placement::mark_image_used(*machine, types_[machine->type], job.image,
                                       job.spec.image_gb, true, now);
        }
        link_start_dependencies(job, *attempt);
        attempt->place = static_cast<std::uint32_t>(job.attempts.size());
        allocate(*attempt, job, *machine);
        job.attempts.push_back(std::move(attempt));
    }
}

// What is still to be started?
void ClusterState::finish_loading(Job& job) {
    // A gang completes as a whole, of which the last leader may have recorded a part.
    if (job.is_gang() && job.completed_tasks > 0) {
        for (std::uint32_t t = 0; t < job.spec.tasks; ++t) job.mark_done(t);
    }
    // Fresh tasks are those that no record names.
    std::vector<char> named;
    std::uint32_t last = 0;
    auto name = [&](std::uint32_t task) {
        if (named.size() <= task) named.resize(task + 1);
        named[task] = 1;
        last = std::max(last, task + 1);
    };
    for (const auto& attempt : job.attempts) name(attempt->task);
    for (const jobs::RetryTask& w : job.retry_tasks) name(w.task);
    for (const auto& [n, c] : job.chunks) {
        for (std::uint32_t i = 0; i < jobs::kChunkTasks; ++i) {
            if ((c.done >> i & 1) != 0) name(n * jobs::kChunkTasks + i);
        }
    }
    job.next_unstarted_task = last;
    for (std::uint32_t t = 0; t < last; ++t) {
        if (named[t] == 0) job.retry_tasks.push_back({t, 0});
    }
}

void ClusterState::reload_job(Job& job) {
    job.chunks.clear();
    job.retry_tasks.clear();
    job.completed_tasks = 0;
}

void ClusterState::set_job_state(Job& job, JobState state) {
    spdlog::debug("job {}: {} -> {}", job.spec.id, name(job.state), name(state));
    job.state.mutable_value() = state;
    if (state == JobState::cancelled || state == JobState::finished)
        guaranteed_quotas_[job.team]->remove(job);
}

void ClusterState::cancel_job(Job& job, Millis now) {
    request_scheduling();
    job.dependencies.submit(job.cancelled_event);
    set_job_state(job, JobState::cancelled);
    stop_all_attempts(job, now);
    while (!job.reserved_machines.empty())
        release_reservation(*registry_.by_index(job.reserved_machines.back()));
}

const Job* ClusterState::quota_reserved_for(Index team) const {
    const Index i = quota_reservations_[team].gang;
    const Job* job = i == kNone ? nullptr : job_slots_[i];
    // It has begun, is over, or its place in the list is another's.
    return job != nullptr && job->team == team && job->is_gang() && job->unplaced_tasks() > 0
               ? job
               : nullptr;
}

void ClusterState::reserve_quota(const Job& gang, Millis now) {
    if (!may_reserve_quota(gang.team, now)) return;
    QuotaReservation& g = quota_reservations_[gang.team];
    if (now - g.since > jobs::kMaxHoldBack) g.since = now;
    const Job* first = quota_reserved_for(gang.team);
    if (first == nullptr || gang.accepted_at < first->accepted_at) g.gang = gang.index;
}

void ClusterState::release_reserved_quota(const Job& gang) {
    QuotaReservation& g = quota_reservations_[gang.team];
    if (g.gang == gang.index) g.gang = kNone;
}

bool ClusterState::may_reserve_quota(Index team, Millis now) const {
    const Millis spell = now - quota_reservations_[team].since;
    return spell <= jobs::kMaxHoldBack || spell > jobs::kMaxHoldBack + kGatherPause;
}

void ClusterState::pause_quota_reservation(const Job& gang, Millis now) {
    QuotaReservation& g = quota_reservations_[gang.team];
    if (g.gang != gang.index) return;
    g.gang = kNone;
    g.since = now - jobs::kMaxHoldBack - 1;
}

void ClusterState::expire_quota_reservations(Millis now) {
    for (QuotaReservation& g : quota_reservations_) {
        if (now - g.since > jobs::kMaxHoldBack) g.gang = kNone;
    }
}

void ClusterState::enqueue_job(Job& job) {
    if (job.in_pending_list || job.unplaced_tasks() == 0) return;
    job.in_pending_list = true;
    pending_jobs_.push_back(job.index);
    request_scheduling();
}

void ClusterState::prune_pending_jobs() {
    std::erase_if(pending_jobs_, [&](Index i) {
        Job* job = job_slots_[i];
        if (job->unplaced_tasks() > 0) return false;
        job->in_pending_list = false;
        job->unplaced_since = 0;
        return true;
    });
}

void ClusterState::delegate_job(Job& job, Index block) {
    job.delegated_shard.mutable_value() = block;
    adjust_team_usage(job, job.spec.tasks);
}

void ClusterState::reclaim_job(Job& j) {
    adjust_team_usage(j, -static_cast<double>(j.spec.tasks));
    j.delegated_shard.mutable_value() = kNone;
    request_scheduling();
}

void ClusterState::remove_job(const std::string& id) {
    Job* j = job(id);
    if (j == nullptr || j->state != JobState::finished || !j->attempts.empty()) return;
    Index slot = j->index;
    while (!j->reserved_machines.empty())
        release_reservation(*registry_.by_index(j->reserved_machines.back()));
    for (Index i : j->failed_on) {
        if (Machine* machine = registry_.by_index(i)) std::erase(machine->failed_jobs, slot);
    }
    if (j->in_pending_list) std::erase(pending_jobs_, slot);
    job_deadlines_.cancel(slot);
    job_slots_[slot] = nullptr;
    free_job_slots_.push_back(slot);
    jobs_.erase(id);
}

}  // namespace nickelramp::cluster
