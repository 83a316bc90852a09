/// @file
/// Index of the machines that accept tasks and have free resources, ordered by machine kind, whole
/// free gpus and free cpus. The cost of a search depends on the number of matching machines, not on
/// the number of all machines.
#pragma once
#include <algorithm>
#include <cmath>
#include <compare>
#include <cstddef>
#include <map>
#include <set>
#include <vector>

#include "cloud/machine_kind.h"
#include "placement/placement_cost.h"

namespace nickelramp::placement {

/// Updated by cluster::ClusterState after every change of a machine. Read by the scheduler and
/// other modules that search for free capacity.
class FreeCapacityIndex {
  public:
    using MachineKind = cloud::MachineKind;

    /// Records the free resources of the machine.
    void update(Index machine, const MachineKind& kind, double cpus, double gpus) {
        if (machine >= entries_.size()) entries_.resize(machine + 1);
        Entry& entry = entries_[machine];
        const std::size_t level = gpu_level(gpus);
        if (entry.present && entry.kind == kind && entry.level == level && entry.cpus == cpus)
            return;
        remove(machine);
        entry = {kind, level, cpus, true};
        Levels& levels = levels_by_kind_[kind];
        if (levels.size() <= level) levels.resize(level + 1);
        levels[level].insert({cpus, machine});
    }

    /// Removes a machine that has nothing free or accepts no tasks.
    void remove(Index machine) {
        if (machine >= entries_.size() || !entries_[machine].present) return;
        Entry& entry = entries_[machine];
        levels_by_kind_[entry.kind][entry.level].erase({entry.cpus, machine});
        entry.present = false;
    }

    /// Calls visit(machine) for the machines that have enough cpus and whole gpus, for each kind
    /// for which wanted(kind) returns true. Within a kind, machines with the least free resources
    /// come first. If visit returns false, the rest of that kind is skipped. The caller must
    /// compare memory and fractions of gpus. The index must not change during the call.
    template <typename Wanted, typename Visit>
    void for_each_candidate(const Need& need, Wanted wanted, Visit visit) const {
        for (const auto& [kind, levels] : levels_by_kind_) {
            if (!wanted(kind)) continue;
            bool more = true;
            for (std::size_t level = gpu_level(need.gpus); level < levels.size() && more; ++level) {
                auto it = levels[level].lower_bound({need.cpus - kFitTolerance, 0});
                for (; it != levels[level].end() && more; ++it) more = visit(it->machine);
            }
        }
    }

  private:
    struct FreeCpus {
        double cpus;
        Index machine;
        auto operator<=>(const FreeCpus&) const = default;
    };
    using Levels = std::vector<std::set<FreeCpus>>;  // by whole gpus free
    struct Entry {
        MachineKind kind;
        std::size_t level = 0;
        double cpus = 0;
        bool present = false;
    };
    static constexpr std::size_t kMaxLevels = 256;

    static std::size_t gpu_level(double gpus) {
        // Twice the tolerance, so that every machine that fits by fits_within() is at a high enough
        // level.
        const double whole = std::max(0.0, std::floor(gpus + 2 * kFitTolerance));
        return std::min(kMaxLevels, static_cast<std::size_t>(whole));
    }

    std::map<MachineKind, Levels> levels_by_kind_;
    std::vector<Entry> entries_;  // by machine
};

}  // namespace nickelramp::placement
