// Forwarded reports: the messages, both ends by themselves, where workers are sent, and the rules
// of the protocol over random days on which every report is forwarded.
#include <gtest/gtest.h>

#include "relay/balancer.h"
#include "tests/world.h"

namespace {

using namespace nickelramp;
using relay::Admission;
using relay::Balancer;
using relay::Forwarder;
using relay::Refusal;
using test::FanInFaults;
using test::job;
using test::Trouble;
using test::World;

constexpr std::uint64_t kTerm = 7, kLeaderProcess = 70, kForwarderProcess = 9;

std::string body_of(const peers::Speech& speech) {
    test::test_trace().add(0, "frame", test::traced(speech));
    peers::Framer framer;
    framer.add(speech.frame);
    return framer.next()->body;
}

wire::Report full_report() {
    wire::Report r = test::report(3, 41, 1ull << 52);
    r.machine = "i-000231";
    r.address = "10.1.0.232:9000";
    r.type = "g8";
    r.zone = "a";
    r.spot = true;
    r.notice_s = 12.5;
    r.tasks = {{"job-000412", 3, 2, wire::TaskPhase::running, wire::ExitCause::none, false},
               {"job-000398", 0, 1, wire::TaskPhase::exited, wire::ExitCause::done, true}};
    return r;
}

peers::ForwardedReport forwarded(Millis leader_clock) {
    peers::ForwardedReport m;
    m.from = "ramper-1";
    m.incarnation = kForwarderProcess;
    m.number = 5;
    m.term = kTerm;
    m.leader_incarnation = kLeaderProcess;
    m.leader_clock_ms = static_cast<std::uint64_t>(leader_clock);
    m.since_ms = 100;
    m.report = full_report();
    return m;
}

peers::Status leader_status(std::uint64_t term, Millis clock) {
    peers::Status s;
    s.from = "ramper-0";
    s.incarnation = kLeaderProcess;
    s.term = s.reports_term = term;
    s.clock_ms = static_cast<std::uint64_t>(clock);
    return s;
}

TEST(Forwarding, MessagesKeepWhatWorkersAndLeaderSaid) {
    const auto report = forwarded(4'000);
    const auto read = peers::read_forwarded_report(body_of(peers::encode(report)));
    ASSERT_TRUE(read);
    EXPECT_EQ(peers::encode(*read), peers::encode(report));
    EXPECT_EQ(read->report.notice_s, 12.5);
    EXPECT_EQ(read->report.tasks[1].cause, wire::ExitCause::done);
    const peers::ForwardedAnswer answer{
        "ramper-0", 9,  5,          kTerm,
        200,        "", 1ull << 52, {{wire::Command::Op::stop, "job-000412", 3, 2, 10.5}}};
    const auto answered = peers::read_forwarded_answer(body_of(peers::encode(answer)));
    ASSERT_TRUE(answered);
    EXPECT_EQ(peers::encode(*answered), peers::encode(answer));
    EXPECT_EQ(answered->commands[0].grace_s, 10.5);
}

TEST(Forwarding, MalformedMessagesAreNotRead) {
    const std::string report = body_of(peers::encode(forwarded(1)));
    for (std::size_t n = 0; n < report.size(); ++n)
        EXPECT_FALSE(peers::read_forwarded_report(std::string_view(report).substr(0, n))) << n;
    std::mt19937 random(1);
    for (int i = 0; i < 20'000; ++i) {
        std::string noise = report;
        for (int k = 0; k < 3; ++k) noise[random() % noise.size()] = static_cast<char>(random());
        if (auto read = peers::read_forwarded_report(noise)) {
            EXPECT_NE(read->term, 0u);
            EXPECT_FALSE(read->report.machine.empty());
        }
        peers::read_forwarded_answer(noise);
    }
}

TEST(Admission, TakesOnlyWhatIsForThisTermAndProcessAndOfNow) {
    Admission admission;
    const Millis now = 20'000;
    const auto arrival = admission.admit(forwarded(now - 500), kTerm, kLeaderProcess, now);
    ASSERT_TRUE(arrival);
    EXPECT_LE(arrival->at, now - 400);
    EXPECT_GE(arrival->at, now - 500);
    EXPECT_FALSE(admission.admit(forwarded(now - 500), kTerm + 1, kLeaderProcess, now));
    EXPECT_FALSE(admission.admit(forwarded(now - 500), kTerm, kLeaderProcess + 1, now));
    EXPECT_EQ(admission.refused(Refusal::other_term), 2u);
    EXPECT_FALSE(admission.admit(forwarded(now - 4'000), kTerm, kLeaderProcess, now));
    EXPECT_EQ(admission.refused(Refusal::stale), 1u);
    EXPECT_FALSE(admission.admit(forwarded(now + 1), kTerm, kLeaderProcess, now));
    auto absurd = forwarded(now);
    absurd.since_ms = UINT64_MAX;
    EXPECT_FALSE(admission.admit(absurd, kTerm, kLeaderProcess, now));
    EXPECT_EQ(admission.refused(Refusal::future), 2u);
}

struct ForwarderTest : testing::Test {
    std::vector<peers::ForwardedReport> sent;
    bool reachable = true;
    std::vector<int> statuses;
    Forwarder forwarder{"ramper-1", kForwarderProcess,
                        [this](const std::string&, const peers::Speech& s) {
                            if (reachable)
                                sent.push_back(*peers::read_forwarded_report(body_of(s)));
                            return reachable;
                        }};
    bool forward(Millis now, std::uint64_t follows_term = 0) {
        return forwarder.forward(
            full_report(), follows_term,
            [this](const dispatch::CheckinAnswer& a, std::uint64_t) {
                test::test_trace().add(0, "report-answer", test::traced(a));
                statuses.push_back(a.status);
            },
            now);
    }
    peers::ForwardedAnswer answer_to(const peers::ForwardedReport& r) {
        return {"ramper-0", r.incarnation, r.number, r.term, 200, "", 1, {}};
    }
};

TEST_F(ForwarderTest, ForwardsToTheLeaderOfTheLatestTermWhileItIsHeard) {
    EXPECT_FALSE(forward(1'000));
    forwarder.heard(leader_status(kTerm, 500), 1'000);
    forwarder.heard(leader_status(kTerm - 1, 900), 1'100);  // one that lingers
    ASSERT_TRUE(forward(1'300, kTerm));
    EXPECT_EQ(sent[0].term, kTerm);
    EXPECT_EQ(sent[0].leader_clock_ms, 500u);
    EXPECT_EQ(sent[0].since_ms, 300u);
    EXPECT_TRUE(sent[0].follows);
    ASSERT_TRUE(forward(1'400, kTerm - 1));
    EXPECT_FALSE(sent[1].follows) << "an answer of another term";
    EXPECT_FALSE(forward(4'000)) << "not heard for long";
    forwarder.heard(leader_status(kTerm, 5'000), 5'000);
    auto resigned = leader_status(0, 5'100);
    forwarder.heard(resigned, 5'100);
    EXPECT_FALSE(forward(5'200));
}

TEST_F(ForwarderTest, PassesOnEachAnswerOnceToWhoStillWaits) {
    forwarder.heard(leader_status(kTerm, 500), 1'000);
    ASSERT_TRUE(forward(1'000));
    auto other_process = answer_to(sent[0]);
    ++other_process.incarnation;
    forwarder.answered(other_process, 1'100);
    auto other_term = answer_to(sent[0]);
    ++other_term.term;
    forwarder.answered(other_term, 1'100);
    EXPECT_TRUE(statuses.empty());
    forwarder.answered(answer_to(sent[0]), 1'200);
    forwarder.answered(answer_to(sent[0]), 1'300);
    EXPECT_EQ(statuses, std::vector<int>{200});
    // A newer report of the same machine takes the place of the older.
    ASSERT_TRUE(forward(2'000));
    ASSERT_TRUE(forward(2'100));
    EXPECT_EQ(forwarder.pending(), 1u);
    EXPECT_EQ(statuses, (std::vector<int>{200, 503}));
    // After a freeze the answer is read before any timer has run.
    forwarder.answered(answer_to(sent[2]), 9'000);
    EXPECT_EQ(statuses.size(), 2u);
    forwarder.expire(9'000);
    EXPECT_EQ(statuses, (std::vector<int>{200, 503, 503}));
    EXPECT_EQ(forwarder.pending(), 0u);
    forwarder.heard(leader_status(kTerm, 9'000), 9'000);
    reachable = false;
    EXPECT_FALSE(forward(9'100)) << "the back channel does not keep up";
}

struct BalancerTest : testing::Test {
    wire::Settings settings = test::world_settings();
    BalancerTest() {
        settings.name = "ramper-0";
        settings.zone = "a";
        settings.max_sockets = 1'000;
        settings.peers = {{"ramper-1", "a", "x"}, {"ramper-2", "b", "x"}};
    }
    wire::Report from(const std::string& zone) {
        wire::Report r = full_report();
        r.zone = zone;
        return r;
    }
    static peers::Status status(const std::string& name, std::uint64_t sockets) {
        peers::Status s;
        s.from = name;
        s.reports_term = kTerm;
        s.sockets = sockets;
        s.most_sockets = 1'000;
        return s;
    }
};

TEST_F(BalancerTest, ByZoneThenByLoadAndOnlyWhereItIsServed) {
    Balancer balancer(settings);
    balancer.set_own(300, 200, false, 0);
    EXPECT_EQ(balancer.better(from("a"), kTerm, 1'000), "") << "no peer is known";
    balancer.heard(status("ramper-1", 200), 1'000);
    balancer.heard(status("ramper-2", 200), 1'000);
    EXPECT_EQ(balancer.better(from("a"), kTerm, 1'000), "") << "little is gained";
    EXPECT_EQ(balancer.better(from("b"), kTerm, 1'000), "ramper-2");
    EXPECT_EQ(balancer.better(from("b"), kTerm + 1, 1'000), "") << "it serves another term";
    EXPECT_EQ(balancer.better(from("b"), kTerm, 9'000), "") << "it is not heard any more";
    balancer.set_own(300, 200, true, 0);  // a leader's sockets are worth more
    EXPECT_EQ(balancer.better(from("a"), kTerm, 1'500), "ramper-1");
    balancer.set_own(900, 500, false, 0);
    balancer.heard(status("ramper-1", 850), 2'000);
    EXPECT_EQ(balancer.better(from("a"), kTerm, 2'000), "ramper-2") << "elsewhere when it is full";
    auto unknown = status("ramper-9", 0);
    balancer.heard(unknown, 2'000);
    auto earlier_version = status("ramper-1", 0);
    earlier_version.most_sockets = 0;
    balancer.heard(earlier_version, 2'000);
}

TEST_F(BalancerTest, WorkersMoveAFewAtATime) {
    Balancer balancer(settings);
    balancer.set_own(900, 500, false, 0);
    int moved = 0;
    for (Millis now = 10'000; now < 20'000; now += 10) {
        if (now % 1'000 == 0) balancer.heard(status("ramper-1", 0), now);
        const std::string better = balancer.better(from("a"), kTerm, now);
        test::test_trace().add(now, "better", better);
        moved += better.empty() ? 0 : 1;
    }
    EXPECT_GT(moved, 150);
    EXPECT_LT(moved, 250);  // a fiftieth of the sockets a second
}

TEST_F(BalancerTest, NobodyIsSentWhereWorkersComeBackFrom) {
    Balancer balancer(settings);
    balancer.set_own(300, 200, false, 0);
    auto send = [&](const std::string& machine, Millis now) {
        auto peer = status("ramper-2", 100);
        peer.most_sockets = 1'000;
        balancer.heard(peer, now);
        wire::Report r = from("b");
        r.machine = machine;
        return balancer.better(r, kTerm, now);
    };
    EXPECT_EQ(send("i-1", 1'000), "ramper-2");
    EXPECT_EQ(send("i-2", 2'000), "ramper-2");
    balancer.came("i-3", 5'000);  // was never sent
    EXPECT_EQ(send("i-4", 5'000), "ramper-2");
    balancer.came("i-2", 7'000);
    EXPECT_EQ(send("i-5", 8'000), "") << "i-2 was not answered there";
    EXPECT_EQ(send("i-5", 36'000), "");
    EXPECT_EQ(send("i-5", 38'000), "ramper-2") << "it is tried again";
    balancer.came("i-1", 39'000);  // long after: it has been answered there meanwhile
    EXPECT_EQ(send("i-6", 39'000), "ramper-2");
}

TEST_F(BalancerTest, RoomForWorkersIsWhatUsersLeave) {
    Balancer balancer(settings);
    balancer.set_own(300, 200, false, 0);
    EXPECT_EQ(balancer.own_room(), 620u);  // never more, so that a burst of users finds sockets
    balancer.set_own(700, 200, false, 0);  // 500 of users, of 760 in use
    EXPECT_EQ(balancer.own_room(), 260u);
    balancer.set_own(790, 10, false, 0);
    EXPECT_EQ(balancer.own_room(), 200u);  // never less, so that users do not starve workers
    EXPECT_TRUE(balancer.enrolment(1'000).refused) << "nearly all connections are in use";
    EXPECT_FALSE(balancer.enrolment(70'000).refused);
    auto peer = status("ramper-1", 300);
    peer.worker_sockets = 200;
    balancer.heard(peer, 70'000);
    EXPECT_EQ(balancer.enrolment(71'000).most_machines, 200u + 620u);
    EXPECT_EQ(balancer.enrolment(140'000).most_machines, 200u) << "it has ended";
    peer.worker_sockets = 620;
    peer.sockets = 700;
    balancer.heard(peer, 150'000);
    balancer.set_own(980, 900, false, 150'000);
    EXPECT_EQ(balancer.better(from("a"), kTerm, 150'000), "") << "it has no room for workers";
    auto earlier_version = status("ramper-2", 0);
    earlier_version.most_sockets = 0;
    balancer.heard(earlier_version, 150'000);
    EXPECT_EQ(balancer.enrolment(151'000).most_machines, SIZE_MAX) << "nobody knows its room";
}

TEST(Enrolment, NoMoreIsRentedThanCanReport) {
    World w(5, {});
    w.leader()->set_enrolment({3, false});
    for (int i = 0; i < 10; ++i) w.submit(job("job-" + std::to_string(i), "sweep", 4, 4));
    w.run_until(60'000);
    EXPECT_LE(w.machines(), 3u);
    World free(5, {});
    for (int i = 0; i < 10; ++i) free.submit(job("job-" + std::to_string(i), "sweep", 4, 4));
    free.run_until(60'000);
    EXPECT_GT(free.machines(), 3u);
}

// A machine whose reports find no socket looks like one that is mute.
TEST(Enrolment, SilenceProvesNothingWhileControllersRefuse) {
    for (const bool refused : {false, true}) {
        World w(6, {});
        w.submit(job("job-0", "standing", 2, 4));
        w.run_until(60'000);
        w.leader()->set_enrolment({SIZE_MAX, refused});
        const std::string name = w.working_machines().at(0);
        w.mute_reports(name, w.now() + 25'000);
        w.run_until(w.now() + 25'000);
        EXPECT_EQ(w.removed(name) || w.tasks_on(name) == 0, !refused);
    }
}

// Reports arrive through others while the leader's own commands reach nobody; where one machine
// answers, it is the others' trouble.
TEST(CommandsLost, OnlyWhereNoMachineAnswersAny) {
    for (const std::size_t answering : {0, 1}) {
        World w(7, {});
        w.submit(job("job-0", "standing", 3, 3));
        w.run_until(30'000);
        ASSERT_GE(w.working_machines().size(), 3u) << w.book_says();
        w.submit(job("job-1", "sweep", 3, 1));  // of its team's twelve
        const std::size_t all = w.machines();
        for (std::size_t i = answering; i < all; ++i)
            w.mute("i-" + std::to_string(100'000 + i), w.now() + 60'000);
        Trouble no_new_machines;
        no_new_machines.refuse_hire = 1;
        w.begin(no_new_machines);
        const Millis end = w.now() + 12'000;
        while (w.now() < end && !w.leader()->commands_lost(w.now())) w.run_until(w.now() + 100);
        EXPECT_EQ(w.leader()->commands_lost(w.now()), answering == 0);
        // One says nothing at all from here on: it is given up only where others answer, or later.
        w.mute_reports("i-100001", w.now() + 60'000);
        w.run_until(w.now() + 13'000);
        EXPECT_EQ(w.removed("i-100001"), answering != 0);
        w.run_until(w.now() + 15'000);
        EXPECT_TRUE(w.removed("i-100001"));
        w.calm();
        w.run_until(w.now() + 70'000);
        EXPECT_FALSE(w.leader()->commands_lost(w.now()));
    }
}

// The plain models of worlds and of the fan-in assert everything; here it is made to happen.
void forwarded_day(World& w, std::uint64_t seed, FanInFaults faults, Trouble trouble) {
    w.forward_reports(3, faults);
    w.begin(trouble);
    for (int i = 0; i < 8; ++i) {
        const char* shapes[] = {"sweep", "ensemble", "standing"};
        const auto tasks = static_cast<std::uint32_t>(2 + (seed + i) % 4);
        w.submit(job("job-" + std::to_string(i), shapes[i % 3], tasks, 1));
        w.run_until(w.now() + 10'000);
        if (i % 4 == 3) w.cancel("job-" + std::to_string(i - 1));
    }
    w.run_until(w.now() + 60'000);
    w.calm();
    w.fan_in().set_faults({});
    w.run_until(w.now() + 240'000);
    for (int i = 0; i < 8; ++i) {
        if (i % 3 != 2) {
            EXPECT_NE(w.final_state("job-" + std::to_string(i)), "") << i;
        }
    }
}

TEST(FanIn, RulesHoldWhileForwardersFailAndLeadersChange) {
    FanInFaults faults;
    faults.lost = 0.02;
    faults.repeated = 0.05;
    faults.held = 0.05;
    faults.freezes = 0.03;
    faults.restarts = 0.02;
    Trouble trouble;
    trouble.takeover = 0.02;
    trouble.linger = 0.5;
    trouble.lost_checkin = 0.02;
    trouble.held_direct = 0.02;
    trouble.lost_direct = 0.02;
    trouble.restarts = 0.002;
    test::FanIn::Met met;
    for (std::uint64_t seed = 1; seed <= 12 && !testing::Test::HasFailure(); ++seed) {
        World w(seed, {});
        forwarded_day(w, seed, faults, trouble);
        const auto& m = w.fan_in().met();
        met.admitted += m.admitted;
        met.followed += m.followed;
        met.relayed += m.relayed;
        met.stale += m.stale;
        met.other_term += m.other_term;
        met.unmatched += m.unmatched;
        met.expired += m.expired;
    }
    EXPECT_GT(met.admitted, 1'000u);
    EXPECT_GT(met.followed, met.admitted / 4);
    EXPECT_GT(met.relayed, met.admitted / 2);
    EXPECT_GT(met.stale, 20u);
    EXPECT_GT(met.other_term, 20u);
    EXPECT_GT(met.unmatched, 10u);
    EXPECT_GT(met.expired, 5u);
}

// Without faults a day with forwarders kills no task and returns no machine that it would not have.
TEST(FanIn, NothingIsLostToForwardingAlone) {
    World w(3, {});
    forwarded_day(w, 3, {}, {});
    EXPECT_EQ(w.killed_by_lease(), 0u);
}

}  // namespace
