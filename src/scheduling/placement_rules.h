/// @file
/// Rules for where a job may be placed, and for which capacity is kept for other work.
#pragma once
#include <vector>

#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"

namespace nickelramp::scheduling {

/// Time in which a task ends after a stop request, in addition to the time that it needs to save
/// its state.
inline constexpr Millis kStopOverhead = 2'000;

/// Placement rules shared by the scheduler, the autoscaler, the rebalancer and the shard allocator.
/// Reads the cluster state and the demand forecast, and changes neither. Lives as long as a term
/// and is used on the loop thread. Times are milliseconds of the steady clock.
class PlacementRules {
  public:
    /// The references must outlive the rules.
    PlacementRules(const cluster::TermContext& term, cluster::ClusterState& cluster,
                   const forecast::DemandForecast& forecast)
        : term_(term), cluster_(cluster), forecast_(forecast) {}

    /// Returns whether the job may use the machine's type, zone and price model (spot or
    /// on-demand). Does not consider free capacity.
    [[nodiscard]] bool allowed(const jobs::Job& job, const machines::Machine& machine) const;
    /// Returns how many more tasks of the job fit its team's quota.
    [[nodiscard]] std::uint32_t tasks_within_quota(const jobs::Job& job) const;
    /// Returns whether `tasks` more tasks of the job fit its team's quota.
    [[nodiscard]] bool within_quota(const jobs::Job& job, std::uint32_t tasks) const;
    /// Returns whether a task of the job with this need may start on the machine now.
    [[nodiscard]] bool may_start_on(const jobs::Job& job, const machines::Machine& machine,
                                    const placement::Need& need, Millis now) const;
    /// Returns machines on which a task of the job may start now. The number of machines of one
    /// kind is limited.
    [[nodiscard]] std::vector<machines::Machine*> fitting_machines(const jobs::Job& job,
                                                                   const placement::Need& need,
                                                                   Millis now) const;
    /// Returns placement::placement_cost in seconds (lower is better), minus a bonus if the machine
    /// is reserved for the job.
    [[nodiscard]] double placement_cost(const jobs::Job& job,
                                        const machines::Machine& machine) const;
    /// Returns whether a slot on this kind of machine costs so much more than the cheapest slot
    /// that an array uses it only if it would be late otherwise.
    [[nodiscard]] static bool is_expensive(const jobs::Job& job, Index type, bool spot);
    /// Returns whether the type is kept for work that fits no other type. Arrays that fit other
    /// types use it only if the cloud offers nothing else.
    [[nodiscard]] bool reserved_for_other_work(const jobs::Job& job, Index type) const;
    /// Returns whether the job should not use the machine although it fits there.
    [[nodiscard]] bool should_avoid(const jobs::Job& job, const machines::Machine& machine) const;
    /// Returns whether free capacity of the machine is kept for replicas that may be submitted
    /// before another machine could boot.
    /// @param wanted_slots number of slots to keep on all machines
    /// (DemandForecast::wanted_replica_slots)
    [[nodiscard]] bool reserved_for_replicas(const jobs::Job& job, const machines::Machine& machine,
                                             double wanted_slots) const;
    /// Returns whether the attempt may be stopped to free its resources for the job.
    [[nodiscard]] bool may_preempt(const jobs::Attempt& attempt, const jobs::Job& job) const;

  private:
    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    const forecast::DemandForecast& forecast_;
};

}  // namespace nickelramp::scheduling
