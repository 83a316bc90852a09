/// @file
/// The leader's account of the free capacity of a leased shard. The leader delegates only jobs that
/// fit, and the holder decides on their placement within the shard.
#pragma once
#include <cstdint>
#include <vector>

#include "base/names.h"
#include "placement/placement_cost.h"

namespace nickelramp::sharding {

/// Capacity of one machine of a shard that is not reserved for delegated jobs.
struct MachineCapacity {
    Index machine = kNone;
    double cpus = 0, gpus = 0, memory_gb = 0;
};

/// Returns the capacity of an empty machine.
[[nodiscard]] MachineCapacity empty_machine_capacity(Index machine, const wire::MachineType& type);

/// Reserves capacity of the machine for as many tasks as fit, at most `tasks`.
/// @return the number of tasks for which capacity was reserved.
std::uint32_t reserve_tasks(MachineCapacity& capacity, const placement::Need& need,
                            std::uint32_t tasks);

}  // namespace nickelramp::sharding
