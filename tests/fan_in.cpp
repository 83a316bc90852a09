#include "tests/fan_in.h"

#include <gtest/gtest.h>

namespace nickelramp::test {

namespace {
constexpr Millis kBeat = 1'000, kLate = 60'000, kWorkerWaits = 4'000;
constexpr double kMostDrift = 0.0005;

workers::Mark mark_of(const wire::Report& r) { return {r.session, r.seq}; }
}  // namespace

FanIn::FanIn(std::size_t forwarders, FanInFaults faults, std::mt19937_64& random, Around around,
             Trace& trace)
    : faults_(faults), random_(random), around_(std::move(around)), trace_(trace) {
    for (std::size_t i = 0; i < forwarders; ++i) {
        all_.push_back(std::make_unique<Controller>());
        all_.back()->name = "forwarder-" + std::to_string(i);
        all_.back()->drift = i % 2 == 0 ? kMostDrift : -kMostDrift;
        begin(*all_.back());
    }
    around_.after(1, [this] { beat(); });
}

void FanIn::begin(Controller& c) {
    c.incarnation = ++incarnations_;
    c.waiting.clear();
    c.forwarder = std::make_unique<relay::Forwarder>(
        c.name, c.incarnation, [this, &c](const std::string& to, const peers::Speech& speech) {
            trace_.add(around_.now(), "peer-message", c.name, to, traced(speech));
            // As the back channel has it: what cannot be read is not delivered.
            peers::Framer framer;
            framer.add(speech.frame);
            const auto message = peers::read_forwarded_report(framer.next()->body);
            EXPECT_TRUE(message);
            send([this, message] { to_leader(*message); });
            return true;
        });
}

Millis FanIn::clock(const Controller& c) const {
    const auto now = static_cast<double>(around_.now());
    return static_cast<Millis>(now * (1 + c.drift)) + 1'000'000;
}

void FanIn::send(const std::function<void()>& arrive) {
    if (chance(faults_.lost)) return;
    around_.after(chance(faults_.held) ? up_to(kLate) : up_to(20), arrive);
    if (chance(faults_.repeated)) around_.after(up_to(kLate), arrive);
}

void FanIn::inside(Controller& c, std::function<void()> act) {
    if (around_.now() < c.frozen_until)
        c.waiting.push_back(std::move(act));
    else
        act();
}

// Every second: leaders say that they lead, and some controllers meet their fate.
void FanIn::beat() {
    around_.after(kBeat, [this] { beat(); });
    for (auto& each : all_) {
        Controller& c = *each;
        if (around_.now() >= c.frozen_until && !c.waiting.empty()) {
            // What waited is read before any timer is looked at.
            const auto waited = std::exchange(c.waiting, {});
            for (const auto& act : waited) act();
        }
        if (chance(faults_.restarts)) begin(c);
        if (chance(faults_.freezes)) c.frozen_until = around_.now() + up_to(12'000);
        if (around_.now() >= c.frozen_until) c.forwarder->expire(clock(c));
        met_.unmatched = std::max(met_.unmatched, c.forwarder->counters().unmatched);
        met_.expired = std::max(met_.expired, c.forwarder->counters().expired);
        for (const Leader& leader : around_.leaders()) {
            peers::Status s;
            s.from = "leader-" + std::to_string(leader.node);
            s.incarnation = leader.incarnation;
            s.term = s.reports_term = leader.term;
            s.clock_ms = static_cast<std::uint64_t>(around_.now());
            send([this, &c, s] { inside(c, [this, &c, s] { c.forwarder->heard(s, clock(c)); }); });
        }
    }
}

void FanIn::report(std::size_t index, const wire::Report& report, std::uint64_t follows_term,
                   relay::Forwarder::Respond answered) {
    Controller& c = *all_[index];
    truth_[{report.machine, mark_of(report)}] = {around_.now(), follows_term};
    inside(c, [this, &c, report, follows_term, answered = std::move(answered)] {
        const Millis taken = around_.now();
        auto relay = [this, &c, taken, report, answered](const dispatch::CheckinAnswer& a,
                                                         std::uint64_t term) {
            trace_.add(around_.now(), "relayed-answer", c.name, report.machine, term, traced(a));
            if (a.status == 200) {
                ++met_.relayed;
                EXPECT_LT(around_.now() - taken, kWorkerWaits) << "nobody waits for it any more";
                // The commands say whose they are, see World::hear.
                EXPECT_EQ(a.holder, report.machine) << "another worker's answer";
            }
            answered(a, term);
        };
        c.forwarder->forward(report, follows_term, relay, clock(c));
    });
}

void FanIn::to_leader(const peers::ForwardedReport& message) {
    for (const Leader& leader : around_.leaders()) {
        const auto arrival =
            admission_.admit(message, leader.term, leader.incarnation, around_.now());
        met_.stale = admission_.refused(relay::Refusal::stale);
        met_.other_term = admission_.refused(relay::Refusal::other_term);
        if (!arrival) continue;
        ++met_.admitted;
        met_.followed += arrival->follows ? 1 : 0;
        const Truth& truth = truth_.at({message.report.machine, mark_of(message.report)});
        EXPECT_EQ(message.term, leader.term) << "meant for another term";
        EXPECT_LE(around_.now() - arrival->at, kWorkerWaits) << "delivered long after it was made";
        if (arrival->follows) {
            EXPECT_EQ(truth.follows_term, leader.term);
        }
        dispatch::CheckinAnswer a = around_.hear(leader.node, message.report, *arrival);
        peers::ForwardedAnswer answer{leader.node == 0 ? "leader" : "other",
                                      message.incarnation,
                                      message.number,
                                      leader.term,
                                      static_cast<std::uint64_t>(a.status),
                                      a.status == 200 ? message.report.machine : a.holder,
                                      a.token,
                                      a.commands};
        for (auto& each : all_) {
            Controller& c = *each;
            if (c.name != message.from) continue;
            send([this, &c, answer] {
                inside(c, [this, &c, answer] { c.forwarder->answered(answer, clock(c)); });
            });
        }
    }
}

}  // namespace nickelramp::test
