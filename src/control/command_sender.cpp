#include "control/command_sender.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "control/attempt_command.h"
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
constexpr Millis kRetryAfterRefusal = 700;
constexpr Millis kRetryAfterUnknownOutcome = 200;
constexpr Millis kRetryUnreachable = 8'000;
// Direct messages in flight may use one in kSocketsPerMessage sockets, and always at least
// kMinMessagesInFlight.
constexpr std::size_t kSocketsPerMessage = 8;
constexpr std::size_t kMinMessagesInFlight = 16;
// A machine counts as still sending heartbeats if the last one is at most this old.
constexpr double kRecentHeartbeatIntervals = 1.5;
// As a fraction of gang_wait_s. Members that are already started wait for shorter image fetches of
// the others.
constexpr double kShortFetchFraction = 0.5;
}  // namespace

const char* name(CommandRejection rejection) {
    return rejection == CommandRejection::token ? "token" : "incarnation";
}

void CommandSender::queue(Machine& machine) {
    if (machine.commands_queued) return;
    machine.commands_queued = true;
    queued_.push_back(machine.index);
}

void CommandSender::send_queued(Millis now) {
    const auto queued = std::exchange(queued_, {});
    for (Index index : queued) {
        Machine* machine = cluster_.machine_by_index(index);
        if (machine == nullptr) continue;
        machine->commands_queued = false;
        send(*machine, now);
    }
}

void CommandSender::probe(Machine& machine, Millis now) {
    machine.probe_requested_at = now;
    machine.token_confirmation_pending = true;
    machine.retry_command_at = std::min(machine.retry_command_at, now);
    queue(machine);
}

// --- direct messages

bool CommandSender::may_send(const Machine& machine, Millis now) {
    if (machine.command_in_flight || machine.address.empty()) return false;
    if (now < machine.retry_command_at) {
        cluster_.schedule_check(machine, machine.retry_command_at);
        return false;
    }
    const std::size_t max_in_flight =
        std::max(kMinMessagesInFlight, term_.settings().max_sockets / kSocketsPerMessage);
    if (in_flight_count_ >= max_in_flight) {
        // A new leader probes every machine at once. The remaining messages are sent as replies to
        // the first ones arrive.
        cluster_.schedule_check(machine, now + kRetryAfterUnknownOutcome);
        return false;
    }
    return machine.state != MachineState::leased_out && machine.token != 0;
}

void CommandSender::send(Machine& machine, Millis now) {
    if (!may_send(machine, now)) return;
    const std::vector<Command> commands = take_due_commands(machine, now);
    if (commands.empty() && !machine.token_confirmation_pending) return;
    machine.token_confirmation_pending = false;
    machine.command_in_flight = true;
    machine.command_sent_position = machine.channel.newest_position();
    machine.command_sent_at = now;
    ++in_flight_count_;
    term_.gateway().send_commands(machine.name, machine.address, machine.token,
                                  machine.channel.incarnation(), commands,
                                  term_.guarded([this, name = machine.name, token = machine.token](
                                                    Millis replied_at, const CommandReply& reply) {
                                      on_command_reply(name, token, reply, replied_at);
                                  }));
}

std::vector<Command> CommandSender::take_due_commands(Machine& machine, Millis now) {
    std::vector<Command> commands;
    for (Attempt* attempt : machine.attempts) {
        if (commands.size() >= kMaxCommandsPerMessage) break;
        if (auto command = take_due_command(*attempt, machine, now))
            commands.push_back(std::move(*command));
    }
    return commands;
}

// Returns the stop or start command that is due for the attempt, if any, and records it in the
// cluster state as sent.
std::optional<Command> CommandSender::take_due_command(Attempt& attempt, Machine& machine,
                                                       Millis now) {
    const Job& job = cluster_.job_of(attempt);
    if (attempt.live() && attempt.stop_requested && !attempt.stop_sent) {
        attempt.stop_sent = true;
        return command_for(Command::Op::stop, job, attempt, attempt.stop_grace_s);
    }
    if (attempt.state != AttemptState::recorded) return std::nullopt;
    if (!term_.lease_confirmed(now)) {
        cluster_.schedule_check(machine, now + kRetryAfterRefusal);
        return std::nullopt;
    }
    if (!machine.confirmed() || job.state != jobs::JobState::open) return std::nullopt;
    if (job.is_gang() && !job.all_attempts_recorded()) return std::nullopt;
    if (job.is_gang() && waits_for_gang_images(job, machine)) {
        cluster_.schedule_check(machine, now + kRetryAfterUnknownOutcome);
        return std::nullopt;
    }
    cluster_.attempt_start_sent(attempt, machine, now);
    return command_for(Command::Op::start, job, attempt);
}

// A started gang member waits for the others for at most gang_wait_s and then ends the attempt of
// all members, including their image fetches. A member that has its image is therefore started only
// when the others have nearly fetched theirs. Otherwise a gang with longer fetches would never
// start.
bool CommandSender::waits_for_gang_images(const Job& job, const Machine& machine) const {
    const double short_fetch_s = term_.settings().gang_wait_s * kShortFetchFraction;
    const auto fetch_s = [&](const Machine& candidate) {
        if (candidate.type == kNone) return 0.0;
        return placement::image_wait_s(job, candidate, cluster_.types()[candidate.type]);
    };
    if (fetch_s(machine) > 0) return false;
    return std::any_of(job.attempts.begin(), job.attempts.end(), [&](const auto& member) {
        const Machine* host = cluster_.machine_of(*member);
        return member->live() && member->state < AttemptState::waiting && host != nullptr &&
               fetch_s(*host) > short_fetch_s;
    });
}

// --- replies to direct messages

void CommandSender::on_command_reply(const std::string& machine_name, std::uint64_t token,
                                     const CommandReply& reply, Millis now) {
    --in_flight_count_;
    Machine* machine = cluster_.machine(machine_name);
    if (machine == nullptr) return;
    machine->command_in_flight = false;
    const bool answered = reply.delivery == DeliveryStatus::delivered && reply.heartbeat &&
                          reply.heartbeat->machine == machine_name;
    if (answered) {
        if (term_.superseded_by_token(*reply.heartbeat, now)) return;
        on_answered(*machine, token, *reply.heartbeat, reply.executed, now);
    } else {
        on_not_answered(*machine, token, reply.delivery == DeliveryStatus::unknown, now);
    }
    queue(*machine);
    send_queued(now);
    actions_.schedule_if_needed(now);
}

void CommandSender::on_answered(Machine& machine, std::uint64_t token, const wire::Heartbeat& state,
                                bool executed, Millis now) {
    lost_command_machines_.clear();
    machine.command_failures = 0;
    if (!executed) {
        const CommandRejection rejection =
            state.token > token ? CommandRejection::token : CommandRejection::incarnation;
        spdlog::debug("machine={} rejected commands reason={} token={} worker token={}",
                      machine.name, name(rejection), token, state.token);
        listener_.on_commands_rejected(rejection);
    }
    // A higher token of this term reached the worker first.
    const bool overtaken = !executed && state.token > token && state.token <= machine.token;
    for (Attempt* attempt : machine.attempts) {
        if (overtaken) attempt->stop_sent = false;
        const bool start_was_sent = attempt->state == AttemptState::starting &&
                                    attempt->token == token && !attempt->start_answered;
        if (!start_was_sent) continue;
        attempt->start_answered = true;
        if (overtaken) cluster_.attempt_start_not_executed(*attempt, now);
    }
    listener_.on_command_reply(machine, state, now);
    if (machine.confirmed()) return;
    // The worker has a different incarnation than expected, or has not confirmed a new token.
    machine.token_confirmation_pending = true;
    // The worker has a higher token than this term has issued, so it rejects every command.
    if (state.token > machine.token) machine.retry_command_at = now + kRetryUnreachable;
    queue(machine);
}

void CommandSender::on_not_answered(Machine& machine, std::uint64_t token, bool outcome_unknown,
                                    Millis now) {
    ++machine.command_failures;
    record_lost_command(machine, now);
    for (Attempt* attempt : machine.attempts) {
        if (attempt->token != token || attempt->start_answered) continue;
        if (!outcome_unknown) cluster_.attempt_start_not_executed(*attempt, now);
        attempt->stop_sent = false;
    }
    if (outcome_unknown) {
        // The commands may still be in flight. They are fenced once the worker has confirmed the
        // higher token.
        fence_.raise_token(machine, now);
        machine.channel.on_command_lost(now);
    }
    // The machine is known only from forwarded or old messages and may no longer exist. It is
    // probed again when its next heartbeat arrives.
    if (machine.up_at == 0 && machine.command_failures > 1)
        machine.token_confirmation_pending = false;
    machine.retry_command_at = now + retry_delay(machine, outcome_unknown);
}

// Machines in a lost zone and machines that commands do not reach are retried less often, because
// there may be many of them.
Millis CommandSender::retry_delay(const Machine& machine, bool outcome_unknown) const {
    if (failure_detector_.is_lost(machine.zone) ||
        machine.reachability == machines::Reachability::replies_only)
        return kRetryUnreachable;
    return outcome_unknown ? kRetryAfterUnknownOutcome : kRetryAfterRefusal;
}

// Counts only machines that send heartbeats. Any other machine may have stopped or may hang.
void CommandSender::record_lost_command(const Machine& machine, Millis now) {
    const Millis recent =
        seconds(kRecentHeartbeatIntervals * term_.settings().heartbeat_interval_s);
    if (now - machine.channel.heartbeat_at() > recent) return;
    if (lost_command_machines_.empty()) first_lost_at_ = now;
    lost_command_machines_.insert(machine.index);
}

}  // namespace nickelramp::control
