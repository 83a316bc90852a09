// The dispatcher in the simulated world: whatever happens, no rule is broken, and when it is over
// everything gets done.
#include <gtest/gtest.h>

#include <functional>

#include "tests/cluster_simulation.h"

namespace {

using namespace nickelramp;
using test::ClusterSimulation;
using test::Faults;
using test::job;

wire::Json random_job(std::mt19937_64& random, int n) {
    const char* shapes[] = {"sweep", "sweep", "ensemble", "standing"};
    std::string shape = shapes[random() % 4];
    std::uint32_t tasks = 1 + static_cast<std::uint32_t>(random() % 5);
    wire::Json j =
        job("job-" + std::to_string(n), shape, tasks, 1 + static_cast<double>(random() % 2));
    if (random() % 3 == 0) j["crew"] = "blue";
    if (random() % 4 == 0)
        j["one_zone"] = true;
    else if (random() % 4 == 0)
        j["scatter"] = true;
    if (random() % 3 == 0) j["standby"] = true;
    if (random() % 5 == 0 && j["scatter"] == false) j["yard"] = "a";
    if (random() % 6 == 0) j["rigs"] = {"g4"};
    if (random() % 8 == 0 && shape == "sweep") j["legs"] = 150;  // more than one record
    return j;
}

// Runs a day of random jobs and troubles; afterwards, in calm, all must end.
std::size_t random_day(std::uint64_t seed, Faults faults, std::uint32_t share = 0) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ClusterSimulation simulation(seed, faults, share);
    std::mt19937_64 random(seed * 31 + 1);
    std::vector<std::string> ids, services;
    for (int n = 0; n < 14; ++n) {
        wire::Json spec = random_job(random, n);
        ids.push_back(spec["id"]);
        if (spec["shape"] == "standing") services.push_back(ids.back());
        simulation.submit(spec);
        simulation.run_until(simulation.now() + static_cast<Millis>(random() % 12'000));
        if (random() % 4 == 0) simulation.cancel(ids[random() % ids.size()]);
        if (testing::Test::HasFailure()) {
            ADD_FAILURE() << spec << simulation.describe_running();
            return 0;
        }
    }
    simulation.run_until(simulation.now() + 20'000);
    simulation.clear_faults();
    for (const std::string& id : services) simulation.cancel(id);
    Millis limit = simulation.now() + 1'500'000;
    auto open = [&] {
        for (const std::string& id : ids) {
            if (simulation.final_state(id).empty()) return id;
        }
        return std::string();
    };
    while (!open().empty() && simulation.now() < limit && !testing::Test::HasFailure()) {
        simulation.run_until(simulation.now() + 5000);
    }
    std::string stuck;
    for (const auto& [id, j] : simulation.leader()->open_jobs()) {
        if (j->state == jobs::JobState::finished) continue;
        stuck += id + " is " + jobs::name(j->state) + ":";
        for (const auto& attempt : j->attempts) {
            stuck += std::string(" ") + jobs::name(attempt->state) +
                     (attempt->stop_wanted ? "(stopping)" : "");
        }
        stuck += "; ";
    }
    EXPECT_EQ(open(), "") << "is not done long after the troubles; " << stuck
                          << simulation.describe_running();
    EXPECT_GT(simulation.started_tasks(), 20u);
    // What is settled at the cloud is on no record for ever.
    for (int n = 0; n < 200 && simulation.recorded_intents() > 0; ++n)
        simulation.run_until(simulation.now() + 5'000);
    EXPECT_EQ(simulation.recorded_intents(), 0u);
    return simulation.accepted_shard_grants();
}

// Days with these seeds, until one fails; how many grants holders took up.
std::size_t random_days(std::uint64_t from, std::uint64_t to, Faults faults,
                        const std::function<std::uint32_t(std::uint64_t)>& share) {
    std::size_t lent = 0;
    for (std::uint64_t seed = from; seed < to && !testing::Test::HasFailure(); ++seed) {
        lent += random_day(seed, faults, share(seed));
    }
    return lent;
}
std::uint32_t none(std::uint64_t) { return 0; }

TEST(ControlLoop, RulesHoldWithoutFaults) { random_days(1, 5, {}, none); }

TEST(ControlLoop, RulesHoldWithLostAndLateMessages) {
    Faults faults;
    faults.lost_command_replies = 0.1;
    faults.delayed_commands = 0.05;
    faults.unknown_commits = 0.1;
    faults.lost_heartbeats = 0.1;
    random_days(10, 22, faults, none);
}

TEST(ControlLoop, RulesHoldDuringFailoversWithLingeringOldLeaders) {
    Faults faults;
    faults.failovers_per_s = 0.04;
    faults.lingering_old_leaders = 0.6;
    faults.delayed_commands = 0.05;
    faults.lost_heartbeats = 0.05;
    random_days(30, 42, faults, none);
}

TEST(ControlLoop, RulesHoldWithAllFaultsAtOnce) {
    Faults faults{0.08, 0.04, 0.08, 0.08, 0.3, 0.1, 0.02, 0.03, 0.5};
    random_days(50, 66, faults, none);
}

TEST(ControlLoop, RulesHoldWithShardsOfOtherControllers) {
    EXPECT_GT(random_days(70, 78, {}, [](std::uint64_t) { return 1; }), 50u);
}

TEST(ControlLoop, RulesHoldWhenShardHoldersDieOrLoseTheLeader) {
    Faults faults;
    faults.holder_failures_per_s = 0.04;
    faults.lost_peer_messages = 0.3;
    faults.failovers_per_s = 0.02;
    faults.lingering_old_leaders = 0.5;
    faults.delayed_commands = 0.05;
    faults.lost_command_replies = 0.05;
    faults.unknown_commits = 0.05;
    faults.machine_failures_per_s = 0.01;
    auto share = [](std::uint64_t seed) { return static_cast<std::uint32_t>(1 + seed % 2); };
    EXPECT_GT(random_days(80, 100, faults, share), 50u);
}

// A cloud that executes rentals and returns a minute late, or does and says nothing, with leaders
// that come and go: returns once took machines away that a later leader had placed work on.
TEST(ControlLoop, RulesHoldWithALateCloudAndFailovers) {
    Faults faults;
    faults.late_cloud_calls = 0.2;
    faults.lost_cloud_replies = 0.1;
    faults.cloud_list_lag = 3'000;
    faults.failovers_per_s = 0.04;
    faults.lingering_old_leaders = 0.5;
    faults.unknown_commits = 0.05;
    random_days(200, 216, faults, none);
}

// A blow at every step: as the leader sends its n-th message to the state service or the cloud, it
// ends, or stands still and the message goes out when it is long replaced, or the message alone is
// held up. Three machines are needed; more were once rented by each successor.
TEST(ControlLoop, AFaultAtAnySendProvisionsNothingTwice) {
    for (test::SendFault fault :
         {test::SendFault::crash, test::SendFault::freeze, test::SendFault::delay}) {
        for (std::size_t step = 1; step < 400; ++step) {
            SCOPED_TRACE("blow " + std::to_string(static_cast<int>(fault)) + " at step " +
                         std::to_string(step));
            Faults faults;
            faults.cloud_list_lag = 3'000;
            ClusterSimulation simulation(7, faults, 0,
                                         {{"g4", 16, 4, 64, 50, 1, 10, 4, 30, {"a", "b"}}});
            admin::Options options;
            options.idle_retention_margin = options.provisioning_margin = options.spot_margin =
                options.replica_margin = 0;
            simulation.set_options(options);
            simulation.inject_at_send(step, fault);
            simulation.submit(job("job-1", "standing", 3, 4));  // a machine each
            auto running = [&] {
                return simulation.running_tasks("a") + simulation.running_tasks("b");
            };
            for (int n = 0; n < 60 && running() < 3; ++n)
                simulation.run_until(simulation.now() + 5'000);
            EXPECT_EQ(running(), 3u);
            simulation.cancel("job-1");
            for (int n = 0; n < 60 && simulation.final_state("job-1").empty(); ++n)
                simulation.run_until(simulation.now() + 5'000);
            EXPECT_EQ(simulation.final_state("job-1"), "withdrawn");
            // Nothing waits any more: all goes back, once.
            simulation.run_until(simulation.now() + 900'000);
            EXPECT_EQ(simulation.provisioned_machines(), 3u);
            EXPECT_EQ(simulation.released_machines(), 3u);
            EXPECT_EQ(simulation.recorded_intents(), 0u);
            if (HasFailure()) return;
            if (!simulation.injected()) break;  // that was all of it
        }
    }
}

// The leader stands still as it sends machines back; they go 25 s later, and work has come
// meanwhile. The successor finds them on record as leaving, and places it elsewhere.
TEST(ControlLoop, MachinesBeingReleasedGetNoWorkFromASuccessor) {
    std::size_t tried = 0;
    for (std::uint64_t seed = 11; seed < 16; ++seed) {
        for (std::size_t step = 1; step < 60; ++step) {
            if (HasFailure()) return;
            SCOPED_TRACE(testing::Message() << "seed " << seed << " step " << step);
            ClusterSimulation simulation(seed, {}, 0,
                                         {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}}});
            admin::Options options;
            options.idle_retention_margin = options.provisioning_margin = options.spot_margin =
                options.replica_margin = 0;
            simulation.set_options(options);
            auto done = [&](const std::string& id) {
                simulation.submit(job(id, "sweep", 3, 4));
                for (int n = 0; n < 60 && simulation.final_state(id).empty(); ++n)
                    simulation.run_until(simulation.now() + 5'000);
                EXPECT_EQ(simulation.final_state(id), "done");
            };
            done("job-1");
            simulation.inject_at_send(step, test::SendFault::freeze);
            for (int n = 0; n < 400 && !simulation.injected(); ++n)
                simulation.run_until(simulation.now() + 1'000);
            if (!simulation.injected()) break;
            if (simulation.machines() > simulation.released_machines()) ++tried;
            done("job-2");
        }
    }
    EXPECT_GE(tried, 6u);
}

// A check-in that came between the taking back of a block and the reading of its jobs' records once
// showed tasks that the book did not know yet, and they were stopped as strays.
TEST(ControlLoop, TasksOfAReclaimedShardKeepRunning) {
    std::size_t tried = 0;
    for (std::uint64_t seed = 120; seed < 160 && !HasFailure(); ++seed) {
        ClusterSimulation simulation(seed, {}, 2);
        auto lent_running = [&] {
            std::uint64_t n = 0;
            for (const auto& [id, j] : simulation.leader()->open_jobs()) {
                if (j->delegated_shard != kNone) n += j->delegated_running;
            }
            return n;
        };
        for (int n = 0; n < 300 && lent_running() == 0; ++n) {
            if (n % 12 == 0) {
                auto j = job("job-" + std::to_string(n), "sweep", n == 0 ? 16 : 2, 1);
                j["standby"] = true;
                simulation.submit(j);
            }
            simulation.run_until(simulation.now() + 500);
        }
        if (lent_running() == 0) continue;
        ++tried;
        const std::size_t stops = simulation.stopped_tasks();
        Faults slow;
        slow.list_delay = 4'000;
        simulation.set_faults(slow);
        simulation.restart_holders();
        simulation.run_until(simulation.now() + 15'000);
        EXPECT_EQ(simulation.stopped_tasks(), stops) << "seed " << seed;
    }
    EXPECT_GE(tried, 5u);
}

// One member has its image, the others fetch theirs for longer than it waits: it ended the attempt,
// and their fetches with it, over and over.
TEST(ControlLoop, AGangStartsThoughItsImagesTakeLongerThanItsMembersWait) {
    for (std::uint64_t seed : {901, 902, 903, 904}) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {});
        wire::Json first = job("job-0", "sweep", 1, 4), gang = job("job-1", "ensemble", 3, 4);
        for (wire::Json* j : {&first, &gang}) {
            (*j)["pull_gb"] = 40.0;
            (*j)["bundle"] = "large";
            (*j)["rigs"] = {"g4"};
        }
        simulation.submit(first);
        simulation.run_until(100'000);
        ASSERT_EQ(simulation.final_state("job-0"), "done");
        simulation.submit(gang);
        simulation.run_until(220'000);
        EXPECT_EQ(simulation.final_state("job-1"), "done");
    }
}

// A gang needs its part of its team's limit whole, and small tasks of the same team took whatever
// came free, for as long as they lasted.
TEST(ControlLoop, AGangBlockedByItsTeamsLimitStartsEventually) {
    for (std::uint64_t seed = 921; seed < 926; ++seed) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {});
        wire::Json array = job("job-0", "sweep", 1'500, 1), gang = job("job-1", "ensemble", 4, 2);
        simulation.submit(array);
        simulation.run_until(30'000);
        simulation.submit(gang);  // 8 of the team's 12
        const Millis asked = simulation.now();
        // Gathered after 150 s, what comes free is enough soon.
        simulation.run_until(asked + 150'000 + 30'000);
        EXPECT_EQ(simulation.final_state("job-1"), "done") << simulation.describe_running();
        EXPECT_EQ(simulation.final_state("job-0"), "");
        // And long tasks of lower priority are stopped for one.
        ClusterSimulation other(seed, {});
        for (int n = 0; n < 12; ++n) {
            wire::Json replica = job("job-" + std::to_string(n), "standing", 1, 1);
            replica["urgency"] = "normal";
            other.submit(replica);
        }
        other.run_until(30'000);
        ASSERT_EQ(other.running_tasks("a") + other.running_tasks("b"), 12u);
        gang["id"] = "job-20";
        other.submit(gang);
        other.run_until(other.now() + 170'000);
        EXPECT_EQ(other.running_tasks("a") + other.running_tasks("b"), 12u);
        other.run_until(other.now() + 60'000);
        EXPECT_EQ(other.final_state("job-20"), "done") << other.describe_running();
    }
}

// What was gathered for a gang is not kept for ever when no machine comes for it.
TEST(ControlLoop, ReservedMachinesAreUsedWhenNoNewMachineArrives) {
    ClusterSimulation simulation(927, {});
    wire::Json array = job("job-0", "sweep", 2'000, 1), gang = job("job-1", "ensemble", 2, 4);
    array["yard"] = "a";
    gang["yard"] = "b";
    simulation.submit(array);
    simulation.run_until(60'000);
    ASSERT_GE(simulation.running_tasks("a"), 8u);
    Faults full;
    full.exhausted_zone = "b";
    simulation.set_faults(full);
    simulation.submit(gang);
    simulation.run_until(simulation.now() + 150'000);
    bool gathered = false;
    std::size_t most = 0;  // after that
    for (int n = 0; n < 100; ++n) {
        simulation.run_until(simulation.now() + 1'000);
        gathered |= simulation.running_tasks("a") <= 4;
        if (gathered) most = std::max(most, simulation.running_tasks("a"));
    }
    EXPECT_TRUE(gathered);
    EXPECT_GE(most, 8u);
}

// A job that was submitted with a mistake fails everywhere until it is cancelled: it takes one
// place at a time, no machine is blamed for it, and other work is served as ever.
TEST(ControlLoop, AFaultyJobUsesLittleAndQuarantinesNoMachine) {
    for (std::uint64_t seed : {911, 912, 913}) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {});
        wire::Json bad = job("job-0", "sweep", 60, 1);
        simulation.make_job_fail("job-0");
        simulation.submit(bad);
        simulation.run_until(60'000);
        const std::size_t first = simulation.started_tasks();
        for (int n = 1; n <= 6; ++n) {
            wire::Json good = job("job-" + std::to_string(n), "sweep", 10, 1);
            good["crew"] = "blue";
            simulation.submit(good);
            simulation.run_until(simulation.now() + 20'000);
        }
        simulation.run_until(300'000);
        for (int n = 1; n <= 6; ++n)
            EXPECT_EQ(simulation.final_state("job-" + std::to_string(n)), "done") << n;
        EXPECT_LE(simulation.started_tasks(),
                  first + 60 + 12);  // all of the others', few of its own
        for (const auto* machine : simulation.leader()->registry().all())
            EXPECT_TRUE(machine->failed_jobs.empty()) << machine->name;
        simulation.cancel("job-0");
        simulation.run_until(360'000);
        EXPECT_EQ(simulation.final_state("job-0"), "withdrawn");
    }
}

}  // namespace
