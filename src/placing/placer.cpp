#include "placing/placer.h"

#include <algorithm>

namespace nickelramp::placing {

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

double fetch_wait_s(const jobs::Job& j, const workers::Machine& m, const wire::MachineType& type) {
    double fetch = j.spec.image_gb / std::max(0.01, type.fetch_gb_per_s);
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
    double left = type.gpus > 0 ? (m.gpus_free - j.spec.gpus) / type.gpus
                                : (m.cpus_free - j.spec.cpus) / std::max(1.0, type.cpus);
    total += 4.0 * std::max(0.0, left);
    // Jobs that may use spot machines leave the ordinary ones to those that may not.
    if (j.spec.spot && !m.spot) total += 3.0;
    return total;
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
