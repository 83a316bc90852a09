/// @file
/// Which machine suits a task best, and what a slot costs. Pure functions of one job and one
/// machine or machine type, and the bookkeeping of a machine's image cache on which they rest.
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

/// What one task of the job needs.
[[nodiscard]] inline Need need_of(const jobs::Job& job) {
    return {job.spec.cpus, job.spec.gpus, job.spec.memory_gb};
}

/// A slot is expensive if its relative cost (jobs::RelativeCost) is higher.
inline constexpr double kExpensiveFactor = 1.5;

/// How many tasks with this need fit into what is free, at most `limit`.
[[nodiscard]] std::uint32_t tasks_that_fit(double cpus, double gpus, double memory_gb,
                                           const Need& need, std::uint32_t limit);

/// How many tasks with this need an empty machine of the type takes.
[[nodiscard]] std::uint32_t slots_on(const wire::MachineType& type, const Need& need);

/// The hourly price of one slot on a full machine of the type, in the currency of the cloud's price
/// list; infinite if no task fits.
[[nodiscard]] double hourly_cost_per_task(const wire::MachineType& type, bool spot,
                                          const Need& need);

/// Seconds that a machine of the type takes to fetch the job's image when it fetches nothing else.
[[nodiscard]] double image_fetch_s(const jobs::Job& job, const wire::MachineType& type);

/// An estimate of the seconds that a task waits for its image on the machine.
[[nodiscard]] double image_wait_s(const jobs::Job& job, const machines::Machine& machine,
                                  const wire::MachineType& type);

/// About the seconds lost by placing a task of the job here rather than on an ideal machine; the
/// lowest is best.
[[nodiscard]] double placement_cost(const jobs::Job& job, const machines::Machine& machine,
                                    const wire::MachineType& type);

/// No task on the machine wants the image any more: a fetch under way is taken to be abandoned.
void abandon_image_fetch(machines::Machine& machine, Index image);

/// A task on the machine uses the image, or is about to. `present`: it is known to be fetched. When
/// the cache is full, the least recently used images are taken to be dropped.
void mark_image_used(machines::Machine& machine, const wire::MachineType& type, Index image,
                     double size_gb, bool present, Millis now);

}  // namespace nickelramp::placement
