/// @file
/// Moves replicas of services to machines where they cost less.
#pragma once
#include <compare>
#include <map>
#include <optional>
#include <vector>

#include "cluster/cluster_state.h"
#include "scheduling/placement_rules.h"

namespace nickelramp::autoscaling {

/// Replicas that are spread over many machines keep those machines from being used by gangs and
/// from being released, and replicas on expensive machines pay for capacity that they do not use.
/// The rebalancer stops replicas that can start again immediately on a better machine and cordons
/// the machine that they leave. The scheduler then places them again. The leader's control loop
/// calls it each tick, on the loop thread.
class Rebalancer {
  public:
    /// The references must outlive the rebalancer.
    Rebalancer(const cluster::TermContext& term, cluster::ClusterState& cluster,
               const scheduling::PlacementRules& rules)
        : term_(term), cluster_(cluster), rules_(rules) {}

    /// Moves replicas off at most one machine in each zone, once a second, while the lease is
    /// confirmed and no replica is waiting to be placed.
    /// @param now milliseconds of the steady clock
    void consolidate(Millis now);

  private:
    enum class Improvement { none, fuller_machine, cheaper_machine };
    struct Move {
        jobs::Attempt* attempt;
        Improvement improvement;
    };
    /// Compared field by field. Lower is better.
    struct TargetRank {
        bool same_price = false;
        double fetch_s = 0;
        double free = 0;  // GPUs, or CPUs for replicas without GPUs
        auto operator<=>(const TargetRank&) const = default;
    };
    struct Target {
        machines::Machine* machine;
        Improvement improvement;
        TargetRank rank;
    };
    /// Resources that planned moves will use on each machine.
    using PlannedUse = std::map<machines::Machine*, placement::Need>;

    [[nodiscard]] static Improvement improvement_for(const jobs::Job& job,
                                                     const machines::Machine& from,
                                                     const machines::Machine& to);
    [[nodiscard]] static bool may_move(const jobs::Attempt& attempt, const jobs::Job& job,
                                       Millis now);
    [[nodiscard]] bool replicas_are_waiting() const;
    [[nodiscard]] std::vector<machines::Machine*> machines_to_empty(Millis now) const;
    [[nodiscard]] double max_start_wait_s(const jobs::Job& job) const;
    [[nodiscard]] std::optional<Target> target_on(machines::Machine& machine, const jobs::Job& job,
                                                  const machines::Machine& from,
                                                  const placement::Need& planned_use) const;
    [[nodiscard]] std::optional<Target> best_target(const jobs::Job& job,
                                                    const machines::Machine& from,
                                                    PlannedUse& planned, Millis now) const;
    [[nodiscard]] std::vector<Move> plan_moves(const machines::Machine& from, PlannedUse& planned,
                                               Millis now) const;
    [[nodiscard]] bool move_replicas(machines::Machine& from, PlannedUse& planned, Millis now);

    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    const scheduling::PlacementRules& rules_;
    Millis next_run_at_ = 0;
};

}  // namespace nickelramp::autoscaling
