// What time does to machines: they are late, silent, idle, or their leases are over.
#include <algorithm>

#include "control/control_loop.h"

namespace nickelramp::control {

namespace {
constexpr Millis kWatchBusy = 1'000;  // a machine that does well is looked at so often
constexpr Millis kWatchOther = 200;
constexpr Millis kReportSlack = 500;
constexpr Millis kProbing = 3'000;  // two probes take longer than this to fail
constexpr Millis kNeverReported = 45'000;
constexpr Millis kCommandsLost = 5'000;  // commands take 2 s to fail, and others are asked then
constexpr Millis kHandedOver = 20'000;   // after the first was lost, whoever can has taken over
constexpr Millis kAskEvery = 1'000;
constexpr std::size_t kAsked = 8;  // machines at a time
constexpr double kHopeless = 4.0;  // boots beyond so many boot times are given back
}  // namespace

// A report is at most a quarter late.
Millis ControlLoop::unresponsive_timeout() const {
    return seconds(1.25 * term_.settings().heartbeat_interval_s) + kReportSlack;
}

bool ControlLoop::commands_lost(Millis now) const {
    return now - command_sender_.commands_lost_since() > kCommandsLost;
}

// Commands were lost to machines that report. It may be those machines: others are asked.
void ControlLoop::probe_unverified_machines(Millis now) {
    if (command_sender_.commands_lost_since() == kNever || now < next_probe_at_) return;
    next_probe_at_ = now + kAskEvery;
    std::size_t asked = 0;
    const auto& all = cluster_.machines();
    for (std::size_t k = 0; k < all.size() && asked < kAsked; ++k) {
        Machine& machine = *all[(next_probe_index_ + k) % all.size()];
        if (!machine.usable() || machine.command_in_flight) continue;
        probe(machine, now);
        ++asked;
    }
    next_probe_index_ += kAsked;
}

void ControlLoop::check_machines(Millis now) {
    probe_unverified_machines(now);
    for (Index i : cluster_.take_due_machines(now)) {
        if (Machine* machine = cluster_.machine_by_index(i)) check_machine(*machine, now);
    }
    autoscaler_.send_releases(now);
}

// What time does to a machine: it is late, silent, idle, or its lease is over.
void ControlLoop::check_machine(Machine& machine, Millis now) {
    // Two probes that fail after that tell enough: the cloud's answer to the return is what proves
    // the machine gone. Reports that arrive meanwhile do not show that it can be reached.
    const Millis probe_after = unresponsive_timeout();
    const Millis lost_after = probe_after + kProbing;
    const Millis silent = now - machine.channel.reached_at();
    bool well = machine.usable() && !machine.empty() && silent < probe_after - kWatchBusy;
    cluster_.wake_at(machine, now + (well ? kWatchBusy : kWatchOther));
    if (machine.state == MachineState::leased_out) return;
    if (machine.reserved_for != kNone && now >= machine.reserved_until)
        cluster_.release_reservation(machine);
    if (!machine.command_in_flight && now >= machine.retry_command_at)
        command_sender_.queue(machine);
    if (machine.state == MachineState::booting) {
        check_boot(machine, now);
        return;
    }
    // Counted before any is given up: that many fall silent together must be seen before the first
    // is returned.
    if (machine.counts_as_up) cluster_.set_reachability(machine, reachability_of(machine, now));
    if (silent > probe_after && !machine.command_in_flight && now >= machine.retry_command_at &&
        machine.state != MachineState::gone) {
        machine.token_confirmation_pending = true;
        machine.retry_command_at = now;
        command_sender_.queue(machine);
    }
    // One that is mute answers, and is given up while it can still save.
    const bool stays = machine.usable() || machine.state == MachineState::joining;
    const bool mute = machine.reachability == machines::Reachability::inbound_only && stays;
    // Where others report that no command reaches either, its probes may have failed here. Somebody
    // else leads soon then, or nobody can reach them.
    const bool unheard = now - command_sender_.commands_lost_since() >= 0 &&
                         now - command_sender_.commands_lost_since() < kHandedOver;
    const bool lost = silent > lost_after && machine.command_failures > 1 && !unheard;
    if (mute || lost) failure_detector_.consider_giving_up(machine, now);
    if (silent > seconds(term_.settings().lease_s) &&
        heartbeat_delegator_.lease_expired(machine.lease_until, now)) {
        // Whatever it had, it has killed by itself.
        while (!machine.attempts.empty()) cluster_.attempt_gone(*machine.attempts.back(), now);
    }
    if (!term_.is_shard_holder()) check_idle(machine, now);
}

void ControlLoop::check_boot(Machine& machine, Millis now) {
    // Where controllers are out of sockets, its reports may have found nobody.
    if (worker_capacity_.sockets_exhausted && machine.listed_running_at != 0)
        machine.listed_running_at = now;
    double boot_s = machine.type == kNone ? 60 : cluster_.types()[machine.type].boot_s;
    if (now - machine.provisioned_at >
        seconds(boot_s * kHopeless + term_.settings().cloud_list_lag_s)) {
        cluster_.release_machine(machine, cluster::ReleaseReason::never_booted);
    } else if (machine.listed_running_at != 0 && now - machine.listed_running_at > kNeverReported &&
               failure_detector_.is_healthy(machine.zone)) {
        cluster_.release_machine(machine, cluster::ReleaseReason::never_reported);
    }
    if (now - machine.provisioned_at > seconds(boot_s * autoscaling::kLateBootFactor) &&
        !machine.boots_late) {
        machine.boots_late = true;
        cluster_.request_scheduling();  // no longer counted on
    }
    // Work is placed on machines of blocks, and a block loses one only when it is gone: what is in
    // none went as the last leader ended. The cloud's answer proves it long before its lease does.
    if (!machine.attempts.empty() &&
        now - machine.channel.reached_at() > unresponsive_timeout() + kProbing)
        cluster_.release_machine(machine, cluster::ReleaseReason::known_from_records);
}

void ControlLoop::check_idle(Machine& machine, Millis now) {
    if (!machine.empty()) {
        machine.idle_since = 0;
        return;
    }
    if (machine.idle_since == 0) machine.idle_since = now;
    bool over = machine.state == MachineState::draining && machine.preemption_expected_at == 0;
    if (machine.reachability == machines::Reachability::replies_only && machine.attempts.empty() &&
        now - machine.idle_since > seconds(term_.settings().lease_s)) {
        cluster_.release_machine(machine, cluster::ReleaseReason::commands_lost);
    } else if (machine.accepts_tasks() && machine.reserved_for == kNone &&
               now - machine.idle_since > autoscaler_.idle_retention(machine, now)) {
        cluster_.release_machine(machine, cluster::ReleaseReason::idle);
    } else if (over) {
        cluster_.release_machine(machine, cluster::ReleaseReason::drained);
    } else if (machine.state == MachineState::draining && machine.attempts.empty()) {
        cluster_.release_machine(machine, cluster::ReleaseReason::preempted);
    }
}

}  // namespace nickelramp::control
