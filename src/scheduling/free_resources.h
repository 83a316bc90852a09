/// @file
/// The free resources of a machine, as a value that planning code can change without changing the
/// machine.
#pragma once
#include <cstdint>

#include "placement/placement_cost.h"

namespace nickelramp::scheduling {

/// Free cpus, gpus and memory (GB) of an existing or planned machine. The scheduler and the
/// autoscaler plan on copies of it.
struct FreeResources {
    double cpus = 0, gpus = 0, memory_gb = 0;

    /// Returns what is free on the machine now.
    [[nodiscard]] static FreeResources of(const machines::Machine& machine) {
        return {machine.cpus_free, machine.gpus_free, machine.memory_free};
    }
    /// Returns what an empty machine of the type has.
    [[nodiscard]] static FreeResources of(const wire::MachineType& type) {
        return {type.cpus, type.gpus, type.memory_gb};
    }

    /// Adds what one task with this need frees when it ends.
    void add(const placement::Need& need) {
        cpus += need.cpus;
        gpus += need.gpus;
        memory_gb += need.memory_gb;
    }
    /// Subtracts what the given number of tasks with this need occupy.
    void subtract(const placement::Need& need, std::uint32_t tasks) {
        cpus -= tasks * need.cpus;
        gpus -= tasks * need.gpus;
        memory_gb -= tasks * need.memory_gb;
    }
    /// Returns how many tasks with this need fit, at most `limit`.
    [[nodiscard]] std::uint32_t tasks_that_fit(const placement::Need& need,
                                               std::uint32_t limit) const {
        return placement::tasks_that_fit(cpus, gpus, memory_gb, need, limit);
    }
};

}  // namespace nickelramp::scheduling
