// Once all faults have ended, no job waits for 90 s while a machine that fits has free capacity and
// the job's team is below its quota (docs/design/waiting-jobs.md). Whether a job would fit is
// computed from the state of the simulation.
#include <gtest/gtest.h>

#include "tests/cluster_simulation.h"

namespace {

using namespace nickelramp;
using test::ClusterSimulation;
using test::Faults;
using test::job;
using test::Partition;

constexpr Millis kMaxWait = 90'000;

Faults no_capacity() {
    Faults faults;
    faults.refused_provisioning = 1;  // no machine can be provisioned
    return faults;
}

// Runs jobs of all shapes under two kinds of faults, then ends the faults. With every other seed
// the cloud has no capacity from then on. Returns the longest wait after the faults.
Millis longest_wait_after_faults(std::uint64_t seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    auto below = [&](Millis most) { return static_cast<Millis>(random() % most); };
    Faults faults;
    bool jobs_fail = false, one_way_partitions = false, partitions = false;
    for (std::uint64_t kind : {seed % 8, seed / 8 % 8}) {
        if (kind == 0) faults.faulty_machines = 0.6;
        if (kind == 1) jobs_fail = true;
        if (kind == 2)
            faults.refused_provisioning = 0.5, faults.unknown_commits = 0.2,
            faults.late_cloud_calls = 0.2;
        if (kind == 3) one_way_partitions = true;
        if (kind == 4) partitions = true;
        if (kind == 5)
            faults.holder_failures_per_s = 0.03, faults.lost_peer_messages = 0.3,
            faults.lost_shard_grants = 0.3;
        if (kind == 6)
            faults.machine_failures_per_s = 0.05, faults.failovers_per_s = 0.03,
            faults.lingering_old_leaders = 0.5;
        if (kind == 7)
            faults.late_heartbeat_copies = 0.3, faults.worker_restarts_per_s = 0.02,
            faults.lost_command_replies = 0.2, faults.delayed_commands = 0.1;
    }
    ClusterSimulation simulation(seed, faults,
                                 seed % 3 == 0 || faults.holder_failures_per_s > 0 ? 2 : 0);
    const char* shapes[] = {"sweep", "ensemble", "sweep", "standing"};
    int jobs = 0;
    auto submit = [&] {
        const std::string id = "job-" + std::to_string(jobs);
        const auto tasks = 1 + random() % 5;
        const auto gpus = 1 + random() % 2;
        wire::Json spec = job(id, shapes[jobs % 4], tasks, gpus);
        if (jobs % 4 == 3) {
            spec["legs"] = 1 + random() % 2;
            spec["cards"] = 1;
        }
        if (random() % 2 == 0) spec["crew"] = "blue";
        if (random() % 4 == 0)
            spec["scatter"] = true;
        else if (random() % 4 == 0)
            spec["one_zone"] = true;
        if (random() % 5 == 0) spec["yard"] = random() % 2 == 0 ? "a" : "b";
        if (random() % 3 == 0) spec["standby"] = true;
        if (random() % 4 == 0 && spec["legs"] != 5) spec["rigs"] = wire::Json::array({"g4"});
        if (random() % 6 == 0) spec["urgency"] = "best_effort";
        if (jobs_fail && jobs % 3 == 1) simulation.make_job_fail(id);
        simulation.submit(spec);
        ++jobs;
    };
    const Millis end = 120'000 + below(120'000);
    while (simulation.now() < end && !testing::Test::HasFailure()) {
        submit();
        if (random() % 4 == 0) simulation.cancel("job-" + std::to_string(below(jobs)));
        const auto names = simulation.working_machines();
        if (one_way_partitions && !names.empty() && random() % 2 == 0) {
            const std::string& name = names[below(static_cast<Millis>(names.size()))];
            const Millis until = std::min(end, simulation.now() + 5'000 + below(60'000));
            random() % 2 == 0 ? simulation.block_inbound(name, until)
                              : simulation.block_commands(name, until);
        }
        if (partitions && random() % 4 == 0) {
            Partition partition;
            partition.zone = random() % 2 == 0 ? "a" : "b";
            partition.share = 0.3 + 0.35 * static_cast<double>(below(3));
            partition.freezes_machines = random() % 2 == 0;
            partition.delays_commands = random() % 2 == 0;
            partition.from = simulation.now();
            partition.until = std::min(end, simulation.now() + 5'000 + below(50'000));
            simulation.partition(partition);
        }
        simulation.run_until(simulation.now() + 2'000 + below(12'000));
    }
    if (seed % 5 == 0) simulation.fail_over();
    simulation.clear_faults();
    simulation.repair_faulty_machines();
    if (seed % 2 == 0) simulation.set_faults(no_capacity());
    simulation.expect_wait_below(kMaxWait);
    for (int n = 0; n < 12 && !testing::Test::HasFailure(); ++n) {
        if (n % 3 == 0) submit();
        simulation.run_until(simulation.now() + 20'000);
    }
    return simulation.longest_wait();
}

TEST(WaitingJobs, NoJobIsLeftWaitingOnceFaultsAreOver) {
    std::size_t waited = 0;
    Millis longest = 0;
    for (std::uint64_t seed = 1; seed <= 64 && !HasFailure(); ++seed) {
        const Millis wait = longest_wait_after_faults(seed);
        waited += wait > 5'000 ? 1 : 0;
        longest = std::max(longest, wait);
    }
    EXPECT_GT(waited, 15u);
    EXPECT_LT(longest, kMaxWait);
}

// On every machine, each task fails until the machine is repaired, so the back-off of the job
// grows.
TEST(WaitingJobs, BackoffsEndSoonAfterTheFaultDoes) {
    for (std::uint64_t seed = 1; seed <= 6 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        Faults faults;
        faults.faulty_machines = 1;
        ClusterSimulation simulation(seed, faults);
        simulation.submit(job("job-0", "sweep", 6, 1));
        simulation.run_until(400'000);
        for (const auto& [id, j] : simulation.leader()->open_jobs())
            EXPECT_GT(j->backoff_count, 4u);
        simulation.clear_faults();
        simulation.repair_faulty_machines();
        simulation.expect_wait_below(kMaxWait);
        const Millis from = simulation.now();
        while (simulation.final_state("job-0").empty() && simulation.now() < from + 200'000 &&
               !HasFailure())
            simulation.run_until(simulation.now() + 1'000);
        EXPECT_LT(simulation.now() - from, kMaxWait);
    }
}

// A job that always fails and a job that does not fail compete for the only slot.
TEST(WaitingJobs, AFaultyJobLeavesTheOnlySlotToOthers) {
    for (std::uint64_t seed = 1; seed <= 6 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {});
        wire::Json failing = job("job-0", "sweep", 1, 2), healthy = job("job-1", "sweep", 1, 2);
        wire::Json service = job("job-2", "standing", 1, 2);  // keeps the machine
        failing["yard"] = healthy["yard"] = service["yard"] = "b";
        failing["urgency"] = "urgent";
        simulation.make_job_fail("job-0");
        simulation.submit(service);
        simulation.run_until(35'000);
        simulation.set_faults(no_capacity());
        simulation.submit(failing);
        simulation.run_until(36'000);
        simulation.submit(healthy);
        simulation.expect_wait_below(kMaxWait);
        simulation.run_until(240'000);
        EXPECT_EQ(simulation.final_state("job-1"), "done")
            << simulation.describe_running() << simulation.describe_cluster_state();
    }
}

// Capacity is withheld from a job for other work while the cloud is down. With even seeds, empty
// machines are kept for a gang that waits for quota. With odd seeds, a machine type is kept for
// work that fits no other type.
TEST(WaitingJobs, WithheldCapacityIsNotWithheldForever) {
    for (std::uint64_t seed = 1; seed <= 8 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        const bool kept_for_gang = seed % 2 == 0;
        ClusterSimulation simulation(
            seed, {}, 0,
            {{"g4", 16, 4, 64, 50, 1, kept_for_gang ? 10.0 : 20.0, 4, 10, {"a", "b"}},
             {"g2", 8, 2, 32, 50, 1, 6, 3, 10, {"a"}}});
        wire::Json service = job("job-0", "standing", 3, 2), gang = job("job-1", "ensemble", 3, 4);
        wire::Json other = job("job-2", "ensemble", 4, 4);  // leaves empty machines behind
        service["yard"] = "a";
        other["crew"] = "blue";
        gang["rigs"] = other["rigs"] = wire::Json::array({"g4"});
        if (kept_for_gang) simulation.submit(service);
        simulation.submit(other);
        while (simulation.final_state("job-2").empty() && simulation.now() < 120'000)
            simulation.run_until(simulation.now() + 100);
        Faults faults;
        faults.cloud_down = true;
        simulation.set_faults(faults);
        if (kept_for_gang) simulation.submit(gang);  // 6 of the team's 12 gpus are in use
        simulation.run_until(simulation.now() + 1'000);
        wire::Json array = job("job-3", "sweep", 1, 1);
        array["standby"] = kept_for_gang;
        if (kept_for_gang) array["yard"] = "b";
        simulation.submit(array);
        simulation.expect_wait_below(kMaxWait);
        simulation.run_until(simulation.now() + 110'000);
        EXPECT_EQ(simulation.final_state("job-3"), "done")
            << simulation.describe_running() << simulation.describe_cluster_state();
        EXPECT_GT(simulation.longest_wait(), 50'000)
            << kept_for_gang;  // it was withheld until then
    }
}

// All shard grants are lost, so the holder never receives a job that was delegated to it.
TEST(WaitingJobs, AJobItsHolderNeverReceivedIsReclaimed) {
    std::size_t lost = 0;
    for (std::uint64_t seed = 1; seed <= 8 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {}, 2);
        simulation.submit(job("job-0", "ensemble", 4, 2));  // leaves machines for shards
        while (simulation.accepted_shard_grants() == 0 && simulation.now() < 200'000)
            simulation.run_until(simulation.now() + 200);
        Faults faults;
        faults.lost_shard_grants = 1;
        simulation.set_faults(faults);
        for (int n = 1; n <= 4; ++n)
            simulation.submit(job("job-" + std::to_string(n), "sweep", 2, 1));
        simulation.expect_wait_below(kMaxWait);
        simulation.run_until(simulation.now() + 2'000);
        for (const auto& [id, j] : simulation.leader()->open_jobs())
            lost += j->delegated_shard != kNone ? 1 : 0;
        simulation.run_until(simulation.now() + 110'000);
        for (int n = 1; n <= 4; ++n)
            EXPECT_EQ(simulation.final_state("job-" + std::to_string(n)), "done")
                << simulation.describe_cluster_state();
    }
    EXPECT_GT(lost, 6u);
}

// The only record of a task names a machine that was lost under an earlier leader.
TEST(WaitingJobs, TasksOfALongGoneMachineAreRestartedSoon) {
    for (std::uint64_t seed = 1; seed <= 6 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {});
        wire::Json one = job("job-0", "sweep", 1, 1), service = job("job-1", "standing", 1, 1);
        one["yard"] = service["yard"] = "b";
        simulation.set_task_duration("job-0", 40'000);
        simulation.submit(one);
        simulation.run_until(25'000);
        ASSERT_EQ(simulation.running_tasks("b"), 1u);
        simulation.set_faults(no_capacity());
        simulation.preempt_zone("b");
        simulation.run_until(70'000);
        simulation.fail_over();
        ASSERT_EQ(simulation.leader()->open_jobs().at("job-0")->live_attempts,
                  1u);  // according to the record
        simulation.clear_faults();
        simulation.submit(service);
        simulation.expect_wait_below(35'000);
        simulation.run_until(180'000);
        EXPECT_EQ(simulation.final_state("job-0"), "done") << simulation.describe_cluster_state();
    }
}

// Only half of a spread gang fits. No task is stopped and no capacity is reserved for it.
TEST(WaitingJobs, NoCapacityIsReservedForHalfAGang) {
    for (std::uint64_t seed = 1; seed <= 4 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        Faults faults;
        faults.exhausted_zone = "b";
        ClusterSimulation simulation(seed, faults);
        for (int n = 0; n < 4; ++n) {
            wire::Json low = job("job-" + std::to_string(n), "standing", 1, 4);
            low["crew"] = "blue";
            low["urgency"] = "best_effort";
            simulation.submit(low);
        }
        simulation.run_until(45'000);
        ASSERT_EQ(simulation.running_tasks("a"), 4u);
        simulation.set_faults(no_capacity());
        wire::Json gang = job("job-9", "ensemble", 3, 4);
        gang["scatter"] = true;
        simulation.submit(gang);
        simulation.expect_wait_below(kMaxWait);
        simulation.run_until(240'000);
        EXPECT_EQ(simulation.running_tasks("a"), 4u) << simulation.describe_running();
    }
}

// Quota reserved for a gang is withheld from other jobs of its team for a limited time only.
TEST(WaitingJobs, QuotaReservedForAGangIsNotReservedForever) {
    for (std::uint64_t seed = 1; seed <= 4 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {});
        wire::Json array = job("job-0", "sweep", 5, 2);  // uses 10 of the 12 gpus of the team
        array["urgency"] = "urgent";
        simulation.set_task_duration("job-0", 900'000);
        simulation.submit(array);
        simulation.run_until(30'000);
        simulation.submit(job("job-1", "ensemble", 4, 2));
        simulation.run_until(182'000);
        ASSERT_EQ(simulation.leader()->open_jobs().at("job-1")->live_attempts, 0u);
        simulation.submit(job("job-2", "sweep", 1, 1));
        simulation.expect_wait_below(kMaxWait);
        const Millis from = simulation.now();
        while (simulation.final_state("job-2").empty() && simulation.now() < from + 120'000 &&
               !HasFailure())
            simulation.run_until(simulation.now() + 500);
        EXPECT_GT(simulation.longest_wait(), 20'000);  // the quota was reserved
        EXPECT_LT(simulation.longest_wait(), jobs::kMaxWithholdingTime + 10'000);
    }
}

// A long job occupies a shard on which other jobs would fit that cannot be delegated.
TEST(WaitingJobs, AShardIsReclaimedWhenOthersNeedItsCapacity) {
    std::size_t kept = 0;
    for (std::uint64_t seed = 1; seed <= 8 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {}, 2);
        simulation.submit(job("job-0", "ensemble", 4, 2));  // leaves machines for shards
        while (simulation.accepted_shard_grants() == 0 && simulation.now() < 200'000)
            simulation.run_until(simulation.now() + 200);
        simulation.set_task_duration("job-1", 900'000);
        simulation.submit(job("job-1", "sweep", 1, 1));
        simulation.run_until(simulation.now() + 8'000);
        if (simulation.leader()->open_jobs().at("job-1")->delegated_shard == kNone) continue;
        ++kept;
        simulation.set_faults(no_capacity());
        for (int n = 2; n < 8; ++n) {
            wire::Json replica = job("job-" + std::to_string(n), "standing", 1, 2);
            if (n % 2 == 0) replica["crew"] = "blue";
            simulation.submit(replica);
        }
        simulation.expect_wait_below(kMaxWait);
        simulation.run_until(simulation.now() + 150'000);
    }
    EXPECT_GT(kept, 4u);
}

// 320 machines of one kind have free cpus but too little free memory. The one that fits is found
// last.
TEST(WaitingJobs, TheOnlyFittingMachineIsFoundAmongMany) {
    ClusterSimulation simulation(1, {}, 0, {{"m", 64, 0, 8, 50, 1, 10, 4, 10, {"a"}}});
    wire::Json many = job("job-0", "standing", 320, 0), one = job("job-1", "sweep", 1, 0);
    many["mem_gb"] = 6.0;
    simulation.submit(many);
    simulation.run_until(60'000);
    ASSERT_EQ(simulation.running_tasks("a"), 320u);
    simulation.submit(one);
    simulation.expect_wait_below(kMaxWait);
    simulation.run_until(200'000);
    EXPECT_EQ(simulation.final_state("job-1"), "done");
}

}  // namespace
