/// @file
/// Cost functions for choosing a machine for a task, and prices of slots. They are pure functions
/// of one job and one machine or machine type. Also keeps the record of a machine's image cache
/// that they depend on.
#pragma once
#include <cstdint>

#include "jobs/job.h"
#include "jobs/resource_need.h"
#include "machines/machine_registry.h"
#include "wire/messages.h"

namespace nickelramp::placement {

using jobs::fits_within;
using jobs::kFitTolerance;
using jobs::Need;

/// Returns the resources that one task of the job needs.
[[nodiscard]] inline Need need_of(const jobs::Job& job) {
    return {job.spec.cpus, job.spec.gpus, job.spec.memory_gb};
}

/// A slot is expensive if its relative cost (jobs::RelativeCost) exceeds this factor.
inline constexpr double kExpensiveFactor = 1.5;

/// Returns how many tasks with this need fit the given free resources, at most `limit`.
[[nodiscard]] std::uint32_t tasks_that_fit(double cpus, double gpus, double memory_gb,
                                           const Need& need, std::uint32_t limit);

/// Returns how many tasks with this need fit an empty machine of the type.
[[nodiscard]] std::uint32_t slots_on(const wire::MachineType& type, const Need& need);

/// Returns the hourly price of one slot on a full machine of the type, in the currency of the
/// cloud's price list. Infinite if no task fits.
[[nodiscard]] double hourly_cost_per_task(const wire::MachineType& type, bool spot,
                                          const Need& need);

/// Returns the seconds that a machine of the type takes to fetch the job's image if it fetches
/// nothing else.
[[nodiscard]] double image_fetch_s(const jobs::Job& job, const wire::MachineType& type);

/// Returns the estimated seconds that a task of the job waits for its image on the machine.
[[nodiscard]] double image_wait_s(const jobs::Job& job, const machines::Machine& machine,
                                  const wire::MachineType& type);

/// Returns the approximate seconds lost by placing a task of the job on this machine rather than on
/// an ideal one. Lower is better.
[[nodiscard]] double placement_cost(const jobs::Job& job, const machines::Machine& machine,
                                    const wire::MachineType& type);

/// Records that no task on the machine needs the image any more. An unfinished fetch of it is
/// assumed to be abandoned.
void abandon_image_fetch(machines::Machine& machine, Index image);

/// Records that a task on the machine uses the image or is about to. If the cache is full, the
/// least recently used images are assumed to be evicted.
/// @param present whether the image is known to be fetched
void mark_image_used(machines::Machine& machine, const wire::MachineType& type, Index image,
                     double size_gb, bool present, Millis now);

}  // namespace nickelramp::placement
