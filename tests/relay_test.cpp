// Tests of the messages for forwarded heartbeats, HeartbeatForwarder, ForwardAdmission and
// WorkerBalancer. Tests with simulated clusters are in relay_simulation_test.cpp.
#include <gtest/gtest.h>

#include "relay/worker_balancer.h"
#include "tests/cluster_simulation.h"
#include "tests/mutated_bytes.h"

namespace {

using namespace nickelramp;
using relay::ForwardAdmission;
using relay::HeartbeatForwarder;
using relay::Rejection;
using relay::WorkerBalancer;

constexpr std::uint64_t kTerm = 7;
constexpr std::uint64_t kLeaderIncarnation = 70, kForwarderIncarnation = 9;

std::string body_of(const peers::PeerFrame& frame) {
    test::test_trace().add(0, "frame", test::traced(frame));
    peers::Framer framer;
    framer.add(frame.frame);
    return framer.next()->body;
}

wire::Heartbeat full_heartbeat() {
    wire::Heartbeat heartbeat = test::make_heartbeat_without_tasks(3, 41, 1ull << 52);
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

peers::ForwardedHeartbeat forwarded_heartbeat(Millis leader_clock) {
    peers::ForwardedHeartbeat message;
    message.from = "ramper-1";
    message.incarnation = kForwarderIncarnation;
    message.sequence = 5;
    message.term = kTerm;
    message.leader_incarnation = kLeaderIncarnation;
    message.leader_clock_ms = static_cast<std::uint64_t>(leader_clock);
    message.since_status_ms = 100;
    message.heartbeat = full_heartbeat();
    return message;
}

peers::Status leader_status(std::uint64_t term, Millis clock) {
    peers::Status status;
    status.from = "ramper-0";
    status.incarnation = kLeaderIncarnation;
    status.term = status.heartbeat_term = term;
    status.clock_ms = static_cast<std::uint64_t>(clock);
    return status;
}

TEST(Forwarding, MessagesPreserveHeartbeatsAndReplies) {
    const auto heartbeat = forwarded_heartbeat(4'000);
    const auto decoded = peers::decode_forwarded_heartbeat(body_of(peers::encode(heartbeat)));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(peers::encode(*decoded), peers::encode(heartbeat));
    EXPECT_EQ(decoded->heartbeat.preemption_notice_s, 12.5);
    EXPECT_EQ(decoded->heartbeat.tasks[1].cause, wire::ExitCause::done);
    const peers::ForwardedReply reply{
        "ramper-0", 9,  5,          kTerm,
        200,        "", 1ull << 52, {{wire::Command::Op::stop, "job-000412", 3, 2, 10.5}}};
    const auto decoded_reply = peers::decode_forwarded_reply(body_of(peers::encode(reply)));
    ASSERT_TRUE(decoded_reply);
    EXPECT_EQ(peers::encode(*decoded_reply), peers::encode(reply));
    EXPECT_EQ(decoded_reply->commands[0].grace_s, 10.5);
}

TEST(Forwarding, MalformedMessagesAreRejected) {
    const std::string body = body_of(peers::encode(forwarded_heartbeat(1)));
    for (std::size_t length = 0; length < body.size(); ++length) {
        const std::string_view truncated = std::string_view(body).substr(0, length);
        EXPECT_FALSE(peers::decode_forwarded_heartbeat(truncated)) << length;
    }
    std::mt19937 random(1);
    for (int i = 0; i < 20'000; ++i) {
        std::string noise = body;
        test::mutate_bytes(noise, 3, random);
        if (auto decoded = peers::decode_forwarded_heartbeat(noise)) {
            EXPECT_NE(decoded->term, 0u);
            EXPECT_FALSE(decoded->heartbeat.machine.empty());
        }
        peers::decode_forwarded_reply(noise);
    }
}

TEST(ForwardAdmission, AdmitsOnlyCurrentHeartbeatsOfThisTermAndProcess) {
    ForwardAdmission admission;
    const Millis now = 20'000;
    const auto arrival =
        admission.admit(forwarded_heartbeat(now - 500), kTerm, kLeaderIncarnation, now);
    ASSERT_TRUE(arrival);
    EXPECT_LE(arrival->arrived_at, now - 400);
    EXPECT_GE(arrival->arrived_at, now - 500);
    EXPECT_FALSE(
        admission.admit(forwarded_heartbeat(now - 500), kTerm + 1, kLeaderIncarnation, now));
    EXPECT_FALSE(
        admission.admit(forwarded_heartbeat(now - 500), kTerm, kLeaderIncarnation + 1, now));
    EXPECT_EQ(admission.rejected(Rejection::other_term), 2u);
    EXPECT_FALSE(admission.admit(forwarded_heartbeat(now - 4'000), kTerm, kLeaderIncarnation, now));
    EXPECT_EQ(admission.rejected(Rejection::stale), 1u);
    EXPECT_FALSE(admission.admit(forwarded_heartbeat(now + 1), kTerm, kLeaderIncarnation, now));
    auto overflowing = forwarded_heartbeat(now);
    overflowing.since_status_ms = UINT64_MAX;
    EXPECT_FALSE(admission.admit(overflowing, kTerm, kLeaderIncarnation, now));
    EXPECT_EQ(admission.rejected(Rejection::future), 2u);
}

struct HeartbeatForwarderTest : testing::Test {
    std::vector<peers::ForwardedHeartbeat> sent;
    bool reachable = true;
    std::vector<int> statuses;  // of the replies that workers received
    HeartbeatForwarder forwarder{
        "ramper-1", kForwarderIncarnation,
        [this](const std::string&, const peers::PeerFrame& frame) {
            if (reachable) sent.push_back(*peers::decode_forwarded_heartbeat(body_of(frame)));
            return reachable;
        }};
    bool forward(Millis now, std::uint64_t follows_term = 0) {
        return forwarder.forward(
            full_heartbeat(), follows_term,
            [this](const machines::HeartbeatReply& reply, std::uint64_t) {
                test::test_trace().add(0, "report-answer", test::traced(reply));
                statuses.push_back(reply.status);
            },
            now);
    }
    peers::ForwardedReply reply_to(const peers::ForwardedHeartbeat& heartbeat) {
        return {"ramper-0", heartbeat.incarnation, heartbeat.sequence, heartbeat.term, 200, "", 1,
                {}};
    }
};

TEST_F(HeartbeatForwarderTest, ForwardsToTheLeaderOfTheLatestTermWhileItIsAlive) {
    EXPECT_FALSE(forward(1'000));
    forwarder.on_peer_status(leader_status(kTerm, 500), 1'000);
    forwarder.on_peer_status(leader_status(kTerm - 1, 900),
                             1'100);  // a deposed leader that still sends
    ASSERT_TRUE(forward(1'300, kTerm));
    EXPECT_EQ(sent[0].term, kTerm);
    EXPECT_EQ(sent[0].leader_clock_ms, 500u);
    EXPECT_EQ(sent[0].since_status_ms, 300u);
    EXPECT_TRUE(sent[0].follows_reply);
    ASSERT_TRUE(forward(1'400, kTerm - 1));
    EXPECT_FALSE(sent[1].follows_reply) << "a reply of another term";
    EXPECT_FALSE(forward(4'000)) << "no status of the leader was received for too long";
    forwarder.on_peer_status(leader_status(kTerm, 5'000), 5'000);
    auto resigned = leader_status(0, 5'100);
    forwarder.on_peer_status(resigned, 5'100);
    EXPECT_FALSE(forward(5'200));
}

TEST_F(HeartbeatForwarderTest, DeliversEachReplyOnceToWorkersThatStillWait) {
    forwarder.on_peer_status(leader_status(kTerm, 500), 1'000);
    ASSERT_TRUE(forward(1'000));
    auto other_process = reply_to(sent[0]);
    ++other_process.incarnation;
    forwarder.on_reply(other_process, 1'100);
    auto other_term = reply_to(sent[0]);
    ++other_term.term;
    forwarder.on_reply(other_term, 1'100);
    EXPECT_TRUE(statuses.empty());
    forwarder.on_reply(reply_to(sent[0]), 1'200);
    forwarder.on_reply(reply_to(sent[0]), 1'300);
    EXPECT_EQ(statuses, std::vector<int>{200});
    // A newer heartbeat of the same machine replaces the older one.
    ASSERT_TRUE(forward(2'000));
    ASSERT_TRUE(forward(2'100));
    EXPECT_EQ(forwarder.pending(), 1u);
    EXPECT_EQ(statuses, (std::vector<int>{200, 503}));
    // After a freeze, the reply is read before any timer has run.
    forwarder.on_reply(reply_to(sent[2]), 9'000);
    EXPECT_EQ(statuses.size(), 2u);
    forwarder.expire(9'000);
    EXPECT_EQ(statuses, (std::vector<int>{200, 503, 503}));
    EXPECT_EQ(forwarder.pending(), 0u);
    forwarder.on_peer_status(leader_status(kTerm, 9'000), 9'000);
    reachable = false;
    EXPECT_FALSE(forward(9'100)) << "the connection to the leader does not keep up";
}

struct WorkerBalancerTest : testing::Test {
    wire::Settings settings = test::simulation_settings();
    WorkerBalancerTest() {
        settings.name = "ramper-0";
        settings.zone = "a";
        settings.max_sockets = 1'000;
        settings.peers = {{"ramper-1", "a", "x"}, {"ramper-2", "b", "x"}};
    }
    static wire::Heartbeat heartbeat_from(const std::string& zone) {
        wire::Heartbeat heartbeat = full_heartbeat();
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

TEST_F(WorkerBalancerTest, PrefersTheSameZoneThenALowLoadAmongAvailableControllers) {
    WorkerBalancer balancer(settings);
    balancer.set_own_load(300, 200, false, 0);
    EXPECT_EQ(balancer.better_controller(heartbeat_from("a"), kTerm, 1'000), "")
        << "no peer is known";
    balancer.on_peer_status(status("ramper-1", 200), 1'000);
    balancer.on_peer_status(status("ramper-2", 200), 1'000);
    EXPECT_EQ(balancer.better_controller(heartbeat_from("a"), kTerm, 1'000), "")
        << "the gain is too small";
    EXPECT_EQ(balancer.better_controller(heartbeat_from("b"), kTerm, 1'000), "ramper-2");
    EXPECT_EQ(balancer.better_controller(heartbeat_from("b"), kTerm + 1, 1'000), "")
        << "the peer accepts heartbeats for another term";
    EXPECT_EQ(balancer.better_controller(heartbeat_from("b"), kTerm, 9'000), "")
        << "the status of the peer has expired";
    balancer.set_own_load(300, 200, true, 0);  // a leader's sockets weigh more
    EXPECT_EQ(balancer.better_controller(heartbeat_from("a"), kTerm, 1'500), "ramper-1");
    balancer.set_own_load(900, 500, false, 0);
    balancer.on_peer_status(status("ramper-1", 850), 2'000);
    EXPECT_EQ(balancer.better_controller(heartbeat_from("a"), kTerm, 2'000), "ramper-2")
        << "ramper-1 is full";
    auto unknown = status("ramper-9", 0);
    balancer.on_peer_status(unknown, 2'000);
    auto earlier_version = status("ramper-1", 0);
    earlier_version.max_sockets = 0;
    balancer.on_peer_status(earlier_version, 2'000);
}

TEST_F(WorkerBalancerTest, RedirectsAFewWorkersAtATime) {
    WorkerBalancer balancer(settings);
    balancer.set_own_load(900, 500, false, 0);
    int redirected = 0;
    for (Millis now = 10'000; now < 20'000; now += 10) {
        if (now % 1'000 == 0) balancer.on_peer_status(status("ramper-1", 0), now);
        const std::string better = balancer.better_controller(heartbeat_from("a"), kTerm, now);
        test::test_trace().add(now, "better", better);
        redirected += better.empty() ? 0 : 1;
    }
    EXPECT_GT(redirected, 150);
    EXPECT_LT(redirected, 250);  // 2% of the sockets per second
}

TEST_F(WorkerBalancerTest, AvoidsControllersFromWhichWorkersReturn) {
    WorkerBalancer balancer(settings);
    balancer.set_own_load(300, 200, false, 0);
    auto redirect = [&](const std::string& machine, Millis now) {
        auto peer = status("ramper-2", 100);
        peer.max_sockets = 1'000;
        balancer.on_peer_status(peer, now);
        wire::Heartbeat heartbeat = heartbeat_from("b");
        heartbeat.machine = machine;
        return balancer.better_controller(heartbeat, kTerm, now);
    };
    EXPECT_EQ(redirect("i-1", 1'000), "ramper-2");
    EXPECT_EQ(redirect("i-2", 2'000), "ramper-2");
    balancer.on_worker_arrived("i-3", 5'000);  // i-3 was never redirected
    EXPECT_EQ(redirect("i-4", 5'000), "ramper-2");
    balancer.on_worker_arrived("i-2", 7'000);
    EXPECT_EQ(redirect("i-5", 8'000), "") << "i-2 got no reply from ramper-2";
    EXPECT_EQ(redirect("i-5", 36'000), "");
    EXPECT_EQ(redirect("i-5", 38'000), "ramper-2") << "the avoidance time is over";
    balancer.on_worker_arrived("i-1", 39'000);  // too late: i-1 got replies from ramper-2 meanwhile
    EXPECT_EQ(redirect("i-6", 39'000), "ramper-2");
}

TEST_F(WorkerBalancerTest, WorkerCapacityExcludesSocketsOfUsers) {
    WorkerBalancer balancer(settings);
    balancer.set_own_load(300, 200, false, 0);
    EXPECT_EQ(balancer.own_worker_capacity(),
              620u);                            // the maximum, to keep sockets for bursts of users
    balancer.set_own_load(700, 200, false, 0);  // users take 500 of the 760 planned
    EXPECT_EQ(balancer.own_worker_capacity(), 260u);
    balancer.set_own_load(790, 10, false, 0);
    EXPECT_EQ(balancer.own_worker_capacity(),
              200u);  // the minimum, so that users do not starve workers
    EXPECT_TRUE(balancer.worker_capacity(1'000).sockets_exhausted)
        << "nearly all sockets are in use";
    EXPECT_FALSE(balancer.worker_capacity(70'000).sockets_exhausted);
    auto peer = status("ramper-1", 300);
    peer.worker_sockets = 200;
    balancer.on_peer_status(peer, 70'000);
    EXPECT_EQ(balancer.worker_capacity(71'000).max_machines, 200u + 620u);
    EXPECT_EQ(balancer.worker_capacity(140'000).max_machines, 200u)
        << "the peer is assumed to have stopped";
    peer.worker_sockets = 620;
    peer.sockets = 700;
    balancer.on_peer_status(peer, 150'000);
    balancer.set_own_load(980, 900, false, 150'000);
    EXPECT_EQ(balancer.better_controller(heartbeat_from("a"), kTerm, 150'000), "")
        << "the peer has no capacity for workers";
    auto earlier_version = status("ramper-2", 0);
    earlier_version.max_sockets = 0;
    balancer.on_peer_status(earlier_version, 150'000);
    EXPECT_EQ(balancer.worker_capacity(151'000).max_machines, SIZE_MAX)
        << "the capacity of ramper-2 is unknown";
}

}  // namespace
