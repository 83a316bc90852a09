/// @file
/// Part of WorkerEmulator: executes commands and runs tasks.
#include "emulator/worker_emulator.h"

namespace nickelramp::emulator {

using wire::Command;
using wire::ExitCause;
using wire::TaskPhase;

namespace {
constexpr Millis kMaxTimeToFailure = 1'200;
}  // namespace

void WorkerEmulator::execute(Worker& w, const std::vector<Command>& commands) {
    for (const Command& command : commands) {
        if (command.op == Command::Op::start) start(w, command);
        if (command.op == Command::Op::stop) stop(w, command);
        if (command.op == Command::Op::forget) forget(w, command);
    }
}

void WorkerEmulator::forget(Worker& w, const Command& command) {
    const TaskId id{command.job, command.task};
    w.superseded.erase({id, command.attempt});
    const Task* t = find(w, id, command.attempt);
    if (t != nullptr && t->phase == TaskPhase::exited) w.tasks.erase(id);
}

WorkerEmulator::Task* WorkerEmulator::find(Worker& w, const TaskId& id, std::uint32_t attempt) {
    auto it = w.tasks.find(id);
    return it == w.tasks.end() || it->second.attempt != attempt ? nullptr : &it->second;
}

void WorkerEmulator::start(Worker& w, const Command& command) {
    const TaskId id{command.job, command.task};
    auto found = w.tasks.find(id);
    if (found != w.tasks.end()) {
        const bool ended = found->second.phase == TaskPhase::exited;
        if (found->second.attempt == command.attempt || !ended) return;
        if (w.superseded.count({id, command.attempt}) != 0) return;
        w.superseded[{id, found->second.attempt}] = found->second;
    }
    EmulatedJob* job = rules_.find(command.job);
    Task& t = w.tasks[id] = {};
    t.attempt = command.attempt;
    if (job == nullptr || command.task >= job->spec.tasks) {
        exit_task(w, id, ExitCause::unknown, false);
        return;
    }
    ++counters_.starts;
    if (w.exited_at != 0)
        next_start_ms_.add(static_cast<double>(now() - std::exchange(w.exited_at, 0)));
    if (job->spec.shape == wire::Shape::gang)
        gangs_[{command.job, command.attempt}].members[command.task] = w.name;
    const bool cached = w.images.count(job->spec.image) != 0;
    const Millis fetch = cached ? 0 : jitter(job->spec.image_gb / settings_.fetch_gb_per_s);
    schedule(w, fetch,
             [this, id, attempt = command.attempt](Worker& same) { fetched(same, id, attempt); });
    report_soon(w);
}

void WorkerEmulator::fetched(Worker& w, const TaskId& id, std::uint32_t attempt) {
    Task* t = find(w, id, attempt);
    if (t == nullptr || t->phase != TaskPhase::fetching) return;
    EmulatedJob& job = *rules_.find(id.first);
    w.images.insert(job.spec.image);
    rules_.task_arrived(w.name, job, id.second, now());
    ++running_;
    t->phase = TaskPhase::running;
    if (job.task_done[id.second]) return exit_task(w, id, ExitCause::done, false);
    if (job.spec.shape == wire::Shape::gang) return gang_ready(w, id, attempt);
    run(w, id, attempt);
}

void WorkerEmulator::run(Worker& w, const TaskId& id, std::uint32_t attempt) {
    Task* t = find(w, id, attempt);
    if (t == nullptr) return;
    t->phase = TaskPhase::running;
    EmulatedJob& job = *rules_.find(id.first);
    if (job.first_start_at == 0) job.first_start_at = now();
    if (job.spec.shape != wire::Shape::service) {
        schedule(w, seconds(job.run_s),
                 [this, id, attempt](Worker& same) { complete(same, id, attempt); });
    }
    if (std::uniform_real_distribution<double>(0, 1)(random_) < settings_.failing_tasks) {
        schedule(w, static_cast<Millis>(random_() % kMaxTimeToFailure),
                 [this, id, attempt](Worker& same) { fail(same, id, attempt); });
    }
    report_soon(w);
}

void WorkerEmulator::complete(Worker& w, const TaskId& id, std::uint32_t attempt) {
    Task* t = find(w, id, attempt);
    if (t == nullptr || t->phase != TaskPhase::running) return;
    const auto gang = gangs_.find({id.first, attempt});
    if (gang != gangs_.end() && gang->second.broken) return;  // gang_lost() ends it
    rules_.task_completed(*rules_.find(id.first), id.second, now());
    exit_task(w, id, ExitCause::done, false);
}

void WorkerEmulator::fail(Worker& w, const TaskId& id, std::uint32_t attempt) {
    const Task* t = find(w, id, attempt);
    if (t != nullptr && t->phase == TaskPhase::running) exit_task(w, id, ExitCause::error, false);
}

void WorkerEmulator::stop(Worker& w, const Command& command) {
    const TaskId id{command.job, command.task};
    Task* t = find(w, id, command.attempt);
    if (t == nullptr || t->phase == TaskPhase::exited) return;
    const EmulatedJob* job = rules_.find(command.job);
    const bool saves = t->phase == TaskPhase::running && job != nullptr &&
                       job->spec.checkpoint_interval_s > 0 &&
                       command.grace_s >= job->spec.checkpoint_duration_s;
    if (!saves) return exit_task(w, id, ExitCause::stopped, false);
    t->phase = TaskPhase::saving;
    schedule(w, seconds(job->spec.checkpoint_duration_s),
             [this, id, attempt = command.attempt](Worker& same) {
                 Task* task = find(same, id, attempt);
                 if (task != nullptr && task->phase == TaskPhase::saving)
                     exit_task(same, id, ExitCause::stopped, true);
             });
    report_soon(w);
}

void WorkerEmulator::exit_task(Worker& w, const TaskId& id, ExitCause cause, bool saved) {
    Task& t = w.tasks[id];
    const Task before = t;
    t.phase = TaskPhase::exited;
    t.cause = cause;
    t.saved = saved;
    ++counters_.exits;
    if (w.exited_at == 0) w.exited_at = now();
    release_task(id, before);
    report_soon(w);
}

void WorkerEmulator::release_task(const TaskId& id, const Task& task) {
    const bool was_on = task.phase != TaskPhase::fetching && task.phase != TaskPhase::exited;
    EmulatedJob* job = rules_.find(id.first);
    if (job == nullptr) return;
    if (was_on) {
        rules_.task_left(*job, id.second);
        --running_;
    }
    if (job->spec.shape != wire::Shape::gang || task.phase == TaskPhase::exited) return;
    auto gang = gangs_.find({id.first, task.attempt});
    if (gang == gangs_.end()) return;
    gang->second.members.erase(id.second);
    const bool broken = gang->second.began && !job->task_done[id.second];
    if (broken) gang->second.broken = true;
    if (gang->second.members.empty()) gangs_.erase(gang);
    if (broken) {
        at(now() + seconds(settings_.gang_peer_s),
           [this, id, attempt = task.attempt] { gang_lost(id, attempt, ExitCause::peers); });
    }
}

void WorkerEmulator::gang_ready(Worker& w, const TaskId& id, std::uint32_t attempt) {
    find(w, id, attempt)->phase = TaskPhase::waiting;
    Gang& gang = gangs_[{id.first, attempt}];
    ++gang.ready;
    const EmulatedJob& job = *rules_.find(id.first);
    if (gang.ready < job.spec.tasks) {
        schedule(w, seconds(settings_.gang_wait_s), [this, id, attempt](Worker& same) {
            Task* t = find(same, id, attempt);
            if (t == nullptr || t->phase != TaskPhase::waiting) return;
            --gangs_[{id.first, attempt}].ready;
            exit_task(same, id, ExitCause::alone, false);
        });
        return report_soon(w);
    }
    gang.began = true;
    for (const auto& [task, machine] : gang.members) {
        if (Worker* peer = worker(machine)) run(*peer, {id.first, task}, attempt);
    }
}

void WorkerEmulator::gang_lost(const TaskId& id, std::uint32_t attempt, ExitCause cause) {
    auto gang = gangs_.find({id.first, attempt});
    if (gang == gangs_.end()) return;
    const auto members = gang->second.members;
    gangs_.erase(gang);
    for (const auto& [task, machine] : members) {
        Worker* peer = worker(machine);
        if (peer == nullptr || find(*peer, {id.first, task}, attempt) == nullptr) continue;
        if (find(*peer, {id.first, task}, attempt)->phase != TaskPhase::exited)
            exit_task(*peer, {id.first, task}, cause, false);
    }
}

}  // namespace nickelramp::emulator
