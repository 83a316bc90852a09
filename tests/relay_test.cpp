// Forwarded reports: the messages, both ends by themselves, where workers are sent, and the rules
// of the protocol over random days on which every report is forwarded.
#include <gtest/gtest.h>

#include "relay/worker_balancer.h"
#include "tests/cluster_simulation.h"

namespace {

using namespace nickelramp;
using relay::ForwardAdmission;
using relay::HeartbeatForwarder;
using relay::Rejection;
using relay::WorkerBalancer;
using test::ClusterSimulation;
using test::Faults;
using test::ForwardingFaults;
using test::job;

constexpr std::uint64_t kTerm = 7, kLeaderProcess = 70, kForwarderProcess = 9;

std::string body_of(const peers::PeerFrame& speech) {
    test::test_trace().add(0, "frame", test::traced(speech));
    peers::Framer framer;
    framer.add(speech.frame);
    return framer.next()->body;
}

wire::Heartbeat full_report() {
    wire::Heartbeat heartbeat = test::report(3, 41, 1ull << 52);
    heartbeat.machine = "i-000231";
    heartbeat.address = "10.1.0.232:9000";
    heartbeat.type = "g8";
    heartbeat.zone = "a";
    heartbeat.spot = true;
    heartbeat.preemption_notice_s = 12.5;
    heartbeat.tasks = {{"job-000412", 3, 2, wire::TaskPhase::running, wire::ExitCause::none, false},
                       {"job-000398", 0, 1, wire::TaskPhase::exited, wire::ExitCause::done, true}};
    return heartbeat;
}

peers::ForwardedHeartbeat forwarded(Millis leader_clock) {
    peers::ForwardedHeartbeat message;
    message.from = "ramper-1";
    message.incarnation = kForwarderProcess;
    message.sequence = 5;
    message.term = kTerm;
    message.leader_incarnation = kLeaderProcess;
    message.leader_clock_ms = static_cast<std::uint64_t>(leader_clock);
    message.since_status_ms = 100;
    message.heartbeat = full_report();
    return message;
}

peers::Status leader_status(std::uint64_t term, Millis clock) {
    peers::Status status;
    status.from = "ramper-0";
    status.incarnation = kLeaderProcess;
    status.term = status.heartbeat_term = term;
    status.clock_ms = static_cast<std::uint64_t>(clock);
    return status;
}

TEST(Forwarding, MessagesPreserveHeartbeatsAndReplies) {
    const auto report = forwarded(4'000);
    const auto read = peers::decode_forwarded_heartbeat(body_of(peers::encode(report)));
    ASSERT_TRUE(read);
    EXPECT_EQ(peers::encode(*read), peers::encode(report));
    EXPECT_EQ(read->heartbeat.preemption_notice_s, 12.5);
    EXPECT_EQ(read->heartbeat.tasks[1].cause, wire::ExitCause::done);
    const peers::ForwardedReply answer{
        "ramper-0", 9,  5,          kTerm,
        200,        "", 1ull << 52, {{wire::Command::Op::stop, "job-000412", 3, 2, 10.5}}};
    const auto answered = peers::decode_forwarded_reply(body_of(peers::encode(answer)));
    ASSERT_TRUE(answered);
    EXPECT_EQ(peers::encode(*answered), peers::encode(answer));
    EXPECT_EQ(answered->commands[0].grace_s, 10.5);
}

TEST(Forwarding, MalformedMessagesAreRejected) {
    const std::string report = body_of(peers::encode(forwarded(1)));
    for (std::size_t n = 0; n < report.size(); ++n)
        EXPECT_FALSE(peers::decode_forwarded_heartbeat(std::string_view(report).substr(0, n))) << n;
    std::mt19937 random(1);
    for (int i = 0; i < 20'000; ++i) {
        std::string noise = report;
        for (int k = 0; k < 3; ++k) noise[random() % noise.size()] = static_cast<char>(random());
        if (auto read = peers::decode_forwarded_heartbeat(noise)) {
            EXPECT_NE(read->term, 0u);
            EXPECT_FALSE(read->heartbeat.machine.empty());
        }
        peers::decode_forwarded_reply(noise);
    }
}

TEST(ForwardAdmission, AdmitsOnlyCurrentHeartbeatsOfThisTermAndProcess) {
    ForwardAdmission admission;
    const Millis now = 20'000;
    const auto arrival = admission.admit(forwarded(now - 500), kTerm, kLeaderProcess, now);
    ASSERT_TRUE(arrival);
    EXPECT_LE(arrival->arrived_at, now - 400);
    EXPECT_GE(arrival->arrived_at, now - 500);
    EXPECT_FALSE(admission.admit(forwarded(now - 500), kTerm + 1, kLeaderProcess, now));
    EXPECT_FALSE(admission.admit(forwarded(now - 500), kTerm, kLeaderProcess + 1, now));
    EXPECT_EQ(admission.rejected(Rejection::other_term), 2u);
    EXPECT_FALSE(admission.admit(forwarded(now - 4'000), kTerm, kLeaderProcess, now));
    EXPECT_EQ(admission.rejected(Rejection::stale), 1u);
    EXPECT_FALSE(admission.admit(forwarded(now + 1), kTerm, kLeaderProcess, now));
    auto absurd = forwarded(now);
    absurd.since_status_ms = UINT64_MAX;
    EXPECT_FALSE(admission.admit(absurd, kTerm, kLeaderProcess, now));
    EXPECT_EQ(admission.rejected(Rejection::future), 2u);
}

struct HeartbeatForwarderTest : testing::Test {
    std::vector<peers::ForwardedHeartbeat> sent;
    bool reachable = true;
    std::vector<int> statuses;
    HeartbeatForwarder forwarder{
        "ramper-1", kForwarderProcess, [this](const std::string&, const peers::PeerFrame& s) {
            if (reachable) sent.push_back(*peers::decode_forwarded_heartbeat(body_of(s)));
            return reachable;
        }};
    bool forward(Millis now, std::uint64_t follows_term = 0) {
        return forwarder.forward(
            full_report(), follows_term,
            [this](const machines::HeartbeatReply& reply, std::uint64_t) {
                test::test_trace().add(0, "report-answer", test::traced(reply));
                statuses.push_back(reply.status);
            },
            now);
    }
    peers::ForwardedReply answer_to(const peers::ForwardedHeartbeat& r) {
        return {"ramper-0", r.incarnation, r.sequence, r.term, 200, "", 1, {}};
    }
};

TEST_F(HeartbeatForwarderTest, ForwardsToTheLeaderOfTheLatestTermWhileItIsAlive) {
    EXPECT_FALSE(forward(1'000));
    forwarder.on_peer_status(leader_status(kTerm, 500), 1'000);
    forwarder.on_peer_status(leader_status(kTerm - 1, 900), 1'100);  // one that lingers
    ASSERT_TRUE(forward(1'300, kTerm));
    EXPECT_EQ(sent[0].term, kTerm);
    EXPECT_EQ(sent[0].leader_clock_ms, 500u);
    EXPECT_EQ(sent[0].since_status_ms, 300u);
    EXPECT_TRUE(sent[0].follows_reply);
    ASSERT_TRUE(forward(1'400, kTerm - 1));
    EXPECT_FALSE(sent[1].follows_reply) << "an answer of another term";
    EXPECT_FALSE(forward(4'000)) << "not heard for long";
    forwarder.on_peer_status(leader_status(kTerm, 5'000), 5'000);
    auto resigned = leader_status(0, 5'100);
    forwarder.on_peer_status(resigned, 5'100);
    EXPECT_FALSE(forward(5'200));
}

TEST_F(HeartbeatForwarderTest, DeliversEachReplyOnceToWorkersThatStillWait) {
    forwarder.on_peer_status(leader_status(kTerm, 500), 1'000);
    ASSERT_TRUE(forward(1'000));
    auto other_process = answer_to(sent[0]);
    ++other_process.incarnation;
    forwarder.on_reply(other_process, 1'100);
    auto other_term = answer_to(sent[0]);
    ++other_term.term;
    forwarder.on_reply(other_term, 1'100);
    EXPECT_TRUE(statuses.empty());
    forwarder.on_reply(answer_to(sent[0]), 1'200);
    forwarder.on_reply(answer_to(sent[0]), 1'300);
    EXPECT_EQ(statuses, std::vector<int>{200});
    // A newer report of the same machine takes the place of the older.
    ASSERT_TRUE(forward(2'000));
    ASSERT_TRUE(forward(2'100));
    EXPECT_EQ(forwarder.pending(), 1u);
    EXPECT_EQ(statuses, (std::vector<int>{200, 503}));
    // After a freeze the answer is read before any timer has run.
    forwarder.on_reply(answer_to(sent[2]), 9'000);
    EXPECT_EQ(statuses.size(), 2u);
    forwarder.expire(9'000);
    EXPECT_EQ(statuses, (std::vector<int>{200, 503, 503}));
    EXPECT_EQ(forwarder.pending(), 0u);
    forwarder.on_peer_status(leader_status(kTerm, 9'000), 9'000);
    reachable = false;
    EXPECT_FALSE(forward(9'100)) << "the back channel does not keep up";
}

struct WorkerBalancerTest : testing::Test {
    wire::Settings settings = test::simulation_settings();
    WorkerBalancerTest() {
        settings.name = "ramper-0";
        settings.zone = "a";
        settings.max_sockets = 1'000;
        settings.peers = {{"ramper-1", "a", "x"}, {"ramper-2", "b", "x"}};
    }
    wire::Heartbeat from(const std::string& zone) {
        wire::Heartbeat heartbeat = full_report();
        heartbeat.zone = zone;
        return heartbeat;
    }
    static peers::Status status(const std::string& name, std::uint64_t sockets) {
        peers::Status status;
        status.from = name;
        status.heartbeat_term = kTerm;
        status.sockets = sockets;
        status.max_sockets = 1'000;
        return status;
    }
};

TEST_F(WorkerBalancerTest, PrefersTheZoneThenTheLoadAmongServingControllers) {
    WorkerBalancer balancer(settings);
    balancer.set_own_load(300, 200, false, 0);
    EXPECT_EQ(balancer.better_controller(from("a"), kTerm, 1'000), "") << "no peer is known";
    balancer.on_peer_status(status("ramper-1", 200), 1'000);
    balancer.on_peer_status(status("ramper-2", 200), 1'000);
    EXPECT_EQ(balancer.better_controller(from("a"), kTerm, 1'000), "") << "little is gained";
    EXPECT_EQ(balancer.better_controller(from("b"), kTerm, 1'000), "ramper-2");
    EXPECT_EQ(balancer.better_controller(from("b"), kTerm + 1, 1'000), "")
        << "it serves another term";
    EXPECT_EQ(balancer.better_controller(from("b"), kTerm, 9'000), "")
        << "it is not heard any more";
    balancer.set_own_load(300, 200, true, 0);  // a leader's sockets are worth more
    EXPECT_EQ(balancer.better_controller(from("a"), kTerm, 1'500), "ramper-1");
    balancer.set_own_load(900, 500, false, 0);
    balancer.on_peer_status(status("ramper-1", 850), 2'000);
    EXPECT_EQ(balancer.better_controller(from("a"), kTerm, 2'000), "ramper-2")
        << "elsewhere when it is full";
    auto unknown = status("ramper-9", 0);
    balancer.on_peer_status(unknown, 2'000);
    auto earlier_version = status("ramper-1", 0);
    earlier_version.max_sockets = 0;
    balancer.on_peer_status(earlier_version, 2'000);
}

TEST_F(WorkerBalancerTest, RedirectsAFewWorkersAtATime) {
    WorkerBalancer balancer(settings);
    balancer.set_own_load(900, 500, false, 0);
    int moved = 0;
    for (Millis now = 10'000; now < 20'000; now += 10) {
        if (now % 1'000 == 0) balancer.on_peer_status(status("ramper-1", 0), now);
        const std::string better = balancer.better_controller(from("a"), kTerm, now);
        test::test_trace().add(now, "better", better);
        moved += better.empty() ? 0 : 1;
    }
    EXPECT_GT(moved, 150);
    EXPECT_LT(moved, 250);  // a fiftieth of the sockets a second
}

TEST_F(WorkerBalancerTest, AvoidsControllersThatWorkersComeBackFrom) {
    WorkerBalancer balancer(settings);
    balancer.set_own_load(300, 200, false, 0);
    auto send = [&](const std::string& machine, Millis now) {
        auto peer = status("ramper-2", 100);
        peer.max_sockets = 1'000;
        balancer.on_peer_status(peer, now);
        wire::Heartbeat heartbeat = from("b");
        heartbeat.machine = machine;
        return balancer.better_controller(heartbeat, kTerm, now);
    };
    EXPECT_EQ(send("i-1", 1'000), "ramper-2");
    EXPECT_EQ(send("i-2", 2'000), "ramper-2");
    balancer.on_worker_arrived("i-3", 5'000);  // was never sent
    EXPECT_EQ(send("i-4", 5'000), "ramper-2");
    balancer.on_worker_arrived("i-2", 7'000);
    EXPECT_EQ(send("i-5", 8'000), "") << "i-2 was not answered there";
    EXPECT_EQ(send("i-5", 36'000), "");
    EXPECT_EQ(send("i-5", 38'000), "ramper-2") << "it is tried again";
    balancer.on_worker_arrived("i-1", 39'000);  // long after: it has been answered there meanwhile
    EXPECT_EQ(send("i-6", 39'000), "ramper-2");
}

TEST_F(WorkerBalancerTest, WorkerCapacityIsWhatUsersLeave) {
    WorkerBalancer balancer(settings);
    balancer.set_own_load(300, 200, false, 0);
    EXPECT_EQ(balancer.own_worker_capacity(),
              620u);  // never more, so that a burst of users finds sockets
    balancer.set_own_load(700, 200, false, 0);  // 500 of users, of 760 in use
    EXPECT_EQ(balancer.own_worker_capacity(), 260u);
    balancer.set_own_load(790, 10, false, 0);
    EXPECT_EQ(balancer.own_worker_capacity(),
              200u);  // never less, so that users do not starve workers
    EXPECT_TRUE(balancer.worker_capacity(1'000).sockets_exhausted)
        << "nearly all connections are in use";
    EXPECT_FALSE(balancer.worker_capacity(70'000).sockets_exhausted);
    auto peer = status("ramper-1", 300);
    peer.worker_sockets = 200;
    balancer.on_peer_status(peer, 70'000);
    EXPECT_EQ(balancer.worker_capacity(71'000).max_machines, 200u + 620u);
    EXPECT_EQ(balancer.worker_capacity(140'000).max_machines, 200u) << "it has ended";
    peer.worker_sockets = 620;
    peer.sockets = 700;
    balancer.on_peer_status(peer, 150'000);
    balancer.set_own_load(980, 900, false, 150'000);
    EXPECT_EQ(balancer.better_controller(from("a"), kTerm, 150'000), "")
        << "it has no room for workers";
    auto earlier_version = status("ramper-2", 0);
    earlier_version.max_sockets = 0;
    balancer.on_peer_status(earlier_version, 150'000);
    EXPECT_EQ(balancer.worker_capacity(151'000).max_machines, SIZE_MAX) << "nobody knows its room";
}

TEST(WorkerCapacity, NoMoreMachinesAreProvisionedThanCanSendHeartbeats) {
    ClusterSimulation simulation(5, {});
    simulation.leader()->set_worker_capacity({3, false});
    for (int i = 0; i < 10; ++i) simulation.submit(job("job-" + std::to_string(i), "sweep", 4, 4));
    simulation.run_until(60'000);
    EXPECT_LE(simulation.machines(), 3u);
    ClusterSimulation free(5, {});
    for (int i = 0; i < 10; ++i) free.submit(job("job-" + std::to_string(i), "sweep", 4, 4));
    free.run_until(60'000);
    EXPECT_GT(free.machines(), 3u);
}

// A machine whose reports find no socket looks like one that is mute.
TEST(WorkerCapacity, MissingHeartbeatsProveNothingWhileControllersRefuseConnections) {
    for (const bool refused : {false, true}) {
        ClusterSimulation simulation(6, {});
        simulation.submit(job("job-0", "standing", 2, 4));
        simulation.run_until(60'000);
        simulation.leader()->set_worker_capacity({SIZE_MAX, refused});
        const std::string name = simulation.working_machines().at(0);
        simulation.block_heartbeats(name, simulation.now() + 25'000);
        simulation.run_until(simulation.now() + 25'000);
        EXPECT_EQ(simulation.removed(name) || simulation.tasks_on(name) == 0, !refused);
    }
}

// Reports arrive through others while the leader's own commands reach nobody; where one machine
// answers, it is the others' trouble.
TEST(CommandsLost, OnlyIfNoMachineAnswersAnyCommand) {
    for (const std::size_t answering : {0, 1}) {
        ClusterSimulation simulation(7, {});
        simulation.submit(job("job-0", "standing", 3, 3));
        simulation.run_until(30'000);
        ASSERT_GE(simulation.working_machines().size(), 3u) << simulation.describe_cluster_state();
        simulation.submit(job("job-1", "sweep", 3, 1));  // of its team's twelve
        const std::size_t all = simulation.machines();
        for (std::size_t i = answering; i < all; ++i)
            simulation.block_commands("i-" + std::to_string(100'000 + i),
                                      simulation.now() + 60'000);
        Faults no_new_machines;
        no_new_machines.refused_provisioning = 1;
        simulation.set_faults(no_new_machines);
        const Millis end = simulation.now() + 12'000;
        while (simulation.now() < end && !simulation.leader()->commands_lost(simulation.now()))
            simulation.run_until(simulation.now() + 100);
        EXPECT_EQ(simulation.leader()->commands_lost(simulation.now()), answering == 0);
        // One says nothing at all from here on: it is given up only where others answer, or later.
        simulation.block_heartbeats("i-100001", simulation.now() + 60'000);
        simulation.run_until(simulation.now() + 13'000);
        EXPECT_EQ(simulation.removed("i-100001"), answering != 0);
        simulation.run_until(simulation.now() + 15'000);
        EXPECT_TRUE(simulation.removed("i-100001"));
        simulation.clear_faults();
        simulation.run_until(simulation.now() + 70'000);
        EXPECT_FALSE(simulation.leader()->commands_lost(simulation.now()));
    }
}

// The plain models of worlds and of the fan-in assert everything; here it is made to happen.
void forwarded_day(ClusterSimulation& simulation, std::uint64_t seed, ForwardingFaults faults,
                   Faults trouble) {
    simulation.forward_heartbeats(3, faults);
    simulation.set_faults(trouble);
    for (int i = 0; i < 8; ++i) {
        const char* shapes[] = {"sweep", "ensemble", "standing"};
        const auto tasks = static_cast<std::uint32_t>(2 + (seed + i) % 4);
        simulation.submit(job("job-" + std::to_string(i), shapes[i % 3], tasks, 1));
        simulation.run_until(simulation.now() + 10'000);
        if (i % 4 == 3) simulation.cancel("job-" + std::to_string(i - 1));
    }
    simulation.run_until(simulation.now() + 60'000);
    simulation.clear_faults();
    simulation.forwarding().set_faults({});
    simulation.run_until(simulation.now() + 240'000);
    for (int i = 0; i < 8; ++i) {
        if (i % 3 != 2) {
            EXPECT_NE(simulation.final_state("job-" + std::to_string(i)), "") << i;
        }
    }
}

TEST(Forwarding, RulesHoldWhileForwardersFailAndLeadersChange) {
    ForwardingFaults faults;
    faults.lost = 0.02;
    faults.repeated = 0.05;
    faults.delayed = 0.05;
    faults.freezes_per_s = 0.03;
    faults.restarts_per_s = 0.02;
    Faults trouble;
    trouble.failovers_per_s = 0.02;
    trouble.lingering_old_leaders = 0.5;
    trouble.lost_heartbeats = 0.02;
    trouble.delayed_commands = 0.02;
    trouble.lost_command_replies = 0.02;
    trouble.worker_restarts_per_s = 0.002;
    test::ForwardingSimulation::Coverage met;
    for (std::uint64_t seed = 1; seed <= 12 && !testing::Test::HasFailure(); ++seed) {
        ClusterSimulation simulation(seed, {});
        forwarded_day(simulation, seed, faults, trouble);
        const auto& m = simulation.forwarding().coverage();
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
TEST(Forwarding, NothingIsLostToForwardingAlone) {
    ClusterSimulation simulation(3, {});
    forwarded_day(simulation, 3, {}, {});
    EXPECT_EQ(simulation.tasks_killed_by_lease(), 0u);
}

}  // namespace
