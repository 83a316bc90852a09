#include "tests/forwarding_simulation.h"

#include <gtest/gtest.h>

namespace nickelramp::test {

namespace {
constexpr Millis kBeat = 1'000, kLate = 60'000, kWorkerWaits = 4'000;
constexpr double kMostDrift = 0.0005;

machines::MessagePosition mark_of(const wire::Heartbeat& heartbeat) {
    return {heartbeat.incarnation, heartbeat.sequence};
}
}  // namespace

ForwardingSimulation::ForwardingSimulation(std::size_t forwarders, ForwardingFaults faults,
                                           std::mt19937_64& random, Environment around,
                                           Trace& trace)
    : faults_(faults), random_(random), environment_(std::move(around)), trace_(trace) {
    for (std::size_t i = 0; i < forwarders; ++i) {
        controllers_.push_back(std::make_unique<Controller>());
        controllers_.back()->name = "forwarder-" + std::to_string(i);
        controllers_.back()->drift = i % 2 == 0 ? kMostDrift : -kMostDrift;
        start_process(*controllers_.back());
    }
    environment_.after(1, [this] { broadcast_status(); });
}

void ForwardingSimulation::start_process(Controller& controller) {
    controller.incarnation = ++incarnations_;
    controller.waiting.clear();
    controller.forwarder = std::make_unique<relay::HeartbeatForwarder>(
        controller.name, controller.incarnation,
        [this, &controller](const std::string& to, const peers::PeerFrame& speech) {
            trace_.add(environment_.now(), "peer-message", controller.name, to, traced(speech));
            // As the back channel has it: what cannot be read is not delivered.
            peers::Framer framer;
            framer.add(speech.frame);
            const auto message = peers::decode_forwarded_heartbeat(framer.next()->body);
            EXPECT_TRUE(message);
            send([this, message] { deliver_to_leader(*message); });
            return true;
        });
}

Millis ForwardingSimulation::clock(const Controller& controller) const {
    const auto now = static_cast<double>(environment_.now());
    return static_cast<Millis>(now * (1 + controller.drift)) + 1'000'000;
}

void ForwardingSimulation::send(const std::function<void()>& arrive) {
    if (chance(faults_.lost)) return;
    environment_.after(chance(faults_.delayed) ? up_to(kLate) : up_to(20), arrive);
    if (chance(faults_.repeated)) environment_.after(up_to(kLate), arrive);
}

void ForwardingSimulation::run_in_process(Controller& controller, std::function<void()> act) {
    if (environment_.now() < controller.frozen_until)
        controller.waiting.push_back(std::move(act));
    else
        act();
}

// Every second: leaders say that they lead, and some controllers meet their fate.
void ForwardingSimulation::broadcast_status() {
    environment_.after(kBeat, [this] { broadcast_status(); });
    for (auto& each : controllers_) {
        Controller& controller = *each;
        if (environment_.now() >= controller.frozen_until && !controller.waiting.empty()) {
            // What waited is read before any timer is looked at.
            const auto waited = std::exchange(controller.waiting, {});
            for (const auto& act : waited) act();
        }
        if (chance(faults_.restarts_per_s)) start_process(controller);
        if (chance(faults_.freezes_per_s))
            controller.frozen_until = environment_.now() + up_to(12'000);
        if (environment_.now() >= controller.frozen_until)
            controller.forwarder->expire(clock(controller));
        coverage_.unmatched =
            std::max(coverage_.unmatched, controller.forwarder->counters().unmatched);
        coverage_.expired = std::max(coverage_.expired, controller.forwarder->counters().expired);
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
}

void ForwardingSimulation::send_heartbeat(std::size_t index, const wire::Heartbeat& heartbeat,
                                          std::uint64_t follows_term,
                                          relay::HeartbeatForwarder::Respond answered) {
    Controller& controller = *controllers_[index];
    sent_heartbeats_[{heartbeat.machine, mark_of(heartbeat)}] = {environment_.now(), follows_term};
    run_in_process(
        controller, [this, &controller, heartbeat, follows_term, answered = std::move(answered)] {
            const Millis taken = environment_.now();
            auto relay = [this, &controller, taken, heartbeat, answered](
                             const machines::HeartbeatReply& reply, std::uint64_t term) {
                trace_.add(environment_.now(), "relayed-answer", controller.name, heartbeat.machine,
                           term, traced(reply));
                if (reply.status == 200) {
                    ++coverage_.relayed;
                    EXPECT_LT(environment_.now() - taken, kWorkerWaits)
                        << "nobody waits for it any more";
                    // The commands say whose they are, see World::hear.
                    EXPECT_EQ(reply.holder, heartbeat.machine) << "another worker's answer";
                }
                answered(reply, term);
            };
            controller.forwarder->forward(heartbeat, follows_term, relay, clock(controller));
        });
}

void ForwardingSimulation::deliver_to_leader(const peers::ForwardedHeartbeat& message) {
    for (const Leader& leader : environment_.leaders()) {
        const auto arrival =
            admission_.admit(message, leader.term, leader.incarnation, environment_.now());
        coverage_.stale = admission_.rejected(relay::Rejection::stale);
        coverage_.other_term = admission_.rejected(relay::Rejection::other_term);
        if (!arrival) continue;
        ++coverage_.admitted;
        coverage_.followed += arrival->follows_reply ? 1 : 0;
        const SentHeartbeat& truth =
            sent_heartbeats_.at({message.heartbeat.machine, mark_of(message.heartbeat)});
        EXPECT_EQ(message.term, leader.term) << "meant for another term";
        EXPECT_LE(environment_.now() - arrival->arrived_at, kWorkerWaits)
            << "delivered long after it was made";
        if (arrival->follows_reply) {
            EXPECT_EQ(truth.follows_term, leader.term);
        }
        machines::HeartbeatReply reply =
            environment_.deliver_heartbeat(leader.node, message.heartbeat, *arrival);
        peers::ForwardedReply answer{leader.node == 0 ? "leader" : "other",
                                     message.incarnation,
                                     message.sequence,
                                     leader.term,
                                     static_cast<std::uint64_t>(reply.status),
                                     reply.status == 200 ? message.heartbeat.machine : reply.holder,
                                     reply.token,
                                     reply.commands};
        for (auto& each : controllers_) {
            Controller& controller = *each;
            if (controller.name != message.from) continue;
            send([this, &controller, answer] {
                run_in_process(controller, [this, &controller, answer] {
                    controller.forwarder->on_reply(answer, clock(controller));
                });
            });
        }
    }
}

}  // namespace nickelramp::test
