/// \file
/// The part of the administration page that shows the cluster state: which jobs wait, and why, and
/// which are late or will be.
#pragma once
#include <string>

#include "autoscaling/intent_log.h"
#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"
#include "scheduling/placement_rules.h"
#include "sharding/shard_allocator.h"
#include "wire/settings.h"

namespace nickelramp::control {

/// Renders the page from a term's parts, which it only reads. Made for one rendering by
/// ControlLoop::overview. The names and texts of the page are fixed; operators' tools read them.
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

    /// The page as of `now`. Lists at most 200 waiting and 200 late jobs. Durations on the page are
    /// in seconds.
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
