/// @file
/// What is free on the machines of a leased shard, as the leader counts it: it gives a holder only
/// jobs that fit, and leaves their placement within the shard to the holder.
#pragma once
#include <cstdint>
#include <vector>

#include "base/names.h"
#include "placement/placement_cost.h"

namespace nickelramp::sharding {

/// What no delegated job has of one machine of a shard.
struct MachineCapacity {
    Index machine = kNone;
    double cpus = 0, gpus = 0, memory_gb = 0;
};

/// The capacity of a machine that nothing is on.
[[nodiscard]] MachineCapacity empty_machine_capacity(Index machine, const wire::MachineType& type);

/// Reserves capacity of the machine for as many tasks as fit, at most `tasks`.
/// @return for how many it did.
std::uint32_t reserve_tasks(MachineCapacity& capacity, const placement::Need& need,
                            std::uint32_t tasks);

}  // namespace nickelramp::sharding
