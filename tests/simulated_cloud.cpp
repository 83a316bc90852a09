#include "tests/simulated_cloud.h"

#include <gtest/gtest.h>

#include <tuple>

namespace nickelramp::test {

namespace {
constexpr std::size_t kMaxMachines = 400;
constexpr std::size_t kFirstMachineNumber = 100'000;
}  // namespace

cloud::ProvisionReply SimulatedCloud::provision(const ProvisionRequest& request) {
    cloud::ProvisionReply reply;
    reply.result = cloud::ProvisionReply::Result::provisioned;
    if (const auto known = provisioned_by_request_.find(request.name);
        known != provisioned_by_request_.end()) {
        const ProvisionRequest& first = known->second.request;
        EXPECT_EQ(std::tie(first.type, first.zone, first.spot, first.count),
                  std::tie(request.type, request.zone, request.spot, request.count))
            << "request name " << request.name << " was reused for a different request";
        reply.machines = known->second.machines;
        return reply;
    }
    if (request.zone == context_.faults.exhausted_zone ||
        context_.chance(context_.faults.refused_provisioning) ||
        workers_.all().size() > kMaxMachines) {
        reply.result = cloud::ProvisionReply::Result::no_capacity;
        return reply;
    }
    for (std::uint32_t i = 0; i < request.count; ++i)
        reply.machines.push_back(provision_machine(request));
    provisioned_by_request_[request.name] = {request, reply.machines};
    return reply;
}

std::string SimulatedCloud::provision_machine(const ProvisionRequest& request) {
    const std::string name = "i-" + std::to_string(kFirstMachineNumber + provisioned_machines_++);
    SimulatedMachine& machine = workers_.add(name);
    machine.type = request.type;
    machine.zone = request.zone;
    machine.spot = request.spot;
    machine.provisioned_at = context_.now();
    machine.faulty = context_.chance(context_.faults.faulty_machines);
    const Faults& faults = context_.faults;
    context_.after(faults.min_boot + context_.delay(faults.max_boot - faults.min_boot),
                   [this, name] { boot(name); });
    return name;
}

void SimulatedCloud::boot(const std::string& name) {
    SimulatedMachine& machine = workers_.machine(name);
    if (machine.removed) return;
    machine.up = true;
    machine.up_at = machine.lease_from = context_.now();
    on_booted_(name);
}

void SimulatedCloud::release(const std::vector<std::string>& names, std::uint64_t term) {
    for (const std::string& name : names) {
        SimulatedMachine* machine = workers_.find(name);
        if (machine == nullptr || machine->removed) continue;
        for (const auto& [id, task] : machine->tasks) {
            EXPECT_LE(task.term, term) << "term " << term << " released " << name << ", which has "
                                       << id.job << "/" << id.task << " of term " << task.term;
        }
        machine->removed = true;
        machine->removed_at = context_.now();
        machine->tasks.clear();
    }
}

std::vector<wire::CloudInstance> SimulatedCloud::list() const {
    const Millis lag = context_.faults.cloud_list_lag;
    const Millis as_of = context_.now() - (lag > 0 ? lag * (1 + context_.now() / 1000 % 2) : 0);
    std::vector<wire::CloudInstance> instances;
    for (const auto& [name, machine] : workers_.all()) {
        if (machine->provisioned_at > as_of || machine->removed_at <= as_of) continue;
        const wire::InstanceStatus status = machine->failed ? wire::InstanceStatus::failed
                                            : machine->up_at <= as_of
                                                ? wire::InstanceStatus::running
                                                : wire::InstanceStatus::booting;
        instances.push_back({name, name, machine->type, machine->zone, machine->spot, status, 1});
    }
    return instances;
}

void SimulatedCloud::count_list_errors() {
    SimulationCoverage& coverage = context_.coverage;
    std::map<std::string, wire::InstanceStatus> listed;
    for (const wire::CloudInstance& instance : list()) listed[instance.id] = instance.status;
    for (const auto& [name, machine] : workers_.all()) {
        const auto it = listed.find(name);
        if (machine->removed) {
            coverage.released_but_listed += it != listed.end() ? 1 : 0;
        } else if (!machine->tasks.empty()) {
            coverage.working_but_unlisted += it == listed.end() ? 1 : 0;
            coverage.working_but_listed_booting +=
                it != listed.end() && it->second == wire::InstanceStatus::booting ? 1 : 0;
        }
    }
}

std::size_t SimulatedCloud::released_machines(const std::string& zone) const {
    std::size_t count = 0;
    for (const auto& [name, machine] : workers_.all()) {
        const bool released = machine->removed && !machine->dead;
        count += released && (zone.empty() || machine->zone == zone) ? 1 : 0;
    }
    return count;
}

}  // namespace nickelramp::test
