/// @file
/// What a machine has free, as a value that plans may change without touching the machine.
#pragma once
#include <cstdint>

#include "placement/placement_cost.h"

namespace nickelramp::scheduling {

/// Free cpus, gpus and memory (GB) of a machine, real or planned. Plans of the scheduler and of the
/// autoscaler work on copies of it.
struct FreeResources {
    double cpus = 0, gpus = 0, memory_gb = 0;

    /// What is free on the machine now.
    [[nodiscard]] static FreeResources of(const machines::Machine& machine) {
        return {machine.cpus_free, machine.gpus_free, machine.memory_free};
    }
    /// What an empty machine of the type has.
    [[nodiscard]] static FreeResources of(const wire::MachineType& type) {
        return {type.cpus, type.gpus, type.memory_gb};
    }

    /// One task with this need has gone.
    void add(const placement::Need& need) {
        cpus += need.cpus;
        gpus += need.gpus;
        memory_gb += need.memory_gb;
    }
    /// That many tasks with this need have come.
    void subtract(const placement::Need& need, std::uint32_t tasks) {
        cpus -= tasks * need.cpus;
        gpus -= tasks * need.gpus;
        memory_gb -= tasks * need.memory_gb;
    }
    /// How many tasks with this need fit, at most `limit`.
    [[nodiscard]] std::uint32_t tasks_that_fit(const placement::Need& need,
                                               std::uint32_t limit) const {
        return placement::tasks_that_fit(cpus, gpus, memory_gb, need, limit);
    }
};

}  // namespace nickelramp::scheduling
