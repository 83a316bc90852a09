// Silence that many machines share: what is given up, who goes on answering, and what becomes of
// it. Properties are tried on random days whose failures shrink; seeds are fixed.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

#include "failure/failure_domains.h"
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

// Whatever falls silent and comes back, and whoever asks for how many: outside clear weather no
// more is given up than the ration, and in the dark nothing whose lease lasts longer than a move
// takes.
TEST(FailureDetector, GivingUpMachinesIsRateLimited) {
    ASSERT_EQ(kSeeded, 0);
    EXPECT_TRUE(rc::check([] {
        FailureDomains d(5, 31);
        const int up = *rc::gen::inRange(8, 400);
        d.adjust_counts(0, up, 0);
        int silent = 0, given = 0;
        Millis now = 1'000, cloudy_since = 0;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 30)));
        for (auto [percent, asks] : steps) {
            const int wanted = up * percent / 100;
            d.adjust_counts(0, 0, wanted - silent);
            silent = wanted;
            now += 500;
            d.update(now);
            const DomainHealth health = d.health(0);
            test::test_trace().add(now, "sky", static_cast<int>(health));
            RC_ASSERT((health == DomainHealth::lost) ==
                      (silent * 2 > up || (silent >= 4 && silent >= 0.3 * up)));
            if (health == DomainHealth::healthy) {
                cloudy_since = given = 0;
                RC_ASSERT(d.may_give_up(0, {}, 0, now));
                continue;
            }
            if (cloudy_since == 0) cloudy_since = now;
            for (int i = 0; i < asks; ++i) {
                UnresponsiveMachine machine;
                machine.stuck = i % 7 == 0;
                machine.has_gangs_or_services = i % 2 == 0;
                machine.lease_until = now + 20'000;
                const bool yes = d.may_give_up(0, machine, 10'000, now);
                given += yes ? 1 : 0;
                test::test_trace().add(now, "give-up", yes);
                if (health == DomainHealth::lost) RC_ASSERT(!yes || machine.stuck);
            }
            const double rate = std::max(1.0, 0.02 * up);
            RC_ASSERT(given <= rate * (2 + static_cast<double>(now - cloudy_since) / 1000.0) + 1);
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
    EXPECT_FALSE(domain.may_give_up(replicas, boot, 20'000));
    EXPECT_TRUE(domain.may_give_up(replicas, boot, 30'000));
    // Their leases free them by themselves; the machine may come back with its images.
    EXPECT_FALSE(domain.may_give_up(arrays, boot, 99'000));
    EXPECT_TRUE(domain.may_give_up(arrays, boot, 101'000));
}

TEST(FailureDetector, ALeaderIsIsolatedOnlyIfNoZoneAnswers) {
    FailureDomains d(5, 31);
    d.adjust_counts(0, 50, 0);
    d.adjust_counts(1, 50, 50);
    EXPECT_FALSE(d.all_mostly_unresponsive());
    d.adjust_counts(0, 0, 30);
    EXPECT_TRUE(d.all_mostly_unresponsive());
}

// The leader believes a lease to be over only when it is, whatever deputies did meanwhile: they are
// cut off, come back, end and begin anew; messages are lost; the worker takes any answer.
TEST(FailureDetector, ALeaseIsExpiredOnlyIfNobodyCanHaveRenewedIt) {
    std::size_t overs = 0, renewals = 0;
    EXPECT_TRUE(rc::check([&] {
        wire::Settings settings = test::simulation_settings();
        settings.peers = {{"holder-0", "a", "x"}, {"holder-1", "b", "x"}};
        partition::HeartbeatDelegator leader(settings);
        struct Peer {
            std::unique_ptr<partition::PartitionResponder> deputy;
            std::uint64_t incarnation = 0;
            Millis leader_at = 0;
            bool cut = false;
        };
        Peer peers[2];
        for (Peer& peer : peers)
            peer.deputy = std::make_unique<partition::PartitionResponder>(settings);
        std::uint64_t incarnations = 0;
        for (Peer& peer : peers) peer.incarnation = ++incarnations;
        wire::Heartbeat heartbeat;
        heartbeat.incarnation = 1;
        heartbeat.token = shards::grant_token(7, 3);
        Millis lease_until = 0;  // as the leader's own answers let it last
        Millis really = 0;       // as the worker has it
        bool heard = true;       // the worker reaches the leader
        const auto days = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
        Millis now = 10'000;
        std::size_t k = 0;
        for (int second = 0; second < 200; ++second, now += 1'000) {
            const int event = k < days.size() ? days[k] : 99;
            ++k;
            if (event < 2) peers[event].cut = !peers[event].cut;
            if (event == 2) heard = !heard;
            if (event == 3 || event == 4) {
                Peer& peer = peers[event - 3];
                peer.deputy = std::make_unique<partition::PartitionResponder>(settings);
                peer.incarnation = ++incarnations;
                peer.leader_at = 0;
            }
            const bool lost = event >= 5 && event < 10;  // the leader's leaves, on the way
            for (int i = 0; i < 2; ++i) {
                if (peers[i].cut) continue;
                peers::Status status;
                status.from = settings.peers[static_cast<std::size_t>(i)].name;
                status.incarnation = peers[i].incarnation;
                status.clock_ms = static_cast<std::uint64_t>(now + 5'000 * (i + 1));
                peers[i].deputy->fill_status(status, now + 5'000 * (i + 1));
                leader.on_peer_status(status, 7, now);
            }
            for (auto& [to, leave] :
                 leader.delegations(7, shards::grant_token(7, 9), {}, now - 300, now)) {
                Peer& peer = peers[to == "holder-0" ? 0 : 1];
                const Millis theirs = now + 5'000 * (to == "holder-0" ? 1 : 2);
                if (peer.cut || lost) continue;
                peer.leader_at = theirs;
                peer.deputy->on_delegation(leave, peer.incarnation, theirs);
            }
            if (now >= really && lease_until != 0 && leader.lease_expired(lease_until, now)) {
                ++overs;
                break;  // its tasks may be elsewhere by now
            }
            RC_ASSERT(lease_until == 0 || !leader.lease_expired(lease_until, now));
            if (lease_until != 0 && now >= really) continue;  // the next session
            if (heard && event % 3 != 0) {
                lease_until = now + with_clock_drift(seconds(settings.lease_s)) + 500;
                really = now + seconds(settings.lease_s);
                continue;
            }
            for (int i = 0; i < 2; ++i) {
                const Millis theirs = now + 5'000 * (i + 1);
                peers[i].deputy->update(peers[i].leader_at, peers[i].leader_at, theirs);
                ++heartbeat.sequence;
                if (!peers[i].deputy->token_for_reply(heartbeat, true, theirs)) continue;
                really = now + seconds(settings.lease_s);
                ++renewals;
            }
        }
    }));
    EXPECT_GT(overs, 20u);
    EXPECT_GT(renewals, 100u);
}

TEST(FailureDetector, APartitionResponderRepliesOnlyWithinItsDelegation) {
    wire::Settings settings = test::simulation_settings();
    partition::PartitionResponder d(settings);
    peers::HeartbeatDelegation l;
    l.from = "leader";
    l.term = 7;
    l.incarnation = 3;
    l.status_clock_ms = 10'000;
    l.clock_ms = 1;
    l.view_age_ms = 500;
    l.response_window_ms = 30'000;
    l.highest_token = shards::grant_token(7, 5);
    l.delegated_tokens = {shards::grant_token(7, 4)};
    wire::Heartbeat heartbeat;
    heartbeat.incarnation = 1;
    heartbeat.token = shards::grant_token(7, 2) + 9;
    auto answers = [&](Millis now) {
        d.update(10'000, 10'000, now);
        ++heartbeat.sequence;
        return d.token_for_reply(heartbeat, true, now);
    };
    EXPECT_FALSE(answers(20'000));  // no leave
    d.on_delegation(l, 4, 10'100);  // of another process
    EXPECT_FALSE(answers(20'000));
    d.on_delegation(l, 3, 10'100);
    EXPECT_FALSE(answers(12'000));  // the leader may well be there
    EXPECT_EQ(answers(20'000), heartbeat.token);
    EXPECT_TRUE(answers(39'000));
    EXPECT_FALSE(answers(39'500));  // its knowledge is too old
    for (std::uint64_t token : {shards::grant_token(6, 2), shards::grant_token(8, 2),
                                shards::grant_token(7, 4) + 1, shards::grant_token(7, 6)}) {
        heartbeat.token = token;
        EXPECT_FALSE(answers(20'000)) << token;
    }
}

// A calm day of replicas, five machines and more in each of two zones.
std::unique_ptr<ClusterSimulation> settled(std::uint64_t seed, std::uint32_t share) {
    auto simulation = std::make_unique<ClusterSimulation>(seed, Faults{}, share);
    for (int n = 0; n < 12; ++n) {
        auto j = job("job-" + std::to_string(n), "standing", 2, 0);
        j["cores"] = 8.0;
        j["scatter"] = true;
        simulation->submit(j);
    }
    simulation->run_until(100'000);
    return simulation;
}

// The service once returned every machine of a zone within ten seconds of its being cut off.
TEST(FailureDetector, AZonePartitionedForLessThanALeaseLosesNothing) {
    auto simulation = settled(401, 0);
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
    auto simulation = settled(402, 1);
    const std::size_t before = simulation->running_tasks("b"), starts = simulation->started_tasks();
    ASSERT_GE(before, 10u);
    simulation->partition(
        {.zone = "b", .includes_controller = true, .from = 100'000, .until = 135'000});
    simulation->run_until(110'000);
    simulation->fail_over();  // and the successor minds what it cannot know
    simulation->run_until(170'000);
    EXPECT_EQ(simulation->running_tasks("b"), before);
    EXPECT_EQ(simulation->tasks_killed_by_lease(), 0u);
    EXPECT_EQ(simulation->started_tasks(), starts);
    EXPECT_GT(simulation->replies_by_responders(), 10u);
}

// Nobody is inside, and the zone comes back half a boot after its leases ended. Its machines are
// still there, with their images: every second one was once returned at the leases' end, for arrays
// that the lease frees anyway, or for one replica of several that had a place elsewhere.
TEST(FailureDetector, AZoneThatReturnsSoonAfterItsLeasesKeepsItsMachines) {
    for (std::uint64_t seed = 430; seed < 434 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        auto simulation = settled(seed, 0);
        for (int n = 0; n < 6; ++n) {
            // Three replicas: of two in one zone, one may go to the other.
            auto j = job("job-" + std::to_string(50 + n), "standing", 3, 0);
            j["cores"] = 2.0;
            j["scatter"] = true;
            simulation->submit(j);
            simulation->submit(job("job-" + std::to_string(60 + n), "sweep", 8, 1));
        }
        simulation->run_until(112'000);
        const std::size_t before = simulation->running_tasks("a") + simulation->running_tasks("b");
        ASSERT_GE(before, 30u);
        const std::size_t returned = simulation->released_machines("b");
        simulation->partition(
            {.zone = "b", .delays_commands = true, .from = 112'000, .until = 137'000});
        simulation->run_until(136'000);
        EXPECT_EQ(simulation->released_machines("b"), returned) << "of the zone that will be back";
        simulation->run_until(165'000);
        EXPECT_GE(simulation->running_tasks("b"), 12u);
    }
}

// Parts of a zone that are cut off or hang, for less and more than a lease, with and without a
// deputy inside, in pairs, with a take-over in the middle: no rule breaks, and all ends.
TEST(FailureDetector, PairsOfPartitionsOfEveryKind) {
    std::uint64_t seed = 500;
    for (double part : {0.1, 0.4, 1.0}) {
        for (Millis length : {8'000, 30'000, 55'000}) {
            for (int kind = 0; kind < 4; ++kind) {
                if (HasFailure()) return;
                SCOPED_TRACE(testing::Message()
                             << "part " << part << " for " << length << " kind " << kind);
                ClusterSimulation simulation(++seed, {}, 1);
                std::vector<std::string> ids, replicas;
                std::mt19937_64 random(seed);
                auto enter = [&](int n) {
                    const char* shapes[] = {"standing", "sweep", "ensemble"};
                    auto j = job("job-" + std::to_string(n), shapes[n % 3], 1 + random() % 4,
                                 1 + static_cast<double>(random() % 2));
                    if (n % 3 == 0) j["scatter"] = true;
                    if (n % 3 == 2) j["one_zone"] = true;
                    if (n % 4 == 1) j["standby"] = true;
                    ids.push_back(j["id"]);
                    if (n % 3 == 0) replicas.push_back(ids.back());
                    simulation.submit(j);
                };
                for (int n = 0; n < 9; ++n) enter(n);
                simulation.run_until(40'000);
                Partition first{"b",       part,   kind == 1,      kind == 2,
                                kind == 3, 40'000, 40'000 + length};
                Partition second{
                    kind % 2 == 0 ? "a" : "b", 0.4, kind != 1, false, false, 50'000, 65'000};
                simulation.partition(first);
                simulation.partition(second);
                for (int n = 9; n < 15; ++n) {
                    simulation.run_until(simulation.now() + 3'000);
                    enter(n);
                    if (n == 11) simulation.cancel(replicas.front());
                    if (n == 12 && seed % 2 == 0) simulation.fail_over();
                }
                simulation.run_until(130'000);
                for (const auto& id : replicas) simulation.cancel(id);
                auto open = [&] {
                    std::string out;
                    for (const auto& id : ids)
                        out += simulation.final_state(id).empty() ? id + " " : "";
                    return out;
                };
                while (!open().empty() && simulation.now() < 1'200'000 && !HasFailure()) {
                    simulation.run_until(simulation.now() + 5'000);
                }
                EXPECT_EQ(open(), "") << simulation.describe_running();
            }
        }
    }
}

// Spot machines that were taken without notice are gone from the cloud's list: that is known long
// before a lease is over, however many are silent.
TEST(FailureDetector, MachinesTheCloudNoLongerListsAreGone) {
    auto simulation = settled(403, 0);
    const std::size_t before = simulation->running_tasks("b"), starts = simulation->started_tasks();
    simulation->preempt_zone("b");
    simulation->run_until(118'000);  // the last leases would end at 120 s
    for (const auto* machine : simulation->leader()->registry().all())
        EXPECT_EQ(machine->reachability, machines::Reachability::reachable) << machine->name;
    simulation->run_until(150'000);
    EXPECT_EQ(simulation->started_tasks(), starts + before);
}

}  // namespace
