#include <algorithm>

#include "tests/cluster_simulation.h"

namespace nickelramp::test {

void ClusterSimulation::Controller::send_commands(
    const std::string& machine, const std::string& address, std::uint64_t token,
    std::uint64_t session, const std::vector<wire::Command>& commands,
    std::function<void(Millis, const cluster::CommandReply&)> done) {
    trace("direct", machine, address, token, session, traced(commands));
    ClusterSimulation& w = *simulation;
    const bool starts = std::any_of(commands.begin(), commands.end(),
                                    [](const auto& c) { return c.op == wire::Command::Op::start; });
    // What the gates of app::Node let through.
    if (w.leader_leases_ && control_loop &&
        (starts ? w.now_ >= leads_until : !w.may_respond(*this))) {
        cluster::CommandReply reply;
        reply.delivery = cluster::DeliveryStatus::refused;
        w.at(w.now_ + 1, [&w, reply, done] { done(w.now_, reply); });
        return;
    }
    if (w.faults_.refused_commands > 0 && w.chance(w.faults_.refused_commands)) {
        cluster::CommandReply reply;
        reply.delivery = cluster::DeliveryStatus::refused;
        w.at(w.now_ + w.delay(10), [&w, reply, done] { done(w.now_, reply); });
        return;
    }
    bool held = w.chance(w.faults_.delayed_commands);
    bool lost = held || w.chance(w.faults_.lost_command_replies);
    auto replied = std::make_shared<bool>(false);
    Millis arrive = w.now_ + (held ? w.delay(60'000) : w.delay(10));
    auto there = w.machines_.find(machine);
    if (const Partition* partition =
            there == w.machines_.end() ? nullptr : w.partition_of(*there->second)) {
        lost = true;
        arrive =
            partition->delays_commands ? partition->until + w.delay(500) : w.now_ + 1'000'000'000;
    }
    w.at(arrive, [&w, machine, token, session, commands, done, lost, replied, held] {
        auto it = w.machines_.find(machine);
        if (it == w.machines_.end() || !it->second->up || it->second->removed || it->second->dead ||
            w.now_ < it->second->inbound_blocked_until ||
            w.now_ < it->second->commands_blocked_until)
            return;
        Machine& m = *it->second;
        w.advance_tasks(m);  // its session may have ended by now
        cluster::CommandReply reply;
        reply.delivery = cluster::DeliveryStatus::delivered;
        reply.executed = token >= m.token && session == m.incarnation;
        if (held)
            ++(reply.executed ? w.coverage_.delayed_commands_executed
                              : w.coverage_.delayed_commands_refused);
        if (reply.executed) {
            m.token = token;
            w.execute(m, commands);
        }
        reply.heartbeat = w.make_heartbeat(m);
        if (lost) return;
        *replied = true;
        w.at(w.now_ + w.delay(10), [&w, reply, done] { done(w.now_, reply); });
    });
    w.at(w.now_ + 2000, [&w, done, replied] {
        if (!*replied) done(w.now_, cluster::CommandReply{});
    });
}

void ClusterSimulation::partition(const Partition& partition) { partitions_.push_back(partition); }

const Partition* ClusterSimulation::partition_of(const Machine& machine) const {
    for (const Partition& partition : partitions_) {
        if (now_ < partition.from || now_ >= partition.until || machine.zone != partition.zone)
            continue;
        // The same machines for as long as it lasts.
        if (std::hash<std::string>{}(machine.name + partition.zone) % 1000 < partition.share * 1000)
            return &partition;
    }
    return nullptr;
}

bool ClusterSimulation::responder_partitioned(std::size_t i) const {
    return std::any_of(partitions_.begin(), partitions_.end(), [&](const Partition& partition) {
        return partition.includes_controller && now_ >= partition.from && now_ < partition.until &&
               zone_of(i) == partition.zone;
    });
}

bool ClusterSimulation::can_reach(const Machine& machine, std::size_t node) const {
    if (now_ < machine.heartbeats_blocked_until) return false;
    const bool inside = node < 2 && share_ > 0 && responder_partitioned(node);
    const Partition* partition = partition_of(machine);
    if (partition == nullptr) return !inside || machine.zone == zone_of(node);
    return inside && machine.zone == zone_of(node);
}

}  // namespace nickelramp::test
