// Tests the control loop in simulated clusters. Under any faults no rule of the protocol is broken,
// and every job finishes after the faults end.
#include <gtest/gtest.h>

#include <functional>

#include "tests/cluster_simulation.h"
#include "tests/simulated_day.h"

namespace {

using namespace nickelramp;
using test::ClusterSimulation;
using test::Faults;
using test::job;

wire::Json random_job(std::mt19937_64& random, int n) {
    const char* shapes[] = {"sweep", "sweep", "ensemble", "standing"};
    const std::string shape = shapes[random() % 4];
    const auto tasks = 1 + static_cast<std::uint32_t>(random() % 5);
    wire::Json spec =
        job("job-" + std::to_string(n), shape, tasks, 1 + static_cast<double>(random() % 2));
    if (random() % 3 == 0) spec["crew"] = "blue";
    if (random() % 4 == 0)
        spec["one_zone"] = true;
    else if (random() % 4 == 0)
        spec["scatter"] = true;
    if (random() % 3 == 0) spec["standby"] = true;
    if (random() % 5 == 0 && spec["scatter"] == false) spec["yard"] = "a";
    if (random() % 6 == 0) spec["rigs"] = {"g4"};
    if (random() % 8 == 0 && shape == "sweep") spec["legs"] = 150;  // needs several checkpoints
    return spec;
}

// Returns the first of the jobs without a final state, or an empty string if all have one.
std::string first_open_job(const ClusterSimulation& simulation,
                           const std::vector<std::string>& ids) {
    for (const std::string& id : ids) {
        if (simulation.final_state(id).empty()) return id;
    }
    return {};
}

// Describes the states of the leader's open jobs and their attempts for failure messages.
std::string describe_open_jobs(ClusterSimulation& simulation) {
    std::string description;
    for (const auto& [id, job] : simulation.leader()->open_jobs()) {
        if (job->state == jobs::JobState::finished) continue;
        description += id + " is " + jobs::name(job->state) + ":";
        for (const auto& attempt : job->attempts) {
            description += std::string(" ") + jobs::name(attempt->state) +
                           (attempt->stop_requested ? "(stopping)" : "");
        }
        description += "; ";
    }
    return description;
}

// Submits 14 random jobs and cancels some of them while faults occur. Adds the ids of the jobs to
// `ids` and returns those of the services.
std::vector<std::string> submit_random_jobs(ClusterSimulation& simulation, std::mt19937_64& random,
                                            std::vector<std::string>& ids) {
    std::vector<std::string> services;
    for (int n = 0; n < 14; ++n) {
        const wire::Json spec = random_job(random, n);
        ids.push_back(spec["id"]);
        if (spec["shape"] == "standing") services.push_back(ids.back());
        simulation.submit(spec);
        simulation.run_until(simulation.now() + static_cast<Millis>(random() % 12'000));
        if (random() % 4 == 0) simulation.cancel(ids[random() % ids.size()]);
        if (testing::Test::HasFailure()) {
            ADD_FAILURE() << spec << simulation.describe_running();
            return {};
        }
    }
    return services;
}

// Runs random jobs under random faults, then clears the faults and expects all jobs to finish.
// Returns how many shard grants the holders accepted.
std::size_t run_random_simulation(std::uint64_t seed, const Faults& faults,
                                  std::uint32_t shard_share) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ClusterSimulation simulation(seed, faults, shard_share);
    std::mt19937_64 random(seed * 31 + 1);
    std::vector<std::string> ids;
    const std::vector<std::string> services = submit_random_jobs(simulation, random, ids);
    if (testing::Test::HasFailure()) return 0;
    simulation.run_until(simulation.now() + 20'000);
    simulation.clear_faults();
    for (const std::string& id : services) simulation.cancel(id);
    const Millis limit = simulation.now() + 1'500'000;
    while (!first_open_job(simulation, ids).empty() && simulation.now() < limit &&
           !testing::Test::HasFailure()) {
        simulation.run_until(simulation.now() + 5'000);
    }
    EXPECT_EQ(first_open_job(simulation, ids), "")
        << "is not finished long after the faults ended; " << describe_open_jobs(simulation)
        << simulation.describe_running();
    EXPECT_GT(simulation.started_tasks(), 20u);
    // Recorded intents are removed once the cloud has replied.
    for (int n = 0; n < 200 && simulation.recorded_intents() > 0; ++n)
        simulation.run_until(simulation.now() + 5'000);
    EXPECT_EQ(simulation.recorded_intents(), 0u);
    return simulation.accepted_shard_grants();
}

// Runs simulations with the seeds from `from` to `to` - 1 until one fails. `shard_share` is a
// function of the seed. Returns how many shard grants the holders accepted.
std::size_t run_random_simulations(std::uint64_t from, std::uint64_t to, const Faults& faults,
                                   const std::function<std::uint32_t(std::uint64_t)>& shard_share) {
    std::size_t accepted_grants = 0;
    for (std::uint64_t seed = from; seed < to && !testing::Test::HasFailure(); ++seed)
        accepted_grants += run_random_simulation(seed, faults, shard_share(seed));
    return accepted_grants;
}
std::uint32_t no_shards(std::uint64_t) { return 0; }

std::size_t running_tasks(const ClusterSimulation& simulation) {
    return simulation.running_tasks("a") + simulation.running_tasks("b");
}

TEST(ControlLoop, RulesHoldWithoutFaults) { run_random_simulations(1, 5, {}, no_shards); }

TEST(ControlLoop, RulesHoldWithLostAndLateMessages) {
    Faults faults;
    faults.lost_command_replies = 0.1;
    faults.delayed_commands = 0.05;
    faults.unknown_commits = 0.1;
    faults.lost_heartbeats = 0.1;
    run_random_simulations(10, 22, faults, no_shards);
}

TEST(ControlLoop, RulesHoldDuringFailoversWithLingeringOldLeaders) {
    Faults faults;
    faults.failovers_per_s = 0.04;
    faults.lingering_old_leaders = 0.6;
    faults.delayed_commands = 0.05;
    faults.lost_heartbeats = 0.05;
    run_random_simulations(30, 42, faults, no_shards);
}

TEST(ControlLoop, RulesHoldWithAllFaultsAtOnce) {
    Faults faults{0.08, 0.04, 0.08, 0.08, 0.3, 0.1, 0.02, 0.03, 0.5};
    run_random_simulations(50, 66, faults, no_shards);
}

TEST(ControlLoop, RulesHoldWithShardsOfOtherControllers) {
    EXPECT_GT(run_random_simulations(70, 78, {}, [](std::uint64_t) { return 1; }), 50u);
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
    const auto shard_share = [](std::uint64_t seed) {
        return static_cast<std::uint32_t>(1 + seed % 2);
    };
    EXPECT_GT(run_random_simulations(80, 100, faults, shard_share), 50u);
}

// The cloud executes provisioning and release requests a minute late or without a reply while
// leaders change. Guards against late releases that remove machines on which a later leader has
// placed tasks.
TEST(ControlLoop, RulesHoldWithALateCloudAndFailovers) {
    Faults faults;
    faults.late_cloud_calls = 0.2;
    faults.lost_cloud_replies = 0.1;
    faults.cloud_list_lag = 3'000;
    faults.failovers_per_s = 0.04;
    faults.lingering_old_leaders = 0.5;
    faults.unknown_commits = 0.05;
    run_random_simulations(200, 216, faults, no_shards);
}

// Injects a fault when the leader sends its n-th message to the key-value store or the cloud, for
// every n. The leader crashes, or freezes and sends the message long after it was replaced, or only
// the message is delayed. Three machines are needed. Guards against successors that each provision
// further machines.
TEST(ControlLoop, AFaultAtAnySendProvisionsNothingTwice) {
    for (test::SendFault fault :
         {test::SendFault::crash, test::SendFault::freeze, test::SendFault::delay}) {
        for (std::size_t step = 1; step < 400; ++step) {
            SCOPED_TRACE("fault " + std::to_string(static_cast<int>(fault)) + " at step " +
                         std::to_string(step));
            Faults faults;
            faults.cloud_list_lag = 3'000;
            ClusterSimulation simulation(7, faults, 0,
                                         {{"g4", 16, 4, 64, 50, 1, 10, 4, 30, {"a", "b"}}});
            simulation.set_options(test::options_without_margins());
            simulation.inject_at_send(step, fault);
            simulation.submit(job("job-1", "standing", 3, 4));  // a machine each
            for (int n = 0; n < 60 && running_tasks(simulation) < 3; ++n)
                simulation.run_until(simulation.now() + 5'000);
            EXPECT_EQ(running_tasks(simulation), 3u);
            simulation.cancel("job-1");
            for (int n = 0; n < 60 && simulation.final_state("job-1").empty(); ++n)
                simulation.run_until(simulation.now() + 5'000);
            EXPECT_EQ(simulation.final_state("job-1"), "withdrawn");
            // Without any job all machines are released, each of them once.
            simulation.run_until(simulation.now() + 900'000);
            EXPECT_EQ(simulation.provisioned_machines(), 3u);
            EXPECT_EQ(simulation.released_machines(), 3u);
            EXPECT_EQ(simulation.recorded_intents(), 0u);
            if (HasFailure()) return;
            if (!simulation.injected()) break;  // the leader sent fewer messages
        }
    }
}

// The leader freezes while it releases machines, which are removed 25 s later. A job is submitted
// in between. The successor finds the recorded releases and places the job's tasks on other
// machines.
TEST(ControlLoop, MachinesBeingReleasedGetNoWorkFromASuccessor) {
    std::size_t tried = 0;
    for (std::uint64_t seed = 11; seed < 16; ++seed) {
        for (std::size_t step = 1; step < 60; ++step) {
            if (HasFailure()) return;
            SCOPED_TRACE(testing::Message() << "seed " << seed << " step " << step);
            ClusterSimulation simulation(seed, {}, 0,
                                         {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}}});
            simulation.set_options(test::options_without_margins());
            const auto run_job = [&](const std::string& id) {
                simulation.submit(job(id, "sweep", 3, 4));
                for (int n = 0; n < 60 && simulation.final_state(id).empty(); ++n)
                    simulation.run_until(simulation.now() + 5'000);
                EXPECT_EQ(simulation.final_state(id), "done");
            };
            run_job("job-1");
            simulation.inject_at_send(step, test::SendFault::freeze);
            for (int n = 0; n < 400 && !simulation.injected(); ++n)
                simulation.run_until(simulation.now() + 1'000);
            if (!simulation.injected()) break;
            if (simulation.machines() > simulation.released_machines()) ++tried;
            run_job("job-2");
        }
    }
    EXPECT_GE(tried, 6u);
}

// Guards against tasks that are stopped as unknown when a heartbeat lists them after their shard
// was reclaimed but before the records of its jobs were read.
TEST(ControlLoop, TasksOfAReclaimedShardKeepRunning) {
    std::size_t tried = 0;
    for (std::uint64_t seed = 120; seed < 160 && !HasFailure(); ++seed) {
        ClusterSimulation simulation(seed, {}, 2);
        const auto running_in_shards = [&] {
            std::uint64_t running = 0;
            for (const auto& [id, job] : simulation.leader()->open_jobs()) {
                if (job->delegated_shard != kNone) running += job->delegated_running;
            }
            return running;
        };
        for (int n = 0; n < 300 && running_in_shards() == 0; ++n) {
            if (n % 12 == 0) {
                wire::Json array = job("job-" + std::to_string(n), "sweep", n == 0 ? 16 : 2, 1);
                array["standby"] = true;
                simulation.submit(array);
            }
            simulation.run_until(simulation.now() + 500);
        }
        if (running_in_shards() == 0) continue;
        ++tried;
        const std::size_t stops = simulation.stopped_tasks();
        Faults slow_lists;
        slow_lists.list_delay = 4'000;
        simulation.set_faults(slow_lists);
        simulation.restart_holders();
        simulation.run_until(simulation.now() + 15'000);
        EXPECT_EQ(simulation.stopped_tasks(), stops) << "seed " << seed;
    }
    EXPECT_GE(tried, 5u);
}

// One member of a gang has its image, and the others take longer to fetch theirs than the member
// waits. Guards against a member that repeatedly ends the attempt and with it the others' fetches.
TEST(ControlLoop, AGangStartsThoughItsImagesTakeLongerThanItsMembersWait) {
    for (std::uint64_t seed : {901, 902, 903, 904}) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {});
        wire::Json first = job("job-0", "sweep", 1, 4), gang = job("job-1", "ensemble", 3, 4);
        for (wire::Json* spec : {&first, &gang}) {
            (*spec)["pull_gb"] = 40.0;
            (*spec)["bundle"] = "large";
            (*spec)["rigs"] = {"g4"};
        }
        simulation.submit(first);
        simulation.run_until(100'000);
        ASSERT_EQ(simulation.final_state("job-0"), "done");
        simulation.submit(gang);
        simulation.run_until(220'000);
        EXPECT_EQ(simulation.final_state("job-1"), "done");
    }
}

// A gang needs its share of its team's quota all at once. Guards against small tasks of the same
// team that use all quota as soon as it becomes free.
TEST(ControlLoop, AGangBlockedByItsTeamsLimitStartsEventually) {
    for (std::uint64_t seed = 921; seed < 926; ++seed) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {});
        wire::Json array = job("job-0", "sweep", 1'500, 1), gang = job("job-1", "ensemble", 4, 2);
        simulation.submit(array);
        simulation.run_until(30'000);
        simulation.submit(gang);  // 8 of the team's 12
        const Millis submitted_at = simulation.now();
        // Quota is reserved for the gang after 150 s. Within 30 s enough of it becomes free.
        simulation.run_until(submitted_at + 150'000 + 30'000);
        EXPECT_EQ(simulation.final_state("job-1"), "done") << simulation.describe_running();
        EXPECT_EQ(simulation.final_state("job-0"), "");
        // Long tasks of lower priority are preempted for a gang.
        ClusterSimulation other(seed, {});
        for (int n = 0; n < 12; ++n) {
            wire::Json replica = job("job-" + std::to_string(n), "standing", 1, 1);
            replica["urgency"] = "normal";
            other.submit(replica);
        }
        other.run_until(30'000);
        ASSERT_EQ(running_tasks(other), 12u);
        gang["id"] = "job-20";
        other.submit(gang);
        other.run_until(other.now() + 170'000);
        EXPECT_EQ(running_tasks(other), 12u);
        other.run_until(other.now() + 60'000);
        EXPECT_EQ(other.final_state("job-20"), "done") << other.describe_running();
    }
}

// Quota reserved for a gang is released again if no machine can be provisioned for the gang.
TEST(ControlLoop, ReservedMachinesAreUsedWhenNoNewMachineArrives) {
    ClusterSimulation simulation(927, {});
    wire::Json array = job("job-0", "sweep", 2'000, 1), gang = job("job-1", "ensemble", 2, 4);
    array["yard"] = "a";
    gang["yard"] = "b";
    simulation.submit(array);
    simulation.run_until(60'000);
    ASSERT_GE(simulation.running_tasks("a"), 8u);
    Faults exhausted;
    exhausted.exhausted_zone = "b";
    simulation.set_faults(exhausted);
    simulation.submit(gang);
    simulation.run_until(simulation.now() + 150'000);
    bool reserved = false;
    std::size_t most_running = 0;  // after quota was reserved
    for (int n = 0; n < 100; ++n) {
        simulation.run_until(simulation.now() + 1'000);
        reserved |= simulation.running_tasks("a") <= 4;
        if (reserved) most_running = std::max(most_running, simulation.running_tasks("a"));
    }
    EXPECT_TRUE(reserved);
    EXPECT_GE(most_running, 8u);
}

// A faulty job fails on every machine until it is cancelled. It uses one slot at a time, does not
// cause any machine to be quarantined, and does not delay other jobs.
TEST(ControlLoop, AFaultyJobUsesLittleAndQuarantinesNoMachine) {
    for (std::uint64_t seed : {911, 912, 913}) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {});
        wire::Json faulty = job("job-0", "sweep", 60, 1);
        simulation.make_job_fail("job-0");
        simulation.submit(faulty);
        simulation.run_until(60'000);
        const std::size_t started_before = simulation.started_tasks();
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
                  started_before + 60 + 12);  // 60 tasks of the other jobs, few of the faulty one
        for (const auto* machine : simulation.leader()->registry().all())
            EXPECT_TRUE(machine->failed_jobs.empty()) << machine->name;
        simulation.cancel("job-0");
        simulation.run_until(360'000);
        EXPECT_EQ(simulation.final_state("job-0"), "withdrawn");
    }
}

}  // namespace
