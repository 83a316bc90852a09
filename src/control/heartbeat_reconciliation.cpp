// Reports: what a machine says, and what follows for what may be on it.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "control/control_loop.h"

namespace nickelramp::control {

using machines::EvidenceFreshness;
using machines::Reachability;
using wire::TaskPhase;

namespace {
constexpr std::size_t kMostStrangers = 256;  // machines known from reports of unknown age only
constexpr Millis kCopyDoubt = 1'000;  // a copy from a worker that was reached since is just that
}  // namespace

void ControlLoop::on_command_reply(Machine& machine, const wire::Heartbeat& heartbeat, Millis now) {
    const std::uint64_t session = machine.channel.newest_proven().incarnation;
    const EvidenceFreshness freshness = machine.channel.on_command_reply(
        heartbeat, machine.command_sent_position, machine.command_sent_at, now);
    on_machine_reached(machine, now);
    if (machines::proves_state(freshness))
        apply_heartbeat(machine, heartbeat, session,
                        freshness == EvidenceFreshness::new_incarnation, now);
}

Reachability ControlLoop::reachability_of(const Machine& machine, Millis now) const {
    const Reachability reachability = machine.channel.reachability(unresponsive_timeout(), now);
    const bool answers =
        reachability == Reachability::reachable || reachability == Reachability::replies_only;
    // Where controllers are out of sockets it may be their fault that it does not get through.
    const bool mute = answers && !worker_capacity_.sockets_exhausted &&
                      machine.channel.is_inbound_only(seconds(term_.settings().lease_s), now);
    return mute ? Reachability::inbound_only : reachability;
}

// Something of ours has arrived there.
void ControlLoop::on_machine_reached(Machine& machine, Millis now) {
    cluster_.set_reachability(machine, reachability_of(machine, now));
    cluster_.set_suspected(machine, false);
}

// What the message says is true of a moment after all that was known.
void ControlLoop::apply_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat,
                                  std::uint64_t session, bool anew, Millis now) {
    if (session != 0 && heartbeat.incarnation > session)
        spdlog::info("machine {} lost its lease and its tasks", machine.name);
    cluster_.set_machine_identity(machine, heartbeat.address, heartbeat.type, heartbeat.zone,
                                  heartbeat.spot);
    cluster_.set_unverified(machine, false);
    cluster_.machine_up(machine, now);
    if (anew) {
        // Nothing of before is there. What is still under way to it may be executed, until it has
        // seen a higher token.
        spdlog::info("machine {} has begun anew with {} tasks on it", machine.name,
                     machine.attempts.size());
        command_sender_.raise_token(machine, now);
    }

    std::vector<Attempt*> unseen = machine.attempts;
    for (const wire::TaskReport& task : heartbeat.tasks) {
        auto it = std::find_if(unseen.begin(), unseen.end(), [&](const Attempt* attempt) {
            return attempt->number == task.attempt && attempt->task == task.task &&
                   cluster_.job_of(*attempt).spec.id == task.job;
        });
        if (it == unseen.end()) continue;
        Attempt* attempt = *it;
        unseen.erase(it);
        // What ends here may take other attempts out of the lists.
        if (std::find(machine.attempts.begin(), machine.attempts.end(), attempt) ==
            machine.attempts.end())
            continue;
        cluster_.apply_task_report(*attempt, task, machine, now);
    }
    for (Attempt* attempt : unseen) {
        if (std::find(machine.attempts.begin(), machine.attempts.end(), attempt) ==
            machine.attempts.end())
            continue;
        if (attempt->state == AttemptState::recording || attempt->state == AttemptState::recorded)
            continue;
        if (!cluster::ClusterState::absence_is_conclusive(*attempt, machine) ||
            (!anew && heartbeat.sequence <= attempt->start_reply_sequence))
            continue;
        cluster_.attempt_gone(*attempt, now);
    }
    if (heartbeat.preemption_notice_s) {
        machine.preemption_expected_at = now + seconds(*heartbeat.preemption_notice_s);
        cluster_.drain_machine(
            machine, fmt::format("is taken back in {} s", *heartbeat.preemption_notice_s), now);
    }
    join_machine(machine, now);
    command_sender_.queue(machine);  // what waited for its token or for a place to come free
}

// A message that proves too little is a reason to ask.
void ControlLoop::probe(Machine& machine, Millis now) {
    machine.probe_requested_at = now;
    machine.token_confirmation_pending = true;
    machine.retry_command_at = std::min(machine.retry_command_at, now);
    command_sender_.queue(machine);
}

// A machine may be given tasks once its grant is recorded and it has confirmed the token.
void ControlLoop::join_machine(Machine& machine, Millis now) {
    // One that is expected may be taken at its word: it is asked before it gets anything.
    if (machine.state == MachineState::booting && !machine.unverified && machine.type != kNone) {
        cluster_.set_machine_state(machine, MachineState::joining);
        machine.idle_since = now;
        spdlog::info("machine {} ({}) is up after {:.1f} s", machine.name,
                     cluster_.describe_kind(machine),
                     static_cast<double>(now - machine.provisioned_at) / 1000.0);
    }
    if (machine.state == MachineState::joining && machine.type != kNone &&
        !machine.shard_recorded) {
        shard_lease_writer_.table().add_machine(
            {machine.name, machine.address, cluster_.types()[machine.type].name,
             cluster_.zones().name(machine.zone), machine.spot});
        const std::uint64_t granted = shard_lease_writer_.table().token_of(machine.name);
        if (granted > machine.token) cluster_.raise_token(machine, granted, now);
    }
    if (machine.state == MachineState::joining && machine.shard_recorded &&
        !machine.recovering_jobs) {
        if (machine.confirmed() && machine.up_at != 0) {
            cluster_.set_machine_state(machine, MachineState::ready);
        } else {
            machine.token_confirmation_pending = true;
            command_sender_.queue(machine);
        }
    }
}

machines::HeartbeatReply ControlLoop::on_heartbeat(const wire::Heartbeat& heartbeat,
                                                   const machines::HeartbeatArrival& arrival,
                                                   Millis now) {
    if (term_.superseded_by_token(heartbeat, now)) return {421, "", 0, {}};
    if (term_.is_over() || !started_ || cluster_.is_tombstoned(heartbeat.machine))
        return {503, "", 0, {}};
    Machine* machine = cluster_.machine(heartbeat.machine);
    if (machine == nullptr) {
        if (term_.is_shard_holder()) return {421, "", 0, {}};
        if (cluster_.unverified_machine_count() >= kMostStrangers) return {503, "", 0, {}};
        // It may be long gone: nobody counts on it before it has answered.
        machine = cluster_.add_machine(heartbeat.machine, now);
        cluster_.set_unverified(*machine, true);
        cluster_.set_machine_identity(*machine, heartbeat.address, heartbeat.type, heartbeat.zone,
                                      heartbeat.spot);
    }
    if (machine->state == MachineState::leased_out) {
        std::string holder = shard_allocator_.holder_of(machine->index);
        if (!holder.empty()) return {421, holder, 0, {}};
        return {503, "", 0, {}};  // nobody's for a moment
    }
    // Not granted yet: it may hold an earlier term's token, so it gets one of this term's.
    if (machine->token == 0)
        cluster_.take_control(*machine, shards::term_token(term_.info().number), now);
    if (machine->address.empty())
        cluster_.set_machine_identity(*machine, heartbeat.address, heartbeat.type, heartbeat.zone,
                                      heartbeat.spot);
    const Millis report_every = seconds(term_.settings().heartbeat_interval_s);
    const Millis reached_before = machine->channel.reached_at();
    const std::uint64_t session = machine->channel.newest_proven().incarnation;
    const EvidenceFreshness freshness = machine->channel.on_heartbeat(heartbeat, arrival, now);
    const bool hears = machine->channel.reached_at() > reached_before;
    if (hears) on_machine_reached(*machine, now);
    if (machines::proves_state(freshness))
        apply_heartbeat(*machine, heartbeat, session, false, now);
    if (freshness == EvidenceFreshness::unordered) join_machine(*machine, now);
    const bool doubtful = machine->reachability != Reachability::reachable || machine->suspected;
    if (freshness == EvidenceFreshness::duplicate) {
        // Copies come in floods: once in the time between two reports.
        if (now - machine->channel.reached_at() > kCopyDoubt &&
            now - machine->probe_requested_at > report_every)
            probe(*machine, now);
    } else if (freshness == EvidenceFreshness::unordered || (doubtful && !hears)) {
        probe(*machine, now);
    }
    command_sender_.send_queued(now);
    if (machine->token < heartbeat.token)
        return handle_unproven_heartbeat(*machine, freshness, now);
    // A copy's answer goes nowhere. One that the worker cannot hear would keep its lease alive in
    // this book alone; where nothing is on the machine that does no harm.
    const Millis lease = seconds(term_.settings().lease_s);
    if (freshness == EvidenceFreshness::duplicate ||
        (!machine->attempts.empty() && !machine->channel.should_reply(lease, now)))
        return {503, "", 0, {}};
    machine->lease_until = std::max(machine->lease_until, now + with_clock_drift(lease) + 500);
    machine->channel.on_reply_sent(lease, now);
    machines::HeartbeatReply out;
    out.token = machine->token;
    if (machines::proves_state(freshness))
        out.commands = command_sender_.commands_for_reply(*machine, heartbeat);
    command_sender_.send_queued(now);
    schedule_if_needed(now);
    return out;
}

// Its token is above any that this book has given out for it.
machines::HeartbeatReply ControlLoop::handle_unproven_heartbeat(Machine& machine,
                                                                EvidenceFreshness freshness,
                                                                Millis now) {
    if (term_.is_shard_holder()) return {421, "", 0, {}};
    // Nobody's commands would be executed there any more.
    if (machines::proves_state(freshness))
        cluster_.release_machine(machine, cluster::ReleaseReason::unknown_token);
    probe(machine, now);
    return {503, "", 0, {}};
}

}  // namespace nickelramp::control
