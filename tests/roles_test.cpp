/// @file
/// Roles in simulations of several controllers with failures. No two controllers act under one
/// role, each role has a holder soon after any failure, and pending requests of a replaced holder
/// do no harm.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "autoscaling/intent_log.h"
#include "jobs/job.h"
#include "tests/election_simulation.h"

namespace {

using namespace nickelramp;
using lease::Role;
using test::ElectionSimulation;

// Writes the records of jobs. Every `orphan_every`th job has only run records. Returns the number
// of these orphaned records.
std::size_t write_jobs(ElectionSimulation& simulation, int jobs, int orphan_every) {
    std::size_t orphans = 0;
    for (int job = 0; job < jobs; ++job) {
        const std::string id = "job-" + std::to_string(100'000 + job);
        const bool orphaned = job % orphan_every == 0;
        if (!orphaned) simulation.set_key(jobs::open_key(id), {{"id", id}});
        for (std::uint32_t chunk = 0; chunk < 2; ++chunk) {
            simulation.set_key(jobs::run_key(id, chunk), {{"done", 0}});
            if (orphaned) ++orphans;
        }
    }
    return orphans;
}

TEST(Roles, OneControllerLeadsAndAHelperCollectsGarbage) {
    ElectionSimulation simulation(1, 3);
    const std::size_t orphans = write_jobs(simulation, 200, 5);
    ASSERT_EQ(orphans, 80u);
    simulation.run_until(15'000);
    const std::size_t leader = simulation.leader();
    ASSERT_LT(leader, simulation.size());
    for (Role role : {Role::scale_out, Role::scale_in, Role::shard_reclaim})
        EXPECT_EQ(simulation.role_holder(role), leader);
    const std::size_t helper = simulation.role_holder(Role::garbage_collection);
    EXPECT_LT(helper, simulation.size());
    EXPECT_NE(helper, leader);
    simulation.run_until(60'000);
    EXPECT_EQ(simulation.count_keys("run/"), 2u * 200 - orphans)
        << "every orphan is deleted, and nothing else";
    EXPECT_EQ(simulation.count_keys("open/"), 160u);
    EXPECT_GT(simulation.act_count(Role::scale_out), 20u);
    // Four pages of run records, the pages of open records for them, and 27 transactions.
    EXPECT_LT(simulation.role_manager(helper).garbage_collector().requests(), 45u);
}

// While the leader cannot reach the cloud, the helper calls it on the leader's behalf. The roles
// return to the leader when the partition ends. At no time may two controllers act under one role,
// whatever messages are in flight between them.
TEST(Roles, AHelperCallsTheCloudWhileTheLeaderCannot) {
    for (std::uint64_t seed = 20; seed < 30 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        ElectionSimulation simulation(seed, 3 + seed % 3);
        simulation.message_loss = seed % 2 == 0 ? 0.05 : 0;
        simulation.run_until(20'000);
        const std::size_t leader = simulation.leader();
        ASSERT_LT(leader, simulation.size());
        EXPECT_EQ(simulation.acts_by_helper(), 0u);
        simulation.partition(leader, ElectionSimulation::Link::cloud, 30'000, seed % 4 < 2);
        simulation.run_until(45'000);
        EXPECT_NE(simulation.role_holder(Role::scale_out), leader);
        EXPECT_GT(simulation.acts_by_helper(), 5u);
        simulation.run_until(75'000);
        EXPECT_EQ(simulation.role_holder(Role::scale_out), simulation.leader());
        EXPECT_EQ(simulation.role_holder(Role::scale_in), simulation.leader());
    }
}

// Controllers restart as a new process while their former lease is still valid, while their own or
// another's claim of leadership is in flight, twice in a row, or all at once. The leader key is
// deleted with the old lease at the latest, and messages for the former process do not affect the
// new one.
TEST(Roles, ControllersThatRestartAtOnceKeepTheRulesOfRoles) {
    std::size_t late = 0;
    for (std::uint64_t seed = 300; seed < 380 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        ElectionSimulation simulation(seed, 3 + seed % 3);
        simulation.message_loss = seed % 4 == 0 ? 0.02 : 0;
        // Some claims of leadership and lease revocations are executed late, after the process that
        // sent them, or its successor with the same name, has made another claim.
        simulation.late_writes = seed >= 340 ? 0.3 : 0;
        simulation.run_until(20'000);
        const auto leader = simulation.leader();
        ASSERT_LT(leader, simulation.size());
        // Steps of 7 ms, so that the crash occurs in every phase of the election that follows.
        const auto step = static_cast<Millis>((seed - 300) % 40);
        simulation.crash(leader, 50 + 7 * step);
        simulation.run_until(simulation.now() + 3'900 + 7 * step);
        for (std::size_t i = 0; i < simulation.size(); ++i) {
            if (seed % 3 == 0 || i == leader) simulation.crash(i, 20 + static_cast<Millis>(i) * 40);
        }
        simulation.run_until(simulation.now() + 90);
        simulation.crash((leader + seed) % simulation.size(), 150);
        Millis without = 0;
        const Millis until = simulation.now() + 12'000;
        while (simulation.now() < until) {
            simulation.run_until(simulation.now() + 100);
            without = simulation.leader() == simulation.size() ? without + 100 : without;
        }
        EXPECT_LT(simulation.leader(), simulation.size());
        // A lease of 4 s and the election. A claim that is executed late writes the leader key,
        // which is deleted when its lease ends.
        EXPECT_LE(without, simulation.late_writes > 0    ? 12'000
                           : simulation.message_loss > 0 ? 9'000
                                                         : 6'500);
        late += simulation.late_applied();
        // Late requests that are still pending are executed within 12 s.
        const Millis settled = simulation.late_writes > 0 ? 30'000 : 15'000;
        simulation.late_writes = 0;
        simulation.run_until(simulation.now() + settled);
        for (Role role : lease::kAllRoles)
            EXPECT_LT(simulation.role_holder(role), simulation.size()) << name(role);
    }
    EXPECT_GT(late, 5u);
}

// After any single failure each role has a holder again within a lease's duration, the next
// leader's start and, where a helper was assigned the role, the end of the assignment: 15 s, as
// documented.
TEST(Roles, EachHasAHolderSoonAfterAnySingleFailure) {
    struct Failure {
        const char* name;
        std::function<void(ElectionSimulation&, std::size_t)> inject;
    };
    const Failure failures[] = {
        {"crash",
         [](ElectionSimulation& simulation, std::size_t i) { simulation.crash(i, 8'000); }},
        {"short freeze",
         [](ElectionSimulation& simulation, std::size_t i) { simulation.freeze(i, 3'000); }},
        {"freeze",
         [](ElectionSimulation& simulation, std::size_t i) { simulation.freeze(i, 12'000); }},
        {"partitioned from the state service",
         [](ElectionSimulation& simulation, std::size_t i) {
             simulation.partition(i, ElectionSimulation::Link::state, 20'000, false);
         }},
        {"partitioned from the state service, messages held",
         [](ElectionSimulation& simulation, std::size_t i) {
             simulation.partition(i, ElectionSimulation::Link::state, 20'000, true);
         }},
        {"partitioned from peers",
         [](ElectionSimulation& simulation, std::size_t i) {
             simulation.partition(i, ElectionSimulation::Link::peers, 20'000, false);
         }},
        {"partitioned from peers, messages held",
         [](ElectionSimulation& simulation, std::size_t i) {
             simulation.partition(i, ElectionSimulation::Link::peers, 20'000, true);
         }},
        {"partitioned from the cloud",
         [](ElectionSimulation& simulation, std::size_t i) {
             simulation.partition(i, ElectionSimulation::Link::cloud, 20'000, true);
         }},
    };
    std::uint64_t seed = 100;
    for (const Failure& failure : failures) {
        for (bool of_leader : {true, false}) {
            for (std::size_t n : {3u, 5u}) {
                if (HasFailure()) return;
                SCOPED_TRACE(testing::Message()
                             << failure.name << " of the " << (of_leader ? "leader" : "helper")
                             << ", " << n << " controllers");
                ElectionSimulation simulation(++seed, n);
                simulation.run_until(20'000);
                for (Role role : lease::kAllRoles) simulation.longest_vacancy(role);
                const std::size_t who = of_leader
                                            ? simulation.leader()
                                            : simulation.role_holder(Role::garbage_collection);
                ASSERT_LT(who, simulation.size());
                failure.inject(simulation, who);
                simulation.run_until(60'000);
                for (Role role : lease::kAllRoles) {
                    EXPECT_LT(simulation.role_holder(role), simulation.size()) << name(role);
                    EXPECT_LT(simulation.longest_vacancy(role), 15'000) << name(role);
                }
            }
        }
    }
}

// Combines crashes, freezes with running clocks, partitions of every link with messages lost or
// held, and outages, for many seeds. Whenever a controller acts under a role, the simulation
// asserts that no other controller may.
TEST(Roles, NoTwoControllersActUnderOneRoleWhateverFails) {
    std::size_t acts = 0, by_helpers = 0, refused = 0, late = 0;
    for (std::uint64_t seed = 1000; seed < 1060 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        std::mt19937_64 random(seed);
        auto up_to = [&](Millis max) { return static_cast<Millis>(random() % max); };
        ElectionSimulation simulation(seed, 3 + seed % 3);
        const std::size_t orphans = write_jobs(simulation, 60, 4);
        simulation.message_loss = 0.03;
        simulation.late_writes = seed % 2 == 0 ? 0.2 : 0;
        simulation.run_until(10'000);
        while (simulation.now() < 140'000 && !HasFailure()) {
            // The leader and the helper are hit most often.
            std::size_t who = random() % simulation.size();
            if (random() % 3 == 0) who = std::min(simulation.leader(), simulation.size() - 1);
            if (random() % 4 == 0)
                who = std::min(simulation.role_holder(Role::garbage_collection),
                               simulation.size() - 1);
            const bool held = random() % 2 == 0;
            switch (random() % 6) {
                case 0:
                    simulation.crash(who, 500 + up_to(6'000));
                    break;
                case 1:
                    simulation.freeze(who, 1'000 + up_to(12'000));
                    break;
                case 2:
                    simulation.partition(who, ElectionSimulation::Link::state,
                                         1'000 + up_to(15'000), held);
                    break;
                case 3:
                    simulation.partition(who, ElectionSimulation::Link::cloud,
                                         5'000 + up_to(25'000), held);
                    break;
                case 4:
                    simulation.partition(who, ElectionSimulation::Link::peers,
                                         2'000 + up_to(20'000), held);
                    break;
                case 5:
                    if (random() % 3 == 0) simulation.take_state_service_down(1'000 + up_to(8'000));
                    break;
            }
            simulation.run_until(simulation.now() + 500 + up_to(7'000));
        }
        late += simulation.late_applied();
        simulation.message_loss = simulation.late_writes = 0;
        simulation.run_until(simulation.now() + 180'000);
        for (Role role : lease::kAllRoles)
            EXPECT_LT(simulation.role_holder(role), simulation.size()) << name(role);
        EXPECT_EQ(simulation.count_keys("run/"), 120u - orphans)
            << "an orphan was left, or a needed record deleted";
        for (Role role : lease::kAllRoles) acts += simulation.act_count(role);
        by_helpers += simulation.acts_by_helper();
        refused += simulation.acts_refused();
    }
    // Checks that the simulations covered the intended cases.
    EXPECT_GT(acts, 5'000u);
    EXPECT_GT(by_helpers, 200u);
    EXPECT_GT(refused, 2u);
    EXPECT_GT(late, 50u);
}

// An invalid record is left alone and does not affect other roles.
TEST(Roles, UnreadableRecordsAreLeftAlone) {
    ElectionSimulation simulation(3, 3);
    simulation.set_key("duty/returning", {{"holder", 7}});
    simulation.set_key("run/job-1", "no run record");
    simulation.set_key("clean/cursor", 12);
    simulation.run_until(30'000);
    EXPECT_LT(simulation.role_holder(Role::scale_out), simulation.size());
    EXPECT_EQ(simulation.role_holder(Role::scale_in), simulation.size());
    EXPECT_LT(simulation.role_holder(Role::garbage_collection), simulation.size());
    EXPECT_EQ(simulation.count_keys("duty/returning"), 1u);
    EXPECT_EQ(simulation.count_keys("run/job-1"), 1u);
    EXPECT_TRUE(rc::check("intents survive a round trip, and damaged records are rejected", [] {
        for (Role role : {Role::scale_out, Role::scale_in}) {
            std::vector<autoscaling::ProvisioningIntent> all;
            const int n = *rc::gen::inRange(0, 20);
            for (int i = 0; i < n; ++i) {
                autoscaling::ProvisioningIntent x;
                x.name = "n" + std::to_string(i) +
                         *rc::gen::container<std::string>(rc::gen::inRange('a', 'z'));
                if (role == Role::scale_out) {
                    x.type = "g4";
                    x.zone = "a";
                    x.spot = *rc::gen::arbitrary<bool>();
                    x.count = *rc::gen::inRange(1u, 51u);
                }
                all.push_back(x);
            }
            wire::Json record = autoscaling::encode_intents(role, all);
            auto back = autoscaling::decode_intents(role, record);
            RC_ASSERT(back.has_value());
            RC_ASSERT(back->size() == all.size());
            for (std::size_t i = 0; i < all.size(); ++i) {
                RC_ASSERT((*back)[i].name == all[i].name);
                RC_ASSERT((*back)[i].count == all[i].count);
            }
            if (all.empty()) continue;
            auto& one = record["intents"][*rc::gen::inRange<std::size_t>(0, all.size())];
            one[*rc::gen::inRange<std::size_t>(0, one.size())] = nullptr;
            RC_ASSERT(!autoscaling::decode_intents(role, record));
        }
    }));
}

}  // namespace
