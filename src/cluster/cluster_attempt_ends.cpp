// ClusterState: stopping and ending attempts. Every end is submitted to the job's dependencies.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "cluster/cluster_state.h"

namespace nickelramp::cluster {

using jobs::JobState;
using wire::ExitCause;

namespace {

// A job whose tasks fail on several machines is put on trial: it runs one task at a time, with a
// back-off between the starts of consecutive tasks that doubles each time.
constexpr Millis kFirstBackoff = 10'000;
constexpr Millis kLongestBackoff = jobs::kMaxWithholdingTime * 3 / 4;
constexpr Millis kShortestBackoff = kFirstBackoff / 2;  // counted from the end of a task
constexpr std::uint32_t kMaxBackoffDoublings = 6;

constexpr Millis kProbation = 30'000;           // of a machine on which a task failed
constexpr Millis kMismatchProbation = 3'000;    // of a machine that rejected a task
constexpr std::size_t kMachinesToBlameJob = 3;  // failures until a job is put on trial
constexpr std::size_t kJobsToBlameMachine = 2;  // failed jobs until a machine is released
constexpr double kSaveMarginS = 1.0;            // added to the job's own time to save

bool contains(const std::vector<Index>& list, Index index) {
    return std::find(list.begin(), list.end(), index) != list.end();
}

}  // namespace

void ClusterState::attempt_gone(Attempt& attempt, Millis now) {
    Job& job = job_of(attempt);
    if (attempt.live()) {
        spdlog::debug("job={} task={} attempt={} gone, state was {}", job.spec.id, attempt.task,
                      attempt.number, name(attempt.state));
        deallocate(attempt, job);
        set_attempt_state(attempt, AttemptState::exited, now);
        attempt_finished(job, attempt, now);
    }
    const std::string id = job.spec.id;
    erase_attempt(attempt);
    remove_job(id);
}

// Applies the worker's report that the attempt has exited. The attempt is kept until the worker no
// longer lists it.
void ClusterState::attempt_exited(Attempt& attempt, ExitCause cause, Millis now) {
    if (!attempt.live()) return;
    Job& job = job_of(attempt);
    Machine* machine = machine_of(attempt);
    spdlog::debug("job={} task={} attempt={} exited, cause {}", job.spec.id, attempt.task,
                  attempt.number, wire::name(cause));
    deallocate(attempt, job);
    attempt.cause = cause;
    set_attempt_state(attempt, AttemptState::exited, now);
    if (cause == ExitCause::done) {
        if (machine != nullptr) machine->failed_jobs.clear();
        task_completed(job, attempt, now);
    } else if (cause == ExitCause::error && machine != nullptr) {
        record_task_error(job, attempt, *machine, now);
    } else if (cause == ExitCause::unknown) {
        job.backoff_until = now + kShortestBackoff;
    } else if ((cause == ExitCause::no_room || cause == ExitCause::busy) && machine != nullptr) {
        // The worker has less free capacity than assumed here. The next heartbeat corrects this.
        machine->probation_until = std::max(machine->probation_until, now + kMismatchProbation);
    }
    attempt_finished(job, attempt, now);
}

void ClusterState::task_completed(Job& job, const Attempt& attempt, Millis now) {
    job.on_trial = false;
    observer_.on_task_completed(job, attempt, now);
    if (job.unsaved_completions_since == 0) job.unsaved_completions_since = now;
    if (!job.is_gang()) {
        job.mark_done(attempt.task);
        return;
    }
    // The members of a gang complete together. If one is done, all are.
    for (std::uint32_t task = 0; task < job.spec.tasks; ++task) job.mark_done(task);
}

// Handles the end of an attempt, which no longer uses any resources.
void ClusterState::attempt_finished(Job& job, Attempt& attempt, Millis now) {
    if (attempt.end_event != kNone) {
        job.dependencies.submit(attempt.end_event);
        job.dependencies.remove_event(attempt.start_event);
        job.dependencies.remove_event(attempt.end_event);
        attempt.start_event = attempt.end_event = kNone;
    }
    requeue_task(job, attempt);
    if (job.is_gang()) {
        const bool others_run = job.live_attempts > 0;
        if (job.state == JobState::open && job.completed_tasks == 0 && !job.gang_broken &&
            others_run)
            break_gang(job, now);
        if (job.live_attempts == 0) job.gang_broken = false;
    }
    enqueue_job(job);
    actions_.advance_job(job, now);
}

void ClusterState::requeue_task(Job& job, const Attempt& attempt) {
    if (job.is_gang() || job.state != JobState::open || job.is_done(attempt.task)) return;
    job.retry_tasks.push_back({attempt.task, attempt.number});
}

void ClusterState::erase_attempt(Attempt& attempt) {
    if (Machine* machine = machine_of(attempt)) std::erase(machine->attempts, &attempt);
    auto& attempts = job_of(attempt).attempts;
    const std::uint32_t index = attempt.index_in_job;
    std::swap(attempts[index], attempts.back());
    attempts[index]->index_in_job = index;
    attempts.pop_back();
}

void ClusterState::request_stop(Attempt& attempt, double grace_s, Millis now) {
    if (!attempt.live()) return;
    if (attempt.state == AttemptState::recording || attempt.state == AttemptState::recorded) {
        attempt_gone(attempt, now);  // its start command was never sent
        return;
    }
    if (attempt.stop_requested && attempt.stop_grace_s <= grace_s) return;
    attempt.stop_requested = true;
    attempt.stop_grace_s = grace_s;
    attempt.stop_sent = false;
    if (Machine* machine = machine_of(attempt)) actions_.queue_commands(*machine);
}

void ClusterState::stop_all_attempts(Job& job, Millis now) { stop_each_attempt(job, 0, now); }

void ClusterState::stop_each_attempt(Job& job, double grace_s, Millis now) {
    // A gang member whose start command was never sent is gone at once. Without this flag that
    // would break the gang and end its other members inside the loop below, which would then
    // continue with destroyed attempts.
    if (job.is_gang() && job.state == JobState::open && job.live_attempts > 0)
        job.gang_broken = true;
    // Iterate over a copy: attempts whose start command was never sent leave the list at once.
    std::vector<Attempt*> attempts;
    attempts.reserve(job.attempts.size());
    for (const auto& attempt : job.attempts) attempts.push_back(attempt.get());
    for (Attempt* attempt : attempts) request_stop(*attempt, grace_s, now);
}

void ClusterState::checkpoint_and_stop(Attempt& attempt, Millis now) {
    Job& job = job_of(attempt);
    const double grace_s =
        job.spec.checkpoint_interval_s > 0 ? job.spec.checkpoint_duration_s + kSaveMarginS : 0;
    if (job.is_gang())
        stop_each_attempt(job, grace_s, now);
    else
        request_stop(attempt, grace_s, now);
}

void ClusterState::drain_attempt(Attempt& attempt, Millis now) {
    Job& job = job_of(attempt);
    if (!attempt.live() || job.state != JobState::open) return;
    if (job.is_service() || job.is_gang() || job.spec.checkpoint_interval_s > 0)
        checkpoint_and_stop(attempt, now);
}

// Stops the gang's other members after one is gone, because they cannot complete without it.
// Members that are saving their progress in an orderly stop may continue.
void ClusterState::break_gang(Job& job, Millis now) {
    job.gang_broken = true;
    std::vector<Attempt*> to_stop;
    for (const auto& attempt : job.attempts) {
        const bool saves = attempt->stop_requested && attempt->stop_grace_s > 0;
        if (attempt->live() && !saves) to_stop.push_back(attempt.get());
    }
    for (Attempt* attempt : to_stop) request_stop(*attempt, 0, now);
}

// Decides whether the machine or the job is at fault: a machine on which several jobs fail, or a
// job that fails on several machines.
void ClusterState::record_task_error(Job& job, const Attempt& attempt, Machine& machine,
                                     Millis now) {
    // A failure on a machine on which the job has failed before counts if the machine's probation
    // has passed: such a job is at fault too and would otherwise occupy the only slot forever.
    const bool tried_again =
        job.failed_on.size() < kMachinesToBlameJob && now >= machine.probation_until;
    if (tried_again || !contains(job.failed_on, machine.index))
        job.failed_on.push_back(machine.index);
    if (!contains(machine.failed_jobs, job.index)) machine.failed_jobs.push_back(job.index);
    spdlog::info(
        "job={} task={} failed on machine={}, failures of the job that count against it: {}, "
        "jobs that failed on the machine: {}",
        job.spec.id, attempt.task, machine.name, job.failed_on.size(), machine.failed_jobs.size());
    if (job.failed_on.size() >= kMachinesToBlameJob) {
        put_on_trial(job, attempt, now);
        return;
    }
    machine.probation_until = now + kProbation;
    if (machine.failed_jobs.size() >= kJobsToBlameMachine)
        release_machine(machine, ReleaseReason::fails_tasks);
}

void ClusterState::put_on_trial(Job& job, const Attempt& attempt, Millis now) {
    // The back-off counts from the placement of the attempt, so that a slow image fetch does not
    // extend it.
    const Millis backoff = std::min(
        kLongestBackoff, kFirstBackoff << std::min(job.backoff_count, kMaxBackoffDoublings));
    job.backoff_until = std::max(attempt.placed_at + backoff, now + kShortestBackoff);
    ++job.backoff_count;
    job.on_trial = true;
    // The job's failures are no evidence against the machines.
    for (Index index : job.failed_on) {
        Machine* machine = registry_.by_index(index);
        if (machine == nullptr) continue;
        std::erase(machine->failed_jobs, job.index);
        if (machine->failed_jobs.empty()) machine->probation_until = 0;
    }
}

}  // namespace nickelramp::cluster
