/// @file
/// Makes room for a gang within its own team's quota.
#pragma once
#include <vector>

#include "cluster/cluster_state.h"
#include "scheduling/stop_cost.h"

namespace nickelramp::scheduling {

/// One step of making room for a gang that its team's quota leaves too little for: what comes free
/// in the quota is reserved for the gang, and after a while arrays and services of the same team
/// and of lower priority are stopped, as few as will do. Called by Scheduler for gangs that have
/// waited long; use run() once.
class QuotaPreemption {
  public:
    QuotaPreemption(cluster::ClusterState& cluster, jobs::Job& gang, Millis now);

    void run();

  private:
    struct Amount {
        double gpus = 0, cpus = 0;
    };
    [[nodiscard]] Amount shortage_in_quota() const;
    /// Would the gang fit if this became free?
    [[nodiscard]] bool suffices(const Amount& freed) const;
    /// Collects what may be stopped; what is being stopped already lowers the shortage.
    /// @return what stopping all of it would free.
    Amount collect_victims();
    void collect_victims_of(const jobs::Job& victim, Amount& total);
    void stop_victims();

    cluster::ClusterState& cluster_;
    jobs::Job& gang_;
    const Millis now_;
    Amount shortage_;  // what has to come free yet, beside what other gangs and services have
    std::vector<PreemptionVictim> victims_;
};

}  // namespace nickelramp::scheduling
