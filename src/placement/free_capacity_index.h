// The machines that may be given tasks and have something free, shelved by kind and by what is
// free: a search costs what fits, not what there is.
#pragma once
#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "cloud/machine_kind.h"
#include "placement/placement_cost.h"

namespace nickelramp::placement {

class FreeCapacityIndex {
  public:
    using MachineKind = cloud::MachineKind;

    // The machine has this much free now.
    void update(Index machine, const MachineKind& kind, double cpus, double gpus) {
        if (machine >= entries_.size()) entries_.resize(machine + 1);
        Entry& placement = entries_[machine];
        std::size_t level = gpu_level(gpus);
        if (placement.present && placement.kind == kind && placement.level == level &&
            placement.cpus == cpus)
            return;
        remove(machine);
        placement = {kind, level, cpus, true};
        Shelf& shelf = shelves_by_kind_[kind];
        if (shelf.size() <= level) shelf.resize(level + 1);
        shelf[level].emplace(cpus, machine);
    }
    void remove(Index machine) {
        if (machine >= entries_.size() || !entries_[machine].present) return;
        Entry& placement = entries_[machine];
        shelves_by_kind_[placement.kind][placement.level].erase({placement.cpus, machine});
        placement.present = false;
    }
    // Calls f(machine) for those of the kinds that `wanted(kind)` picks that have enough cpus and
    // gpus in whole numbers, the fullest first, until f says no. What exactly fits is the caller's
    // to compare.
    template <typename Wanted, typename F>
    void for_each_candidate(const Need& need, Wanted wanted, F f) const {
        for (const auto& [kind, shelf] : shelves_by_kind_) {
            if (!wanted(kind)) continue;
            bool more = true;
            for (std::size_t level = gpu_level(need.gpus); level < shelf.size() && more; ++level) {
                auto it = shelf[level].lower_bound({need.cpus - kFitTolerance, 0});
                for (; it != shelf[level].end() && more; ++it) more = f(it->second);
            }
        }
    }

  private:
    using Shelf = std::vector<std::set<std::pair<double, Index>>>;  // by whole gpus free
    struct Entry {
        MachineKind kind;
        std::size_t level = 0;
        double cpus = 0;
        bool present = false;
    };
    static constexpr std::size_t kMaxLevels = 256;
    static std::size_t gpu_level(double gpus) {
        return std::min<std::size_t>(kMaxLevels, static_cast<std::size_t>(std::max(
                                                     0.0, std::floor(gpus + 2 * kFitTolerance))));
    }
    std::map<MachineKind, Shelf> shelves_by_kind_;
    std::vector<Entry> entries_;
};

}  // namespace nickelramp::placement
