#include "sharding/shard_machine_selector.h"

namespace nickelramp::sharding {

using machines::Machine;

namespace {
// Returns whether the machine is ready for use and has no attempts, command in flight or
// reservation.
bool is_unused(const Machine& machine, Millis now) {
    return machine.attempts.empty() && machine.shard_recorded && machine.reserved_for == kNone &&
           !machine.command_in_flight && now >= machine.probation_until && machine.confirmed();
}
}  // namespace

std::vector<Machine*> ShardMachineSelector::select(std::size_t count, Millis now) {
    MachinesByZone by_zone;
    for (const wire::MachineType& machine_type : cluster_.types())
        add_candidates(machine_type, count, now, by_zone);
    for (auto& [zone, machines] : by_zone) {
        if (machines.size() < count) continue;
        machines.resize(count);
        return machines;
    }
    return {};
}

void ShardMachineSelector::add_candidates(const wire::MachineType& machine_type, std::size_t count,
                                          Millis now, MachinesByZone& by_zone) {
    const Index type = cluster_.type_names().find(machine_type.name);
    const std::size_t available = forecast_.mutable_demand(type).available_for_whole_machine_tasks;
    const std::size_t wanted = forecast_.wanted_spare_machines(type, now);
    const bool has_surplus = available > wanted + count;
    const placement::Need whole_machine{machine_type.cpus, machine_type.gpus,
                                        machine_type.memory_gb};
    cluster_.free_capacity().for_each_candidate(
        whole_machine, [&](const auto& kind) { return kind.type == type; },
        [&](Index index) {
            Machine* machine = cluster_.machine_by_index(index);
            std::vector<Machine*>& in_zone = by_zone[machine->zone];
            if ((machine->spot || has_surplus) && is_unused(*machine, now))
                in_zone.push_back(machine);
            return in_zone.size() < count;  // false ends the search among this kind
        });
}

}  // namespace nickelramp::sharding
