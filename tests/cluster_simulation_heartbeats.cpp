#include <algorithm>

#include "tests/cluster_simulation.h"

namespace nickelramp::test {

// A copy, or the report itself where it was on its way to one node.
void ClusterSimulation::hold_for_next_leader(const wire::Heartbeat& heartbeat, std::size_t node,
                                             bool follows) {
    if (held_heartbeats_.size() < 400)
        held_heartbeats_.push_back(
            {heartbeat, node, follows, machines_[heartbeat.machine]->process_generation});
}

// Copies reach every controller in the moment in which one begins, and again when it has acted;
// what was held on its way arrives then.
void ClusterSimulation::deliver_held_heartbeats() {
    for (HeldHeartbeat& k : std::exchange(held_heartbeats_, {})) {
        const Machine& machine = *machines_[k.heartbeat.machine];
        ++coverage_.held_copies;
        coverage_.held_copies_of_gone_machines += machine.removed || machine.dead ? 1 : 0;
        coverage_.held_copies_of_old_incarnations +=
            machine.process_generation != k.process_generation ||
                    machine.incarnation > k.heartbeat.incarnation
                ? 1
                : 0;
        auto everywhere = [this, k] {
            for (std::size_t i = 0; i < controllers_.size(); ++i)
                if (k.controller == SIZE_MAX || k.controller == i)
                    deliver_heartbeat(i, k.heartbeat, k.follows_reply && k.controller == i);
        };
        if (k.controller == SIZE_MAX) {
            everywhere();
            at(now_ + delay(3'000), everywhere);
        } else {
            ++coverage_.held_heartbeats_delivered;
        }
        at(now_ + delay(40'000), everywhere);
        // And at whoever leads by then.
        at(now_ + delay(40'000),
           [this, k] { deliver_heartbeat(controllers_.size() - 1, k.heartbeat, false); });
    }
}

wire::Heartbeat ClusterSimulation::make_heartbeat(Machine& machine) {
    wire::Heartbeat heartbeat;
    heartbeat.machine = heartbeat.address = machine.name;
    heartbeat.type = machine.type;
    heartbeat.zone = machine.zone;
    heartbeat.spot = machine.spot;
    heartbeat.incarnation = machine.incarnation;
    heartbeat.sequence = ++machine.sequence;
    heartbeat.token = machine.token;
    for (auto& [id, t] : machine.tasks) {
        wire::TaskReport tr;
        tr.job = id.first;
        tr.task = id.second;
        tr.attempt = t.attempt;
        tr.phase = t.phase == "fetching"    ? wire::TaskPhase::fetching
                   : t.phase == "gathering" ? wire::TaskPhase::waiting
                   : t.phase == "running"   ? wire::TaskPhase::running
                   : t.phase == "saving"    ? wire::TaskPhase::saving
                                            : wire::TaskPhase::exited;
        if (t.phase == "exited") {
            tr.cause = t.cause == "done"      ? wire::ExitCause::done
                       : t.cause == "error"   ? wire::ExitCause::error
                       : t.cause == "alone"   ? wire::ExitCause::alone
                       : t.cause == "peers"   ? wire::ExitCause::peers
                       : t.cause == "no_room" ? wire::ExitCause::no_room
                       : t.cause == "busy"    ? wire::ExitCause::busy
                                              : wire::ExitCause::stopped;
        }
        heartbeat.tasks.push_back(tr);
    }
    return heartbeat;
}

// What the node says to a report, at this moment.
machines::HeartbeatReply ClusterSimulation::deliver_heartbeat(
    std::size_t node, const wire::Heartbeat& heartbeat, const machines::HeartbeatArrival& arrival) {
    Controller& n = *controllers_[node];
    machines::HeartbeatReply reply;
    reply.status = 503;
    if (n.shard_holder && n.shard_holder->holds(heartbeat.machine))
        reply = n.shard_holder->on_heartbeat(heartbeat, arrival.follows_reply, now_);
    if (n.control_loop && (leader_leases_ ? may_respond(n) : n.leads || now_ < n.responds_until)) {
        reply = n.control_loop->on_heartbeat(heartbeat, arrival, now_);
        replies_by_old_ += reply.status == 200 && n.term < term_ && leader_leases_ ? 1 : 0;
    }
    if (n.partition_responder && reply.status != 200) {
        Millis heard = responder_partitioned(node) ? n.last_leader_status_at : now_;
        n.partition_responder->update(heard, heard, now_);
        if (auto token =
                n.partition_responder->token_for_reply(heartbeat, arrival.follows_reply, now_)) {
            reply = {200, "", *token, {}};
            ++replies_by_responders_;
        }
    }
    trace_.add(now_, "report-answer", node, heartbeat.machine, heartbeat.incarnation,
               heartbeat.sequence, traced(reply));
    return reply;
}

// Over a connection of their own, whose answers nobody reads.
void ClusterSimulation::send_late_copies(const wire::Heartbeat& heartbeat) {
    while (chance(faults_.late_heartbeat_copies)) {
        at(now_ + 500 + delay(90'000), [this, heartbeat] {
            ++heartbeat_copies_;
            coverage_.copies_of_old_incarnations +=
                machines_[heartbeat.machine]->incarnation > heartbeat.incarnation ? 1 : 0;
            coverage_.copies_of_old_attempts +=
                std::any_of(heartbeat.tasks.begin(), heartbeat.tasks.end(), [&](auto& t) {
                    auto it = latest_attempt_.find({t.job, t.task});
                    return it != latest_attempt_.end() && it->second > t.attempt;
                });
            deliver_heartbeat(random_() % controllers_.size(), heartbeat, false);
        });
    }
}

void ClusterSimulation::redeliver_heartbeat(const std::string& machine, bool first, Millis after) {
    at(now_ + after,
       [this, heartbeat = first ? machines_[machine]->first : machines_[machine]->last] {
           ++heartbeat_copies_;
           for (std::size_t i = 0; i < controllers_.size(); ++i) {
               if (!controllers_[i]->leads) continue;
               const auto reply = deliver_heartbeat(i, heartbeat, false);
               EXPECT_TRUE(reply.commands.empty()) << "orders to a copy";
               answered_heartbeat_copies_ += reply.status == 200 ? 1 : 0;
           }
       });
}

// One report, its answer, and the next.
void ClusterSimulation::send_heartbeat(const std::string& name, std::size_t life) {
    Machine& machine = *machines_[name];
    if (machine.removed || machine.dead || machine.process_generation != life) return;
    if (const Partition* partition = partition_of(machine);
        partition != nullptr && partition->freezes_machines) {
        at(partition->until + delay(500), [this, name, life] { send_heartbeat(name, life); });
        return;
    }
    advance_tasks(machine);
    at(now_ + 2300 + delay(1400), [this, name, life] { send_heartbeat(name, life); });
    if (machine.unanswered)
        machine.target =
            (machine.target + 1) % controllers_.size();  // the next, as the protocol has it
    const bool follows = std::exchange(machine.last_heartbeat_answered, false);
    machine.unanswered = true;
    Millis sent = now_;
    std::uint64_t session = machine.incarnation;
    wire::Heartbeat heartbeat = make_heartbeat(machine);
    if (machine.first.machine.empty()) machine.first = heartbeat;
    machine.last = heartbeat;
    send_late_copies(heartbeat);
    if (faults_.copies_for_next_leader > 0 && chance(faults_.copies_for_next_leader))
        hold_for_next_leader(heartbeat, SIZE_MAX, false);
    if (faults_.heartbeats_held_for_next_leader > 0 &&
        chance(faults_.heartbeats_held_for_next_leader))
        return hold_for_next_leader(heartbeat, machine.target, follows);
    if (forwarding_) return send_heartbeat_through_forwarder(machine, heartbeat);
    if (chance(faults_.lost_heartbeats) || !can_reach(machine, machine.target)) return;
    at(now_ + delay(10), [this, name, heartbeat, sent, session, follows, life] {
        Machine& machine = *machines_[name];
        const bool deaf = now_ < machine.inbound_blocked_until;
        coverage_.heartbeats_before_rental_reply += machine.named_in_rental_reply ? 0 : 1;
        const machines::HeartbeatReply reply =
            deliver_heartbeat(machine.target, heartbeat, follows);
        if (machine.process_generation != life || deaf) return;
        if (reply.status != 200) {
            machine.unanswered = false;
            // On to the next; whoever is out of reach is found out by trying.
            machine.target = can_reach(machine, controllers_.size() - 1) ? controllers_.size() - 1
                                                                         : random_() % 2;
            for (std::size_t i = 0; i < 2 && share_ > 0; ++i) {
                if (reply.holder == holder_settings_[i].name) machine.target = i;
            }
            return;
        }
        EXPECT_GE(reply.token, heartbeat.token) << "an answer that the worker must drop";
        if (chance(faults_.lost_heartbeats)) return;
        at(now_ + delay(10), [this, name, reply, sent, session, life] {
            Machine& machine = *machines_[name];
            if (machine.process_generation != life) return;
            machine.unanswered = false;
            machine.last_heartbeat_answered = true;
            receive_reply(name, reply, sent, session, life);
        });
    });
}

// An answer 200 has reached the worker.
void ClusterSimulation::receive_reply(const std::string& name,
                                      const machines::HeartbeatReply& reply, Millis sent,
                                      std::uint64_t session, std::size_t life) {
    Machine& machine = *machines_[name];
    const bool dropped =
        machine.incarnation != session || reply.token < machine.token || now_ - sent > 4000;
    if (machine.process_generation != life || machine.removed || machine.dead || dropped) return;
    machine.token = reply.token;
    machine.lease_from = sent;
    execute(machine, reply.commands);
}

void ClusterSimulation::forward_heartbeats(std::size_t forwarders, ForwardingFaults faults) {
    ForwardingSimulation::Environment around;
    around.after = [this](Millis wait, std::function<void()> f) { after(wait, std::move(f)); };
    around.now = [this] { return now_; };
    around.leaders = [this] {
        std::vector<ForwardingSimulation::Leader> out;
        for (std::size_t i = 0; i < controllers_.size(); ++i) {
            const Controller& n = *controllers_[i];
            const bool answers_still =
                n.control_loop &&
                (leader_leases_ ? may_respond(n) : n.leads || now_ < n.responds_until);
            if (answers_still) out.push_back({i, n.term, i + 1});
        }
        return out;
    };
    around.deliver_heartbeat = [this](std::size_t node, const wire::Heartbeat& heartbeat,
                                      const machines::HeartbeatArrival& arrival) {
        return deliver_heartbeat(node, heartbeat, arrival);
    };
    forwarding_ = std::make_unique<ForwardingSimulation>(forwarders, faults, random_,
                                                         std::move(around), trace_);
}

// A controller that does not answer is left for the next, as the protocol has it.
void ClusterSimulation::send_heartbeat_through_forwarder(Machine& machine,
                                                         const wire::Heartbeat& heartbeat) {
    if (chance(faults_.lost_heartbeats) || now_ < machine.heartbeats_blocked_until) {
        machine.answered_term = 0;
        machine.forwarder = (machine.forwarder + 1) % forwarding_->size();
        return;
    }
    const std::uint64_t follows = std::exchange(machine.answered_term, 0);
    auto answered = [this, name = machine.name, sent = now_, session = machine.incarnation,
                     life = machine.process_generation](const machines::HeartbeatReply& reply,
                                                        std::uint64_t term) {
        Machine& machine = *machines_[name];
        const bool heard = reply.status == 200 && now_ >= machine.inbound_blocked_until &&
                           !chance(faults_.lost_heartbeats);
        if (machine.process_generation != life || now_ - sent > 4000) return;
        if (!heard) {
            machine.forwarder = (machine.forwarder + 1) % forwarding_->size();
            return;
        }
        machine.answered_term = term;
        receive_reply(name, reply, sent, session, life);
    };
    forwarding_->send_heartbeat(machine.forwarder, heartbeat, follows, answered);
}

}  // namespace nickelramp::test
