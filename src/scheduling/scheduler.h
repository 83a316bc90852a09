// Who gets which machine: gangs whole, the rest task by task, and room made where that is worth it.
#pragma once
#include <cstddef>

#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"
#include "scheduling/placement_rules.h"

namespace nickelramp::scheduling {

class Scheduler {
  public:
    Scheduler(cluster::ClusterState& cluster, forecast::DemandForecast& forecast,
              const PlacementRules& rules)
        : cluster_(cluster), forecast_(forecast), rules_(rules) {}

    // Places what it can of the job; true if nothing of it is left to start.
    bool place_job(jobs::Job& job, Millis now);

  private:
    bool place_tasks(jobs::Job& job, Millis now);
    bool place_gang(jobs::Job& job, Millis now);
    std::size_t machines_to_search(const jobs::Job& job, std::uint32_t tasks) const;
    bool preempt_for(jobs::Job& job, std::uint32_t tasks, Millis now);
    void update_limit_wait(jobs::Job& gang, Millis now);
    void preempt_within_limit(jobs::Job& gang, Millis now);

    cluster::ClusterState& cluster_;
    forecast::DemandForecast& forecast_;
    const PlacementRules& rules_;
    std::size_t next_victim_search_index_ = 0;  // where the search for victims goes on
};

}  // namespace nickelramp::scheduling
