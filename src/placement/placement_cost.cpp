#include "placement/placement_cost.h"

#include <algorithm>
#include <limits>

namespace nickelramp::placement {

namespace {
// Seconds that one would wait to save the price of one more ordinary place: a replica stays, an
// array's task is soon over.
constexpr double kDearForLong = 20;
constexpr double kDearForShort = 3;
}  // namespace

std::uint32_t tasks_that_fit(double cpus, double gpus, double memory_gb, const Need& need,
                             std::uint32_t limit) {
    std::uint32_t k = 0;
    while (k < limit && fits_within(cpus, gpus, memory_gb, need)) {
        cpus -= need.cpus;
        gpus -= need.gpus;
        memory_gb -= need.memory_gb;
        ++k;
    }
    return k;
}

std::uint32_t slots_on(const wire::MachineType& type, const Need& need) {
    constexpr std::uint32_t kMost = 1024;
    return tasks_that_fit(type.cpus, type.gpus, type.memory_gb, need, kMost);
}

double hourly_cost_per_task(const wire::MachineType& type, bool spot, const Need& need) {
    std::uint32_t places = slots_on(type, need);
    if (places == 0) return std::numeric_limits<double>::infinity();
    return (spot ? type.spot_price : type.price) / places;
}

double image_fetch_s(const jobs::Job& job, const wire::MachineType& type) {
    return job.spec.image_gb / std::max(0.01, type.fetch_gb_per_s);
}

double image_wait_s(const jobs::Job& job, const machines::Machine& machine,
                    const wire::MachineType& type) {
    const double fetch = image_fetch_s(job, type);
    int fetching = 0;
    for (const machines::CachedImage& c : machine.images) {
        if (c.image == job.image) return c.present ? 0 : fetch * 0.6;
        if (!c.present) ++fetching;
    }
    return fetch * (1.0 + 0.5 * fetching);  // fetches share the rate
}

double placement_cost(const jobs::Job& job, const machines::Machine& machine,
                      const wire::MachineType& type) {
    double total = image_wait_s(job, machine, type);
    // Fill machines that are nearly full first: whole ones stay free for gangs and for the cloud.
    double left = type.gpus > 0 && job.spec.gpus > 0
                      ? (machine.gpus_free - job.spec.gpus) / type.gpus
                      : (machine.cpus_free - job.spec.cpus) / std::max(1.0, type.cpus);
    total += 4.0 * std::max(0.0, left);
    // A place that costs a multiple of what the work is worth pays for what it does not use.
    total += (job.is_service() ? kDearForLong : kDearForShort) *
             std::max(0.0, job.relative_cost_of(machine.type, machine.spot) - 1.0);
    // Jobs that may use spot machines leave the ordinary ones to those that may not.
    if (job.spec.spot && !machine.spot) total += 3.0;
    return total;
}

void abandon_image_fetch(machines::Machine& machine, Index image) {
    std::erase_if(machine.images, [image](const machines::CachedImage& c) {
        return c.image == image && !c.present;
    });
}

void mark_image_used(machines::Machine& machine, const wire::MachineType& type, Index image,
                     double gb, bool present, Millis now) {
    auto it = std::find_if(machine.images.begin(), machine.images.end(),
                           [&](const machines::CachedImage& c) { return c.image == image; });
    if (it != machine.images.end()) {
        it->last_used_at = now;
        it->present = it->present || present;
        return;
    }
    machine.images.push_back({image, gb, now, present});
    double held = 0;
    for (const auto& c : machine.images) held += c.size_gb;
    while (held > type.cache_gb && machine.images.size() > 1) {
        auto oldest = std::min_element(
            machine.images.begin(), machine.images.end(),
            [](const auto& a, const auto& b) { return a.last_used_at < b.last_used_at; });
        if (oldest->image == image) break;
        held -= oldest->size_gb;
        machine.images.erase(oldest);
    }
}

}  // namespace nickelramp::placement
