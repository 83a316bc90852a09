// Which machine suits a task best. Pure: looks at one job and one machine.
#pragma once
#include <optional>

#include "jobs/job.h"
#include "jobs/need.h"
#include "wire/messages.h"
#include "workers/roster.h"

namespace nickelramp::placing {

using jobs::covers;
using jobs::kSlack;
using jobs::Need;

inline Need need_of(const jobs::Job& j) { return {j.spec.cpus, j.spec.gpus, j.spec.memory_gb}; }

// A place that costs more than so many ordinary ones of the cheapest type is dear.
inline constexpr double kDear = 1.5;

// How many tasks with this need a machine with so much free takes.
std::uint32_t how_many(double cpus, double gpus, double memory_gb, const Need& n,
                       std::uint32_t limit);

// How many tasks a machine of the type takes when it has nothing else.
std::uint32_t places_on(const wire::MachineType& type, const Need& n);

// What one task's place costs an hour on a full machine of this kind; infinite if none fits.
double rent(const wire::MachineType& type, bool spot, const Need& n);

// How long a machine that does nothing else takes to fetch its image.
double fetch_s(const jobs::Job& j, const wire::MachineType& type);

// About how long a task waits there for its image.
double fetch_wait_s(const jobs::Job& j, const workers::Machine& m, const wire::MachineType& type);

// Lower is better: about the seconds lost by putting the task here rather than on an ideal machine.
double cost(const jobs::Job& j, const workers::Machine& m, const wire::MachineType& type);

// The image is used (or will be) on this machine; the cache keeps the most recently used ones.
// Nobody on the machine waits for it any more: a fetch under way is given up.
void give_up_fetch(workers::Machine& m, Index image);
void touch_image(workers::Machine& m, const wire::MachineType& type, Index image, double gb,
                 bool present, Millis now);

}  // namespace nickelramp::placing
