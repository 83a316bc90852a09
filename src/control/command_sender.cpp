#include "control/command_sender.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "placement/placement_cost.h"

namespace nickelramp::control {

using cluster::CommandReply;
using cluster::DeliveryStatus;
using jobs::Attempt;
using jobs::AttemptState;
using jobs::Job;
using machines::Machine;
using machines::MachineState;
using wire::Command;

namespace {
constexpr Millis kRetryRefused = 700;
constexpr Millis kRetryUnknown = 200;
constexpr Millis kRetryDark = 8'000;
constexpr std::size_t kDirectPart = 8;  // of the sockets, for messages under way at once
constexpr std::size_t kBatch = 200;     // commands in one message
constexpr double kReportsLately = 1.5;  // of the time between two
constexpr double kMatesPart = 0.5;      // of gang_wait_s: a fetch that takes less is waited for
}  // namespace

void CommandSender::queue(Machine& machine) {
    if (machine.commands_queued) return;
    machine.commands_queued = true;
    queued_.push_back(machine.index);
}

void CommandSender::send_queued(Millis now) {
    auto list = std::move(queued_);
    queued_.clear();
    for (Index i : list) {
        Machine* machine = book_.machine_by_index(i);
        if (machine == nullptr) continue;
        machine->commands_queued = false;
        send(*machine, now);
    }
}

// Tasks that this book does not know of: left by an earlier term, or over already.
void CommandSender::commands_for_unknown_tasks(Machine& machine, const wire::Heartbeat& heartbeat,
                                               std::vector<Command>& out) {
    for (const wire::TaskReport& task : heartbeat.tasks) {
        if (out.size() >= kBatch) return;
        bool known = std::any_of(
            machine.attempts.begin(), machine.attempts.end(), [&](const Attempt* attempt) {
                return attempt->number == task.attempt && attempt->task == task.task &&
                       book_.job_of(*attempt).spec.id == task.job;
            });
        if (known) continue;
        // Its block was taken back and its records are being read: they will name the task.
        if (const Job* job = book_.job(task.job); job != nullptr && job->delegated_shard != kNone)
            continue;
        bool exited = task.phase == wire::TaskPhase::exited;
        if (!exited)
            spdlog::info("stray task {}/{} try {} on {}", task.job, task.task, task.attempt,
                         machine.name);
        out.push_back({exited ? Command::Op::forget : Command::Op::stop, task.job, task.task,
                       task.attempt, 0});
    }
}

// Stops and forgets that hold until a report shows that they were obeyed.
std::vector<Command> CommandSender::pending_commands(Machine& machine) {
    std::vector<Command> out;
    for (Attempt* attempt : machine.attempts) {
        if (out.size() >= kBatch) break;
        Job& job = book_.job_of(*attempt);
        if (attempt->live() && attempt->stop_wanted) {
            out.push_back({Command::Op::stop, job.spec.id, attempt->task, attempt->number,
                           attempt->stop_grace_s});
        } else if (!attempt->live() &&
                   cluster::ClusterState::absence_is_conclusive(*attempt, machine)) {
            // A completion is forgotten only once it is on record; and never while a start of the
            // attempt may be under way: it would run again.
            const jobs::Chunk& chunk = job.chunks[attempt->task / jobs::kChunkTasks];
            bool recorded = job.state == jobs::JobState::finished ||
                            (chunk.done_recorded >> (attempt->task % jobs::kChunkTasks) & 1) != 0;
            if (attempt->cause == wire::ExitCause::done && !recorded) continue;
            out.push_back({Command::Op::forget, job.spec.id, attempt->task, attempt->number, 0});
        }
    }
    return out;
}

void CommandSender::send(Machine& machine, Millis now) {
    if (machine.command_in_flight || machine.address.empty()) return;
    if (now < machine.retry_command_at) {
        book_.wake_at(machine, machine.retry_command_at);
        return;
    }
    if (in_flight_count_ >= std::max<std::size_t>(16, term_.settings().max_sockets / kDirectPart)) {
        // A new leader asks every machine at once; the rest follow as answers come.
        book_.wake_at(machine, now + kRetryUnknown);
        return;
    }
    if (machine.state == MachineState::leased_out || machine.token == 0) return;
    std::vector<Command> commands;
    for (Attempt* attempt : machine.attempts) {
        if (commands.size() >= kBatch) break;
        Job& job = book_.job_of(*attempt);
        if (attempt->live() && attempt->stop_wanted && !attempt->stop_sent) {
            commands.push_back({Command::Op::stop, job.spec.id, attempt->task, attempt->number,
                                attempt->stop_grace_s});
            attempt->stop_sent = true;
        } else if (attempt->state == AttemptState::recorded && !term_.lease_confirmed(now)) {
            book_.wake_at(machine, now + kRetryRefused);
        } else if (attempt->state == AttemptState::recorded && machine.confirmed() &&
                   job.state == jobs::JobState::open) {
            if (job.is_gang() && !job.all_attempts_recorded()) continue;
            if (job.is_gang() && waits_for_gang_checkpoint(job, machine)) {
                book_.wake_at(machine, now + kRetryUnknown);
                continue;
            }
            commands.push_back(
                {Command::Op::start, job.spec.id, attempt->task, attempt->number, 0});
            book_.attempt_start_sent(*attempt, machine, now);
        }
    }
    if (commands.empty() && !machine.token_confirmation_pending) return;
    machine.token_confirmation_pending = false;
    machine.command_in_flight = true;
    machine.command_sent_position = machine.channel.newest_position();
    machine.command_sent_at = now;
    ++in_flight_count_;
    term_.gateway().send_commands(machine.name, machine.address, machine.token,
                                  machine.channel.incarnation(), commands,
                                  term_.guarded([this, name = machine.name, token = machine.token](
                                                    Millis t, const CommandReply& reply) {
                                      on_command_reply(name, token, reply, t);
                                  }));
}

// A member that has its image waits for the others, no longer than gang_wait_s, and ends the
// attempt and their fetches with it. Where fetching takes about as long it is started when they
// have theirs: a gang of eight with one such member once never began.
bool CommandSender::waits_for_gang_checkpoint(const Job& job, const Machine& machine) const {
    const double soon = term_.settings().gang_wait_s * kMatesPart;
    auto fetch_s = [&](const Machine& on) {
        return on.type == kNone ? 0 : placement::image_wait_s(job, on, book_.types()[on.type]);
    };
    if (fetch_s(machine) > 0) return false;
    return std::any_of(job.attempts.begin(), job.attempts.end(), [&](const auto& mate) {
        const Machine* on = book_.machine_of(*mate);
        return mate->live() && mate->state < AttemptState::waiting && on != nullptr &&
               fetch_s(*on) > soon;
    });
}

void CommandSender::on_command_reply(const std::string& name, std::uint64_t token,
                                     const CommandReply& reply, Millis now) {
    --in_flight_count_;
    Machine* machine = book_.machine(name);
    if (machine == nullptr) return;
    machine->command_in_flight = false;
    if (reply.delivery == DeliveryStatus::delivered && reply.heartbeat &&
        reply.heartbeat->machine == name) {
        const wire::Heartbeat& heartbeat = *reply.heartbeat;
        if (term_.superseded_by_token(heartbeat, now)) return;
        lost_command_machines_.clear();
        machine->command_failures = 0;
        for (Attempt* attempt : machine->attempts) {
            if (attempt->state == AttemptState::starting && attempt->token == token &&
                attempt->start_reply_sequence == 0) {
                attempt->start_reply_sequence =
                    heartbeat.sequence;  // executed or refused: nothing of it is under way
                if (!reply.executed) attempt->start_reply_sequence = heartbeat.sequence - 1;
            }
        }
        listener_.on_command_reply(*machine, heartbeat, now);
        if (!machine->confirmed()) {
            machine->token_confirmation_pending =
                true;  // its session was not the one we thought, or the token is new
            // A token above any given out: nothing that is sent to it is executed.
            if (heartbeat.token > machine->token) machine->retry_command_at = now + kRetryDark;
            queue(*machine);
        }
    } else {
        ++machine->command_failures;
        note_lost_command(*machine, now);
        bool lost = reply.delivery == DeliveryStatus::unknown;
        for (Attempt* attempt : machine->attempts) {
            if (attempt->token != token || attempt->start_reply_sequence != 0) continue;
            if (!lost) book_.attempt_start_not_delivered(*attempt, now);
            attempt->stop_sent = false;
        }
        if (lost) {
            // Commands may be under way. A higher token makes them harmless once it is confirmed.
            raise_token(*machine, now);
            machine->channel.on_command_lost(now);
        }
        // Heard from afar only, perhaps long gone: the next report asks again.
        if (machine->up_at == 0 && machine->command_failures > 1)
            machine->token_confirmation_pending = false;
        // Hundreds that cannot be reached are not probed as one is.
        const bool rarely = failure_detector_.is_lost(machine->zone) ||
                            machine->reachability == machines::Reachability::replies_only;
        machine->retry_command_at = now + (rarely ? kRetryDark
                                           : lost ? kRetryUnknown
                                                  : kRetryRefused);
    }
    queue(*machine);
    send_queued(now);
    actions_.schedule_if_needed(now);
}

// One that does not report either may have ended, or hang.
void CommandSender::note_lost_command(const Machine& machine, Millis now) {
    const Millis lately = seconds(kReportsLately * term_.settings().heartbeat_interval_s);
    if (now - machine.channel.heartbeat_at() > lately) return;
    if (lost_command_machines_.empty()) first_lost_at_ = now;
    lost_command_machines_.insert(machine.index);
}

void CommandSender::raise_token(Machine& machine, Millis now) {
    constexpr std::uint64_t kMost = (std::uint64_t{1} << shards::kGrantShift) - 1;
    if ((machine.token & kMost) == kMost) return;  // thousands of lost messages: let silence decide
    book_.raise_token(machine, machine.token + 1, now);
}

std::vector<Command> CommandSender::commands_for_reply(Machine& machine,
                                                       const wire::Heartbeat& heartbeat) {
    std::vector<Command> out = pending_commands(machine);
    commands_for_unknown_tasks(machine, heartbeat, out);
    return out;
}

}  // namespace nickelramp::control
