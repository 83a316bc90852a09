// The cloud of a simulation.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "cloud/provision_reply.h"
#include "tests/simulated_workers.h"

namespace nickelramp::test {

/// What a controller asks the cloud for.
struct ProvisionRequest {
    std::string name;  ///< the same name always gets the same machines
    std::string type, zone;
    bool spot = false;
    std::uint32_t count = 0;
};

/// Provisions, releases and lists machines. Asserts that a request's name stands for one request,
/// and that no leader releases a machine with tasks of a later leader. Delays and lost replies are
/// up to the caller.
class SimulatedCloud {
  public:
    /// `on_booted` is called with the name of each machine that has booted.
    SimulatedCloud(SimulationContext& context, SimulatedWorkers& workers,
                   std::function<void(const std::string& machine)> on_booted)
        : context_(context), workers_(workers), on_booted_(std::move(on_booted)) {}

    cloud::ProvisionReply provision(const ProvisionRequest& request);
    /// `term`: of the controller that asks.
    void release(const std::vector<std::string>& names, std::uint64_t term);
    /// As old as the fault cloud_list_lag says: new machines may be missing, released ones listed.
    [[nodiscard]] std::vector<wire::CloudInstance> list() const;
    /// Counts how the present list differs from the truth.
    void count_list_errors();

    /// Machines that controllers have released, of one zone or, with "", of all.
    [[nodiscard]] std::size_t released_machines(const std::string& zone) const;
    [[nodiscard]] std::size_t provisioned_machines() const { return provisioned_machines_; }

  private:
    struct Rental {
        ProvisionRequest request;
        std::vector<std::string> machines;
    };
    std::string provision_machine(const ProvisionRequest& request);
    void boot(const std::string& name);

    SimulationContext& context_;
    SimulatedWorkers& workers_;
    std::function<void(const std::string& machine)> on_booted_;
    std::map<std::string, Rental> rentals_;
    std::size_t provisioned_machines_ = 0;
};

}  // namespace nickelramp::test
