/// @file
/// Where a job may be placed, and which capacity is kept for other work.
#pragma once
#include <vector>

#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"

namespace nickelramp::scheduling {

/// A task that is told to stop has ended within this time, in milliseconds, beyond the time that it
/// needs to save its state.
inline constexpr Millis kStopOverhead = 2'000;

/// The rules that the scheduler, the autoscaler, the rebalancer and the shard allocator ask before
/// they place a task anywhere. Reads the cluster state and the demand forecast, and changes
/// neither; lives as long as a term, on the loop thread. Times are milliseconds of the steady
/// clock.
class PlacementRules {
  public:
    /// The references must outlive the rules.
    PlacementRules(const cluster::TermContext& term, cluster::ClusterState& cluster,
                   const forecast::DemandForecast& forecast)
        : term_(term), cluster_(cluster), forecast_(forecast) {}

    /// Do the machine's type, zone and kind suit the job? Says nothing about free capacity.
    [[nodiscard]] bool allowed(const jobs::Job& job, const machines::Machine& machine) const;
    /// How many more tasks of the job its team's quota has room for.
    [[nodiscard]] std::uint32_t tasks_within_limit(const jobs::Job& job) const;
    /// Has the team's quota room for that many more tasks?
    [[nodiscard]] bool within_limit(const jobs::Job& job, std::uint32_t tasks) const;
    /// May a task of the job with this need start on the machine now?
    [[nodiscard]] bool may_start_on(const jobs::Job& job, const machines::Machine& machine,
                                    const placement::Need& need, Millis now) const;
    /// The machines on which a task of the job may start now; of very many of a kind, some.
    [[nodiscard]] std::vector<machines::Machine*> fitting_machines(const jobs::Job& job,
                                                                   const placement::Need& need,
                                                                   Millis now) const;
    /// placement::placement_cost, in seconds (lower is better), less a bonus where the machine is
    /// reserved for the job.
    [[nodiscard]] double placement_cost(const jobs::Job& job,
                                        const machines::Machine& machine) const;
    /// Does a slot on this kind cost so much more than the cheapest that an array takes it only
    /// when it would be late otherwise?
    [[nodiscard]] static bool is_expensive(const jobs::Job& job, Index type, bool spot);
    /// Is the type left to work that fits no other? Arrays that fit elsewhere take it only when the
    /// cloud has nothing else.
    [[nodiscard]] bool reserved_for_other_work(const jobs::Job& job, Index type) const;
    /// Is the machine better not used for the job, though it would fit?
    [[nodiscard]] bool should_avoid(const jobs::Job& job, const machines::Machine& machine) const;
    /// Is capacity there kept for replicas that may come before another machine could boot?
    /// `wanted_slots`: how many slots are to be kept in all (DemandForecast::wanted_replica_slots).
    [[nodiscard]] bool reserved_for_replicas(const jobs::Job& job, const machines::Machine& machine,
                                             double wanted_slots) const;
    /// May the attempt be stopped so that the job gets its place?
    [[nodiscard]] bool may_preempt(const jobs::Attempt& attempt, const jobs::Job& job) const;

  private:
    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    const forecast::DemandForecast& forecast_;
};

}  // namespace nickelramp::scheduling
