/// @file
/// A simulated cloud provider for ClusterSimulation.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cloud/provision_reply.h"
#include "tests/simulated_workers.h"

namespace nickelramp::test {

/// A controller's request to provision machines.
struct ProvisionRequest {
    std::string name;  ///< idempotency key: the same name always returns the same machines
    std::string type, zone;
    bool spot = false;
    std::uint32_t count = 0;
};

/// Provisions, releases and lists machines. Asserts that a name is never reused for a different
/// request, and that no leader releases a machine that has tasks of a later leader. The caller
/// simulates delays and lost replies.
class SimulatedCloud {
  public:
    /// @param on_booted called with the name of each machine when it has booted
    SimulatedCloud(SimulationContext& context, SimulatedWorkers& workers,
                   std::function<void(const std::string& machine)> on_booted)
        : context_(context), workers_(workers), on_booted_(std::move(on_booted)) {}

    cloud::ProvisionReply provision(const ProvisionRequest& request);
    /// Removes the machines and their tasks.
    /// @param term the term of the controller that releases them
    void release(const std::vector<std::string>& names, std::uint64_t term);
    /// Returns the machines as of some time ago (see Faults::cloud_list_lag). New machines may be
    /// missing, and released ones may still be listed.
    [[nodiscard]] std::vector<wire::CloudInstance> list() const;
    /// Records in the coverage counters how the present list differs from the actual machines.
    void count_list_errors();

    /// Returns the number of machines that controllers have released in the zone, or in all zones
    /// if `zone` is empty.
    [[nodiscard]] std::size_t released_machines(const std::string& zone) const;
    [[nodiscard]] std::size_t provisioned_machines() const { return provisioned_machines_; }

  private:
    struct ProvisionedRequest {
        ProvisionRequest request;
        std::vector<std::string> machines;
    };
    std::string provision_machine(const ProvisionRequest& request);
    void boot(const std::string& name);

    SimulationContext& context_;
    SimulatedWorkers& workers_;
    std::function<void(const std::string& machine)> on_booted_;
    std::map<std::string, ProvisionedRequest> provisioned_by_request_;
    std::size_t provisioned_machines_ = 0;
};

}  // namespace nickelramp::test
