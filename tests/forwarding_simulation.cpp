#include "tests/forwarding_simulation.h"

#include <gtest/gtest.h>

namespace nickelramp::test {

namespace {
constexpr Millis kStatusInterval = 1'000;
constexpr Millis kMaxTransitTime = 20;
constexpr Millis kMaxDelay = 60'000;
constexpr Millis kMaxFreeze = 12'000;
constexpr Millis kWorkerTimeout = 4'000;
constexpr double kMaxClockDrift = 0.0005;
}  // namespace

ForwardingSimulation::ForwardingSimulation(std::size_t forwarders, ForwardingFaults faults,
                                           std::mt19937_64& random, Environment environment,
                                           Trace& trace)
    : faults_(faults), random_(random), environment_(std::move(environment)), trace_(trace) {
    for (std::size_t i = 0; i < forwarders; ++i) {
        controllers_.push_back(std::make_unique<Controller>());
        controllers_.back()->name = "forwarder-" + std::to_string(i);
        controllers_.back()->drift = i % 2 == 0 ? kMaxClockDrift : -kMaxClockDrift;
        start_process(*controllers_.back());
    }
    environment_.after(1, [this] { broadcast_status(); });
}

void ForwardingSimulation::start_process(Controller& controller) {
    controller.incarnation = ++incarnations_;
    controller.waiting.clear();
    controller.forwarder = std::make_unique<relay::HeartbeatForwarder>(
        controller.name, controller.incarnation,
        [this, &controller](const std::string& to, const peers::PeerFrame& frame) {
            trace_.add(environment_.now(), "peer-message", controller.name, to, traced(frame));
            // As on a real connection, only messages that can be decoded are delivered.
            peers::Framer framer;
            framer.add(frame.frame);
            const auto message = peers::decode_forwarded_heartbeat(framer.next()->body);
            EXPECT_TRUE(message);
            send([this, message] { deliver_to_leaders(*message); });
            return true;
        });
}

Millis ForwardingSimulation::clock(const Controller& controller) const {
    const auto now = static_cast<double>(environment_.now());
    return static_cast<Millis>(now * (1 + controller.drift)) + 1'000'000;
}

void ForwardingSimulation::send(const std::function<void()>& arrive) {
    if (chance(faults_.lost)) return;
    environment_.after(chance(faults_.delayed) ? up_to(kMaxDelay) : up_to(kMaxTransitTime), arrive);
    if (chance(faults_.repeated)) environment_.after(up_to(kMaxDelay), arrive);
}

void ForwardingSimulation::run_in_process(Controller& controller, std::function<void()> act) {
    if (environment_.now() < controller.frozen_until)
        controller.waiting.push_back(std::move(act));
    else
        act();
}

// Runs every second. Leaders send their status, and some controllers freeze or restart.
void ForwardingSimulation::broadcast_status() {
    environment_.after(kStatusInterval, [this] { broadcast_status(); });
    for (auto& controller : controllers_) {
        step_process(*controller);
        send_leader_statuses(*controller);
    }
}

void ForwardingSimulation::step_process(Controller& controller) {
    if (environment_.now() >= controller.frozen_until && !controller.waiting.empty()) {
        // Messages that arrived during the freeze are read before any timer runs.
        const auto waited = std::exchange(controller.waiting, {});
        for (const auto& act : waited) act();
    }
    if (chance(faults_.restarts_per_s)) start_process(controller);
    if (chance(faults_.freezes_per_s))
        controller.frozen_until = environment_.now() + up_to(kMaxFreeze);
    if (environment_.now() >= controller.frozen_until)
        controller.forwarder->expire(clock(controller));
    const auto& counters = controller.forwarder->counters();
    coverage_.unmatched = std::max<std::size_t>(coverage_.unmatched, counters.unmatched);
    coverage_.expired = std::max<std::size_t>(coverage_.expired, counters.expired);
}

void ForwardingSimulation::send_leader_statuses(Controller& controller) {
    for (const Leader& leader : environment_.leaders()) {
        peers::Status status;
        status.from = "leader-" + std::to_string(leader.node);
        status.incarnation = leader.incarnation;
        status.term = status.heartbeat_term = leader.term;
        status.clock_ms = static_cast<std::uint64_t>(environment_.now());
        send([this, &controller, status] {
            run_in_process(controller, [this, &controller, status] {
                controller.forwarder->on_peer_status(status, clock(controller));
            });
        });
    }
}

void ForwardingSimulation::send_heartbeat(std::size_t index, const wire::Heartbeat& heartbeat,
                                          std::uint64_t follows_term,
                                          relay::HeartbeatForwarder::Respond respond) {
    Controller& controller = *controllers_[index];
    followed_terms_[{heartbeat.machine, {heartbeat.incarnation, heartbeat.sequence}}] =
        follows_term;
    run_in_process(controller, [this, &controller, heartbeat, follows_term,
                                respond = std::move(respond)] {
        const Millis forwarded_at = environment_.now();
        auto pass_on = [this, &controller, forwarded_at, heartbeat, respond](
                           const machines::HeartbeatReply& reply, std::uint64_t term) {
            trace_.add(environment_.now(), "relayed-answer", controller.name, heartbeat.machine,
                       term, traced(reply));
            if (reply.status == machines::kHeartbeatAccepted) {
                ++coverage_.relayed;
                EXPECT_LT(environment_.now() - forwarded_at, kWorkerTimeout)
                    << "the worker no longer waits for it";
                // deliver_to_leaders() sets the holder of an accepting reply to its machine.
                EXPECT_EQ(reply.holder, heartbeat.machine) << "another worker's reply";
            }
            respond(reply, term);
        };
        // If this returns false, no leader is reachable and the worker gets no reply.
        (void)controller.forwarder->forward(heartbeat, follows_term, pass_on, clock(controller));
    });
}

void ForwardingSimulation::deliver_to_leaders(const peers::ForwardedHeartbeat& message) {
    for (const Leader& leader : environment_.leaders()) {
        const auto arrival =
            admission_.admit(message, leader.term, leader.incarnation, environment_.now());
        coverage_.stale = admission_.rejected(relay::Rejection::stale);
        coverage_.other_term = admission_.rejected(relay::Rejection::other_term);
        if (!arrival) continue;
        check_arrival(message, *arrival, leader);
        const machines::HeartbeatReply reply =
            environment_.deliver_heartbeat(leader.node, message.heartbeat, *arrival);
        const bool accepted = reply.status == machines::kHeartbeatAccepted;
        send_reply(
            message.from,
            {leader.node == 0 ? "leader" : "other", message.incarnation, message.sequence,
             leader.term, static_cast<std::uint64_t>(reply.status),
             accepted ? message.heartbeat.machine : reply.holder, reply.token, reply.commands});
    }
}

void ForwardingSimulation::check_arrival(const peers::ForwardedHeartbeat& message,
                                         const machines::HeartbeatArrival& arrival,
                                         const Leader& leader) {
    ++coverage_.admitted;
    coverage_.followed += arrival.follows_reply ? 1 : 0;
    EXPECT_EQ(message.term, leader.term) << "addressed to another term";
    EXPECT_LE(environment_.now() - arrival.arrived_at, kWorkerTimeout)
        << "delivered too long after it was sent";
    const wire::Heartbeat& heartbeat = message.heartbeat;
    const std::uint64_t followed_term =
        followed_terms_.at({heartbeat.machine, {heartbeat.incarnation, heartbeat.sequence}});
    if (arrival.follows_reply) {
        EXPECT_EQ(followed_term, leader.term);
    }
}

void ForwardingSimulation::send_reply(const std::string& forwarder,
                                      const peers::ForwardedReply& reply) {
    for (auto& each : controllers_) {
        Controller& controller = *each;
        if (controller.name != forwarder) continue;
        send([this, &controller, reply] {
            run_in_process(controller, [this, &controller, reply] {
                controller.forwarder->on_reply(reply, clock(controller));
            });
        });
    }
}

}  // namespace nickelramp::test
