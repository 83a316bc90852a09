#include "control/machine_checker.h"

namespace nickelramp::control {

using cluster::ReleaseReason;
using machines::Machine;
using machines::MachineState;
using machines::Reachability;

namespace {
constexpr Millis kCheckIntervalHealthy = 1'000;
constexpr Millis kCheckIntervalOther = 200;
constexpr Millis kProbeFailureTime = 3'000;        // two probes fail within this time
constexpr Millis kFirstHeartbeatTimeout = 45'000;  // after the cloud lists a machine as running
constexpr double kBootTimeoutFactor = 4.0;         // multiple of the type's boot time
constexpr double kUnknownTypeBootS = 60;
// Commands take 2 s to fail, and other machines are probed after that.
constexpr Millis kCommandsLostTimeout = 5'000;
// Time after the first lost command within which another controller takes over if any can lead.
constexpr Millis kTakeoverTimeout = 20'000;
constexpr Millis kProbeInterval = 1'000;
constexpr std::size_t kMachinesPerProbe = 8;
}  // namespace

void MachineChecker::check_machines(Millis now) {
    probe_after_lost_commands(now);
    for (Index index : cluster_.take_due_machines(now)) {
        if (Machine* machine = cluster_.machine_by_index(index)) check_machine(*machine, now);
    }
    autoscaler_.send_releases(now);
}

bool MachineChecker::commands_lost(Millis now) const {
    return now - command_sender_.commands_lost_since() > kCommandsLostTimeout;
}

// If commands were lost to machines that send heartbeats, probes other machines to find out whether
// the fault is in those machines.
void MachineChecker::probe_after_lost_commands(Millis now) {
    if (command_sender_.commands_lost_since() == kNever || now < next_probe_at_) return;
    next_probe_at_ = now + kProbeInterval;
    std::size_t probed = 0;
    const auto& machines = cluster_.machines();
    for (std::size_t i = 0; i < machines.size() && probed < kMachinesPerProbe; ++i) {
        Machine& machine = *machines[(next_probe_index_ + i) % machines.size()];
        if (!machine.usable() || machine.command_in_flight) continue;
        command_sender_.probe(machine, now);
        ++probed;
    }
    next_probe_index_ += kMachinesPerProbe;
}

Millis MachineChecker::time_since_reached(const Machine& machine, Millis now) const {
    return now - machine.channel.reached_at();
}

// Returns how long a machine must be unreached before it may be declared lost. Two failed probes
// after the unresponsive timeout are enough, because the cloud's reply to the release proves that
// the machine is gone. Heartbeats that arrive meanwhile do not show that the machine can be
// reached.
Millis MachineChecker::lost_timeout() const {
    return reachability_monitor_.unresponsive_timeout() + kProbeFailureTime;
}

// Returns whether another controller may soon take over because no command of this one reaches a
// machine. Failed probes prove nothing until then. If no other controller has taken over after
// kTakeoverTimeout, none can reach the machines.
bool MachineChecker::awaiting_takeover(Millis now) const {
    const Millis lost_for = now - command_sender_.commands_lost_since();
    return lost_for >= 0 && lost_for < kTakeoverTimeout;
}

void MachineChecker::check_machine(Machine& machine, Millis now) {
    const bool healthy = machine.usable() && !machine.empty() &&
                         time_since_reached(machine, now) <
                             reachability_monitor_.unresponsive_timeout() - kCheckIntervalHealthy;
    cluster_.schedule_check(machine, now + (healthy ? kCheckIntervalHealthy : kCheckIntervalOther));
    if (machine.state == MachineState::leased_out) return;
    if (machine.reserved_for != kNone && now >= machine.reserved_until)
        cluster_.release_reservation(machine);
    if (!machine.command_in_flight && now >= machine.retry_command_at)
        command_sender_.queue(machine);
    if (machine.state == MachineState::booting) {
        check_boot(machine, now);
        return;
    }
    check_reachability(machine, now);
    check_lease(machine, now);
    if (!term_.is_shard_holder()) check_idle(machine, now);
}

void MachineChecker::check_reachability(Machine& machine, Millis now) {
    // Machines that become unresponsive together must be counted before the first of them is
    // declared lost.
    if (machine.counts_as_up)
        cluster_.set_reachability(machine, reachability_monitor_.reachability(machine, now));
    const Millis unreached_for = time_since_reached(machine, now);
    if (unreached_for > reachability_monitor_.unresponsive_timeout() &&
        !machine.command_in_flight && now >= machine.retry_command_at &&
        machine.state != MachineState::gone) {
        machine.token_confirmation_pending = true;
        machine.retry_command_at = now;
        command_sender_.queue(machine);
    }
    // An inbound-only machine still answers commands, so it may be declared lost while its tasks
    // can still save their state.
    const bool in_use = machine.usable() || machine.state == MachineState::joining;
    const bool inbound_only = machine.reachability == Reachability::inbound_only && in_use;
    const bool lost =
        unreached_for > lost_timeout() && machine.command_failures > 1 && !awaiting_takeover(now);
    if (inbound_only || lost) failure_detector_.declare_lost_if_permitted(machine, now);
}

void MachineChecker::check_lease(Machine& machine, Millis now) {
    if (time_since_reached(machine, now) <= seconds(term_.settings().lease_s)) return;
    if (!heartbeat_delegator_.lease_expired(machine.lease_until, now)) return;
    // The worker has killed all its tasks when its lease expired.
    while (!machine.attempts.empty()) cluster_.attempt_gone(*machine.attempts.back(), now);
}

void MachineChecker::check_boot(Machine& machine, Millis now) {
    // While the controllers are out of sockets, heartbeats may be refused. The timeout for the
    // first heartbeat is restarted.
    if (reachability_monitor_.sockets_exhausted() && machine.listed_running_at != 0)
        machine.listed_running_at = now;
    const double boot_s =
        machine.type == kNone ? kUnknownTypeBootS : cluster_.types()[machine.type].boot_s;
    const Millis booting_for = now - machine.provisioned_at;
    if (booting_for > seconds(boot_s * kBootTimeoutFactor + term_.settings().cloud_list_lag_s)) {
        cluster_.release_machine(machine, ReleaseReason::never_booted);
    } else if (machine.listed_running_at != 0 &&
               now - machine.listed_running_at > kFirstHeartbeatTimeout &&
               failure_detector_.is_healthy(machine.zone)) {
        cluster_.release_machine(machine, ReleaseReason::never_reported);
    }
    if (booting_for > seconds(boot_s * autoscaling::kLateBootFactor) && !machine.boots_late) {
        machine.boots_late = true;
        cluster_.request_scheduling();  // the scheduler no longer counts it as capacity
    }
    // Tasks are placed only on machines of shards, and a machine leaves its shard only when it is
    // gone. A machine with tasks but without a shard was released when the previous leader's term
    // ended. The cloud's reply to a release proves that it is gone long before its lease expires.
    if (!machine.attempts.empty() && time_since_reached(machine, now) > lost_timeout())
        cluster_.release_machine(machine, ReleaseReason::known_from_records);
}

void MachineChecker::check_idle(Machine& machine, Millis now) {
    if (!machine.empty()) {
        machine.idle_since = 0;
        return;
    }
    if (machine.idle_since == 0) machine.idle_since = now;
    if (const auto reason = idle_release_reason(machine, now))
        cluster_.release_machine(machine, *reason);
}

// Returns why an empty machine is to be released, or nullopt if it is kept.
std::optional<ReleaseReason> MachineChecker::idle_release_reason(const Machine& machine,
                                                                 Millis now) const {
    const Millis idle_for = now - machine.idle_since;
    if (machine.reachability == Reachability::replies_only && machine.attempts.empty() &&
        idle_for > seconds(term_.settings().lease_s))
        return ReleaseReason::commands_lost;
    if (machine.accepts_tasks() && machine.reserved_for == kNone &&
        idle_for > autoscaler_.idle_retention(machine, now))
        return ReleaseReason::idle;
    if (machine.state != MachineState::draining) return std::nullopt;
    if (machine.preemption_expected_at == 0) return ReleaseReason::drained;
    if (!machine.attempts.empty()) return std::nullopt;
    return ReleaseReason::preempted;
}

}  // namespace nickelramp::control
