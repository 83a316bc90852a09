#include "placement/placement_cost.h"

#include <algorithm>
#include <limits>

namespace nickelramp::placement {

namespace {
// Waiting time in seconds that is worth the price of one on-demand slot of the cheapest type. It is
// higher for replicas, which run for a long time, than for other tasks.
constexpr double kServiceCostWeightS = 20;
constexpr double kTaskCostWeightS = 3;

// Estimated remaining share of an image fetch that is under way.
constexpr double kFetchRemaining = 0.6;
// Share by which each concurrent fetch slows down a fetch, because they share the machine's fetch
// rate.
constexpr double kFetchSlowdown = 0.5;

constexpr double kEmptyMachineCostS = 4;     // for a machine that is empty apart from the task
constexpr double kSpotJobOnDemandCostS = 3;  // for on-demand machines if the job may use spot
constexpr double kMinFetchRate = 0.01;       // GB/s, if the cloud states less or nothing
constexpr std::uint32_t kMaxSlots = 1024;    // limit of slots counted on one machine

std::uint64_t fetches_under_way(const machines::Machine& machine) {
    return static_cast<std::uint64_t>(
        std::count_if(machine.images.begin(), machine.images.end(),
                      [](const machines::CachedImage& cached) { return !cached.present; }));
}

// Removes the least recently used images until the others fit in the cache, only one is left or the
// next one is `keep`.
void evict_least_recently_used_images(machines::Machine& machine, double cache_gb, Index keep) {
    double used_gb = 0;
    for (const machines::CachedImage& cached : machine.images) used_gb += cached.size_gb;
    while (used_gb > cache_gb && machine.images.size() > 1) {
        auto oldest = std::min_element(
            machine.images.begin(), machine.images.end(),
            [](const auto& a, const auto& b) { return a.last_used_at < b.last_used_at; });
        if (oldest->image == keep) return;
        used_gb -= oldest->size_gb;
        machine.images.erase(oldest);
    }
}
}  // namespace

std::uint32_t tasks_that_fit(double cpus, double gpus, double memory_gb, const Need& need,
                             std::uint32_t limit) {
    std::uint32_t tasks = 0;
    while (tasks < limit && fits_within(cpus, gpus, memory_gb, need)) {
        cpus -= need.cpus;
        gpus -= need.gpus;
        memory_gb -= need.memory_gb;
        ++tasks;
    }
    return tasks;
}

std::uint32_t slots_on(const wire::MachineType& type, const Need& need) {
    return tasks_that_fit(type.cpus, type.gpus, type.memory_gb, need, kMaxSlots);
}

double hourly_cost_per_task(const wire::MachineType& type, bool spot, const Need& need) {
    const std::uint32_t slots = slots_on(type, need);
    if (slots == 0) return std::numeric_limits<double>::infinity();
    return (spot ? type.spot_price : type.price) / slots;
}

double image_fetch_s(const jobs::Job& job, const wire::MachineType& type) {
    return job.spec.image_gb / std::max(kMinFetchRate, type.fetch_gb_per_s);
}

double image_wait_s(const jobs::Job& job, const machines::Machine& machine,
                    const wire::MachineType& type) {
    const double fetch_s = image_fetch_s(job, type);
    for (const machines::CachedImage& cached : machine.images) {
        if (cached.image == job.image) return cached.present ? 0 : fetch_s * kFetchRemaining;
    }
    return fetch_s * (1.0 + kFetchSlowdown * static_cast<double>(fetches_under_way(machine)));
}

double placement_cost(const jobs::Job& job, const machines::Machine& machine,
                      const wire::MachineType& type) {
    double cost_s = image_wait_s(job, machine, type);
    // Nearly full machines are filled first, so that empty ones remain available for gangs or can
    // be released.
    const double share_left = type.gpus > 0 && job.spec.gpus > 0
                                  ? (machine.gpus_free - job.spec.gpus) / type.gpus
                                  : (machine.cpus_free - job.spec.cpus) / std::max(1.0, type.cpus);
    cost_s += kEmptyMachineCostS * std::max(0.0, share_left);
    // On an expensive slot the task pays for resources that it does not use.
    cost_s += (job.is_service() ? kServiceCostWeightS : kTaskCostWeightS) *
              std::max(0.0, job.relative_cost_of(machine.type, machine.spot) - 1.0);
    // Jobs that may use spot machines leave on-demand machines to jobs that may not.
    if (job.spec.spot && !machine.spot) cost_s += kSpotJobOnDemandCostS;
    return cost_s;
}

void abandon_image_fetch(machines::Machine& machine, Index image) {
    std::erase_if(machine.images, [image](const machines::CachedImage& cached) {
        return cached.image == image && !cached.present;
    });
}

void mark_image_used(machines::Machine& machine, const wire::MachineType& type, Index image,
                     double size_gb, bool present, Millis now) {
    auto it = std::find_if(
        machine.images.begin(), machine.images.end(),
        [image](const machines::CachedImage& cached) { return cached.image == image; });
    if (it != machine.images.end()) {
        it->last_used_at = now;
        it->present = it->present || present;
        return;
    }
    machine.images.push_back({image, size_gb, now, present});
    evict_least_recently_used_images(machine, type.cache_gb, image);
}

}  // namespace nickelramp::placement
