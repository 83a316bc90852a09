#include <algorithm>

#include "tests/cluster_simulation.h"

namespace nickelramp::test {

// As old as it says, or older: new machines are missing, those that went still appear.
std::vector<wire::CloudInstance> ClusterSimulation::cloud_list() const {
    Millis then = now_;
    if (faults_.cloud_list_lag > 0) then -= faults_.cloud_list_lag * (1 + now_ / 1000 % 2);
    std::vector<wire::CloudInstance> hosts;
    for (const auto& [name, m] : machines_) {
        if (m->provisioned_at > then || m->removed_at <= then) continue;
        hosts.push_back({name, name, m->type, m->zone, m->spot,
                         m->failed          ? wire::InstanceStatus::failed
                         : m->up_at <= then ? wire::InstanceStatus::running
                                            : wire::InstanceStatus::booting,
                         1});
    }
    return hosts;
}

void ClusterSimulation::count_cloud_list() {
    std::map<std::string, wire::InstanceStatus> listed;
    for (const wire::CloudInstance& instance : cloud_list()) listed[instance.id] = instance.status;
    for (const auto& [name, m] : machines_) {
        auto it = listed.find(name);
        if (m->removed) coverage_.gone_but_listed += it != listed.end() ? 1 : 0;
        if (m->removed || m->tasks.empty()) continue;
        coverage_.working_but_unlisted += it == listed.end() ? 1 : 0;
        coverage_.working_but_listed_booting +=
            it != listed.end() && it->second == wire::InstanceStatus::booting ? 1 : 0;
    }
}

ClusterSimulation::CloudDelivery ClusterSimulation::cloud_delivery() {
    if (faults_.cloud_down) return {now_ + 1'000'000'000, true};
    const Millis held = send_fault();
    const bool late = held > 0 || chance(faults_.late_cloud_calls);
    const bool lost = late || chance(faults_.lost_cloud_replies);
    return {now_ + (held > 0 ? held : late ? 4'000 + delay(56'000) : delay(300)), lost};
}

void ClusterSimulation::Controller::provision_machines(
    const std::string& request, const std::string& type, const std::string& zone, bool spot,
    std::uint32_t count, std::function<void(Millis, const cloud::ProvisionReply&)> done) {
    trace("rent", request, type, zone, spot, count);
    ClusterSimulation& w = *simulation;
    const Rental asked{type, zone, spot, count, {}};
    w.provisioned_types_.push_back(type);
    const auto [arrive, lost] = w.cloud_delivery();
    w.at(arrive, [&w, request, asked, done, lost = lost] {
        auto reply = w.provision(request, asked);
        if (lost) return;
        for (const std::string& name : reply.machines)
            w.machines_[name]->named_in_rental_reply = true;
        done(w.now_, reply);
    });
    if (lost) w.at(w.now_ + 4'000, [&w, done] { done(w.now_, cloud::ProvisionReply{}); });
}

// A name that was rented gets the same answer, and rents nothing.
cloud::ProvisionReply ClusterSimulation::provision(const std::string& request,
                                                   const Rental& asked) {
    cloud::ProvisionReply reply;
    auto known = rentals_.find(request);
    if (known != rentals_.end()) {
        const Rental& r = known->second;
        EXPECT_EQ(std::tie(r.type, r.zone, r.spot, r.count),
                  std::tie(asked.type, asked.zone, asked.spot, asked.count))
            << "the name " << request << " was used for something else";
        reply.result = cloud::ProvisionReply::Result::provisioned;
        reply.machines = r.machines;
        return reply;
    }
    if (asked.zone == faults_.exhausted_zone || chance(faults_.refused_provisioning) ||
        machines_.size() > 400) {
        reply.result = cloud::ProvisionReply::Result::no_capacity;
        return reply;
    }
    reply.result = cloud::ProvisionReply::Result::provisioned;
    for (std::uint32_t i = 0; i < asked.count; ++i) {
        auto machine = std::make_unique<Machine>();
        machine->name = "i-" + std::to_string(100000 + provisioned_machines_++);
        machine->type = asked.type;
        machine->zone = asked.zone;
        machine->spot = asked.spot;
        machine->provisioned_at = now_;
        machine->faulty = chance(faults_.faulty_machines);
        reply.machines.push_back(machine->name);
        std::string name = machine->name;
        machines_[name] = std::move(machine);
        at(now_ + faults_.min_boot + delay(faults_.max_boot - faults_.min_boot),
           [this, name] { boot_completed(name); });
    }
    rentals_[request] = asked;
    rentals_[request].machines = reply.machines;
    return reply;
}

void ClusterSimulation::Controller::release_machines(const std::vector<std::string>& names,
                                                     std::function<void(Millis, bool)> done) {
    trace("return", names);
    ClusterSimulation& w = *simulation;
    const auto [arrive, lost] = w.cloud_delivery();
    w.at(arrive, [&w, names, done, lost = lost, by = term] {
        w.release(names, by);
        if (!lost) done(w.now_, true);
    });
    if (lost) w.at(w.now_ + 4'000, [&w, done] { done(w.now_, false); });
}

void ClusterSimulation::release(const std::vector<std::string>& names, std::uint64_t by) {
    for (const std::string& name : names) {
        auto it = machines_.find(name);
        if (it == machines_.end() || it->second->removed) continue;
        for (const auto& [id, t] : it->second->tasks) {
            EXPECT_LE(t.term, by) << "a return of term " << by << " took " << name << " away from "
                                  << id.first << "/" << id.second << " of term " << t.term;
        }
        it->second->removed = true;
        it->second->removed_at = now_;
        it->second->tasks.clear();
    }
}

std::size_t ClusterSimulation::released_machines(const std::string& zone) const {
    std::size_t n = 0;
    for (const auto& [name, m] : machines_)
        n += m->removed && !m->dead && (zone.empty() || m->zone == zone) ? 1 : 0;
    return n;
}

void ClusterSimulation::boot_completed(const std::string& name) {
    Machine& machine = *machines_[name];
    if (machine.removed) return;
    machine.up = true;
    machine.up_at = now_;
    machine.lease_from = now_;
    machine.target = random_() % controllers_.size();
    send_heartbeat(name, machine.process_generation);
}

std::string ClusterSimulation::any_machine() {
    const auto all = working_machines();
    return all.empty() ? "" : all.front();
}

// Dies without a word; what was on it is gone.
void ClusterSimulation::kill_machine(const std::string& name) {
    Machine& machine = *machines_[name];
    machine.dead = true;
    machine.tasks.clear();
}

void ClusterSimulation::fail_machine(const std::string& name) {
    kill_machine(name);
    machines_[name]->failed = true;
}

std::vector<std::string> ClusterSimulation::working_machines() const {
    std::vector<std::string> out;
    for (const auto& [name, m] : machines_) {
        if (m->up && !m->removed && !m->dead && !m->tasks.empty()) out.push_back(name);
    }
    return out;
}

void ClusterSimulation::preempt_zone(const std::string& zone) {
    for (auto& [name, m] : machines_) {
        if (m->zone != zone || m->removed) continue;
        m->removed = m->dead = true;
        m->removed_at = now_;
        m->tasks.clear();
    }
}

}  // namespace nickelramp::test
