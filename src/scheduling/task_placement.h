/// @file
/// Places the tasks of one array or service, one after the other.
#pragma once
#include <vector>

#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"
#include "scheduling/placement_rules.h"
#include "scheduling/withheld_capacity.h"
#include "scheduling/zone_task_counts.h"

namespace nickelramp::scheduling {

/// One attempt at placing the waiting tasks of an array or a service, each on the machine that
/// costs least at that moment. Lives for one call of Scheduler::place_job; use run() once.
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
        bool operator<(const Candidate& other) const;  // the cheapest comes first off a heap
    };
    /// @return false if a task of a zone-bound job is on a machine whose zone is unknown yet.
    [[nodiscard]] bool count_live_tasks();
    void collect_candidates();
    [[nodiscard]] Candidate candidate(machines::Machine& machine) const;
    [[nodiscard]] machines::Machine& take_cheapest();
    [[nodiscard]] bool withheld_from_job(const machines::Machine& machine) const;
    [[nodiscard]] bool may_use(const machines::Machine& machine);
    /// @return false if the cluster state does not take the attempt.
    [[nodiscard]] bool start_next_task(machines::Machine& machine);

    cluster::ClusterState& cluster_;
    forecast::DemandForecast& forecast_;
    const PlacementRules& rules_;
    jobs::Job& job_;
    const Millis now_;
    const placement::Need need_;
    ZoneTaskCounts zone_tasks_;
    Index zone_ = kNone;  // where the job's tasks are, as far as the job is bound to zones
    WithheldCapacity withheld_;
    double wanted_replica_slots_ = 0;
    std::vector<Candidate> candidates_;  // a heap
};

}  // namespace nickelramp::scheduling
