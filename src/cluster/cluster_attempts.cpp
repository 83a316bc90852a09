// ClusterState: placement, states and resources of attempts. Every start is submitted to the job's
// dependencies.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "cluster/cluster_state.h"

namespace nickelramp::cluster {

namespace {

// A task that has run for this long is evidence that neither its job nor its machine is at fault.
constexpr Millis kMinHealthyRun = 5'000;

bool runs(AttemptState state) {
    return state == AttemptState::running || state == AttemptState::saving;
}

// Returns the state that corresponds to a phase reported by the worker.
AttemptState state_of(wire::TaskPhase phase) {
    switch (phase) {
        case wire::TaskPhase::fetching:
            return AttemptState::fetching;
        case wire::TaskPhase::waiting:
            return AttemptState::waiting;
        case wire::TaskPhase::running:
            return AttemptState::running;
        case wire::TaskPhase::saving:
            return AttemptState::saving;
        case wire::TaskPhase::exited:
            break;
    }
    return AttemptState::exited;
}

}  // namespace

void ClusterState::set_attempt_state(Attempt& attempt, AttemptState state, Millis now) {
    if (attempt.state == state) return;
    Job& job = job_of(attempt);
    spdlog::debug("job={} task={} attempt={} state {} -> {}", job.spec.id, attempt.task,
                  attempt.number, name(attempt.state), name(state));
    if (runs(attempt.state) != runs(state)) {
        job.running_attempts.mutable_value() += runs(state) ? 1 : -1;
        observer_.on_task_running_changed(job, runs(state));
    }
    if (attempt.state == AttemptState::recording) {
        --job.unconfirmed_attempts.mutable_value();
        if (attempt.commit_number == 0) --job.uncommitted_attempts.mutable_value();
    }
    attempt.state.mutable_value() = state;
    if (state != AttemptState::running || attempt.running_since != 0) return;
    attempt.running_since = now;
    observer_.on_first_run(job, attempt, now);
}

void ClusterState::allocate(Attempt& attempt, Job& job, Machine& machine) {
    machine.cpus_free.mutable_value() -= job.spec.cpus;
    machine.gpus_free.mutable_value() -= job.spec.gpus;
    machine.memory_free.mutable_value() -= job.spec.memory_gb;
    machine.attempts.push_back(&attempt);
    ++machine.live_attempts.mutable_value();
    if (job.spec.shape != wire::Shape::array) {
        ++machine.live_gang_and_service_attempts.mutable_value();
        if (job.is_gang()) ++machine.live_gang_attempts.mutable_value();
        machine.gang_and_service_cpus.mutable_value() += job.spec.cpus;
    }
    update_machine_indices(machine);
    adjust_team_usage(job, 1);
    ++job.live_attempts.mutable_value();
}

void ClusterState::deallocate(Attempt& attempt, Job& job) {
    if (Machine* machine = machine_of(attempt)) {
        machine->cpus_free.mutable_value() += job.spec.cpus;
        machine->gpus_free.mutable_value() += job.spec.gpus;
        machine->memory_free.mutable_value() += job.spec.memory_gb;
        --machine->live_attempts.mutable_value();
        if (job.spec.shape != wire::Shape::array) {
            --machine->live_gang_and_service_attempts.mutable_value();
            if (job.is_gang()) --machine->live_gang_attempts.mutable_value();
            machine->gang_and_service_cpus.mutable_value() -= job.spec.cpus;
        }
        const bool image_wanted =
            std::any_of(machine->attempts.begin(), machine->attempts.end(), [&](auto* other) {
                return other != &attempt && other->live() && job_of(*other).image == job.image;
            });
        if (!image_wanted) placement::abandon_image_fetch(*machine, job.image);
        update_machine_indices(*machine);
    }
    adjust_team_usage(job, -1);
    --job.live_attempts.mutable_value();
    request_scheduling();
}

// Adds the attempt's events to the job's dependencies and submits its start. A start must come
// after the job's acceptance, not after its cancellation, and only once every earlier attempt of
// the task (or of the whole gang) is gone. Returns whether the start was accepted.
bool ClusterState::link_start_dependencies(Job& job, Attempt& attempt) {
    using Kind = dependencies::DependencyAutomata::Kind;
    auto& dependencies = job.dependencies;
    attempt.start_event = dependencies.add_event({.rejectable = true, .delayable = true});
    attempt.end_event = dependencies.add_event({});
    dependencies.add(Kind::order, job.accepted_event, attempt.start_event);
    dependencies.add(Kind::existence, attempt.start_event, job.accepted_event);
    dependencies.add(Kind::order, attempt.start_event, job.cancelled_event);
    if (attempt.number != 1) {  // a first attempt has no predecessor
        for (const auto& other : job.attempts) {
            if (other.get() == &attempt || other->end_event == kNone) continue;
            const bool is_earlier =
                job.is_gang() ? other->number != attempt.number : other->task == attempt.task;
            if (!is_earlier) continue;
            dependencies.add(Kind::existence, attempt.start_event, other->end_event);
            dependencies.add(Kind::order, other->end_event, attempt.start_event);
        }
    }
    return dependencies.submit(attempt.start_event).result == dependencies::SubmitResult::accepted;
}

void ClusterState::append_attempt(Job& job, Machine& machine, std::unique_ptr<Attempt> attempt) {
    attempt->index_in_job = static_cast<std::uint32_t>(job.attempts.size());
    allocate(*attempt, job, machine);
    job.attempts.push_back(std::move(attempt));
}

Attempt* ClusterState::add_attempt(Job& job, std::uint32_t task, std::uint32_t number,
                                   Machine& machine, Millis now) {
    auto owned = std::make_unique<Attempt>();
    Attempt& attempt = *owned;
    attempt.job = job.index;
    attempt.task = task;
    attempt.number = number;
    attempt.machine = machine.index;
    attempt.placed_at = now;
    if (!link_start_dependencies(job, attempt)) {
        spdlog::error("job={} task={} attempt={} start not accepted by the job's dependencies",
                      job.spec.id, task, number);
        job.dependencies.remove_event(attempt.start_event);
        job.dependencies.remove_event(attempt.end_event);
        return nullptr;
    }
    spdlog::debug("job={} task={} attempt={} placed on machine={}", job.spec.id, task, number,
                  machine.name);
    append_attempt(job, machine, std::move(owned));
    ++job.unconfirmed_attempts.mutable_value();
    ++job.uncommitted_attempts.mutable_value();
    job.chunks[task / jobs::kChunkTasks].dirty = true;
    if (machine.reserved_for == job.index) release_reservation(machine);
    job.reservations_since = job.capacity_withheld_since = 0;
    placement::mark_image_used(machine, types_[machine.type], job.image, job.spec.image_gb, false,
                               now);
    return &attempt;
}

void ClusterState::attempt_in_commit(Attempt& attempt, std::uint64_t commit) {
    if (attempt.commit_number == 0) --job_of(attempt).uncommitted_attempts.mutable_value();
    attempt.commit_number = commit;
}

void ClusterState::attempt_not_committed(Attempt& attempt) {
    attempt.commit_number = 0;
    if (attempt.state == AttemptState::recording)
        ++job_of(attempt).uncommitted_attempts.mutable_value();
}

void ClusterState::attempt_recorded(Attempt& attempt, Millis now) {
    set_attempt_state(attempt, AttemptState::recorded, now);
    if (Machine* machine = machine_of(attempt)) actions_.queue_commands(*machine);
}

void ClusterState::attempt_start_sent(Attempt& attempt, Machine& machine, Millis now) {
    set_attempt_state(attempt, AttemptState::starting, now);
    attempt.token = machine.last_start_token = machine.token;
    attempt.incarnation = machine.channel.incarnation();
    attempt.start_answered = false;
    spdlog::debug("job={} task={} attempt={} start sent to machine={} token={} incarnation={}",
                  job_of(attempt).spec.id, attempt.task, attempt.number, machine.name,
                  attempt.token, attempt.incarnation);
}

void ClusterState::attempt_start_not_executed(Attempt& attempt, Millis now) {
    if (attempt.state == AttemptState::starting)
        set_attempt_state(attempt, AttemptState::recorded, now);
}

void ClusterState::apply_task_report(Attempt& attempt, const wire::TaskReport& task,
                                     Machine& machine, Millis now) {
    if (task.phase == wire::TaskPhase::exited) {
        attempt_exited(attempt, task.cause, now);
        return;
    }
    if (!attempt.live()) return;
    set_attempt_state(attempt, state_of(task.phase), now);
    Job& job = job_of(attempt);
    if (machine.type != kNone) {
        placement::mark_image_used(machine, types_[machine.type], job.image, job.spec.image_gb,
                                   task.phase != wire::TaskPhase::fetching, now);
    }
    if (attempt.running_since != 0 && now - attempt.running_since > kMinHealthyRun)
        clear_failure_suspicion(job, machine);
}

// Called once a task of the job has run on the machine for kMinHealthyRun. The job is then not at
// fault, and neither is the machine if the job never failed anywhere.
void ClusterState::clear_failure_suspicion(Job& job, Machine& machine) {
    if (job.on_trial) {
        job.on_trial = false;
        request_scheduling();
    }
    if (!machine.failed_jobs.empty() && job.failed_on.empty()) {
        machine.failed_jobs.clear();
        machine.probation_until = 0;
    }
}

}  // namespace nickelramp::cluster
