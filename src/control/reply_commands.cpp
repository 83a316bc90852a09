#include "control/reply_commands.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "control/attempt_command.h"
#include "control/attempt_lookup.h"

namespace nickelramp::control {

using jobs::Attempt;
using jobs::Job;
using machines::Machine;
using wire::Command;

namespace {
// Returns whether the completion of the attempt's task is in a committed checkpoint or no longer
// needed.
bool completion_recorded(const Job& job, const Attempt& attempt) {
    if (job.state == jobs::JobState::finished) return true;
    const auto chunk = job.chunks.find(attempt.task / jobs::kChunkTasks);
    return chunk != job.chunks.end() &&
           (chunk->second.done_recorded >> (attempt.task % jobs::kChunkTasks) & 1) != 0;
}
}  // namespace

std::vector<Command> ReplyCommands::take(Machine& machine, const wire::Heartbeat& heartbeat,
                                         Millis now) {
    const std::vector<wire::TaskReport> unknown = unknown_tasks(machine, heartbeat);
    // The worker would reject a direct message that a higher token overtakes.
    if (!machine.command_in_flight && needs_higher_token(machine, unknown))
        fence_.advance_token(machine, now);
    std::vector<Command> commands = commands_for_attempts(machine);
    add_commands_for_unknown_tasks(machine, unknown, commands);
    return commands;
}

// Returns whether the present token is too low for a forget command that is due.
bool ReplyCommands::needs_higher_token(const Machine& machine,
                                       const std::vector<wire::TaskReport>& unknown) const {
    const bool for_unknown = !CommandFence::may_forget_unknown(machine) &&
                             std::any_of(unknown.begin(), unknown.end(), [](const auto& task) {
                                 return task.phase == wire::TaskPhase::exited;
                             });
    return for_unknown ||
           std::any_of(
               machine.attempts.begin(), machine.attempts.end(), [&](const Attempt* attempt) {
                   return forget_is_due(*attempt) && !CommandFence::may_forget(*attempt, machine);
               });
}

// The worker keeps a completion until it is in a committed checkpoint.
bool ReplyCommands::forget_is_due(const Attempt& attempt) const {
    return !attempt.live() && (attempt.cause != wire::ExitCause::done ||
                               completion_recorded(cluster_.job_of(attempt), attempt));
}

// Returns the stop and forget commands that no heartbeat has shown as executed yet.
std::vector<Command> ReplyCommands::commands_for_attempts(const Machine& machine) const {
    std::vector<Command> commands;
    for (const Attempt* attempt : machine.attempts) {
        if (commands.size() >= kMaxCommandsPerMessage) break;
        const Job& job = cluster_.job_of(*attempt);
        if (attempt->live() && attempt->stop_requested)
            commands.push_back(
                command_for(Command::Op::stop, job, *attempt, attempt->stop_grace_s));
        if (!forget_is_due(*attempt) || !CommandFence::may_forget(*attempt, machine)) continue;
        spdlog::debug(
            "job={} task={} attempt={} forget sent to machine={} token={} started under={}",
            job.spec.id, attempt->task, attempt->number, machine.name, machine.token,
            attempt->token);
        commands.push_back(command_for(Command::Op::forget, job, *attempt));
    }
    return commands;
}

// Returns the reported tasks that are not in the cluster state because they were started in an
// earlier term or have already ended.
std::vector<wire::TaskReport> ReplyCommands::unknown_tasks(const Machine& machine,
                                                           const wire::Heartbeat& heartbeat) const {
    std::vector<wire::TaskReport> unknown;
    for (const wire::TaskReport& task : heartbeat.tasks) {
        const bool known = std::any_of(
            machine.attempts.begin(), machine.attempts.end(),
            [&](const Attempt* attempt) { return is_report_of(task, *attempt, cluster_); });
        if (known) continue;
        // The job's shard is being reclaimed. The task is listed in records that are still being
        // read.
        if (const Job* job = cluster_.job(task.job);
            job != nullptr && job->delegated_shard != kNone)
            continue;
        unknown.push_back(task);
    }
    return unknown;
}

void ReplyCommands::add_commands_for_unknown_tasks(const Machine& machine,
                                                   const std::vector<wire::TaskReport>& unknown,
                                                   std::vector<Command>& commands) const {
    for (const wire::TaskReport& task : unknown) {
        if (commands.size() >= kMaxCommandsPerMessage) return;
        const bool exited = task.phase == wire::TaskPhase::exited;
        if (exited && !CommandFence::may_forget_unknown(machine)) continue;
        if (!exited)
            spdlog::warn(
                "stopping task that has ended or was never recorded job={} task={} attempt={} "
                "machine={} token={}",
                task.job, task.task, task.attempt, machine.name, machine.channel.token());
        commands.push_back({exited ? Command::Op::forget : Command::Op::stop, task.job, task.task,
                            task.attempt, 0});
    }
}

}  // namespace nickelramp::control
