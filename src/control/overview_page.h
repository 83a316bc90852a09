/// @file
/// The part of the administration page that shows the cluster state: waiting jobs with the reason,
/// and jobs that have missed or are about to miss an objective.
#pragma once
#include <string>

#include "autoscaling/intent_log.h"
#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"
#include "scheduling/placement_rules.h"
#include "sharding/shard_allocator.h"
#include "wire/settings.h"

namespace nickelramp::control {

/// Renders the page from the components of a term without changing them. ControlLoop::overview
/// creates one per rendering. The names and texts on the page are fixed because operators' tools
/// read them.
class OverviewPage {
  public:
    OverviewPage(const cluster::TermContext& term, const cluster::ClusterState& cluster,
                 const forecast::DemandForecast& forecast,
                 const scheduling::PlacementRules& placement_rules,
                 const sharding::ShardAllocator& shard_allocator,
                 const autoscaling::IntentLog& intent_log)
        : term_(term),
          cluster_(cluster),
          forecast_(forecast),
          placement_rules_(placement_rules),
          shard_allocator_(shard_allocator),
          intent_log_(intent_log) {}

    /// Returns the page as of `now`. Lists at most 200 waiting jobs and 200 late entries. Durations
    /// on the page are in seconds.
    [[nodiscard]] wire::Json render(Millis now) const;

  private:
    [[nodiscard]] wire::Json waiting_job(const jobs::Job& job, Millis now) const;
    [[nodiscard]] std::string waiting_reason(const jobs::Job& job, Millis now) const;
    [[nodiscard]] std::string machines_reason(const jobs::Job& job, Millis now) const;
    void add_late_job(const jobs::Job& job, Millis now, wire::Json& late) const;
    [[nodiscard]] wire::Json machine_counts() const;
    [[nodiscard]] wire::Json leased_shards() const;
    [[nodiscard]] wire::Json intent_counts() const;

    const cluster::TermContext& term_;
    const cluster::ClusterState& cluster_;
    const forecast::DemandForecast& forecast_;
    const scheduling::PlacementRules& placement_rules_;
    const sharding::ShardAllocator& shard_allocator_;
    const autoscaling::IntentLog& intent_log_;
};

}  // namespace nickelramp::control
