// Workers whose messages are lost, delayed or duplicated, in simulated clusters: outbound-only
// machines, machines that commands do not reach, duplicates of heartbeats, and workers that restart
// at once.
#include <gtest/gtest.h>

#include "machines/worker_channel.h"
#include "tests/cluster_simulation.h"
#include "tests/simulated_day.h"

namespace {

using namespace nickelramp;
using machines::EvidenceFreshness;
using machines::Reachability;
using machines::WorkerChannel;
using test::ClusterSimulation;
using test::Faults;
using test::job;
using test::make_heartbeat_without_tasks;

// Returns a cluster in which a service of four replicas, a gang and an array are running on several
// machines.
std::unique_ptr<ClusterSimulation> running_cluster(std::uint64_t seed) {
    auto simulation = std::make_unique<ClusterSimulation>(seed, Faults{});
    simulation->submit(job("job-1", "standing", 4, 4));
    simulation->submit(job("job-2", "ensemble", 2, 2));
    wire::Json array = job("job-3", "sweep", 30, 1);
    array["crew"] = "blue";
    simulation->submit(array);
    simulation->run_until(60'000);
    return simulation;
}

// Guards against heartbeats that keep the machine alive forever, so that its tasks are never
// restarted.
TEST(WorkerChannel, TasksOfAnOutboundOnlyMachineAreRestartedElsewhere) {
    for (std::uint64_t seed : {11, 12, 13}) {
        SCOPED_TRACE(seed);
        auto simulation = running_cluster(seed);
        const std::string outbound_only = simulation->working_machines().front();
        const std::size_t before = simulation->running_tasks("a") + simulation->running_tasks("b");
        simulation->block_inbound(outbound_only, kNever);
        simulation->run_until(simulation->now() + 12'000);
        EXPECT_TRUE(simulation->removed(outbound_only));
        simulation->run_until(simulation->now() + 40'000);
        EXPECT_GE(simulation->running_tasks("a") + simulation->running_tasks("b"),
                  std::min<std::size_t>(before, 4));
    }
}

// While the cloud is down and cannot release the machine, its tasks are restarted elsewhere once
// its lease has expired. Its own heartbeats report that.
TEST(WorkerChannel, AnOutboundOnlyMachinesLeaseEndsThoughTheCloudIsDown) {
    for (std::uint64_t seed : {61, 62, 63}) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {});
        wire::Json array = job("job-0", "sweep", 1'500, 1);
        array["crew"] = "blue";  // may be preempted for a replica
        simulation.submit(array);
        simulation.submit(job("job-1", "standing", 1, 4));
        simulation.run_until(60'000);
        const auto& attempts = simulation.leader()->open_jobs().at("job-1")->attempts;
        ASSERT_EQ(attempts.size(), 1u);
        const Index first_machine = attempts.front()->machine;
        Faults faults;
        faults.cloud_down = true;
        simulation.set_faults(faults);
        simulation.block_inbound(simulation.leader()->registry().by_index(first_machine)->name,
                                 kNever);
        // Half a lease until replies cease, one lease, and the start elsewhere.
        simulation.run_until(simulation.now() + 50'000);
        EXPECT_TRUE(std::any_of(attempts.begin(), attempts.end(), [&](const auto& attempt) {
            return attempt->machine != first_machine &&
                   attempt->state == jobs::AttemptState::running;
        }));
    }
}

// Replies reach the machine and renew its lease, but commands do not. Guards against counting the
// machine as reachable, so that tasks are repeatedly placed on it and never start.
TEST(WorkerChannel, AMachineWithoutCommandsKeepsItsTasksAndGetsNoNewOnes) {
    WorkerChannel channel;
    channel.take_control(10, 1'000);
    EXPECT_EQ(channel.on_command_reply(make_heartbeat_without_tasks(1, 1, 10), {}, 1'000, 1'001),
              EvidenceFreshness::fresh);
    channel.on_command_lost(2'000);
    EXPECT_EQ(channel.on_heartbeat(make_heartbeat_without_tasks(1, 2, 10), true, 6'900),
              EvidenceFreshness::fresh);
    EXPECT_EQ(channel.reachability(5'000, 7'000), Reachability::reachable);
    EXPECT_EQ(channel.reachability(5'000, 7'001), Reachability::replies_only);
    EXPECT_EQ(channel.on_command_reply(make_heartbeat_without_tasks(1, 3, 10),
                                       channel.newest_position(), 7'100, 7'101),
              EvidenceFreshness::fresh);
    EXPECT_EQ(channel.reachability(5'000, 7'102), Reachability::reachable);
    for (std::uint64_t seed : {14, 15, 16}) {
        SCOPED_TRACE(seed);
        auto simulation = running_cluster(seed);
        const std::string name = simulation->working_machines().front();
        const std::size_t killed = simulation->tasks_killed_by_lease();
        simulation->block_commands(name, kNever);
        // Commands to the other machines are lost briefly, which proves nothing yet.
        for (const std::string& other : simulation->working_machines())
            if (other != name) simulation->block_commands(other, simulation->now() + 4'000);
        for (int n = 10; n < 16; ++n) {
            wire::Json more = job("job-" + std::to_string(n), "sweep", 4, 1);
            more["crew"] = "blue";
            simulation->submit(more);
        }
        simulation->fail_over();  // the new leader must detect it again
        simulation->run_until(simulation->now() + 60'000);
        std::size_t replies_only = 0;
        for (const auto* machine : simulation->leader()->registry().all())
            replies_only += machine->reachability == Reachability::replies_only ? 1 : 0;
        EXPECT_EQ(replies_only, simulation->removed(name) ? 0u : 1u);
        EXPECT_EQ(simulation->tasks_killed_by_lease(), killed);
        for (int n = 10; n < 16; ++n)
            EXPECT_EQ(simulation->final_state("job-" + std::to_string(n)), "done") << n;
        // Commands in replies still work, and the machine is released once it is empty.
        simulation->cancel("job-1");
        simulation->cancel("job-2");
        simulation->cancel("job-3");
        simulation->run_until(simulation->now() + 60'000);
        EXPECT_FALSE(simulation->final_state("job-1").empty());
        EXPECT_TRUE(simulation->removed(name));
    }
}

// There are only two machines, and the one that no command reaches becomes empty first. Guards
// against placing a task on it, which then does not start even when the other one becomes free.
TEST(WorkerChannel, NothingIsPlacedWhereNoCommandArrives) {
    for (std::uint64_t seed : {81, 82, 83}) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {}, 0, {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a"}}});
        simulation.set_options(test::options_without_margins());
        simulation.submit(job("job-1", "standing", 1, 4));
        simulation.submit(job("job-2", "standing", 1, 4));
        simulation.run_until(40'000);
        ASSERT_EQ(simulation.running_tasks("a"), 2u);
        Faults exhausted;
        exhausted.exhausted_zone = "a";
        simulation.set_faults(exhausted);
        const auto& attempts = simulation.leader()->open_jobs().at("job-1")->attempts;
        const Index machine = attempts.front()->machine;
        simulation.block_commands(simulation.leader()->registry().by_index(machine)->name, kNever);
        simulation.cancel("job-1");  // the stop command is sent in a heartbeat reply
        simulation.run_until(simulation.now() + 12'000);
        ASSERT_FALSE(simulation.final_state("job-1").empty());
        simulation.submit(job("job-3", "sweep", 1, 4));
        simulation.run_until(simulation.now() + 6'000);
        simulation.cancel("job-2");
        simulation.run_until(simulation.now() + 25'000);
        EXPECT_EQ(simulation.final_state("job-3"), "done")
            << simulation.describe_running() << simulation.describe_cluster_state();
    }
}

// The zone's machines are declared lost a few at a time, as with any fault that a zone's machines
// share. When the fault ends, the remaining machines are reachable again.
TEST(WorkerChannel, AnOutboundOnlyZoneIsNotGivenUpAtOnce) {
    ClusterSimulation simulation(21, {});
    for (int n = 0; n < 12; ++n) {
        wire::Json service = job("job-" + std::to_string(n), "standing", 2, 0);
        service["cores"] = 8.0;
        service["scatter"] = true;
        simulation.submit(service);
    }
    simulation.run_until(100'000);
    std::size_t blocked = 0;
    for (const std::string& name : simulation.working_machines()) {
        if (simulation.zone_of(name) != "b") continue;
        simulation.block_inbound(name, 112'000);
        ++blocked;
    }
    ASSERT_GE(blocked, 5u);
    const std::size_t running = simulation.running_tasks("b");
    simulation.run_until(111'000);
    EXPECT_LE(simulation.released_machines("b"), 1u);
    std::size_t unreachable = 0;
    for (const auto* machine : simulation.leader()->registry().all())
        unreachable += machine->reachability != Reachability::reachable;
    EXPECT_GE(unreachable, blocked - 1);
    simulation.run_until(150'000);
    for (const auto* machine : simulation.leader()->registry().all())
        EXPECT_EQ(machine->reachability, Reachability::reachable);
    EXPECT_EQ(simulation.running_tasks("b"), running);
    EXPECT_EQ(simulation.tasks_killed_by_lease(), 0u);
}

// A worker restarts before a heartbeat is missed. Its tasks are restarted at once, although its
// sequence numbers are smaller than the known ones.
TEST(WorkerChannel, AWorkerThatRestartsAtOnceIsBelieved) {
    for (std::uint64_t seed : {31, 32, 33}) {
        SCOPED_TRACE(seed);
        auto simulation = running_cluster(seed);
        const std::size_t starts = simulation->started_tasks();
        const std::size_t released = simulation->released_machines();
        const std::string name = simulation->working_machines().front();
        const std::size_t tasks = simulation->tasks_on(name);
        simulation->restart_machine(name);
        simulation->redeliver_heartbeat(name, false, 700);  // of its former incarnation
        simulation->run_until(simulation->now() + 8'000);
        EXPECT_GE(simulation->started_tasks(), starts + tasks);
        EXPECT_EQ(simulation->released_machines(), released);  // it was not declared lost
        simulation->cancel("job-1");
        simulation->run_until(simulation->now() + 200'000);
        EXPECT_EQ(simulation->final_state("job-2"), "done");
        EXPECT_EQ(simulation->final_state("job-3"), "done");
    }
}

// A duplicate of a heartbeat does not add a machine that is gone, neither at the leader that knows
// it is gone nor at that leader's successor.
TEST(WorkerChannel, DuplicatesDoNotReviveMachines) {
    auto simulation = running_cluster(41);
    const std::string gone = simulation->working_machines().front();
    simulation->kill_machine(gone);
    simulation->run_until(simulation->now() + 60'000);
    ASSERT_EQ(simulation->leader()->registry().find(gone), nullptr);
    simulation->redeliver_heartbeat(gone, false, 1'000);
    simulation->run_until(simulation->now() + 2'000);
    EXPECT_EQ(simulation->leader()->registry().find(gone), nullptr);
    simulation->fail_over();
    simulation->run_until(simulation->now() + 20'000);
    const std::size_t provisioned = simulation->provisioned_machines();
    for (int i = 0; i < 20; ++i) simulation->redeliver_heartbeat(gone, i % 2 == 0, 1'000 + 500 * i);
    simulation->run_until(simulation->now() + 30'000);
    EXPECT_EQ(simulation->heartbeat_copies(), 21u);
    const machines::Machine* machine = simulation->leader()->registry().find(gone);
    EXPECT_TRUE(machine == nullptr || (machine->unverified && machine->up_at == 0));
    EXPECT_EQ(simulation->provisioned_machines(), provisioned);
}

// No task waits for a machine that is known only from a duplicate. Other machines are provisioned
// at once.
TEST(WorkerChannel, UnverifiedMachinesAreNotCountedOn) {
    auto simulation = running_cluster(45);
    std::vector<std::string> gone;
    for (const std::string& name : simulation->working_machines()) gone.push_back(name);
    for (const std::string& name : gone) simulation->kill_machine(name);
    simulation->run_until(simulation->now() + 60'000);
    for (const std::string& name : gone) ASSERT_TRUE(simulation->removed(name));
    simulation->fail_over();
    simulation->run_until(simulation->now() + 3'000);
    for (const std::string& name : gone) simulation->redeliver_heartbeat(name, false, 10);
    simulation->run_until(simulation->now() + 20);
    const std::size_t provisioned = simulation->provisioned_machines();
    wire::Json gang = job("job-9", "ensemble", 4, 4);
    gang["crew"] = "blue";
    simulation->cancel("job-3");  // its team's quota is then free for the gang
    simulation->submit(gang);
    simulation->run_until(simulation->now() + 1'500);
    EXPECT_GE(simulation->provisioned_machines(), provisioned + 4);
}

// A failed machine does not stay alive because of duplicates of its earlier heartbeats.
TEST(WorkerChannel, DuplicatesKeepNoMachineAlive) {
    auto simulation = running_cluster(51);
    const std::string dead = simulation->working_machines().front();
    for (int i = 1; i < 60; ++i) simulation->redeliver_heartbeat(dead, i % 2 == 0, 700 * i);
    simulation->kill_machine(dead);
    simulation->run_until(simulation->now() + 30'000);
    EXPECT_TRUE(simulation->removed(dead));
    EXPECT_GT(simulation->heartbeat_copies(), 20u);
    EXPECT_EQ(simulation->answered_heartbeat_copies(), 0u);  // a reply would extend the lease
}

// Runs a day with all of these faults at once, with failovers, lost messages and failing shard
// holders.
void run_day_with_faults(std::uint64_t seed, const Faults& faults, std::uint32_t shard_share) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ClusterSimulation simulation(seed, faults, shard_share);
    std::mt19937_64 random(seed);
    std::vector<std::string> ids;
    for (int n = 0; n < 12; ++n) {
        const char* shapes[] = {"sweep", "ensemble", "standing"};
        ids.push_back("job-" + std::to_string(n));
        const char* shape = shapes[random() % 3];
        const auto tasks = 1 + random() % 6;
        const auto gpus = 1 + random() % 2;
        wire::Json spec = job(ids.back(), shape, tasks, gpus);
        if (n % 3 == 0) spec["crew"] = "blue";
        simulation.submit(spec);
        simulation.run_until(simulation.now() + static_cast<Millis>(random() % 9'000));
        for (const std::string& name : simulation.working_machines()) {
            if (random() % 25 == 0)
                simulation.block_inbound(name, simulation.now() + 5'000 + random() % 60'000);
            if (faults.worker_restarts_per_s > 0 && random() % 25 == 0)
                simulation.restart_machine(name);
        }
        if (random() % 4 == 0) simulation.fail_over();
        if (random() % 5 == 0) simulation.cancel(ids[random() % ids.size()]);
        if (testing::Test::HasFailure()) return;
    }
    simulation.clear_faults();
    for (const std::string& id : ids) simulation.cancel(id);
    simulation.run_until(simulation.now() + 150'000);
    for (const std::string& id : ids) EXPECT_FALSE(simulation.final_state(id).empty()) << id;
}

TEST(WorkerChannel, RulesHoldWithOutboundOnlyMachinesDuplicatesAndFailovers) {
    Faults faults;
    faults.late_heartbeat_copies = 0.3;
    faults.lost_heartbeats = 0.05;
    faults.lost_command_replies = 0.05;
    faults.delayed_commands = 0.02;
    faults.lingering_old_leaders = 0.5;
    faults.machine_failures_per_s = 0.01;
    for (std::uint64_t seed = 600; seed < 616; ++seed)
        run_day_with_faults(seed, faults, seed % 2 == 0 ? 1 : 0);
}

// Without long delays of commands, since a restarted worker knows no token and would obey late
// ones.
TEST(WorkerChannel, RulesHoldWithWorkerRestartsDuplicatesAndFailovers) {
    Faults faults;
    faults.late_heartbeat_copies = 0.3;
    faults.lost_heartbeats = 0.05;
    faults.refused_commands = 0.05;
    faults.worker_restarts_per_s = 1;
    faults.lingering_old_leaders = 0.5;
    for (std::uint64_t seed = 700; seed < 716; ++seed)
        run_day_with_faults(seed, faults, seed % 2 == 0 ? 1 : 0);
}

}  // namespace
