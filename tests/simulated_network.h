/// @file
/// Network partitions between the zones of a simulation.
#pragma once
#include <string>
#include <vector>

#include "tests/simulated_machine.h"
#include "tests/simulation_context.h"

namespace nickelramp::test {

/// Decides which machines and controllers can reach each other. Controllers are numbered. Shard
/// holders, if any, are controllers 0 and 1 in zones "a" and "b". All other controllers are in zone
/// "a" and are never inside a partition.
class SimulatedNetwork {
  public:
    SimulatedNetwork(const SimulationContext& context, bool has_shard_holders)
        : context_(context), has_shard_holders_(has_shard_holders) {}

    void add(const Partition& partition) { partitions_.push_back(partition); }
    /// Returns the active partition that contains the machine, or null.
    [[nodiscard]] const Partition* partition_of(const SimulatedMachine& machine) const;
    /// Returns whether the shard holder is inside a partition and cannot reach other controllers.
    [[nodiscard]] bool holder_partitioned(std::size_t holder) const;
    /// Returns whether heartbeats of the machine reach the controller.
    [[nodiscard]] bool can_reach(const SimulatedMachine& machine, std::size_t controller) const;

  private:
    [[nodiscard]] std::string zone_of(std::size_t controller) const {
        return controller == 1 && has_shard_holders_ ? "b" : "a";
    }

    const SimulationContext& context_;
    bool has_shard_holders_;
    std::vector<Partition> partitions_;
};

}  // namespace nickelramp::test
