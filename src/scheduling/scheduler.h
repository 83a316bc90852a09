/// @file
/// Assigns waiting tasks to machines, gangs as a whole and other jobs task by task. Preempts less
/// urgent work where that is worth its cost.
#pragma once
#include <cstddef>

#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"
#include "scheduling/placement_rules.h"

namespace nickelramp::scheduling {

/// Places jobs one at a time, in the order of JobQueue. The control loop calls it in each
/// scheduling pass of a term while the lease is confirmed, on the loop thread. Between calls it
/// keeps only the position at which the next preemption search begins. It sends no messages and
/// reads no clock. It only changes the ClusterState. Tasks that cannot be placed are tried again in
/// the next pass.
class Scheduler {
  public:
    /// The references must outlive the scheduler.
    Scheduler(cluster::ClusterState& cluster, forecast::DemandForecast& forecast,
              const PlacementRules& rules)
        : cluster_(cluster), forecast_(forecast), rules_(rules) {}

    /// Starts as many tasks of the job as fit, and preempts other tasks for the rest if the job is
    /// urgent enough.
    /// @param now milliseconds of the steady clock
    /// @return true if no task of the job is left to start
    bool place_job(jobs::Job& job, Millis now);

  private:
    [[nodiscard]] bool place_tasks(jobs::Job& job, Millis now);
    [[nodiscard]] bool place_gang(jobs::Job& job, Millis now);
    [[nodiscard]] bool make_room(jobs::Job& job, Millis now);
    [[nodiscard]] bool preempt_for(jobs::Job& job, std::uint32_t tasks, Millis now);
    void update_quota_reservation(jobs::Job& gang, Millis now);

    cluster::ClusterState& cluster_;
    forecast::DemandForecast& forecast_;
    const PlacementRules& rules_;
    std::size_t next_searched_machine_ = 0;  // start of the next preemption search
};

}  // namespace nickelramp::scheduling
