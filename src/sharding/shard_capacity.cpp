#include "sharding/shard_capacity.h"

namespace nickelramp::sharding {

MachineCapacity empty_machine_capacity(Index machine, const wire::MachineType& type) {
    return {machine, type.cpus, type.gpus, type.memory_gb};
}

std::uint32_t reserve_tasks(MachineCapacity& capacity, const placement::Need& need,
                            std::uint32_t tasks) {
    std::uint32_t reserved = 0;
    while (reserved < tasks &&
           placement::fits_within(capacity.cpus, capacity.gpus, capacity.memory_gb, need)) {
        capacity.cpus -= need.cpus;
        capacity.gpus -= need.gpus;
        capacity.memory_gb -= need.memory_gb;
        ++reserved;
    }
    return reserved;
}

}  // namespace nickelramp::sharding
