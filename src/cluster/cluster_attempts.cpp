// The life of an attempt: placed, sent, seen, over. Every start and every end passes the links.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "cluster/cluster_state.h"

namespace nickelramp::cluster {

using jobs::JobState;
using wire::ExitCause;

namespace {
constexpr Millis kBackOffFirst = 10'000;
constexpr Millis kBackOffMost =
    jobs::kMaxHoldBack * 3 / 4;  // from one trial's beginning to the next
constexpr Millis kProbation = 30'000;
constexpr Millis kRunsWell = 5'000;
constexpr std::size_t kJobAtFault = 3;      // machines a job has failed on
constexpr std::size_t kMachineAtFault = 2;  // jobs that have failed on a machine
}  // namespace

void ClusterState::set_attempt_state(Attempt& attempt, AttemptState state, Millis now) {
    if (attempt.state == state) return;
    Job& job = job_of(attempt);
    spdlog::debug("task {}/{} try {}: {} -> {}", job.spec.id, attempt.task, attempt.number,
                  name(attempt.state), name(state));
    auto runs = [](AttemptState x) {
        return x == AttemptState::running || x == AttemptState::saving;
    };
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
    update_free_capacity(machine);
    adjust_team_usage(job, 1);
    ++job.live_attempts.mutable_value();
}

void ClusterState::adjust_team_usage(const Job& job, double tasks) {
    TeamUsage& u = team_usage_[job.team];
    u.cpus += tasks * job.spec.cpus;
    u.gpus += tasks * job.spec.gpus;
    if (job.spec.shape != wire::Shape::array) return;
    u.array_cpus += tasks * job.spec.cpus;
    u.array_gpus += tasks * job.spec.gpus;
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
        const bool wanted =
            std::any_of(machine->attempts.begin(), machine->attempts.end(), [&](auto* other) {
                return other != &attempt && other->live() && job_of(*other).image == job.image;
            });
        if (!wanted) placement::abandon_image_fetch(*machine, job.image);
        update_free_capacity(*machine);
    }
    adjust_team_usage(job, -1);
    --job.live_attempts.mutable_value();
    request_scheduling();
}

// start(t,n) asks the automata: after acceptance, never after a cancel, and only once every earlier
// attempt of the same task (of the whole gang, for a gang) is gone.
bool ClusterState::link_start_dependencies(Job& job, Attempt& attempt) {
    using dependencies::DependencyAutomata;
    auto& l = job.dependencies;
    attempt.start_event = l.add_event({.rejectable = true, .delayable = true});
    attempt.end_event = l.add_event({});
    l.add(DependencyAutomata::Kind::order, job.accepted_event, attempt.start_event);
    l.add(DependencyAutomata::Kind::existence, attempt.start_event, job.accepted_event);
    l.add(DependencyAutomata::Kind::order, attempt.start_event, job.cancelled_event);
    // A first attempt has none before it.
    for (const auto& other : job.attempts) {
        if (attempt.number == 1) break;
        if (other.get() == &attempt || other->end_event == kNone) continue;
        bool earlier =
            job.is_gang() ? other->number != attempt.number : other->task == attempt.task;
        if (!earlier) continue;
        l.add(DependencyAutomata::Kind::existence, attempt.start_event, other->end_event);
        l.add(DependencyAutomata::Kind::order, other->end_event, attempt.start_event);
    }
    return l.submit(attempt.start_event).result == dependencies::SubmitResult::accepted;
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
        spdlog::error("task {}/{} try {}: not released by its links", job.spec.id, task, number);
        job.dependencies.remove_event(attempt.start_event);
        job.dependencies.remove_event(attempt.end_event);
        return nullptr;
    }
    spdlog::debug("task {}/{} try {}: placed on {}", job.spec.id, task, number, machine.name);
    allocate(attempt, job, machine);
    attempt.place = static_cast<std::uint32_t>(job.attempts.size());
    job.attempts.push_back(std::move(owned));
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

void ClusterState::attempt_start_sent(Attempt& attempt, const Machine& machine, Millis now) {
    set_attempt_state(attempt, AttemptState::starting, now);
    attempt.token = machine.token;
    attempt.incarnation = machine.channel.incarnation();
    attempt.start_reply_sequence = 0;
}

void ClusterState::attempt_start_not_delivered(Attempt& attempt, Millis now) {
    if (attempt.state == AttemptState::starting)
        set_attempt_state(attempt, AttemptState::recorded, now);
}

void ClusterState::attempt_gone(Attempt& attempt, Millis now) {
    Job& job = job_of(attempt);
    if (attempt.live()) {
        spdlog::debug("task {}/{} try {}: gone ({})", job.spec.id, attempt.task, attempt.number,
                      name(attempt.state));
        deallocate(attempt, job);
        set_attempt_state(attempt, AttemptState::exited, now);
        attempt_finished(job, attempt, now);
    }
    std::string id = job.spec.id;
    erase_attempt(attempt);
    remove_job(id);
}

// The worker says that it has ended. It stays listed until the worker has forgotten it.
void ClusterState::attempt_exited(Attempt& attempt, ExitCause cause, Millis now) {
    if (!attempt.live()) return;
    Job& job = job_of(attempt);
    Machine* machine = machine_of(attempt);
    spdlog::debug("task {}/{} try {}: exited, {}", job.spec.id, attempt.task, attempt.number,
                  wire::name(cause));
    deallocate(attempt, job);
    attempt.cause = cause;
    set_attempt_state(attempt, AttemptState::exited, now);
    if (cause == ExitCause::done) {
        job.on_trial = false;
        if (machine != nullptr) machine->failed_jobs.clear();
        observer_.on_task_completed(job, attempt, now);
        if (job.unsaved_completions_since == 0) job.unsaved_completions_since = now;
        if (job.is_gang()) {
            // They complete together: if one is done, all are.
            for (std::uint32_t t = 0; t < job.spec.tasks; ++t) job.mark_done(t);
        } else {
            job.mark_done(attempt.task);
        }
    } else if (cause == ExitCause::error && machine != nullptr) {
        record_task_error(job, attempt, *machine, now);
    } else if (cause == ExitCause::unknown) {
        job.backoff_until = now + kBackOffFirst / 2;
    } else if ((cause == ExitCause::no_room || cause == ExitCause::busy) && machine != nullptr) {
        // The books and the machine differ; the next report settles it.
        machine->probation_until = std::max(machine->probation_until, now + 3000);
    }
    attempt_finished(job, attempt, now);
}

void ClusterState::apply_task_report(Attempt& attempt, const wire::TaskReport& task,
                                     Machine& machine, Millis now) {
    Job& job = job_of(attempt);
    if (task.phase == wire::TaskPhase::exited) {
        attempt_exited(attempt, task.cause, now);
        return;
    }
    if (!attempt.live()) return;
    switch (task.phase) {
        case wire::TaskPhase::fetching:
            set_attempt_state(attempt, AttemptState::fetching, now);
            break;
        case wire::TaskPhase::waiting:
            set_attempt_state(attempt, AttemptState::waiting, now);
            break;
        case wire::TaskPhase::running:
            set_attempt_state(attempt, AttemptState::running, now);
            break;
        case wire::TaskPhase::saving:
            set_attempt_state(attempt, AttemptState::saving, now);
            break;
        case wire::TaskPhase::exited:
            break;
    }
    if (machine.type != kNone) {
        placement::mark_image_used(machine, types_[machine.type], job.image, job.spec.image_gb,
                                   task.phase != wire::TaskPhase::fetching, now);
    }
    const bool runs = attempt.running_since != 0 && now - attempt.running_since > kRunsWell;
    if (runs && job.on_trial) {
        job.on_trial = false;
        request_scheduling();
    }
    if (runs && !machine.failed_jobs.empty() && job.failed_on.empty()) {
        machine.failed_jobs.clear();  // it runs tasks after all
        machine.probation_until = 0;
    }
}

// The attempt holds nothing any more: gone(t,n).
void ClusterState::attempt_finished(Job& job, Attempt& attempt, Millis now) {
    if (attempt.end_event != kNone) {
        job.dependencies.submit(attempt.end_event);
        job.dependencies.remove_event(attempt.start_event);
        job.dependencies.remove_event(attempt.end_event);
        attempt.start_event = attempt.end_event = kNone;
    }
    requeue_task(job, attempt);
    if (job.is_gang()) {
        if (job.state == JobState::open && job.completed_tasks == 0 && !job.gang_broken &&
            job.live_attempts > 0)
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
    if (Machine* machine = machine_of(attempt)) {
        std::erase(machine->attempts, &attempt);
    }
    auto& list = job_of(attempt).attempts;
    const std::uint32_t place = attempt.place;
    std::swap(list[place], list.back());
    list[place]->place = place;
    list.pop_back();
}

void ClusterState::request_stop(Attempt& attempt, double grace_s, Millis now) {
    if (!attempt.live()) return;
    if (attempt.state == AttemptState::recording || attempt.state == AttemptState::recorded) {
        attempt_gone(attempt, now);  // it was never sent
        return;
    }
    if (attempt.stop_wanted && attempt.stop_grace_s <= grace_s) return;
    attempt.stop_wanted = true;
    attempt.stop_grace_s = grace_s;
    attempt.stop_sent = false;
    if (Machine* machine = machine_of(attempt)) actions_.queue_commands(*machine);
}

void ClusterState::stop_all_attempts(Job& job, Millis now) { stop_each_attempt(job, 0, now); }

void ClusterState::stop_each_attempt(Job& job, double grace_s, Millis now) {
    // A member that was never sent is gone at once. That must not end the others from within, while
    // this goes through them: it once went on with members that were erased.
    if (job.is_gang() && job.state == JobState::open && job.live_attempts > 0)
        job.gang_broken = true;
    // Taking back what was never sent changes the list.
    std::vector<Attempt*> list;
    for (const auto& attempt : job.attempts) list.push_back(attempt.get());
    for (Attempt* attempt : list) request_stop(*attempt, grace_s, now);
}

void ClusterState::checkpoint_and_stop(Attempt& attempt, Millis now) {
    Job& job = job_of(attempt);
    const double grace_s = job.spec.checkpoint_s > 0 ? job.spec.save_s + 1.0 : 0;
    if (job.is_gang())
        stop_each_attempt(job, grace_s, now);
    else
        request_stop(attempt, grace_s, now);
}

void ClusterState::drain_attempt(Attempt& attempt, Millis now) {
    Job& job = job_of(attempt);
    if (!attempt.live() || job.state != JobState::open) return;
    // Replicas move at once; whoever can save saves; the rest runs on as long as it can.
    if (job.is_service() || job.is_gang() || job.spec.checkpoint_s > 0)
        checkpoint_and_stop(attempt, now);
}

// A member is gone: the others cannot complete, so the attempt ends as a whole. Those that are
// saving in an orderly stop go on.
void ClusterState::break_gang(Job& job, Millis now) {
    job.gang_broken = true;
    std::vector<Attempt*> list;
    for (const auto& attempt : job.attempts) {
        if (attempt->live() && !(attempt->stop_wanted && attempt->stop_grace_s > 0))
            list.push_back(attempt.get());
    }
    for (Attempt* attempt : list) request_stop(*attempt, 0, now);
}

// Which is at fault, the machine or the job? A machine that fails several jobs is; a job that fails
// on several machines is.
void ClusterState::record_task_error(Job& job, const Attempt& attempt, Machine& machine,
                                     Millis now) {
    auto add = [](std::vector<Index>& list, Index i, bool again) {
        if (again || std::find(list.begin(), list.end(), i) == list.end()) list.push_back(i);
    };
    // One that fails on the same machine each time that it is tried again there counts as at fault
    // too: it once took the only place from others for ever.
    const bool again = job.failed_on.size() < kJobAtFault && now >= machine.probation_until;
    add(job.failed_on, machine.index, again);
    add(machine.failed_jobs, job.index, false);
    spdlog::info("task of {} failed on {} ({} machines failed it, {} jobs failed there)",
                 job.spec.id, machine.name, job.failed_on.size(), machine.failed_jobs.size());
    if (job.failed_on.size() >= kJobAtFault) {
        // From when the trial began: an image that takes long to fetch makes none of them longer.
        const Millis next = attempt.placed_at + std::min(kBackOffMost, kBackOffFirst << std::min(
                                                                           job.backoff_count, 6u));
        job.backoff_until = std::max(next, now + kBackOffFirst / 2);
        ++job.backoff_count;
        job.on_trial = true;
        // Its failures say nothing about the machines.
        for (Index i : job.failed_on) {
            Machine* other = registry_.by_index(i);
            if (other == nullptr) continue;
            std::erase(other->failed_jobs, job.index);
            if (other->failed_jobs.empty()) other->probation_until = 0;
        }
        return;
    }
    machine.probation_until = now + kProbation;
    if (machine.failed_jobs.size() >= kMachineAtFault) release_machine(machine, "fails every task");
}

}  // namespace nickelramp::cluster
