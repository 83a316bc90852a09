// ClusterState: adding jobs and loading their checkpoints.
#include <algorithm>
#include <limits>

#include "cluster/cluster_state.h"

namespace nickelramp::cluster {

using jobs::JobState;

namespace {

// The set of a job's tasks that are named by its run records.
class NamedTasks {
  public:
    void add(std::uint32_t task) {
        if (named_.size() <= task) named_.resize(task + 1);
        named_[task] = 1;
    }
    [[nodiscard]] bool contains(std::uint32_t task) const { return named_[task] != 0; }
    // One more than the highest task number in the set.
    [[nodiscard]] std::uint32_t end() const { return static_cast<std::uint32_t>(named_.size()); }

  private:
    std::vector<char> named_;
};

NamedTasks named_tasks(const Job& job) {
    NamedTasks named;
    for (const auto& attempt : job.attempts) named.add(attempt->task);
    for (const jobs::RetryTask& retry : job.retry_tasks) named.add(retry.task);
    for (const auto& [number, chunk] : job.chunks) {
        for (std::uint32_t bit = 0; bit < jobs::kChunkTasks; ++bit) {
            if ((chunk.done >> bit & 1) != 0) named.add(number * jobs::kChunkTasks + bit);
        }
    }
    return named;
}

}  // namespace

void ClusterState::resolve_names(Job& job) {
    job.team = team_names_.find(job.spec.team);
    if (job.team == kNone) {
        // The job was accepted under other settings. A team without a rule has no limit.
        add_team({job.spec.team});
        job.team = team_names_.find(job.spec.team);
    }
    job.image = image_names_.add(job.spec.image);
    job.job_class = class_names_.add(job.spec.job_class);
    if (job.spec.zone) job.zone = zone_names_.add(*job.spec.zone);
    job.allowed_type.assign(type_names_.size(), job.spec.any_type ? 1 : 0);
    for (const std::string& type : job.spec.types) {
        const Index index = type_names_.find(type);
        if (index != kNone) job.allowed_type[index] = 1;
    }
}

void ClusterState::assign_index(Job& job) {
    if (free_job_indices_.empty()) {
        job.index = static_cast<Index>(jobs_by_index_.size());
        jobs_by_index_.push_back(&job);
        return;
    }
    job.index = free_job_indices_.back();
    free_job_indices_.pop_back();
    jobs_by_index_[job.index] = &job;
}

Job& ClusterState::add_job(const jobs::OpenRecord& record, std::uint64_t version,
                           std::int64_t wall_ms, Millis now) {
    auto owned = std::make_unique<Job>();
    Job& job = *owned;
    job.spec = record.spec;
    job.version = version;
    job.accepted_wall_ms = record.accepted_wall_ms;
    job.accepted_at = now - std::max<std::int64_t>(0, wall_ms - record.accepted_wall_ms);
    resolve_names(job);
    assign_index(job);
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

void ClusterState::load_checkpoint(Job& job, std::uint32_t chunk_number,
                                   const jobs::RunRecord& record, std::uint64_t version,
                                   std::uint64_t token, Millis now) {
    jobs::Chunk& chunk = job.chunks[chunk_number];
    chunk.version = version;
    chunk.done_recorded = record.done;
    const std::uint32_t first = chunk_number * jobs::kChunkTasks;
    for (std::uint32_t bit = 0; bit < jobs::kChunkTasks && first + bit < job.spec.tasks; ++bit) {
        if ((record.done >> bit & 1) != 0) job.mark_done(first + bit);
    }
    chunk.dirty = false;
    for (const jobs::RunEntry& entry : record.entries) load_run_entry(job, entry, token, now);
}

void ClusterState::load_run_entry(Job& job, const jobs::RunEntry& entry, std::uint64_t token,
                                  Millis now) {
    if (entry.task >= job.spec.tasks) return;
    job.gang_attempt = std::max(job.gang_attempt, entry.attempt);
    if (!entry.started) {
        if (!job.is_done(entry.task)) job.retry_tasks.push_back({entry.task, entry.attempt});
        return;
    }
    if (registry_.is_tombstoned(entry.machine)) {  // the machine and its attempts are gone
        if (!job.is_gang()) job.retry_tasks.push_back({entry.task, entry.attempt});
        return;
    }
    load_attempt(job, entry, token, now);
}

// The attempt may still be on its machine, so it is treated as live until proven gone.
void ClusterState::load_attempt(Job& job, const jobs::RunEntry& entry, std::uint64_t token,
                                Millis now) {
    Machine* machine = add_machine(entry.machine, now);
    if (machine->state == MachineState::booting) machine->lease_until = inherited_leases_expire_at_;
    auto attempt = std::make_unique<Attempt>();
    attempt->job = job.index;
    attempt->task = entry.task;
    attempt->number = entry.attempt;
    attempt->machine = machine->index;
    attempt->placed_at = now;
    attempt->state.mutable_value() = AttemptState::starting;
    attempt->token = token;
    attempt->incarnation = std::numeric_limits<std::uint64_t>::max();
    if (machine->type != kNone) {
        // The image is probably still on the machine, whatever happened to the task.
        placement::mark_image_used(*machine, types_[machine->type], job.image, job.spec.image_gb,
                                   true, now);
    }
    // The result is ignored because the attempt may already have been started.
    static_cast<void>(link_start_dependencies(job, *attempt));
    append_attempt(job, *machine, std::move(attempt));
}

void ClusterState::finish_loading(Job& job) {
    // A gang completes as a whole, but the previous leader may have recorded only part of it.
    if (job.is_gang() && job.completed_tasks > 0) {
        for (std::uint32_t task = 0; task < job.spec.tasks; ++task) job.mark_done(task);
    }
    // Chunks, and the tasks in them, are started in order. So no task after the last named one was
    // ever started, and neither was any task that no record names.
    const NamedTasks named = named_tasks(job);
    job.next_unstarted_task = named.end();
    for (std::uint32_t task = 0; task < named.end(); ++task) {
        if (!named.contains(task)) job.retry_tasks.push_back({task, 0});
    }
}

void ClusterState::reload_job(Job& job) {
    job.chunks.clear();
    job.retry_tasks.clear();
    job.completed_tasks = 0;
}

}  // namespace nickelramp::cluster
