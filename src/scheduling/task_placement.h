/// @file
/// Places the tasks of one array or service one by one.
#pragma once
#include <vector>

#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"
#include "scheduling/placement_rules.h"
#include "scheduling/withheld_capacity.h"
#include "scheduling/zone_task_counts.h"

namespace nickelramp::scheduling {

/// One attempt at placing the waiting tasks of an array or service, each on the machine with the
/// lowest cost at that moment. Created for one call of Scheduler::place_job; call run() once.
class TaskPlacement {
  public:
    TaskPlacement(cluster::ClusterState& cluster, forecast::DemandForecast& forecast,
                  const PlacementRules& rules, jobs::Job& job, Millis now);

    /// Starts as many tasks as fit, within the team's quota.
    /// @return true if no task of the job is left to start.
    [[nodiscard]] bool run();

  private:
    struct Candidate {
        double cost;
        machines::Machine* machine;
        bool operator<(const Candidate& other) const;  // inverted: the heap yields the cheapest
    };
    /// Counts the live tasks by zone if the job is limited to one zone or spread over zones.
    /// @return false if one of them is on a machine whose zone is not known yet.
    [[nodiscard]] bool count_live_tasks();
    void collect_candidates();
    [[nodiscard]] Candidate candidate(machines::Machine& machine) const;
    [[nodiscard]] machines::Machine& pop_cheapest();
    [[nodiscard]] bool withheld_from_job(const machines::Machine& machine) const;
    [[nodiscard]] bool may_use(const machines::Machine& machine);
    /// @return false if the cluster state rejects the attempt.
    [[nodiscard]] bool start_next_task(machines::Machine& machine);

    cluster::ClusterState& cluster_;
    forecast::DemandForecast& forecast_;
    const PlacementRules& rules_;
    jobs::Job& job_;
    const Millis now_;
    const placement::Need need_;
    ZoneTaskCounts zone_tasks_;
    Index zone_ = kNone;  // of the last live task, if the job is limited to one zone or spread
    WithheldCapacity withheld_;
    double wanted_replica_slots_ = 0;
    std::vector<Candidate> candidates_;  // a heap
};

}  // namespace nickelramp::scheduling
