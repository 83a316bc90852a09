#include "tests/simulated_network.h"

#include <algorithm>

namespace nickelramp::test {

const Partition* SimulatedNetwork::partition_of(const SimulatedMachine& machine) const {
    for (const Partition& partition : partitions_) {
        if (!partition.active(context_.now()) || machine.zone != partition.zone) continue;
        // A hash of the name selects the same machines throughout the partition.
        const std::size_t hash = std::hash<std::string>{}(machine.name + partition.zone);
        if (hash % 1000 < partition.share * 1000) return &partition;
    }
    return nullptr;
}

bool SimulatedNetwork::holder_partitioned(std::size_t holder) const {
    return std::any_of(partitions_.begin(), partitions_.end(), [&](const Partition& partition) {
        return partition.includes_controller && partition.active(context_.now()) &&
               zone_of(holder) == partition.zone;
    });
}

bool SimulatedNetwork::can_reach(const SimulatedMachine& machine, std::size_t controller) const {
    if (context_.now() < machine.heartbeats_blocked_until) return false;
    const bool inside = controller < 2 && has_shard_holders_ && holder_partitioned(controller);
    if (partition_of(machine) == nullptr) return !inside || machine.zone == zone_of(controller);
    return inside && machine.zone == zone_of(controller);
}

}  // namespace nickelramp::test
