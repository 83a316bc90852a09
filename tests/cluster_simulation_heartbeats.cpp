// Heartbeats of workers, and the replies of controllers.
#include <utility>

#include "tests/cluster_simulation_controller.h"

namespace nickelramp::test {

namespace {
constexpr Millis kMaxMessageDelay = 10;
constexpr Millis kMinHeartbeatInterval = 2'300, kHeartbeatIntervalSpread = 1'400;
constexpr Millis kReplyTimeout = 4'000;  // workers ignore later replies
constexpr Millis kMaxThawDelay = 500;
}  // namespace

void ClusterSimulation::on_machine_booted(const std::string& name) {
    SimulatedMachine& machine = workers_.machine(name);
    machine.target = context_.random()() % controllers_.size();
    send_heartbeat(name, machine.process_generation);
}

// Sends one heartbeat and schedules the next, for as long as the worker's process runs.
void ClusterSimulation::send_heartbeat(const std::string& name, std::size_t process_generation) {
    SimulatedMachine& machine = workers_.machine(name);
    if (!machine.exists() || machine.process_generation != process_generation) return;
    auto send_next = [this, name, process_generation] { send_heartbeat(name, process_generation); };
    if (const Partition* partition = network_.partition_of(machine);
        partition != nullptr && partition->freezes_machines) {
        context_.at(partition->until + context_.delay(kMaxThawDelay), send_next);
        return;
    }
    workers_.advance(machine);
    context_.after(kMinHeartbeatInterval + context_.delay(kHeartbeatIntervalSpread), send_next);
    // After an unanswered heartbeat, a worker switches to the next controller, as the protocol
    // says.
    if (machine.unanswered) machine.target = (machine.target + 1) % controllers_.size();
    const bool follows_reply = std::exchange(machine.last_heartbeat_answered, false);
    machine.unanswered = true;
    const wire::Heartbeat heartbeat = workers_.make_heartbeat(machine);
    if (machine.first.machine.empty()) machine.first = heartbeat;
    machine.last = heartbeat;
    send_late_copies(heartbeat);
    const Faults& faults = context_.faults;
    if (faults.copies_for_next_leader > 0 && context_.chance(faults.copies_for_next_leader))
        hold_for_next_leader(heartbeat, SIZE_MAX, false);
    if (faults.heartbeats_held_for_next_leader > 0 &&
        context_.chance(faults.heartbeats_held_for_next_leader))
        return hold_for_next_leader(heartbeat, machine.target, follows_reply);
    if (forwarding_) return send_to_forwarder(machine, heartbeat);
    if (context_.chance(faults.lost_heartbeats) || !network_.can_reach(machine, machine.target))
        return;
    send_to_target(machine, heartbeat, follows_reply);
}

void ClusterSimulation::send_to_target(const SimulatedMachine& sender,
                                       const wire::Heartbeat& heartbeat, bool follows_reply) {
    const SentHeartbeat sent{sender.name, now(), sender.incarnation, sender.process_generation};
    context_.after(context_.delay(kMaxMessageDelay), [this, sent, heartbeat, follows_reply] {
        SimulatedMachine& machine = workers_.machine(sent.machine);
        const bool inbound_blocked = now() < machine.inbound_blocked_until;
        context_.coverage.heartbeats_before_provision_reply +=
            machine.named_in_provision_reply ? 0 : 1;
        const machines::HeartbeatReply reply =
            deliver_heartbeat(machine.target, heartbeat, follows_reply);
        if (machine.process_generation != sent.process_generation || inbound_blocked) return;
        if (reply.status != 200) return on_heartbeat_refused(machine, reply);
        EXPECT_GE(reply.token, heartbeat.token)
            << "the reply's fencing token is older than the worker's";
        if (context_.chance(context_.faults.lost_heartbeats)) return;
        context_.after(context_.delay(kMaxMessageDelay), [this, sent, reply] {
            SimulatedMachine& receiver = workers_.machine(sent.machine);
            if (receiver.process_generation != sent.process_generation) return;
            receiver.unanswered = false;
            receiver.last_heartbeat_answered = true;
            receive_reply(sent, reply);
        });
    });
}

// Switches the worker to the shard holder that the reply names, or else to the newest leader if the
// worker can reach it.
void ClusterSimulation::on_heartbeat_refused(SimulatedMachine& machine,
                                             const machines::HeartbeatReply& reply) {
    machine.unanswered = false;
    const std::size_t newest = controllers_.size() - 1;
    machine.target = network_.can_reach(machine, newest) ? newest : context_.random()() % 2;
    for (std::size_t i = 0; i < 2 && delegated_machines_ > 0; ++i) {
        if (reply.holder == holder_settings_[i].name) machine.target = i;
    }
}

// Handles a reply 200 that has reached the worker.
void ClusterSimulation::receive_reply(const SentHeartbeat& sent,
                                      const machines::HeartbeatReply& reply) {
    SimulatedMachine& machine = workers_.machine(sent.machine);
    const bool dropped = machine.incarnation != sent.incarnation || reply.token < machine.token ||
                         now() - sent.sent_at > kReplyTimeout;
    if (machine.process_generation != sent.process_generation || !machine.exists() || dropped)
        return;
    machine.token = reply.token;
    machine.lease_from = sent.sent_at;
    workers_.execute(machine, reply.commands);
}

// Returns the controller's reply, as shard holder, leader or partition responder.
machines::HeartbeatReply ClusterSimulation::deliver_heartbeat(
    std::size_t index, const wire::Heartbeat& heartbeat,
    const machines::HeartbeatArrival& arrival) {
    Controller& controller = *controllers_[index];
    machines::HeartbeatReply reply;
    reply.status = 503;
    if (controller.shard_holder && controller.shard_holder->holds(heartbeat.machine))
        reply = controller.shard_holder->on_heartbeat(heartbeat, arrival.follows_reply, now());
    if (responds(controller)) {
        reply = controller.control_loop->on_heartbeat(heartbeat, arrival, now());
        const bool old = leader_leases_ && controller.term < term_;
        replies_by_old_leaders_ += reply.status == 200 && old ? 1 : 0;
    }
    if (controller.partition_responder && reply.status != 200) {
        partition::PartitionResponder& responder = *controller.partition_responder;
        const Millis received =
            network_.holder_partitioned(index) ? controller.last_leader_status_at : now();
        responder.update(received, received, now());
        if (const auto token = responder.token_for_reply(heartbeat, arrival.follows_reply, now())) {
            reply = {200, "", *token, {}};
            ++replies_by_responders_;
        }
    }
    context_.trace.add(now(), "report-answer", index, heartbeat.machine, heartbeat.incarnation,
                       heartbeat.sequence, traced(reply));
    return reply;
}

void ClusterSimulation::forward_heartbeats(std::size_t forwarders, ForwardingFaults faults) {
    ForwardingSimulation::Environment environment;
    environment.after = [this](Millis wait, std::function<void()> event) {
        context_.after(wait, std::move(event));
    };
    environment.now = [this] { return now(); };
    environment.leaders = [this] {
        std::vector<ForwardingSimulation::Leader> leaders;
        for (const auto& controller : controllers_) {
            if (responds(*controller))
                leaders.push_back({controller->index, controller->term, controller->index + 1});
        }
        return leaders;
    };
    environment.deliver_heartbeat = [this](std::size_t controller, const wire::Heartbeat& heartbeat,
                                           const machines::HeartbeatArrival& arrival) {
        return deliver_heartbeat(controller, heartbeat, arrival);
    };
    forwarding_ = std::make_unique<ForwardingSimulation>(forwarders, faults, context_.random(),
                                                         std::move(environment), context_.trace);
}

void ClusterSimulation::send_to_forwarder(SimulatedMachine& sender,
                                          const wire::Heartbeat& heartbeat) {
    // A worker switches to the next forwarder if one does not answer, as the protocol says.
    auto use_next_forwarder = [this](SimulatedMachine& machine) {
        machine.forwarder = (machine.forwarder + 1) % forwarding_->size();
    };
    if (context_.chance(context_.faults.lost_heartbeats) ||
        now() < sender.heartbeats_blocked_until) {
        sender.answered_term = 0;
        return use_next_forwarder(sender);
    }
    const std::uint64_t follows_term = std::exchange(sender.answered_term, 0);
    const SentHeartbeat sent{sender.name, now(), sender.incarnation, sender.process_generation};
    auto on_reply = [this, sent, use_next_forwarder](const machines::HeartbeatReply& reply,
                                                     std::uint64_t term) {
        SimulatedMachine& machine = workers_.machine(sent.machine);
        const bool received = reply.status == 200 && now() >= machine.inbound_blocked_until &&
                              !context_.chance(context_.faults.lost_heartbeats);
        if (machine.process_generation != sent.process_generation ||
            now() - sent.sent_at > kReplyTimeout)
            return;
        if (!received) return use_next_forwarder(machine);
        machine.answered_term = term;
        receive_reply(sent, reply);
    };
    forwarding_->send_heartbeat(sender.forwarder, heartbeat, follows_term, on_reply);
}

}  // namespace nickelramp::test
