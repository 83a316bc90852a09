// Replicas that are spread thinly keep whole machines from gangs and from the cloud, and those on
// dear machines pay for what they do not use: they move.
#pragma once
#include <map>

#include "cluster/cluster_state.h"
#include "scheduling/placement_rules.h"

namespace nickelramp::autoscaling {

class Rebalancer {
  public:
    Rebalancer(const cluster::TermContext& term, cluster::ClusterState& cluster,
               const scheduling::PlacementRules& rules)
        : term_(term), cluster_(cluster), rules_(rules) {}

    void consolidate(Millis now);

  private:
    enum class Improvement { none, fuller_machine, cheaper_machine };
    static Improvement improvement_for(const jobs::Job& job, const machines::Machine& from,
                                       const machines::Machine& to);
    double start_within_s(const jobs::Job& job) const;
    bool move_replicas(machines::Machine& from,
                       std::map<machines::Machine*, placement::Need>& planned, Millis now);

    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    const scheduling::PlacementRules& rules_;
    Millis next_run_at_ = 0;
};

}  // namespace nickelramp::autoscaling
