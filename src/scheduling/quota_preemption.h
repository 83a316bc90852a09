/// @file
/// Preempts tasks of a gang's own team so that the gang fits the team's quota.
#pragma once
#include <vector>

#include "cluster/cluster_state.h"
#include "scheduling/stop_cost.h"

namespace nickelramp::scheduling {

/// One step of making room for a gang that does not fit the unused quota of its team. Quota that
/// becomes free is reserved for the gang. After kPreemptInQuotaAfter, tasks of arrays and services
/// of the same team with lower priority are stopped, as few as necessary. Created by Scheduler for
/// gangs that have waited long; call run() once.
class QuotaPreemption {
  public:
    QuotaPreemption(cluster::ClusterState& cluster, jobs::Job& gang, Millis now);

    void run();

  private:
    struct Amount {
        double gpus = 0, cpus = 0;
    };
    [[nodiscard]] Amount shortage_in_quota() const;
    /// Returns whether the gang fits the quota once this amount becomes free.
    [[nodiscard]] bool suffices(const Amount& freed) const;
    /// Collects the attempts that may be stopped. Attempts that are already being stopped reduce
    /// the shortage instead.
    /// @return the quota that stopping all collected attempts would free.
    Amount collect_victims();
    void collect_victims_of(const jobs::Job& victim, Amount& total);
    void stop_victims();

    cluster::ClusterState& cluster_;
    jobs::Job& gang_;
    const Millis now_;
    Amount shortage_;  // quota that must still become free before the gang fits
    std::vector<PreemptionVictim> victims_;
};

}  // namespace nickelramp::scheduling
