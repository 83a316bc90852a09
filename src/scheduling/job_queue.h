// The order of jobs that want places, and the forecast of that queue: which will be late with the
// machines that there are, and what more machines would mend.
#pragma once
#include <optional>
#include <vector>

#include "cloud/provisioning_tracker.h"
#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"
#include "scheduling/placement_rules.h"

namespace nickelramp::scheduling {

class JobQueue {
  public:
    // Dear machines' cpus that the queue lacks, beyond what is there and coming.
    struct CapacityShortage {
        double cpus = 0;
        Index job = kNone;  // one that would use them
    };

    JobQueue(const cluster::TermContext& term, cluster::ClusterState& cluster,
             forecast::DemandForecast& forecast, const PlacementRules& rules,
             const cloud::ProvisioningTracker& provisioning)
        : term_(term),
          cluster_(cluster),
          demand_forecast_(forecast),
          rules_(rules),
          provisioning_(provisioning) {}

    // Production first, then what a team is owed, then the rest; by priority and arrival within.
    std::vector<jobs::Job*> ordered_jobs(Millis now);
    void forecast(const std::vector<jobs::Job*>& queue, Millis now);
    const CapacityShortage& shortage() const { return shortage_; }

  private:
    jobs::Urgency urgency(const jobs::Job& job, Millis now) const;
    std::optional<Millis> latest_start(const jobs::Job& job,
                                       const wire::Objective& objective) const;
    bool all_kinds_backing_off(const jobs::Job& job, Millis now) const;

    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    forecast::DemandForecast& demand_forecast_;
    const PlacementRules& rules_;
    const cloud::ProvisioningTracker& provisioning_;
    CapacityShortage shortage_;
};

}  // namespace nickelramp::scheduling
