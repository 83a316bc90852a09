// Clusters with machines of several types and prices: where tasks are placed, which replicas are
// moved, and which capacity is kept for other work.
#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <set>

#include "placement/placement_cost.h"
#include "tests/cluster_simulation.h"

namespace {

using namespace nickelramp;
using machines::Machine;

wire::MachineType type(const std::string& name, double cpus, double gpus, double price) {
    return {name, cpus, gpus, 64, 50, 1, price, price * 0.4, 10, {"a", "b"}};
}

admin::Options without_margins() {
    admin::Options options;
    options.delegated_machines = options.idle_retention_margin = options.provisioning_margin =
        options.spot_margin = options.replica_margin = 0;
    return options;
}

std::map<Index, const Machine*> machines_of(test::ClusterSimulation& simulation) {
    std::map<Index, const Machine*> out;
    for (const Machine* machine : simulation.leader()->registry().all())
        out[machine->index] = machine;
    return out;
}

TEST(MachineTypes, TheCostOfASlotIsTheMachineCostPerTask) {
    const placement::Need need{4, 0, 6.2};
    EXPECT_DOUBLE_EQ(placement::hourly_cost_per_task({"s", 16, 0, 32, 50, 1, 0.88, 0.32, 25, {"a"}},
                                                     false, need),
                     0.22);
    EXPECT_DOUBLE_EQ(
        placement::hourly_cost_per_task({"s", 16, 0, 32, 50, 1, 0.88, 0.32, 25, {"a"}}, true, need),
        0.08);
    // The memory limits the machine to two tasks.
    EXPECT_DOUBLE_EQ(placement::hourly_cost_per_task({"m", 16, 0, 13, 50, 1, 0.88, 0.32, 25, {"a"}},
                                                     false, need),
                     0.44);
    EXPECT_TRUE(std::isinf(placement::hourly_cost_per_task(
        {"n", 2, 0, 32, 50, 1, 0.88, 0.32, 25, {"a"}}, false, need)));
}

// Guards against replicas without GPUs that are placed beside gangs because those machines are the
// fullest. They kept the GPU machines in use after the gangs had ended, which caused half of the
// cost of a day.
TEST(MachineTypes, ReplicasWithoutGpusDoNotHoldGpuMachines) {
    test::ClusterSimulation simulation(400, {}, 0,
                                       {type("plain", 8, 0, 0.5), type("gpu", 16, 4, 10)});
    simulation.submit(test::job("job-1", "ensemble", 1, 4));
    simulation.run_until(15'000);
    for (int n = 2; n < 8; ++n) {
        wire::Json spec = test::job("job-" + std::to_string(n), "standing", 1, 0);
        spec["pull_gb"] = 0.0;
        simulation.submit(spec);
    }
    simulation.run_until(120'000);
    std::size_t plain = 0;
    for (const auto& [index, machine] : machines_of(simulation)) {
        if (machine->live_gang_and_service_attempts == machine->live_gang_attempts) continue;
        EXPECT_DOUBLE_EQ(machine->cpus_free + machine->gang_and_service_cpus, 8)
            << machine->name << " holds replicas";
        ++plain;
    }
    EXPECT_GT(plain, 0u);
    EXPECT_EQ(simulation.final_state("job-1"), "done");
}

// Guards against counting one free slot twice when machines of two zones are drained in one pass.
// The replica of the second machine then had no slot and waited until a new machine had booted.
TEST(MachineTypes, MachinesAreNotDrainedOntoTheSameSlots) {
    test::ClusterSimulation simulation(402, {}, 0, {type("g4", 16, 4, 10)});
    simulation.leader()->set_options(without_margins());
    for (int n = 0; n < 12; ++n) {
        simulation.submit(test::job("job-" + std::to_string(n), "standing", 1, 1));
    }
    simulation.run_until(90'000);
    std::map<Index, std::set<std::string>> jobs_on;
    for (const auto& [id, open_job] : simulation.leader()->open_jobs()) {
        for (const auto& attempt : open_job->attempts) {
            if (attempt->live()) jobs_on[attempt->machine].insert(id);
        }
    }
    ASSERT_EQ(jobs_on.size(), 3u);
    // The machine that is kept is one of the two in the same zone.
    const auto machines = machines_of(simulation);
    std::map<Index, int> in_zone;
    for (const auto& [index, ids] : jobs_on) ++in_zone[machines.at(index)->zone];
    ASSERT_EQ(in_zone.size(), 2u);
    Index kept_machine = kNone;
    for (const auto& [index, ids] : jobs_on) {
        if (in_zone[machines.at(index)->zone] == 2) kept_machine = index;
    }
    std::set<std::string> left;
    for (const auto& [index, ids] : jobs_on) {
        ASSERT_EQ(ids.size(), 4u);
        std::size_t keep = index == kept_machine ? 3 : 1;
        for (const std::string& id : ids) {
            if (keep > 0) {
                --keep;
                left.insert(id);
            } else {
                simulation.cancel(id);
            }
        }
    }
    ASSERT_EQ(left.size(), 5u);
    Millis incomplete_since = 0;
    for (Millis end = simulation.now() + 25'000; simulation.now() < end && !HasFailure();) {
        simulation.run_until(simulation.now() + 250);
        std::size_t running = 0;
        for (const std::string& id : left) running += simulation.leader()->progress(id).running;
        if (running == left.size()) incomplete_since = 0;
        if (running < left.size() && incomplete_since == 0) incomplete_since = simulation.now();
        ASSERT_TRUE(incomplete_since == 0 || simulation.now() - incomplete_since < 6'000)
            << running << " of " << left.size() << " replicas run at " << simulation.now();
    }
}

// Guards against preempting tasks for an urgent array on machines where the array is not placed.
TEST(MachineTypes, PreemptionHappensOnlyWhereTheJobMayRun) {
    test::ClusterSimulation simulation(610, {}, 0,
                                       {type("plain", 16, 0, 1), type("gpu", 16, 4, 10)});
    simulation.leader()->set_options(without_margins());
    for (int n = 0; n < 6; ++n) {
        auto array = test::job("job-" + std::to_string(n), "sweep", 60, 1);
        array["urgency"] = "best_effort";
        array["crew"] = n % 2 == 0 ? "red" : "blue";
        simulation.submit(array);
    }
    simulation.run_until(40'000);
    ASSERT_GT(simulation.running_tasks("a") + simulation.running_tasks("b"), 8u);
    const std::size_t stops = simulation.stopped_tasks();
    auto urgent = test::job("job-100", "sweep", 6, 0);
    urgent["urgency"] = "urgent";
    urgent["jobclass"] = "quick";
    simulation.submit(urgent);
    simulation.run_until(44'000);  // before a new machine can boot
    EXPECT_EQ(simulation.stopped_tasks(), stops);
    simulation.run_until(80'000);
    EXPECT_EQ(simulation.final_state("job-100"), "done");
}

// The cloud accepts few requests. Machines for production jobs are requested first, whichever job
// was submitted first.
TEST(MachineTypes, MachinesAreProvisionedForTheMostUrgentWorkFirst) {
    test::ClusterSimulation simulation(611, {}, 0,
                                       {type("plain", 16, 0, 1), type("gpu", 16, 4, 10)});
    simulation.submit(test::job("job-1", "sweep", 40, 0));
    auto replicas = test::job("job-2", "standing", 2, 1);
    simulation.submit(replicas);
    simulation.fail_over();  // so that the first scale-out plan includes both jobs
    simulation.run_until(1'500);
    ASSERT_GE(simulation.provisioned_types().size(), 2u);
    EXPECT_EQ(simulation.provisioned_types().front(), "gpu");
}

// A machine kind that the cloud has refused is requested again after 5 to 20 s, or as soon as a
// machine of the kind is released. Other kinds and zones do not back off. The name of a request is
// never used twice.
TEST(MachineTypes, ProvisioningBackoffIsPerMachineKind) {
    using Result = cloud::ProvisionReply::Result;
    cloud::ProvisioningTracker tracker;
    const cloud::MachineKind spot{0, 1, true}, ordinary{0, 1, false};
    Millis now = 1'000;
    std::set<std::string> names;
    for (Millis wait : {5'000, 10'000, 20'000, 20'000}) {
        ASSERT_FALSE(tracker.is_backing_off(spot, now));
        const std::string name = tracker.start_request(3, 9, spot, 4);
        EXPECT_TRUE(names.insert(name).second);
        EXPECT_EQ(tracker.start_request(3, 9, spot, 1), "");          // one request at a time
        tracker.on_reply(name, {Result::provisioned, {"i-1"}}, now);  // fewer than requested
        EXPECT_TRUE(tracker.requests().empty());
        EXPECT_TRUE(tracker.is_backing_off(spot, now + wait - 1));
        EXPECT_FALSE(tracker.is_backing_off(ordinary, now));
        now += wait;
    }
    tracker.on_reply(tracker.start_request(3, 9, spot, 1), {Result::no_capacity, {}}, now);
    ASSERT_TRUE(tracker.is_backing_off(spot, now + 1));
    tracker.on_machine_freed(spot);
    EXPECT_FALSE(tracker.is_backing_off(spot, now + 1));
    tracker.on_reply(tracker.start_request(3, 9, spot, 1), {Result::rejected, {}}, now);
    EXPECT_TRUE(tracker.is_backing_off(spot, now + 1'400));
    EXPECT_FALSE(tracker.is_backing_off(spot, now + 1'500));
    tracker.on_reply("t3-99", {Result::malformed, {}}, now);  // no such request
    EXPECT_FALSE(tracker.is_backing_off(spot, now + 1'500));
}

}  // namespace
