/// @file
/// Gang scheduling: places all tasks of a gang at once, or none.
#pragma once
#include <optional>
#include <vector>

#include "cluster/cluster_state.h"
#include "scheduling/placement_rules.h"

namespace nickelramp::scheduling {

/// One attempt at placing a gang as a whole. Compares placements within a single zone and, if
/// allowed, across all zones, by the cost of the most expensive machine used. On equal cost a
/// single zone is preferred. Created for one call of Scheduler::place_job; call run() once.
class GangPlacement {
  public:
    GangPlacement(cluster::ClusterState& cluster, const PlacementRules& rules, jobs::Job& gang,
                  Millis now);

    /// Starts all tasks, or none, within the team's quota. On success releases the machines that
    /// were reserved for the gang.
    /// @return true if all tasks were started.
    [[nodiscard]] bool run();

  private:
    struct Candidate {
        machines::Machine* machine;
        std::uint32_t tasks;  // tasks that fit; in an Assignment, tasks assigned to the machine
        double cost;
    };
    struct Assignment {
        std::vector<Candidate> machines;
        double worst_cost = 0;
    };
    void collect_candidates();
    /// Assigns the gang to machines of one zone, or of any zone if `zone` is kNone. Returns nullopt
    /// if the gang does not fit.
    [[nodiscard]] std::optional<Assignment> assign_in(Index zone) const;
    [[nodiscard]] std::optional<Assignment> best_assignment() const;
    [[nodiscard]] bool start(const Assignment& assignment);

    cluster::ClusterState& cluster_;
    const PlacementRules& rules_;
    jobs::Job& gang_;
    const Millis now_;
    std::vector<Candidate> candidates_;  // cheapest first
};

}  // namespace nickelramp::scheduling
