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

#include "fleet/kind.h"
#include "placing/placer.h"

namespace nickelramp::placing {

class Openings {
  public:
    using Kind = fleet::Kind;

    // The machine has this much free now.
    void put(Index machine, const Kind& kind, double cpus, double gpus) {
        if (machine >= places_.size()) places_.resize(machine + 1);
        Place& p = places_[machine];
        std::size_t level = level_of(gpus);
        if (p.in && p.kind == kind && p.level == level && p.cpus == cpus) return;
        remove(machine);
        p = {kind, level, cpus, true};
        Shelf& shelf = shelves_[kind];
        if (shelf.size() <= level) shelf.resize(level + 1);
        shelf[level].emplace(cpus, machine);
    }
    void remove(Index machine) {
        if (machine >= places_.size() || !places_[machine].in) return;
        Place& p = places_[machine];
        shelves_[p.kind][p.level].erase({p.cpus, machine});
        p.in = false;
    }
    // Calls f(machine) for those of the kinds that `wanted(kind)` picks that have enough cpus and
    // gpus in whole numbers, the fullest first, until f says no. What exactly fits is the caller's
    // to compare.
    template <typename Wanted, typename F>
    void each(const Need& need, Wanted wanted, F f) const {
        for (const auto& [kind, shelf] : shelves_) {
            if (!wanted(kind)) continue;
            bool more = true;
            for (std::size_t level = level_of(need.gpus); level < shelf.size() && more; ++level) {
                auto it = shelf[level].lower_bound({need.cpus - kSlack, 0});
                for (; it != shelf[level].end() && more; ++it) more = f(it->second);
            }
        }
    }

  private:
    using Shelf = std::vector<std::set<std::pair<double, Index>>>;  // by whole gpus free
    struct Place {
        Kind kind;
        std::size_t level = 0;
        double cpus = 0;
        bool in = false;
    };
    static constexpr std::size_t kMostLevels = 256;
    static std::size_t level_of(double gpus) {
        return std::min<std::size_t>(
            kMostLevels, static_cast<std::size_t>(std::max(0.0, std::floor(gpus + 2 * kSlack))));
    }
    std::map<Kind, Shelf> shelves_;
    std::vector<Place> places_;
};

}  // namespace nickelramp::placing
