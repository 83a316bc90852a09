// Many machines that are unresponsive at the same time: which of them are declared lost, which
// controller replies to them in the meantime, and what happens to their tasks. Properties are
// checked on random event sequences, which RapidCheck shrinks on a failure; seeds are fixed.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

#include "failure/failure_domains.h"
#include "partition/heartbeat_delegator.h"
#include "partition/partition_responder.h"
#include "tests/cluster_simulation.h"

namespace {

using namespace nickelramp;
using failure::DomainHealth;
using failure::FailureDomain;
using failure::FailureDomains;
using failure::UnresponsiveMachine;
using test::ClusterSimulation;
using test::Faults;
using test::job;
using test::Partition;

const int kSeeded = setenv("RC_PARAMS", "seed=11 max_success=300", 0);

// Machines become unresponsive and responsive again, and may_declare_lost() is called any number of
// times. Outside healthy domains no more machines are declared lost than the rate allows. In a lost
// domain only stuck machines are, since the leases here last longer than moving replicas takes.
TEST(FailureDetector, GivingUpMachinesIsRateLimited) {
    ASSERT_EQ(kSeeded, 0);
    EXPECT_TRUE(rc::check([] {
        FailureDomains domains(5, 31);
        const int up = *rc::gen::inRange(8, 400);
        domains.adjust_counts(0, up, 0);
        int unresponsive = 0, declared_lost = 0;
        Millis now = 1'000, unhealthy_since = 0;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 30)));
        for (auto [percent, call_count] : steps) {
            const int wanted = up * percent / 100;
            domains.adjust_counts(0, 0, wanted - unresponsive);
            unresponsive = wanted;
            now += 500;
            domains.update(now);
            const DomainHealth health = domains.health(0);
            test::test_trace().add(now, "sky", static_cast<int>(health));
            RC_ASSERT((health == DomainHealth::lost) ==
                      (unresponsive * 2 > up || (unresponsive >= 4 && unresponsive >= 0.3 * up)));
            if (health == DomainHealth::healthy) {
                unhealthy_since = declared_lost = 0;
                RC_ASSERT(domains.may_declare_lost(0, {}, 0, now));
                continue;
            }
            if (unhealthy_since == 0) unhealthy_since = now;
            for (int i = 0; i < call_count; ++i) {
                UnresponsiveMachine machine;
                machine.stuck = i % 7 == 0;
                machine.has_gangs_or_services = i % 2 == 0;
                machine.lease_until = now + 20'000;
                const bool allowed = domains.may_declare_lost(0, machine, 10'000, now);
                declared_lost += allowed ? 1 : 0;
                test::test_trace().add(now, "give-up", allowed);
                if (health == DomainHealth::lost) RC_ASSERT(!allowed || machine.stuck);
            }
            const double rate = std::max(1.0, 0.02 * up);
            const double unhealthy_s = static_cast<double>(now - unhealthy_since) / 1000.0;
            RC_ASSERT(declared_lost <= rate * (2 + unhealthy_s) + 1);
        }
    }));
}

TEST(FailureDetector, ReplicasMoveBeforeTheirLeaseEndsAndMachinesAreKeptForABootTime) {
    FailureDomain domain(12'500);
    domain.adjust_counts(100, 0);
    domain.adjust_counts(0, 60);
    ASSERT_TRUE(domain.update(1'000));
    ASSERT_EQ(domain.health(), DomainHealth::lost);
    UnresponsiveMachine replicas, arrays;
    replicas.has_movable_replicas = true;
    replicas.lease_until = arrays.lease_until = 40'000;
    const Millis boot = 60'000;
    EXPECT_FALSE(domain.may_declare_lost(replicas, boot, 20'000));
    EXPECT_TRUE(domain.may_declare_lost(replicas, boot, 30'000));
    // Array tasks end by themselves with their leases, and the machine may become reachable again
    // with its images.
    EXPECT_FALSE(domain.may_declare_lost(arrays, boot, 99'000));
    EXPECT_TRUE(domain.may_declare_lost(arrays, boot, 101'000));
}

TEST(FailureDetector, ALeaderIsIsolatedOnlyIfNoZoneAnswers) {
    FailureDomains domains(5, 31);
    domains.adjust_counts(0, 50, 0);
    domains.adjust_counts(1, 50, 50);
    EXPECT_FALSE(domains.all_mostly_unresponsive());
    domains.adjust_counts(0, 0, 30);
    EXPECT_TRUE(domains.all_mostly_unresponsive());
}

// The leader considers a lease expired only when it has expired, whatever partition responders did
// in the meantime: they are partitioned, reconnect and restart, messages are lost, and the worker
// accepts any reply.
TEST(FailureDetector, ALeaseIsExpiredOnlyIfNobodyCanHaveRenewedIt) {
    std::size_t expirations = 0, renewals = 0;
    EXPECT_TRUE(rc::check([&] {
        wire::Settings settings = test::simulation_settings();
        settings.peers = {{"holder-0", "a", "x"}, {"holder-1", "b", "x"}};
        partition::HeartbeatDelegator leader(settings);
        struct Peer {
            std::unique_ptr<partition::PartitionResponder> responder;
            std::uint64_t incarnation = 0;
            Millis last_leader_message_at = 0;
            bool partitioned = false;
        };
        Peer peers[2];
        for (Peer& peer : peers)
            peer.responder = std::make_unique<partition::PartitionResponder>(settings);
        std::uint64_t incarnations = 0;
        for (Peer& peer : peers) peer.incarnation = ++incarnations;
        wire::Heartbeat heartbeat;
        heartbeat.incarnation = 1;
        heartbeat.token = shards::grant_token(7, 3);
        Millis lease_until = 0;         // as extended by the leader's own replies
        Millis worker_lease_until = 0;  // as the worker sees it
        bool reaches_leader = true;     // whether the worker's heartbeats do
        const auto events = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
        const int kNoEvent = 99;
        Millis now = 10'000;
        std::size_t next_event = 0;
        for (int second = 0; second < 200; ++second, now += 1'000) {
            const int event = next_event < events.size() ? events[next_event] : kNoEvent;
            ++next_event;
            if (event < 2) peers[event].partitioned = !peers[event].partitioned;
            if (event == 2) reaches_leader = !reaches_leader;
            if (event == 3 || event == 4) {
                Peer& peer = peers[event - 3];
                peer.responder = std::make_unique<partition::PartitionResponder>(settings);
                peer.incarnation = ++incarnations;
                peer.last_leader_message_at = 0;
            }
            const bool delegations_lost = event >= 5 && event < 10;
            for (int i = 0; i < 2; ++i) {
                if (peers[i].partitioned) continue;
                peers::Status status;
                status.from = settings.peers[static_cast<std::size_t>(i)].name;
                status.incarnation = peers[i].incarnation;
                status.clock_ms = static_cast<std::uint64_t>(now + 5'000 * (i + 1));
                peers[i].responder->fill_status(status, now + 5'000 * (i + 1));
                leader.on_peer_status(status, 7, now);
            }
            for (auto& [to, delegation] :
                 leader.delegations(7, shards::grant_token(7, 9), {}, now - 300, now)) {
                Peer& peer = peers[to == "holder-0" ? 0 : 1];
                const Millis peer_now = now + 5'000 * (to == "holder-0" ? 1 : 2);
                if (peer.partitioned || delegations_lost) continue;
                peer.last_leader_message_at = peer_now;
                peer.responder->on_delegation(delegation, peer.incarnation, peer_now);
            }
            const bool worker_lease_expired = now >= worker_lease_until;
            if (worker_lease_expired && lease_until != 0 &&
                leader.lease_expired(lease_until, now)) {
                ++expirations;
                break;  // from now on its tasks may run elsewhere
            }
            RC_ASSERT(lease_until == 0 || !leader.lease_expired(lease_until, now));
            if (lease_until != 0 && worker_lease_expired)
                continue;  // renewals concern a later incarnation
            if (reaches_leader && event % 3 != 0) {
                lease_until = now + with_clock_drift(seconds(settings.lease_s)) + 500;
                worker_lease_until = now + seconds(settings.lease_s);
                continue;
            }
            for (int i = 0; i < 2; ++i) {
                Peer& peer = peers[i];
                const Millis peer_now = now + 5'000 * (i + 1);
                peer.responder->update(peer.last_leader_message_at, peer.last_leader_message_at,
                                       peer_now);
                ++heartbeat.sequence;
                if (!peer.responder->token_for_reply(heartbeat, true, peer_now)) continue;
                worker_lease_until = now + seconds(settings.lease_s);
                ++renewals;
            }
        }
    }));
    EXPECT_GT(expirations, 20u);
    EXPECT_GT(renewals, 100u);
}

TEST(FailureDetector, APartitionResponderRepliesOnlyWithinItsDelegation) {
    wire::Settings settings = test::simulation_settings();
    partition::PartitionResponder responder(settings);
    peers::HeartbeatDelegation delegation;
    delegation.from = "leader";
    delegation.term = 7;
    delegation.incarnation = 3;
    delegation.status_clock_ms = 10'000;
    delegation.clock_ms = 1;
    delegation.view_age_ms = 500;
    delegation.response_window_ms = 30'000;
    delegation.highest_token = shards::grant_token(7, 5);
    delegation.delegated_tokens = {shards::grant_token(7, 4)};
    wire::Heartbeat heartbeat;
    heartbeat.incarnation = 1;
    heartbeat.token = shards::grant_token(7, 2) + 9;
    auto reply_token = [&](Millis now) {
        responder.update(10'000, 10'000, now);
        ++heartbeat.sequence;
        return responder.token_for_reply(heartbeat, true, now);
    };
    EXPECT_FALSE(reply_token(20'000)) << "no delegation";
    responder.on_delegation(delegation, 4, 10'100);
    EXPECT_FALSE(reply_token(20'000)) << "a delegation for another process";
    responder.on_delegation(delegation, 3, 10'100);
    EXPECT_FALSE(reply_token(12'000)) << "the leader may be reachable again";
    EXPECT_EQ(reply_token(20'000), heartbeat.token);
    EXPECT_TRUE(reply_token(39'000));
    EXPECT_FALSE(reply_token(39'500)) << "its knowledge of cancellations is too old";
    for (std::uint64_t token : {shards::grant_token(6, 2), shards::grant_token(8, 2),
                                shards::grant_token(7, 4) + 1, shards::grant_token(7, 6)}) {
        heartbeat.token = token;
        EXPECT_FALSE(reply_token(20'000)) << token;
    }
}

// Returns a simulation without faults in which twelve services are running, on at least five
// machines in each of two zones.
std::unique_ptr<ClusterSimulation> simulation_with_running_services(std::uint64_t seed,
                                                                    std::uint32_t share) {
    auto simulation = std::make_unique<ClusterSimulation>(seed, Faults{}, share);
    for (int n = 0; n < 12; ++n) {
        auto spec = job("job-" + std::to_string(n), "standing", 2, 0);
        spec["cores"] = 8.0;
        spec["scatter"] = true;
        simulation->submit(spec);
    }
    simulation->run_until(100'000);
    return simulation;
}

// Guards against releasing every machine of a zone within ten seconds after the zone became
// unreachable.
TEST(FailureDetector, AZonePartitionedForLessThanALeaseLosesNothing) {
    auto simulation = simulation_with_running_services(401, 0);
    const std::size_t before = simulation->running_tasks("b"), starts = simulation->started_tasks();
    ASSERT_GE(before, 10u);
    simulation->partition(
        {.zone = "b", .delays_commands = true, .from = 100'000, .until = 115'000});
    simulation->run_until(150'000);
    EXPECT_EQ(simulation->running_tasks("b"), before);
    EXPECT_EQ(simulation->tasks_killed_by_lease(), 0u);
    EXPECT_EQ(simulation->started_tasks(), starts);
}

TEST(FailureDetector, AResponderInAPartitionedZoneKeepsItRunningBeyondALease) {
    auto simulation = simulation_with_running_services(402, 1);
    const std::size_t before = simulation->running_tasks("b"), starts = simulation->started_tasks();
    ASSERT_GE(before, 10u);
    simulation->partition(
        {.zone = "b", .includes_controller = true, .from = 100'000, .until = 135'000});
    simulation->run_until(110'000);
    simulation->fail_over();  // the next leader does not know which responders replied
    simulation->run_until(170'000);
    EXPECT_EQ(simulation->running_tasks("b"), before);
    EXPECT_EQ(simulation->tasks_killed_by_lease(), 0u);
    EXPECT_EQ(simulation->started_tasks(), starts);
    EXPECT_GT(simulation->replies_by_responders(), 10u);
}

// A zone without a controller becomes reachable again half a boot time after its leases expired.
// Its machines still exist, with their images. Guards against releasing half of them when the
// leases expire, because of arrays that end with the lease anyway, or of a single movable replica
// among several.
TEST(FailureDetector, AZoneThatReturnsSoonAfterItsLeasesKeepsItsMachines) {
    for (std::uint64_t seed = 430; seed < 434 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        auto simulation = simulation_with_running_services(seed, 0);
        for (int n = 0; n < 6; ++n) {
            // Three replicas: if two are in one zone, one of them may move to the other zone.
            auto spec = job("job-" + std::to_string(50 + n), "standing", 3, 0);
            spec["cores"] = 2.0;
            spec["scatter"] = true;
            simulation->submit(spec);
            simulation->submit(job("job-" + std::to_string(60 + n), "sweep", 8, 1));
        }
        simulation->run_until(112'000);
        const std::size_t before = simulation->running_tasks("a") + simulation->running_tasks("b");
        ASSERT_GE(before, 30u);
        const std::size_t released = simulation->released_machines("b");
        simulation->partition(
            {.zone = "b", .delays_commands = true, .from = 112'000, .until = 137'000});
        simulation->run_until(136'000);
        EXPECT_EQ(simulation->released_machines("b"), released)
            << "in the zone that becomes reachable again";
        simulation->run_until(165'000);
        EXPECT_GE(simulation->running_tasks("b"), 12u);
    }
}

// Pairs of partitions, each of a part of a zone that is unreachable or whose messages are delayed,
// for less and more than a lease, with and without a partition responder inside, and with a
// failover during them. The simulation's invariants hold, and every job ends.
TEST(FailureDetector, PairsOfPartitionsOfEveryKind) {
    std::uint64_t seed = 500;
    for (double part : {0.1, 0.4, 1.0}) {
        for (Millis length : {8'000, 30'000, 55'000}) {
            for (int kind = 0; kind < 4; ++kind) {
                if (HasFailure()) return;
                SCOPED_TRACE(testing::Message()
                             << "part " << part << " for " << length << " kind " << kind);
                ClusterSimulation simulation(++seed, {}, 1);
                std::vector<std::string> ids, services;
                std::mt19937_64 random(seed);
                auto submit_job = [&](int n) {
                    const char* shapes[] = {"standing", "sweep", "ensemble"};
                    const auto tasks = 1 + random() % 4;
                    const double gpus = 1 + static_cast<double>(random() % 2);
                    auto spec = job("job-" + std::to_string(n), shapes[n % 3], tasks, gpus);
                    if (n % 3 == 0) spec["scatter"] = true;
                    if (n % 3 == 2) spec["one_zone"] = true;
                    if (n % 4 == 1) spec["standby"] = true;
                    ids.push_back(spec["id"]);
                    if (n % 3 == 0) services.push_back(ids.back());
                    simulation.submit(spec);
                };
                for (int n = 0; n < 9; ++n) submit_job(n);
                simulation.run_until(40'000);
                Partition first{"b",       part,   kind == 1,      kind == 2,
                                kind == 3, 40'000, 40'000 + length};
                Partition second{
                    kind % 2 == 0 ? "a" : "b", 0.4, kind != 1, false, false, 50'000, 65'000};
                simulation.partition(first);
                simulation.partition(second);
                for (int n = 9; n < 15; ++n) {
                    simulation.run_until(simulation.now() + 3'000);
                    submit_job(n);
                    if (n == 11) simulation.cancel(services.front());
                    if (n == 12 && seed % 2 == 0) simulation.fail_over();
                }
                simulation.run_until(130'000);
                for (const auto& id : services) simulation.cancel(id);
                auto unfinished_jobs = [&] {
                    std::string out;
                    for (const auto& id : ids)
                        out += simulation.final_state(id).empty() ? id + " " : "";
                    return out;
                };
                while (!unfinished_jobs().empty() && simulation.now() < 1'200'000 &&
                       !HasFailure()) {
                    simulation.run_until(simulation.now() + 5'000);
                }
                EXPECT_EQ(unfinished_jobs(), "") << simulation.describe_running();
            }
        }
    }
}

// Spot machines preempted without notice are missing from the cloud's list. The leader treats them
// as gone long before a lease expires, however many machines are unresponsive.
TEST(FailureDetector, MachinesTheCloudNoLongerListsAreGone) {
    auto simulation = simulation_with_running_services(403, 0);
    const std::size_t before = simulation->running_tasks("b"), starts = simulation->started_tasks();
    simulation->preempt_zone("b");
    simulation->run_until(118'000);  // the last leases would expire at 120 s
    for (const auto* machine : simulation->leader()->registry().all())
        EXPECT_EQ(machine->reachability, machines::Reachability::reachable) << machine->name;
    simulation->run_until(150'000);
    EXPECT_EQ(simulation->started_tasks(), starts + before);
}

}  // namespace
