// Simulated clusters in which heartbeats are forwarded or refused for lack of sockets, or in which
// the leader's commands reach no machine.
#include <gtest/gtest.h>

#include "tests/cluster_simulation.h"

namespace {

using namespace nickelramp;
using test::ClusterSimulation;
using test::Faults;
using test::ForwardingFaults;
using test::job;

TEST(WorkerCapacity, NoMoreMachinesAreProvisionedThanCanSendHeartbeats) {
    ClusterSimulation simulation(5, {});
    simulation.leader()->set_worker_capacity({3, false});
    for (int i = 0; i < 10; ++i) simulation.submit(job("job-" + std::to_string(i), "sweep", 4, 4));
    simulation.run_until(60'000);
    EXPECT_LE(simulation.machines(), 3u);
    ClusterSimulation unlimited(5, {});
    for (int i = 0; i < 10; ++i) unlimited.submit(job("job-" + std::to_string(i), "sweep", 4, 4));
    unlimited.run_until(60'000);
    EXPECT_GT(unlimited.machines(), 3u);
}

// A machine whose heartbeats are refused for lack of sockets looks like an inbound-only machine.
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

// Heartbeats arrive through other controllers while the leader's commands reach no machine. If at
// least one machine answers, the other machines are at fault.
TEST(CommandsLost, OnlyIfNoMachineAnswersAnyCommand) {
    for (const std::size_t answering : {0, 1}) {
        ClusterSimulation simulation(7, {});
        simulation.submit(job("job-0", "standing", 3, 3));
        simulation.run_until(30'000);
        ASSERT_GE(simulation.working_machines().size(), 3u) << simulation.describe_cluster_state();
        simulation.submit(job("job-1", "sweep", 3, 1));  // uses the rest of its team's 12 GPUs
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
        // One machine sends nothing from here on. It is declared lost soon only if another machine
        // answers commands, and later otherwise.
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

// Runs a workload in which every heartbeat is forwarded. The simulation checks the protocol rules.
void run_forwarded_workload(ClusterSimulation& simulation, std::uint64_t seed,
                            const ForwardingFaults& forwarding_faults, const Faults& faults) {
    simulation.forward_heartbeats(3, forwarding_faults);
    simulation.set_faults(faults);
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
    ForwardingFaults forwarding_faults;
    forwarding_faults.lost = 0.02;
    forwarding_faults.repeated = 0.05;
    forwarding_faults.delayed = 0.05;
    forwarding_faults.freezes_per_s = 0.03;
    forwarding_faults.restarts_per_s = 0.02;
    Faults faults;
    faults.failovers_per_s = 0.02;
    faults.lingering_old_leaders = 0.5;
    faults.lost_heartbeats = 0.02;
    faults.delayed_commands = 0.02;
    faults.lost_command_replies = 0.02;
    faults.worker_restarts_per_s = 0.002;
    test::ForwardingSimulation::Coverage total;
    for (std::uint64_t seed = 1; seed <= 12 && !testing::Test::HasFailure(); ++seed) {
        ClusterSimulation simulation(seed, {});
        run_forwarded_workload(simulation, seed, forwarding_faults, faults);
        const auto& run_coverage = simulation.forwarding().coverage();
        total.admitted += run_coverage.admitted;
        total.followed += run_coverage.followed;
        total.relayed += run_coverage.relayed;
        total.stale += run_coverage.stale;
        total.other_term += run_coverage.other_term;
        total.unmatched += run_coverage.unmatched;
        total.expired += run_coverage.expired;
    }
    EXPECT_GT(total.admitted, 1'000u);
    EXPECT_GT(total.followed, total.admitted / 4);
    EXPECT_GT(total.relayed, total.admitted / 2);
    EXPECT_GT(total.stale, 20u);
    EXPECT_GT(total.other_term, 20u);
    EXPECT_GT(total.unmatched, 10u);
    EXPECT_GT(total.expired, 5u);
}

// Without faults, no task is killed because heartbeats are forwarded.
TEST(Forwarding, NothingIsLostToForwardingAlone) {
    ClusterSimulation simulation(3, {});
    run_forwarded_workload(simulation, 3, {}, {});
    EXPECT_EQ(simulation.tasks_killed_by_lease(), 0u);
}

}  // namespace
