// ClusterState: states, delegation and removal of jobs.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "cluster/cluster_state.h"

namespace nickelramp::cluster {

using jobs::JobState;

void ClusterState::set_job_state(Job& job, JobState state) {
    spdlog::debug("job={} state {} -> {}", job.spec.id, name(job.state), name(state));
    job.state.mutable_value() = state;
    if (state == JobState::cancelled || state == JobState::finished)
        guaranteed_quotas_[job.team]->remove(job);
}

void ClusterState::cancel_job(Job& job, Millis now) {
    request_scheduling();
    job.dependencies.submit(job.cancelled_event);
    set_job_state(job, JobState::cancelled);
    stop_all_attempts(job, now);
    release_all_reservations(job);
}

void ClusterState::enqueue_job(Job& job) {
    if (job.in_pending_list || job.unplaced_tasks() == 0) return;
    job.in_pending_list = true;
    pending_jobs_.push_back(job.index);
    request_scheduling();
}

void ClusterState::prune_pending_jobs() {
    std::erase_if(pending_jobs_, [&](Index index) {
        Job* job = jobs_by_index_[index];
        if (job->unplaced_tasks() > 0) return false;
        job->in_pending_list = false;
        job->unplaced_since = 0;
        return true;
    });
}

void ClusterState::delegate_job(Job& job, Index shard) {
    job.delegated_shard.mutable_value() = shard;
    adjust_team_usage(job, job.spec.tasks);
}

void ClusterState::reclaim_job(Job& job) {
    adjust_team_usage(job, -static_cast<double>(job.spec.tasks));
    job.delegated_shard.mutable_value() = kNone;
    request_scheduling();
}

void ClusterState::remove_job(const std::string& id) {
    Job* removed = job(id);
    if (removed == nullptr || removed->state != JobState::finished || !removed->attempts.empty())
        return;
    const Index index = removed->index;
    release_all_reservations(*removed);
    for (Index machine_index : removed->failed_on) {
        if (Machine* machine = registry_.by_index(machine_index))
            std::erase(machine->failed_jobs, index);
    }
    if (removed->in_pending_list) std::erase(pending_jobs_, index);
    job_deadlines_.cancel(index);
    jobs_by_index_[index] = nullptr;
    free_job_indices_.push_back(index);
    jobs_.erase(id);
}

}  // namespace nickelramp::cluster
