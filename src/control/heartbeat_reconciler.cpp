#include "control/heartbeat_reconciler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "control/attempt_lookup.h"

namespace nickelramp::control {

using jobs::Attempt;
using jobs::AttemptState;
using machines::EvidenceFreshness;
using machines::HeartbeatReply;
using machines::Machine;
using machines::MachineState;
using machines::Reachability;

namespace {
// Limits the machines that are known only from messages of unknown age.
constexpr std::size_t kMaxUnverifiedMachines = 256;
// A machine that was reached within this time is not probed when a duplicate arrives.
constexpr Millis kDuplicateGrace = 1'000;
// Added to the time at which the lease expires by the worker's clock.
constexpr Millis kLeaseSlack = 500;
constexpr double kMillisPerSecond = 1'000;

bool has_attempt(const Machine& machine, const Attempt* attempt) {
    return std::find(machine.attempts.begin(), machine.attempts.end(), attempt) !=
           machine.attempts.end();
}
}  // namespace

// --- replies to heartbeats

HeartbeatReply HeartbeatReconciler::on_heartbeat(const wire::Heartbeat& heartbeat,
                                                 const machines::HeartbeatArrival& arrival,
                                                 Millis now) {
    if (auto rejection = rejection_of(heartbeat)) return *rejection;
    Machine& machine = find_or_add_machine(heartbeat, now);
    const Millis reached_before = machine.channel.reached_at();
    const std::uint64_t previous_incarnation = machine.channel.newest_proven().incarnation;
    const EvidenceFreshness freshness = machine.channel.on_heartbeat(heartbeat, arrival, now);
    const bool reached = machine.channel.reached_at() > reached_before;
    if (reached) on_machine_reached(machine, now);
    if (machines::proves_state(freshness))
        apply_proven_state(machine, heartbeat, previous_incarnation, freshness, now);
    if (freshness == EvidenceFreshness::unordered) join_machine(machine, now);
    probe_if_doubtful(machine, freshness, reached, now);
    HeartbeatReply reply = machine.token < heartbeat.token
                               ? reject_unissued_token(machine, freshness, now)
                               : reply_to(machine, heartbeat, freshness, now);
    // Sent after the reply is made, which may advance the token.
    command_sender_.send_queued(now);
    if (reply.status == machines::kHeartbeatAccepted) actions_.schedule_if_needed(now);
    return reply;
}

// Returns the rejection to reply with if this term is not responsible for the machine, without
// changing any state.
std::optional<HeartbeatReply> HeartbeatReconciler::rejection_of(
    const wire::Heartbeat& heartbeat) const {
    if (cluster_.is_tombstoned(heartbeat.machine)) return HeartbeatReply::unavailable();
    const Machine* machine = cluster_.machine(heartbeat.machine);
    if (machine == nullptr) {
        if (term_.is_shard_holder()) return HeartbeatReply::misdirected();
        if (cluster_.unverified_machine_count() >= kMaxUnverifiedMachines)
            return HeartbeatReply::unavailable();
        return std::nullopt;
    }
    if (machine->state != MachineState::leased_out) return std::nullopt;
    std::string holder = shard_allocator_.holder_of(machine->index);
    if (holder.empty()) return HeartbeatReply::unavailable();  // between two holders
    return HeartbeatReply::misdirected(std::move(holder));
}

Machine& HeartbeatReconciler::find_or_add_machine(const wire::Heartbeat& heartbeat, Millis now) {
    Machine* machine = cluster_.machine(heartbeat.machine);
    if (machine == nullptr) {
        // The machine may no longer exist. It is not counted as capacity before it has answered a
        // probe.
        machine = cluster_.add_machine(heartbeat.machine, now);
        cluster_.set_unverified(*machine, true);
        set_identity(*machine, heartbeat);
    }
    // A machine without a grant may hold a token of an earlier term, so it gets one of this term.
    if (machine->token == 0)
        cluster_.take_control(*machine, shards::term_token(term_.info().number), now);
    if (machine->address.empty()) set_identity(*machine, heartbeat);
    return *machine;
}

void HeartbeatReconciler::set_identity(Machine& machine, const wire::Heartbeat& heartbeat) {
    cluster_.set_machine_identity(machine, heartbeat.address, heartbeat.type, heartbeat.zone,
                                  heartbeat.spot);
}

// Handles evidence that a message of this controller has reached the machine.
void HeartbeatReconciler::on_machine_reached(Machine& machine, Millis now) {
    cluster_.set_reachability(machine, reachability_monitor_.reachability(machine, now));
    cluster_.set_suspected(machine, false);
}

// Probes the machine if the message does not prove its state or leaves its reachability in doubt.
void HeartbeatReconciler::probe_if_doubtful(Machine& machine, EvidenceFreshness freshness,
                                            bool reached, Millis now) {
    if (freshness == EvidenceFreshness::duplicate) {
        // Many duplicates may arrive at once, so there is one probe per heartbeat interval.
        const Millis heartbeat_interval = seconds(term_.settings().heartbeat_interval_s);
        if (now - machine.channel.reached_at() > kDuplicateGrace &&
            now - machine.probe_requested_at > heartbeat_interval)
            command_sender_.probe(machine, now);
        return;
    }
    const bool doubtful = machine.reachability != Reachability::reachable || machine.suspected;
    if (freshness == EvidenceFreshness::unordered || (doubtful && !reached))
        command_sender_.probe(machine, now);
}

// Rejects a heartbeat with a higher token than this term has issued for the machine. Such a machine
// would reject every command.
HeartbeatReply HeartbeatReconciler::reject_unissued_token(Machine& machine,
                                                          EvidenceFreshness freshness, Millis now) {
    if (term_.is_shard_holder()) return HeartbeatReply::misdirected();
    if (machines::proves_state(freshness))
        cluster_.release_machine(machine, cluster::ReleaseReason::unknown_token);
    command_sender_.probe(machine, now);
    return HeartbeatReply::unavailable();
}

HeartbeatReply HeartbeatReconciler::reply_to(Machine& machine, const wire::Heartbeat& heartbeat,
                                             EvidenceFreshness freshness, Millis now) {
    const Millis lease = seconds(term_.settings().lease_s);
    // The worker drops the reply to a duplicate. A reply that does not reach the worker would renew
    // the lease in the cluster state only, which is harmless only if the machine is empty.
    if (freshness == EvidenceFreshness::duplicate ||
        (!machine.attempts.empty() && !machine.channel.should_reply(lease, now)))
        return HeartbeatReply::unavailable();
    machine.lease_until =
        std::max(machine.lease_until, now + with_clock_drift(lease) + kLeaseSlack);
    machine.channel.on_reply_sent(lease, now);
    HeartbeatReply reply;
    if (machines::proves_state(freshness))
        reply.commands = reply_commands_.take(machine, heartbeat, now);
    reply.token = machine.token;
    return reply;
}

// --- application of proven task states

void HeartbeatReconciler::on_command_reply(Machine& machine, const wire::Heartbeat& heartbeat,
                                           Millis now) {
    const std::uint64_t previous_incarnation = machine.channel.newest_proven().incarnation;
    const EvidenceFreshness freshness = machine.channel.on_command_reply(
        heartbeat, machine.command_sent_position, machine.command_sent_at, now);
    on_machine_reached(machine, now);
    if (machines::proves_state(freshness))
        apply_proven_state(machine, heartbeat, previous_incarnation, freshness, now);
}

// Applies a message whose content is newer than everything known before.
void HeartbeatReconciler::apply_proven_state(Machine& machine, const wire::Heartbeat& heartbeat,
                                             std::uint64_t previous_incarnation,
                                             EvidenceFreshness freshness, Millis now) {
    if (previous_incarnation != 0 && heartbeat.incarnation > previous_incarnation)
        spdlog::info("machine {}: worker lost its lease, all its tasks have ended", machine.name);
    set_identity(machine, heartbeat);
    cluster_.set_unverified(machine, false);
    cluster_.machine_up(machine, now);
    const bool new_incarnation = freshness == EvidenceFreshness::new_incarnation;
    if (new_incarnation) {
        // No task of the previous incarnation is left. The worker could still execute messages that
        // are in flight until it has received a higher token.
        spdlog::info("machine {}: worker restarted, attempts={}", machine.name,
                     machine.attempts.size());
        fence_.raise_token(machine, now);
    }
    const std::vector<Attempt*> unreported = apply_task_reports(machine, heartbeat, now);
    apply_absences(machine, unreported, now);
    if (heartbeat.preemption_notice_s) {
        machine.preemption_expected_at = now + seconds(*heartbeat.preemption_notice_s);
        cluster_.drain_machine(
            machine,
            fmt::format("is preempted by the cloud in {} s", *heartbeat.preemption_notice_s), now);
    }
    join_machine(machine, now);
    // Commands may have been waiting for the token to be confirmed or for free capacity.
    command_sender_.queue(machine);
}

// Returns the machine's attempts that the heartbeat does not list.
std::vector<Attempt*> HeartbeatReconciler::apply_task_reports(Machine& machine,
                                                              const wire::Heartbeat& heartbeat,
                                                              Millis now) {
    std::vector<Attempt*> unreported = machine.attempts;
    for (const wire::TaskReport& task : heartbeat.tasks) {
        const auto found = std::find_if(
            unreported.begin(), unreported.end(),
            [&](const Attempt* attempt) { return is_report_of(task, *attempt, cluster_); });
        if (found == unreported.end()) continue;
        Attempt* attempt = *found;
        unreported.erase(found);
        const std::size_t attempts_before = machine.attempts.size();
        cluster_.apply_task_report(*attempt, task, machine, now);
        // The end of this attempt may have ended and removed other attempts, too.
        if (machine.attempts.size() != attempts_before)
            std::erase_if(unreported,
                          [&](const Attempt* other) { return !has_attempt(machine, other); });
    }
    return unreported;
}

// An attempt that the worker has started and does not list any more may be started by a late copy
// of its start command until it is fenced.
void HeartbeatReconciler::apply_absences(Machine& machine, const std::vector<Attempt*>& unreported,
                                         Millis now) {
    for (Attempt* attempt : unreported) {
        // Ending one attempt may have removed others that are in `unreported`.
        if (!has_attempt(machine, attempt)) continue;
        const bool not_started_yet =
            attempt->state == AttemptState::recording || attempt->state == AttemptState::recorded;
        if (not_started_yet) continue;
        if (CommandFence::is_fenced(*attempt, machine)) {
            spdlog::debug(
                "task={} attempt={} no longer reported by machine={} started under={} "
                "incarnation={} worker token={} incarnation={}",
                attempt->task, attempt->number, machine.name, attempt->token, attempt->incarnation,
                machine.channel.token(), machine.channel.newest_proven().incarnation);
            cluster_.attempt_gone(*attempt, now);
        } else if (attempt->start_answered && !CommandFence::may_forget(*attempt, machine)) {
            fence_.raise_token(machine, now);
        }
    }
}

// --- joining of machines to the term

void HeartbeatReconciler::join_machine(Machine& machine, Millis now) {
    // A machine that was provisioned may join on any heartbeat, because it must confirm its token
    // before it becomes ready.
    if (machine.state == MachineState::booting && !machine.unverified && machine.type != kNone)
        on_booted(machine, now);
    if (machine.state != MachineState::joining) return;
    if (machine.type != kNone && !machine.shard_recorded) request_grant(machine, now);
    if (!machine.shard_recorded || machine.recovering_jobs) return;
    if (machine.confirmed() && machine.up_at != 0) {
        cluster_.set_machine_state(machine, MachineState::ready);
    } else {
        machine.token_confirmation_pending = true;
        command_sender_.queue(machine);
    }
}

void HeartbeatReconciler::on_booted(Machine& machine, Millis now) {
    cluster_.set_machine_state(machine, MachineState::joining);
    machine.idle_since = now;
    spdlog::info("machine {} ({}): up after {:.1f} s", machine.name,
                 cluster_.describe_kind(machine),
                 static_cast<double>(now - machine.provisioned_at) / kMillisPerSecond);
}

void HeartbeatReconciler::request_grant(Machine& machine, Millis now) {
    shards::ShardLeaseTable& table = shard_lease_writer_.table();
    table.add_machine({machine.name, machine.address, cluster_.types()[machine.type].name,
                       cluster_.zones().name(machine.zone), machine.spot});
    const std::uint64_t granted = table.token_of(machine.name);
    if (granted > machine.token) cluster_.raise_token(machine, granted, now);
}

}  // namespace nickelramp::control
