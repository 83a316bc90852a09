/// @file
/// Places all tasks of a gang at once, or none.
#pragma once
#include <optional>
#include <vector>

#include "cluster/cluster_state.h"
#include "scheduling/placement_rules.h"

namespace nickelramp::scheduling {

/// One attempt at placing a gang as a whole. A zone alone is preferred to all zones together, and
/// of several zones the one whose worst machine costs least. Lives for one call of
/// Scheduler::place_job; use run() once.
class GangPlacement {
  public:
    GangPlacement(cluster::ClusterState& cluster, const PlacementRules& rules, jobs::Job& gang,
                  Millis now);

    /// Starts all tasks, or none, within the team's quota; on success releases what was reserved
    /// for the gang.
    /// @return true if all tasks were started.
    [[nodiscard]] bool run();

  private:
    struct Candidate {
        machines::Machine* machine;
        std::uint32_t tasks;  // that fit, or in an assignment: that go there
        double cost;
    };
    struct Assignment {
        std::vector<Candidate> machines;
        double worst_cost = 0;
    };
    void collect_candidates();
    /// In one zone, or (kNone) wherever; nothing if the gang does not fit.
    [[nodiscard]] std::optional<Assignment> assign_in(Index zone) const;
    [[nodiscard]] std::optional<Assignment> best_assignment() const;
    [[nodiscard]] bool start(const Assignment& assignment);

    cluster::ClusterState& cluster_;
    const PlacementRules& rules_;
    jobs::Job& gang_;
    const Millis now_;
    std::vector<Candidate> candidates_;  // the cheapest first
};

}  // namespace nickelramp::scheduling
