#include "tests/simulated_workers.h"

#include <gtest/gtest.h>

#include <algorithm>

#include "shards/shard_lease_table.h"

namespace nickelramp::test {

using wire::Command;
using wire::ExitCause;
using wire::TaskPhase;

namespace {

constexpr Millis kCachedFetch = 50, kMinFetch = 2'000, kFetchSpread = 3'000;
constexpr double kLargeImageGb = 5;
constexpr Millis kSaveDuration = 2'000;
constexpr double kMinSaveGrace_s = 2;
constexpr Millis kMinTaskDuration = 3'000, kTaskSpread = 9'000;
constexpr double kEpsilon = 1e-6;

const char* phase_name(TaskPhase phase) {
    switch (phase) {
        case TaskPhase::fetching:
            return "fetching";
        case TaskPhase::waiting:
            return "gathering";
        case TaskPhase::running:
            return "running";
        case TaskPhase::saving:
            return "saving";
        case TaskPhase::exited:
            return "exited";
    }
    return "";
}

}  // namespace

SimulatedWorkers::SimulatedWorkers(SimulationContext& context, const wire::Settings& settings,
                                   const std::vector<wire::MachineType>& types,
                                   const SimulatedNetwork& network, SimulatedJobs& jobs,
                                   Observer observer)
    : context_(context),
      settings_(settings),
      types_(types),
      network_(network),
      jobs_(jobs),
      observer_(std::move(observer)) {}

SimulatedMachine* SimulatedWorkers::find(const std::string& name) {
    const auto it = machines_.find(name);
    return it == machines_.end() ? nullptr : it->second.get();
}

SimulatedMachine& SimulatedWorkers::add(const std::string& name) {
    auto& machine = machines_[name];
    machine = std::make_unique<SimulatedMachine>();
    machine->name = name;
    return *machine;
}

const wire::MachineType& SimulatedWorkers::type_of(const SimulatedMachine& machine) const {
    return *std::find_if(types_.begin(), types_.end(),
                         [&](const auto& type) { return type.name == machine.type; });
}

void SimulatedWorkers::execute(SimulatedMachine& machine, const std::vector<Command>& commands) {
    advance(machine);
    for (const Command& command : commands) {
        switch (command.op) {
            case Command::Op::forget:
                forget(machine, {{command.job, command.task}, command.attempt});
                break;
            case Command::Op::stop:
                stop(machine, command);
                break;
            case Command::Op::start:
                start(machine, command);
                break;
        }
    }
}

void SimulatedWorkers::forget(SimulatedMachine& machine, const AttemptId& attempt) {
    if (machine.superseded.erase(attempt) > 0) machine.seen_starts.erase(attempt);
    const auto it = machine.tasks.find(attempt.task);
    if (it == machine.tasks.end() || it->second.attempt != attempt.attempt || !it->second.exited())
        return;
    machine.tasks.erase(it);
    machine.seen_starts.erase(attempt);
}

void SimulatedWorkers::stop(SimulatedMachine& machine, const Command& command) {
    const auto it = machine.tasks.find({command.job, command.task});
    if (it == machine.tasks.end() || it->second.attempt != command.attempt || it->second.exited())
        return;
    SimulatedTask& task = it->second;
    ++stopped_tasks_;
    if (task.phase == TaskPhase::running && command.grace_s >= kMinSaveGrace_s) {
        task.phase = TaskPhase::saving;
        task.done_at = context_.now() + kSaveDuration;
    } else if (task.phase != TaskPhase::saving || command.grace_s < kMinSaveGrace_s) {
        task.exit(ExitCause::stopped);
    }
}

void SimulatedWorkers::start(SimulatedMachine& machine, const Command& command) {
    const TaskId id{command.job, command.task};
    if (!machine.seen_starts.insert({id, command.attempt}).second) return;
    if (!observer_.on_start_command(command)) return;
    const auto before = machine.tasks.find(id);
    if (before != machine.tasks.end()) {
        EXPECT_TRUE(before->second.exited()) << "start of a second attempt of " << command.job
                                             << "/" << command.task << " on one machine";
        machine.superseded[{id, before->second.attempt}] = before->second.cause;
    }
    ++started_attempts_;
    const wire::JobSpec& spec = jobs_.spec(command.job);
    SimulatedTask task;
    task.attempt = command.attempt;
    task.term = shards::term_of(machine.token);
    task.fetched_at = context_.now() + fetch_duration(machine, spec);
    if (spec.gpus > free_gpus(machine) + kEpsilon) {
        ADD_FAILURE() << "started task does not fit the machine's free GPUs";
        task.exit(ExitCause::no_room);
    }
    machine.tasks[id] = task;
}

Millis SimulatedWorkers::fetch_duration(const SimulatedMachine& machine,
                                        const wire::JobSpec& spec) {
    if (machine.images.count(spec.image) != 0) return kCachedFetch;
    const Millis usual = kMinFetch + context_.delay(kFetchSpread);
    if (spec.image_gb <= kLargeImageGb) return usual;
    // 0.75 to 1.25 s per GB.
    return seconds(spec.image_gb * 0.75) + context_.delay(seconds(spec.image_gb * 0.5));
}

double SimulatedWorkers::free_gpus(const SimulatedMachine& machine) const {
    double used = 0;
    for (const auto& [id, task] : machine.tasks)
        used += task.exited() ? 0 : jobs_.spec(id.job).gpus;
    return type_of(machine).gpus - used;
}

void SimulatedWorkers::advance(SimulatedMachine& machine) {
    if (!machine.running()) return;
    if (context_.now() - machine.lease_from > seconds(settings_.lease_s)) {
        lose_lease(machine);
        return;
    }
    const Partition* partition = network_.partition_of(machine);
    if (partition != nullptr && partition->freezes_machines) return;
    for (auto& [id, task] : machine.tasks) advance_task(machine, id, task);
}

void SimulatedWorkers::lose_lease(SimulatedMachine& machine) {
    tasks_killed_by_lease_ += machine.tasks.size();
    machine.tasks.clear();
    machine.superseded.clear();
    machine.seen_starts.clear();
    ++machine.incarnation;
    machine.lease_from = context_.now();
}

void SimulatedWorkers::advance_task(SimulatedMachine& machine, const TaskId& id,
                                    SimulatedTask& task) {
    if (task.phase == TaskPhase::fetching && context_.now() >= task.fetched_at)
        begin_task(machine, id, task);
    if (task.phase == TaskPhase::waiting) advance_waiting(id, task);
    if (task.phase == TaskPhase::saving && context_.now() >= task.done_at)
        task.exit(ExitCause::stopped);
    if (task.phase == TaskPhase::running) advance_running(id, task);
}

void SimulatedWorkers::begin_task(SimulatedMachine& machine, const TaskId& id,
                                  SimulatedTask& task) {
    const wire::JobSpec& spec = jobs_.spec(id.job);
    machine.images.insert(spec.image);
    if (jobs_.completed(id)) return task.exit(ExitCause::done);
    task.phase = spec.shape == wire::Shape::gang ? TaskPhase::waiting : TaskPhase::running;
    task.gang_wait_until = context_.now() + seconds(settings_.gang_wait_s);
    task.done_at = context_.now() + kMinTaskDuration + context_.delay(kTaskSpread);
    if (const auto duration = jobs_.task_duration(id.job))
        task.done_at = context_.now() + *duration;
    observer_.on_task_begun(machine, id);
    if (machine.faulty || jobs_.fails(id.job)) task.exit(ExitCause::error);
}

void SimulatedWorkers::advance_waiting(const TaskId& id, SimulatedTask& task) {
    if (jobs_.completed(id)) return task.exit(ExitCause::done);  // a gang completes as a whole
    if (gang_members(id.job, task.attempt) == jobs_.spec(id.job).tasks)
        task.phase = TaskPhase::running;
    else if (context_.now() >= task.gang_wait_until)
        task.exit(ExitCause::alone);
}

void SimulatedWorkers::advance_running(const TaskId& id, SimulatedTask& task) {
    const wire::JobSpec& spec = jobs_.spec(id.job);
    if (spec.shape != wire::Shape::service && context_.now() >= task.done_at) {
        jobs_.complete(id, context_.now());
        return task.exit(ExitCause::done);
    }
    if (spec.shape != wire::Shape::gang) return;
    if (jobs_.completed(id))
        task.exit(ExitCause::done);
    else if (gang_members(id.job, task.attempt) < spec.tasks)
        task.exit(ExitCause::peers);
}

std::size_t SimulatedWorkers::gang_members(const std::string& job, std::uint32_t attempt) const {
    std::size_t members = 0;
    for (const auto& [name, machine] : machines_) {
        if (!machine->exists()) continue;
        for (const auto& [id, task] : machine->tasks) {
            if (id.job != job || task.attempt != attempt) continue;
            members += task.phase == TaskPhase::waiting || task.phase == TaskPhase::running ? 1 : 0;
        }
    }
    return members;
}

wire::Heartbeat SimulatedWorkers::make_heartbeat(SimulatedMachine& machine) {
    wire::Heartbeat heartbeat;
    heartbeat.machine = heartbeat.address = machine.name;
    heartbeat.type = machine.type;
    heartbeat.zone = machine.zone;
    heartbeat.spot = machine.spot;
    heartbeat.incarnation = machine.incarnation;
    heartbeat.sequence = ++machine.sequence;
    heartbeat.token = machine.token;
    for (const auto& [id, task] : machine.tasks) {
        wire::TaskReport report;
        report.job = id.job;
        report.task = id.task;
        report.attempt = task.attempt;
        report.phase = task.phase;
        report.cause = task.cause;
        heartbeat.tasks.push_back(report);
    }
    for (const auto& [attempt, cause] : machine.superseded) {
        wire::TaskReport report;
        report.job = attempt.task.job;
        report.task = attempt.task.task;
        report.attempt = attempt.attempt;
        report.phase = TaskPhase::exited;
        report.cause = cause;
        heartbeat.tasks.push_back(report);
    }
    return heartbeat;
}

bool SimulatedWorkers::restart(SimulatedMachine& machine) {
    if (!machine.running()) return false;
    machine.tasks.clear();
    machine.superseded.clear();
    machine.seen_starts.clear();
    machine.incarnation = 1;
    machine.sequence = machine.token = 0;
    machine.lease_from = context_.now();
    machine.last_heartbeat_answered = machine.unanswered = false;
    machine.answered_term = 0;
    ++machine.process_generation;
    return true;
}

void SimulatedWorkers::kill(SimulatedMachine& machine) {
    machine.dead = true;
    machine.tasks.clear();
}

void SimulatedWorkers::preempt_zone(const std::string& zone) {
    for (auto& [name, machine] : machines_) {
        if (machine->zone != zone || machine->removed) continue;
        machine->removed = machine->dead = true;
        machine->removed_at = context_.now();
        machine->tasks.clear();
    }
}

void SimulatedWorkers::repair_faulty() {
    for (auto& [name, machine] : machines_) machine->faulty = false;
}

std::vector<std::string> SimulatedWorkers::working_machines() const {
    std::vector<std::string> names;
    for (const auto& [name, machine] : machines_) {
        if (machine->running() && !machine->tasks.empty()) names.push_back(name);
    }
    return names;
}

std::size_t SimulatedWorkers::running_tasks(const std::string& zone) const {
    std::size_t count = 0;
    for (const auto& [name, machine] : machines_) {
        if (!machine->exists() || machine->zone != zone) continue;
        for (const auto& [id, task] : machine->tasks)
            count += task.phase == TaskPhase::running ? 1 : 0;
    }
    return count;
}

std::size_t SimulatedWorkers::tasks_of(const std::string& job) const {
    std::size_t count = 0;
    for (const auto& [name, machine] : machines_) {
        if (!machine->exists()) continue;
        for (const auto& [id, task] : machine->tasks)
            count += task.occupies_machine() && id.job == job ? 1 : 0;
    }
    return count;
}

double SimulatedWorkers::gpus_used_by(const std::string& team) const {
    double sum = 0;
    for (const auto& [name, machine] : machines_) {
        if (!machine->exists()) continue;
        for (const auto& [id, task] : machine->tasks) {
            const wire::JobSpec& spec = jobs_.spec(id.job);
            sum += !task.exited() && spec.team == team ? spec.gpus : 0;
        }
    }
    return sum;
}

std::string SimulatedWorkers::describe() const {
    std::string text;
    for (const auto& [name, machine] : machines_) {
        if (machine->removed) continue;
        text += name + (machine->dead ? "(dead)" : machine->up ? "" : "(booting)") + ": ";
        for (const auto& [id, task] : machine->tasks)
            text += id.job + "/" + std::to_string(id.task) + "=" + phase_name(task.phase) + " ";
    }
    return text;
}

}  // namespace nickelramp::test
