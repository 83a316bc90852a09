/// @file
/// Which machines a shard that is leased out may consist of.
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

    /// Machines to lease together: all empty, of one zone, and of no use to anybody else now. Those
    /// that the cloud does not take back at will are chosen only beyond the forecast of spare
    /// machines that the leader wants for itself.
    /// @param count how many; must not be 0.
    /// @return `count` machines, or none if no zone has as many.
    [[nodiscard]] std::vector<machines::Machine*> select(std::size_t count, Millis now);

  private:
    using MachinesByZone = std::map<Index, std::vector<machines::Machine*>>;

    void add_candidates(const wire::MachineType& machine_type, std::size_t count, Millis now,
                        MachinesByZone& by_zone);

    const cluster::ClusterState& cluster_;
    forecast::DemandForecast& forecast_;
};

}  // namespace nickelramp::sharding
