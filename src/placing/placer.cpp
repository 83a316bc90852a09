#include "placing/placer.h"

#include <algorithm>
#include <limits>

namespace nickelramp::placing {

namespace {
// Seconds that one would wait to save the price of one more ordinary place: a replica stays, an
// array's task is soon over.
constexpr double kDearForLong = 20;
constexpr double kDearForShort = 3;
}  // namespace

std::uint32_t how_many(double cpus, double gpus, double memory_gb, const Need& n,
                       std::uint32_t limit) {
    std::uint32_t k = 0;
    while (k < limit && covers(cpus, gpus, memory_gb, n)) {
        cpus -= n.cpus;
        gpus -= n.gpus;
        memory_gb -= n.memory_gb;
        ++k;
    }
    return k;
}

std::uint32_t places_on(const wire::MachineType& type, const Need& n) {
    constexpr std::uint32_t kMost = 1024;
    return how_many(type.cpus, type.gpus, type.memory_gb, n, kMost);
}

double rent(const wire::MachineType& type, bool spot, const Need& n) {
    std::uint32_t places = places_on(type, n);
    if (places == 0) return std::numeric_limits<double>::infinity();
    return (spot ? type.spot_price : type.price) / places;
}

double fetch_s(const jobs::Job& j, const wire::MachineType& type) {
    return j.spec.image_gb / std::max(0.01, type.fetch_gb_per_s);
}

double fetch_wait_s(const jobs::Job& j, const workers::Machine& m, const wire::MachineType& type) {
    const double fetch = fetch_s(j, type);
    int fetching = 0;
    for (const workers::CachedImage& c : m.images) {
        if (c.image == j.image) return c.present ? 0 : fetch * 0.6;
        if (!c.present) ++fetching;
    }
    return fetch * (1.0 + 0.5 * fetching);  // fetches share the rate
}

double cost(const jobs::Job& j, const workers::Machine& m, const wire::MachineType& type) {
    double total = fetch_wait_s(j, m, type);
    // Fill machines that are nearly full first: whole ones stay free for gangs and for the cloud.
    double left = type.gpus > 0 && j.spec.gpus > 0
                      ? (m.gpus_free - j.spec.gpus) / type.gpus
                      : (m.cpus_free - j.spec.cpus) / std::max(1.0, type.cpus);
    total += 4.0 * std::max(0.0, left);
    // A place that costs a multiple of what the work is worth pays for what it does not use.
    total += (j.service() ? kDearForLong : kDearForShort) *
             std::max(0.0, j.dearness_of(m.type, m.spot) - 1.0);
    // Jobs that may use spot machines leave the ordinary ones to those that may not.
    if (j.spec.spot && !m.spot) total += 3.0;
    return total;
}

void give_up_fetch(workers::Machine& m, Index image) {
    std::erase_if(m.images, [image](const workers::CachedImage& c) {
        return c.image == image && !c.present;
    });
}

void touch_image(workers::Machine& m, const wire::MachineType& type, Index image, double gb,
                 bool present, Millis now) {
    auto it = std::find_if(m.images.begin(), m.images.end(),
                           [&](const workers::CachedImage& c) { return c.image == image; });
    if (it != m.images.end()) {
        it->used = now;
        it->present = it->present || present;
        return;
    }
    m.images.push_back({image, gb, now, present});
    double held = 0;
    for (const auto& c : m.images) held += c.gb;
    while (held > type.cache_gb && m.images.size() > 1) {
        auto oldest =
            std::min_element(m.images.begin(), m.images.end(),
                             [](const auto& a, const auto& b) { return a.used < b.used; });
        if (oldest->image == image) break;
        held -= oldest->gb;
        m.images.erase(oldest);
    }
}

}  // namespace nickelramp::placing
