// Which machine suits a task best. Pure: looks at one job and one machine.
#pragma once
#include <optional>

#include "jobs/job.h"
#include "jobs/resource_need.h"
#include "machines/machine_registry.h"
#include "wire/messages.h"

namespace nickelramp::placement {

using jobs::fits_within;
using jobs::kFitTolerance;
using jobs::Need;

inline Need need_of(const jobs::Job& job) {
    return {job.spec.cpus, job.spec.gpus, job.spec.memory_gb};
}

// A place that costs more than so many ordinary ones of the cheapest type is dear.
inline constexpr double kExpensiveFactor = 1.5;

// How many tasks with this need a machine with so much free takes.
std::uint32_t tasks_that_fit(double cpus, double gpus, double memory_gb, const Need& need,
                             std::uint32_t limit);

// How many tasks a machine of the type takes when it has nothing else.
std::uint32_t slots_on(const wire::MachineType& type, const Need& need);

// What one task's place costs an hour on a full machine of this kind; infinite if none fits.
double hourly_cost_per_task(const wire::MachineType& type, bool spot, const Need& need);

// How long a machine that does nothing else takes to fetch its image.
double image_fetch_s(const jobs::Job& job, const wire::MachineType& type);

// About how long a task waits there for its image.
double image_wait_s(const jobs::Job& job, const machines::Machine& machine,
                    const wire::MachineType& type);

// Lower is better: about the seconds lost by putting the task here rather than on an ideal machine.
double placement_cost(const jobs::Job& job, const machines::Machine& machine,
                      const wire::MachineType& type);

// The image is used (or will be) on this machine; the cache keeps the most recently used ones.
// Nobody on the machine waits for it any more: a fetch under way is given up.
void abandon_image_fetch(machines::Machine& machine, Index image);
void mark_image_used(machines::Machine& machine, const wire::MachineType& type, Index image,
                     double gb, bool present, Millis now);

}  // namespace nickelramp::placement
