// Partitions between the zones of a simulation.
#pragma once
#include <string>
#include <vector>

#include "tests/simulated_machine.h"
#include "tests/simulation_context.h"

namespace nickelramp::test {

/// Who reaches whom. Controllers are numbered; where there are shard holders, they are 0 and 1, in
/// the zones "a" and "b". All other controllers are in zone "a", and no partition cuts them off.
class SimulatedNetwork {
  public:
    SimulatedNetwork(const SimulationContext& context, bool has_shard_holders)
        : context_(context), has_shard_holders_(has_shard_holders) {}

    void add(const Partition& partition) { partitions_.push_back(partition); }
    /// The partition that the machine is inside of, or null.
    [[nodiscard]] const Partition* partition_of(const SimulatedMachine& machine) const;
    /// The shard holder is inside a partition, cut off from all other controllers.
    [[nodiscard]] bool holder_partitioned(std::size_t holder) const;
    /// Heartbeats of the machine arrive at the controller.
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
