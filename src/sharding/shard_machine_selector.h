/// @file
/// Selects the machines of shards that are leased out.
#pragma once
#include <cstddef>
#include <map>
#include <vector>

#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"

namespace nickelramp::sharding {

/// Chooses empty machines to lease to a shard holder.
///
/// Holds no state of its own. Called by ShardAllocator on the loop thread.
class ShardMachineSelector {
  public:
    ShardMachineSelector(const cluster::ClusterState& cluster, forecast::DemandForecast& forecast)
        : cluster_(cluster), forecast_(forecast) {}

    /// Selects unused machines of one zone to be leased together. Machines that are not spot are
    /// selected only if their type has more than `count` available machines beyond the spare
    /// machines that the leader is forecast to need.
    /// @param count number of machines; must not be 0.
    /// @return `count` machines, or none if no zone has that many.
    [[nodiscard]] std::vector<machines::Machine*> select(std::size_t count, Millis now);

  private:
    using MachinesByZone = std::map<Index, std::vector<machines::Machine*>>;

    void add_candidates(const wire::MachineType& machine_type, std::size_t count, Millis now,
                        MachinesByZone& by_zone);

    const cluster::ClusterState& cluster_;
    forecast::DemandForecast& forecast_;
};

}  // namespace nickelramp::sharding
