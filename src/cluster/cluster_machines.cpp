// ClusterState: identity, state, reachability, reservations and removal of machines.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "cluster/cluster_state.h"

namespace nickelramp::cluster {

using machines::Reachability;

namespace {

void set_membership(std::set<Index>& indices, Index index, bool member) {
    if (member)
        indices.insert(index);
    else
        indices.erase(index);
}

// Returns whether the machine is expected to send heartbeats.
bool counts_as_up(const Machine& machine) {
    return machine.up_at != 0 && machine.zone != kNone && machine.state != MachineState::booting &&
           machine.state != MachineState::leased_out && machine.state != MachineState::gone;
}

// Returns whether tasks on a machine with this reachability cannot be relied on. A worker that
// receives replies keeps its lease and goes on running its tasks.
bool counts_as_unresponsive(Reachability reachability) {
    return reachability != Reachability::reachable && reachability != Reachability::replies_only;
}

// For log messages. The names on administration pages are those of machines::name().
const char* describe(Reachability reachability) {
    switch (reachability) {
        case Reachability::reachable:
            return "reachable";
        case Reachability::unresponsive:
            return "unresponsive";
        case Reachability::outbound_only:
            return "outbound-only (heartbeats arrive, nothing reaches it)";
        case Reachability::replies_only:
            return "replies-only (replies reach it, commands do not)";
        case Reachability::inbound_only:
            return "inbound-only (commands reach it, no heartbeats arrive)";
    }
    return "?";
}

}  // namespace

void ClusterState::set_machine_state(Machine& machine, MachineState state) {
    if (machine.state == state) return;
    spdlog::debug("machine={} state {} -> {}", machine.name, machines::name(machine.state),
                  machines::name(state));
    machine.state.mutable_value() = state;
    set_membership(provisioning_machines_, machine.index,
                   state == MachineState::booting || state == MachineState::joining);
    set_membership(releasing_machines_, machine.index, state == MachineState::releasing);
    update_machine_indices(machine);
    request_scheduling();
}

Machine* ClusterState::add_machine(const std::string& name, Millis now) {
    if (Machine* known = registry_.find(name)) return known;
    Machine* machine = registry_.add(name);
    machine->provisioned_at = now;
    machine->channel.take_control(0, now);
    machine->idle_since = now;
    provisioning_machines_.insert(machine->index);
    machine_deadlines_.schedule(machine->index, now);
    return machine;
}

void ClusterState::set_machine_identity(Machine& machine, const std::string& address,
                                        const std::string& type, const std::string& zone,
                                        bool spot) {
    if (!address.empty()) machine.address = address;
    if (machine.type != kNone || type.empty()) return;
    machine.type = type_names_.add(type);
    if (machine.type >= types_.size()) {
        types_.resize(machine.type + 1);
        types_[machine.type].name = type;
    }
    machine.zone = zone_names_.add(zone);
    machine.spot = spot;
    // These are increments because attempts loaded from a checkpoint may have been subtracted
    // before the type was known.
    machine.cpus_free.mutable_value() += types_[machine.type].cpus;
    machine.gpus_free.mutable_value() += types_[machine.type].gpus;
    machine.memory_free.mutable_value() += types_[machine.type].memory_gb;
    if (machine_count_by_zone_.size() <= machine.zone)
        machine_count_by_zone_.resize(machine.zone + 1);
    ++machine_count_by_zone_[machine.zone];
    update_machine_indices(machine);
}

std::string ClusterState::describe_kind(const Machine& machine) const {
    if (machine.type == kNone) return "of unknown type";
    return fmt::format("{} {} in {}", machine.spot ? "spot" : "on-demand",
                       types_[machine.type].name, zone_names_.name(machine.zone));
}

// Updates the indices and totals over machines after a change of the machine's state, reachability
// or free resources, so that no reader has to iterate over all machines.
void ClusterState::update_machine_indices(Machine& machine) {
    if (machine.accepts_tasks() && machine.type != kNone &&
        machine.cpus_free > placement::kFitTolerance)
        free_capacity_.update(machine.index, {machine.type, machine.zone, machine.spot},
                              machine.cpus_free, machine.gpus_free);
    else
        free_capacity_.remove(machine.index);
    const bool up = counts_as_up(machine);
    if (!up) set_reachability(machine, Reachability::reachable);
    if (up != machine.counts_as_up)
        observer_.on_machine_counts_changed(machine.zone, up ? 1 : -1, 0);
    machine.counts_as_up.mutable_value() = up;
    if (machine.type != kNone) observer_.on_machine_changed(machine);
}

void ClusterState::set_reachability(Machine& machine, Reachability reachability) {
    if (reachability == machine.reachability) return;
    spdlog::info("machine={} reachability {} -> {}", machine.name, describe(machine.reachability),
                 describe(reachability));
    const bool was_unresponsive = counts_as_unresponsive(machine.reachability);
    const bool is_unresponsive = counts_as_unresponsive(reachability);
    machine.reachability.mutable_value() = reachability;
    if (was_unresponsive != is_unresponsive) {
        observer_.on_machine_counts_changed(machine.zone, 0, is_unresponsive ? 1 : -1);
        set_membership(unresponsive_machines_, machine.index, is_unresponsive);
    }
    update_machine_indices(machine);
    request_scheduling();
}

void ClusterState::machine_up(Machine& machine, Millis now) {
    if (machine.up_at != 0) return;
    machine.up_at = now;
    update_machine_indices(machine);
}

void ClusterState::set_unverified(Machine& machine, bool unverified) {
    if (machine.unverified == unverified) return;
    machine.unverified.mutable_value() = unverified;
    unverified_machine_count_ += unverified ? 1 : -1;
}

void ClusterState::take_control(Machine& machine, std::uint64_t token, Millis reached) {
    machine.token = machine.token_to_confirm = token;
    machine.channel.take_control(token, reached);
    machine.token_confirmation_pending = true;
}

void ClusterState::raise_token(Machine& machine, std::uint64_t token, Millis now) {
    advance_token(machine, token, now);
    machine.token_to_confirm = token;
    machine.token_confirmation_pending = true;
}

void ClusterState::advance_token(Machine& machine, std::uint64_t token, Millis now) {
    spdlog::debug("machine={} token {} -> {}", machine.name, machine.token, token);
    machine.token = token;
    machine.channel.raise_token(token, now);
}

void ClusterState::set_suspected(Machine& machine, bool suspected) {
    if (suspected == machine.suspected) return;
    machine.suspected.mutable_value() = suspected;
    update_machine_indices(machine);
    request_scheduling();
}

void ClusterState::reserve_machine(Machine& machine, Job& job, Millis until) {
    release_reservation(machine);
    machine.reserved_for.mutable_value() = job.index;
    machine.reserved_until = until;
    job.reserved_machines.push_back(machine.index);
}

void ClusterState::release_reservation(Machine& machine) {
    if (machine.reserved_for == kNone) return;
    std::erase(jobs_by_index_[machine.reserved_for]->reserved_machines, machine.index);
    machine.reserved_for.mutable_value() = kNone;
    request_scheduling();
}

void ClusterState::release_all_reservations(Job& job) {
    while (!job.reserved_machines.empty())
        release_reservation(*registry_.by_index(job.reserved_machines.back()));
}

void ClusterState::release_machine(Machine& machine, ReleaseReason reason) {
    if (machine.state == MachineState::releasing || machine.state == MachineState::gone) return;
    if (term_.is_shard_holder()) {
        report_unhealthy(machine, reason);
        return;
    }
    spdlog::info("machine={} is being released: it {}", machine.name, describe(reason));
    set_machine_state(machine, MachineState::releasing);
}

// Only the leader releases machines in the cloud. A shard holder drains the machine and reports it.
void ClusterState::report_unhealthy(Machine& machine, ReleaseReason reason) {
    const bool reported = std::find(unhealthy_machines_.begin(), unhealthy_machines_.end(),
                                    machine.name) != unhealthy_machines_.end();
    if (!reported) {
        spdlog::info("machine={} of this shard is unhealthy: it {}", machine.name,
                     describe(reason));
        unhealthy_machines_.push_back(machine.name);
    }
    if (machine.state == MachineState::ready) set_machine_state(machine, MachineState::draining);
}

void ClusterState::drain_machine(Machine& machine, const std::string& why, Millis now) {
    if (machine.state != MachineState::ready && machine.state != MachineState::joining) return;
    spdlog::info("machine={} is being drained: it {}", machine.name, why);
    set_machine_state(machine, MachineState::draining);
    const std::vector<Attempt*> attempts = machine.attempts;
    for (Attempt* attempt : attempts) {
        // The end of one attempt may have destroyed others.
        const bool exists = std::find(machine.attempts.begin(), machine.attempts.end(), attempt) !=
                            machine.attempts.end();
        if (exists) drain_attempt(*attempt, now);
    }
}

void ClusterState::machine_gone(Machine& machine, Millis now) {
    spdlog::info("machine={} ({}) is gone with {} attempts, {:.0f} s after it was provisioned",
                 machine.name, describe_kind(machine), machine.attempts.size(),
                 static_cast<double>(now - machine.provisioned_at) / 1000.0);
    set_machine_state(machine, MachineState::gone);
    release_reservation(machine);
    set_unverified(machine, false);
    machine_deadlines_.cancel(machine.index);
    while (!machine.attempts.empty()) attempt_gone(*machine.attempts.back(), now);
    if (machine.type != kNone) --machine_count_by_zone_[machine.zone];
    observer_.on_machine_gone(machine);
    registry_.remove(&machine);
    request_scheduling();
}

}  // namespace nickelramp::cluster
