// Machines: what they are, what is free on them, and how they leave the book.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "cluster/cluster_state.h"

namespace nickelramp::cluster {

void ClusterState::set_machine_state(Machine& machine, MachineState state) {
    if (machine.state == state) return;
    spdlog::debug("machine {}: {} -> {}", machine.name, machines::name(machine.state),
                  machines::name(state));
    machine.state.mutable_value() = state;
    if (state == MachineState::booting || state == MachineState::joining)
        provisioning_machines_.insert(machine.index);
    else
        provisioning_machines_.erase(machine.index);
    if (state == MachineState::releasing)
        releasing_machines_.insert(machine.index);
    else
        releasing_machines_.erase(machine.index);
    update_free_capacity(machine);
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
    // Attempts that a record put here may have been counted before the type was known.
    machine.cpus_free.mutable_value() += types_[machine.type].cpus;
    machine.gpus_free.mutable_value() += types_[machine.type].gpus;
    machine.memory_free.mutable_value() += types_[machine.type].memory_gb;
    if (machine_count_by_zone_.size() <= machine.zone)
        machine_count_by_zone_.resize(machine.zone + 1);
    ++machine_count_by_zone_[machine.zone];
    update_free_capacity(machine);
}

std::string ClusterState::describe_kind(const Machine& machine) const {
    if (machine.type == kNone) return "of unknown type";
    return fmt::format("{} {} in {}", machine.spot ? "spot" : "ordinary", types_[machine.type].name,
                       zone_names_.name(machine.zone));
}

// After any change of a machine's state or room: what is found and summed up without a look at
// every machine.
void ClusterState::update_free_capacity(Machine& machine) {
    if (machine.accepts_tasks() && machine.type != kNone &&
        machine.cpus_free > placement::kFitTolerance)
        free_capacity_.update(machine.index, {machine.type, machine.zone, machine.spot},
                              machine.cpus_free, machine.gpus_free);
    else
        free_capacity_.remove(machine.index);
    bool up = machine.up_at != 0 && machine.zone != kNone &&
              machine.state != MachineState::booting && machine.state != MachineState::leased_out &&
              machine.state != MachineState::gone;
    if (!up) set_reachability(machine, machines::Reachability::reachable);
    if (up != machine.counts_as_up)
        observer_.on_machine_counts_changed(machine.zone, up ? 1 : -1, 0);
    machine.counts_as_up.mutable_value() = up;
    if (machine.type != kNone) observer_.on_machine_changed(machine);
}

void ClusterState::set_reachability(Machine& machine, machines::Reachability reachability) {
    using machines::Reachability;
    if (reachability == machine.reachability) return;
    if (reachability == Reachability::outbound_only)
        spdlog::info("machine {} is heard, but nothing reaches it", machine.name);
    if (reachability == Reachability::replies_only)
        spdlog::info("machine {} hears answers, but no commands", machine.name);
    if (reachability == Reachability::inbound_only)
        spdlog::info("machine {} answers, but does not report", machine.name);
    // One that answers to its reports reach runs on with all that it has.
    auto out_of_reach = [](Reachability x) {
        return x != Reachability::reachable && x != Reachability::replies_only;
    };
    const bool was = out_of_reach(machine.reachability), is = out_of_reach(reachability);
    machine.reachability.mutable_value() = reachability;
    if (was != is) {
        observer_.on_machine_counts_changed(machine.zone, 0, is ? 1 : -1);
        if (is)
            unresponsive_machines_.insert(machine.index);
        else
            unresponsive_machines_.erase(machine.index);
    }
    update_free_capacity(machine);
    request_scheduling();
}

void ClusterState::machine_up(Machine& machine, Millis now) {
    if (machine.up_at != 0) return;
    machine.up_at = now;
    update_free_capacity(machine);
}

void ClusterState::set_unverified(Machine& machine, bool strange) {
    if (machine.unverified == strange) return;
    machine.unverified.mutable_value() = strange;
    unverified_machine_count_ += strange ? 1 : -1;
}

void ClusterState::take_control(Machine& machine, std::uint64_t token, Millis reached) {
    machine.token = token;
    machine.channel.take_control(token, reached);
    machine.token_confirmation_pending = true;
}

void ClusterState::raise_token(Machine& machine, std::uint64_t token, Millis now) {
    machine.token = token;
    machine.channel.raise_token(token, now);
    machine.token_confirmation_pending = true;
}

void ClusterState::set_suspected(Machine& machine, bool shaded) {
    if (shaded == machine.suspected) return;
    machine.suspected.mutable_value() = shaded;
    update_free_capacity(machine);
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
    std::erase(job_slots_[machine.reserved_for]->reserved_machines, machine.index);
    machine.reserved_for.mutable_value() = kNone;
    request_scheduling();
}

void ClusterState::release_machine(Machine& machine, const char* why) {
    if (machine.state == MachineState::releasing || machine.state == MachineState::gone) return;
    if (term_.is_shard_holder()) {
        // Only the leader deals with the cloud.
        if (std::find(unhealthy_machines_.begin(), unhealthy_machines_.end(), machine.name) ==
            unhealthy_machines_.end()) {
            spdlog::info("machine {} of this block {}", machine.name, why);
            unhealthy_machines_.push_back(machine.name);
        }
        if (machine.state == MachineState::ready)
            set_machine_state(machine, MachineState::draining);
        return;
    }
    spdlog::info("returning machine {}: it {}", machine.name, why);
    set_machine_state(machine, MachineState::releasing);
}

void ClusterState::drain_machine(Machine& machine, const std::string& why, Millis now) {
    if (machine.state != MachineState::ready && machine.state != MachineState::joining) return;
    spdlog::info("machine {} {}", machine.name, why);
    set_machine_state(machine, MachineState::draining);
    std::vector<Attempt*> list = machine.attempts;
    for (Attempt* attempt : list) {
        // What ends here may take others out of the list.
        if (std::find(machine.attempts.begin(), machine.attempts.end(), attempt) ==
            machine.attempts.end())
            continue;
        drain_attempt(*attempt, now);
    }
}

void ClusterState::machine_gone(Machine& machine, Millis now) {
    spdlog::info("machine {} ({}) is gone with {} tasks, {:.0f} s after its hire", machine.name,
                 describe_kind(machine), machine.attempts.size(),
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
