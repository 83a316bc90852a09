// Machines, zones and controllers that become reachable or unreachable: machines that boot quickly,
// inbound-only machines, a zone partition or no leader for longer than a lease, leaders that change
// in quick succession, jobs bound to one zone (docs/design/combined-faults.md). Each test verifies
// by counters that its case occurred. The simulation checks the protocol's rules.
#include <gtest/gtest.h>

#include "machines/worker_channel.h"
#include "tests/cluster_simulation.h"
#include "tests/simulated_day.h"

namespace {

using namespace nickelramp;
using machines::Reachability;
using machines::WorkerChannel;
using test::ClusterSimulation;
using test::Faults;
using test::for_each_seed;
using test::job;
using test::make_heartbeat_without_tasks;
using test::SimulatedDay;

const Millis kLease = test::simulated_lease();
// Time after which leases granted by another controller have expired: two leases during which it
// may reply, one lease after its last reply, and two seconds for clock drift.
const Millis kInheritedLeasesOver = 3 * kLease + 2'000;

// Machines boot 0.3 to 2 s after the provisioning request has reached the cloud. Their heartbeats
// arrive before the cloud's reply, tasks are placed at once, and the leader crashes while the
// transactions that record this are late or their replies are lost. The successor's instance list
// lacks the machine, shows it as booting, or still shows one that was released.
TEST(Reachability, MachinesThatBootWithinTwoSeconds) {
    std::size_t inherited = 0, unlisted = 0, booting = 0, before_reply = 0, late = 0;
    for_each_seed(1, 70, [&](std::uint64_t seed) {
        Faults faults;
        faults.min_boot = 300;
        faults.max_boot = 2'000;
        faults.cloud_list_lag = 3'000;  // or twice that
        faults.unknown_commits = 0.3;
        faults.lost_cloud_replies = 0.4;
        if (seed % 3 == 0) faults.late_cloud_calls = 0.2;
        if (seed % 4 == 0) faults.lost_heartbeats = 0.1;
        SimulatedDay day(seed, faults, seed % 5 == 0 ? 1 : 0);
        const char* shapes[] = {"sweep", "ensemble", "standing"};
        for (std::size_t n = 0; n < 14; ++n) {
            const char* shape = shapes[day.random() % 3];
            const auto tasks = 1 + day.random() % 6;
            const auto gpus = 1 + day.random() % 2;
            day.submit(shape, tasks, gpus);
            day.run(300 + day.random_below(6'000));
            if (day.random() % 3 == 0) {
                inherited += day.simulation.working_machines().size();
                day.simulation.crash_leader();
            }
            if (day.random() % 4 == 0) day.cancel(day.random() % day.ids.size());
        }
        day.simulation.clear_faults();
        day.expect_all_finished(250'000);
        const ClusterSimulation::Coverage& coverage = day.simulation.coverage();
        unlisted += coverage.working_but_unlisted;
        booting += coverage.working_but_listed_booting;
        before_reply += coverage.heartbeats_before_provision_reply;
        late += coverage.late_commits_applied + coverage.late_commits_refused;
    });
    EXPECT_GT(unlisted, 15u);
    EXPECT_GT(booting, 10u);
    EXPECT_GT(before_reply, 300u);
    EXPECT_GT(late, 100u);
    EXPECT_GT(inherited, 300u);
}

// A command reply proves that the machine is alive, but renews no lease.
TEST(Reachability, AMachineThatAnswersButSendsNoHeartbeatsIsInboundOnly) {
    WorkerChannel channel;
    channel.take_control(10, 1'000);
    EXPECT_EQ(channel.on_heartbeat(make_heartbeat_without_tasks(1, 1, 10), false, 2'000),
              machines::EvidenceFreshness::fresh);
    channel.on_reply_sent(kLease, 2'000);
    std::uint64_t sequence = 1;
    for (Millis now = 6'000; now <= 16'000; now += 5'000) {
        EXPECT_EQ(channel.on_command_reply(make_heartbeat_without_tasks(1, ++sequence, 10),
                                           channel.newest_position(), now, now),
                  machines::EvidenceFreshness::fresh);
        EXPECT_EQ(channel.reachability(5'000, now), Reachability::reachable);
        EXPECT_EQ(channel.renewed_at(), 2'000);
    }
    EXPECT_FALSE(channel.is_inbound_only(kLease, 16'000));
    EXPECT_TRUE(channel.is_inbound_only(kLease, 16'001));
    EXPECT_EQ(channel.on_heartbeat(make_heartbeat_without_tasks(1, ++sequence, 10), false, 16'002),
              machines::EvidenceFreshness::fresh);
    EXPECT_FALSE(channel.is_inbound_only(kLease, 60'000));
}

// Tasks are not repeatedly started on an inbound-only machine, where they would end with its lease.
// Cancellations reach its tasks at once. It is released or, while the cloud is down, stays empty.
TEST(Reachability, InboundOnlyMachines) {
    std::size_t lost = 0, finished = 0, stopped = 0;
    for_each_seed(100, 40, [&](std::uint64_t seed) {
        SimulatedDay day(seed, {}, seed % 3 == 0 ? 1 : 0);
        for (int n = 0; n < 4; ++n) day.submit("standing", 2, 2);
        day.submit("ensemble", 3, 1);
        day.run(40'000);
        const std::size_t before = day.running_tasks(),
                          killed = day.simulation.tasks_killed_by_lease();
        const std::string inbound_only = day.simulation.working_machines()[seed % 3];
        const std::size_t there = day.simulation.tasks_on(inbound_only),
                          stops = day.simulation.stopped_tasks();
        day.simulation.block_heartbeats(inbound_only, kNever);
        Faults faults;
        faults.cloud_down = seed % 2 == 0;
        day.simulation.set_faults(faults);
        if (seed % 4 >= 2) day.simulation.crash_leader();
        // Half a lease until it is detected, and half a lease more under a new leader.
        day.run(2 * kLease + 15'000);
        EXPECT_EQ(day.simulation.removed(inbound_only), !faults.cloud_down);
        EXPECT_TRUE(!faults.cloud_down || day.simulation.tasks_on(inbound_only) == 0)
            << day.simulation.describe_running();
        EXPECT_GE(day.running_tasks(), before)
            << day.simulation.describe_running() << day.simulation.describe_cluster_state();
        // Each of its tasks once, and those that a new leader placed on it before the detection.
        EXPECT_LE(day.simulation.tasks_killed_by_lease() - killed, 2 * there);
        lost += day.simulation.tasks_killed_by_lease() - killed;
        stopped += day.simulation.stopped_tasks() - stops;
        // Machines that become inbound-only now run tasks of jobs that are cancelled.
        for (const std::string& name : day.simulation.working_machines())
            if (day.random() % 2 == 0)
                day.simulation.block_heartbeats(name, day.simulation.now() + 60'000);
        for (std::size_t n = 0; n < 4; n += 2) day.cancel(n);
        day.run(3'000);
        finished += day.simulation.final_state(day.ids[0]).empty() ? 0 : 1;
        EXPECT_EQ(day.unfinished_jobs(), "");
        day.expect_all_finished(kInheritedLeasesOver + 25'000);
    });
    EXPECT_GT(lost, 5u);
    EXPECT_GT(stopped, 40u);  // early enough to save their state
    EXPECT_EQ(finished, 40u);
}

// Faults that last longer than a lease, while leaders change and jobs are cancelled: a zone with a
// controller is partitioned, no controller can lead since the state service is down, or the
// machines of a zone or half of all machines are inbound-only. No task runs twice (the simulation
// checks this). Afterwards all jobs continue soon: machines answer the new leader, so that it need
// not wait for unknown leases.
TEST(Reachability, UnreachableForLongerThanALease) {
    std::size_t killed = 0, replies_by_responders = 0, inbound_only = 0;
    for_each_seed(150, 120, [&](std::uint64_t seed) {
        const std::uint64_t variant = seed / 3;
        SimulatedDay day(seed, {}, seed % 4 < 3 ? 1 : 0);
        day.submit_mix(16, seed % 5 == 0);
        day.run(38'000 + day.random_below(4'000));
        const Millis from = day.simulation.now(),
                     until = from + kLease + 2'000 + day.random_below(2 * kLease);
        if (seed % 3 == 0) {
            day.simulation.partition(
                {"b", 1, false, variant % 2 == 0, variant % 4 != 0, from, until});
        } else if (seed % 3 == 1) {
            // The leader crashes, freezes or is rejected. No new leader starts before the state
            // service answers again.
            day.simulation.take_state_service_down(until - from);
            if (seed % 4 < 3 && variant % 2 == 0) day.simulation.restart_holders();
            if (variant % 3 == 0) day.simulation.freeze_leader(until - from);
            if (variant % 3 == 1)
                day.simulation.reject_leader_at_state_service(until - from + 10'000);
            if (variant % 3 != 0) day.run(day.random_below(9'000)), day.simulation.crash_leader();
        }
        for (const std::string& name : day.simulation.working_machines()) {
            if (seed % 3 != 2) continue;
            if (variant % 2 == 0 ? day.random() % 2 == 0 : day.simulation.zone_of(name) != "b")
                continue;
            day.simulation.block_heartbeats(name, until);
            ++inbound_only;
        }
        while (day.simulation.now() < until) {
            day.run(
                std::min<Millis>(2'000 + day.random_below(11'000), until - day.simulation.now()));
            if (seed % 3 != 1 && day.random() % 2 == 0) day.simulation.crash_leader();
            day.cancel_some(6);
        }
        killed += day.simulation.tasks_killed_by_lease();
        replies_by_responders += day.simulation.replies_by_responders();
        day.run(6'000);  // a new leader is elected
        day.expect_finished(60'000);
        day.run(25'000);
        day.expect_services_running();
        day.expect_all_finished(30'000);
    });
    EXPECT_GT(killed, 200u);
    EXPECT_GT(replies_by_responders, 100u);
    EXPECT_GT(inbound_only, 60u);
}

// Ten leaders in two minutes, also with outages of the key-value store in between. Each leader
// measures how long machines are unreachable from its own start, so timeouts restart and do not add
// up. Cancelled jobs finish within three leases of the last leader.
TEST(Reachability, TenLeadersInTwoMinutes) {
    std::size_t terms = 0, out_of_reach = 0;
    for_each_seed(300, 40, [&](std::uint64_t seed) {
        SimulatedDay day(seed, {}, seed % 4 == 0 ? 1 : 0);
        day.submit_mix(20);
        day.run(40'000);
        for (const std::string& name : day.simulation.working_machines()) {
            const unsigned kind = day.random() % 12;
            out_of_reach += kind < 4 ? 1 : 0;
            if (kind == 0) day.simulation.block_inbound(name, kNever);
            if (kind == 1) day.simulation.block_commands(name, kNever);
            if (kind == 2) day.simulation.block_heartbeats(name, kNever);
            if (kind == 3) day.simulation.kill_machine(name);
        }
        Faults faults;
        faults.cloud_down = seed % 3 == 0;
        day.simulation.set_faults(faults);
        const std::size_t first = day.simulation.term_count();
        for (int n = 0; n < 10; ++n) {
            if (seed % 2 == 0 && n % 3 == 1)
                day.simulation.take_state_service_down(3'000 + day.random_below(5'000));
            day.simulation.crash_leader();
            day.cancel_some(12);
            day.run(11'000 + day.random_below(1'000));
        }
        terms += day.simulation.term_count() - first;
        day.run(6'000);
        day.expect_finished(kInheritedLeasesOver + 25'000);
        day.run(kInheritedLeasesOver + 25'000);
        day.expect_services_running();
        day.expect_all_finished(kInheritedLeasesOver + 25'000);
    });
    EXPECT_GE(terms, 360u);
    EXPECT_GT(out_of_reach, 30u);
}

// Jobs bound to one zone lose machines in various ways while the leader changes. Remaining tasks
// bind a job to its zone until they are gone (the simulation reports wrong_place otherwise). Then
// jobs that may run in any one zone move, and jobs that name a zone wait for capacity there.
TEST(Reachability, JobsBoundToOneZoneLoseMachines) {
    std::size_t moved = 0, waited = 0;
    for_each_seed(400, 60, [&](std::uint64_t seed) {
        SimulatedDay day(seed, {}, seed % 4 == 0 ? 1 : 0);
        const wire::Json any_one_zone = {{"one_zone", true}}, zone_b = {{"yard", "b"}};
        for (int n = 0; n < 3; ++n) day.submit("standing", 2, 1 + n % 2, any_one_zone);
        for (int n = 0; n < 2; ++n) day.submit("standing", 1, 2, zone_b);
        day.submit("ensemble", 4, 1, any_one_zone);
        day.submit("sweep", 14, 1, any_one_zone);
        day.submit("sweep", 6, 1, zone_b);
        day.run(20'000 + day.random_below(22'000));
        const std::size_t before = day.simulation.running_tasks("b");
        const bool partitioned = seed % 5 == 0, permanent = seed % 2 == 0;
        const Millis from = day.simulation.now(),
                     back = from + kLease + day.random_below(3 * kLease);
        for (const auto* machine : day.simulation.leader()->registry().all()) {
            if (partitioned || day.simulation.zone_of(machine->name) != "b") continue;
            if (permanent || day.random() % 2 == 0) day.simulation.kill_machine(machine->name);
        }
        if (partitioned)
            day.simulation.partition(
                {"b", 1, false, false, false, from, permanent ? kNever : back});
        if (seed % 5 == 1) day.simulation.preempt_zone("b");
        Faults faults;
        if (permanent) faults.exhausted_zone = "b";
        day.simulation.set_faults(faults);
        for (int n = 0; n < 3; ++n) {
            day.run(day.random_below(9'000));
            if (day.random() % 2 == 0) day.simulation.crash_leader();
            if (n == 1) day.submit("ensemble", 3, 1, any_one_zone);
        }
        day.run(kInheritedLeasesOver + 45'000);
        for (std::size_t n = 0; n < 3; ++n) {
            auto& attempts = day.simulation.leader()->open_jobs().at(day.ids[n])->attempts;
            const auto runs = std::count_if(attempts.begin(), attempts.end(), [](const auto& a) {
                return a->state == jobs::AttemptState::running;
            });
            EXPECT_EQ(runs, 2) << day.ids[n] << day.simulation.describe_running()
                               << day.simulation.describe_cluster_state();
            moved += permanent && before > 0 ? 1 : 0;
        }
        if (permanent && !partitioned) {
            EXPECT_EQ(day.simulation.running_tasks("b"), 0u);
            ++waited;
            day.simulation.clear_faults();
            day.run(45'000);
            EXPECT_GE(day.simulation.running_tasks("b"), 2u)
                << day.simulation.describe_cluster_state();
        }
        if (!permanent) day.expect_all_finished(kInheritedLeasesOver + 60'000);
    });
    EXPECT_GT(moved, 20u);
    EXPECT_GT(waited, 10u);
}

// A new leader's first instance list may show machines that its predecessor has just released,
// possibly as booting. No job may wait for them.
TEST(Reachability, NoJobWaitsForMachinesOfAStaleCloudList) {
    std::size_t released_but_listed = 0;
    for_each_seed(520, 30, [&](std::uint64_t seed) {
        Faults faults;
        faults.cloud_list_lag = 3'000;
        faults.min_boot = 300, faults.max_boot = 2'000;
        ClusterSimulation simulation(seed, faults, 0,
                                     {{"g4", 16, 4, 64, 50, 1, 10, 4, 60, {"a", "b"}}});
        simulation.set_options(test::options_without_margins());
        simulation.submit(job("job-1", "sweep", 1, 4));
        while (simulation.released_machines() == 0 && simulation.now() < 100'000)
            simulation.run_until(simulation.now() + 100);
        // Its release is no longer on record.
        simulation.run_until(simulation.now() + 3'000 + static_cast<Millis>(seed % 20) * 100);
        const std::size_t before = simulation.coverage().released_but_listed;
        simulation.fail_over();
        simulation.run_until(simulation.now() + 500);
        released_but_listed += simulation.coverage().released_but_listed - before;
        simulation.submit(job("job-2", "standing", 1, 4));
        simulation.run_until(simulation.now() + 30'000);
        EXPECT_EQ(simulation.running_tasks("a") + simulation.running_tasks("b"), 1u)
            << simulation.describe_cluster_state();
    });
    EXPECT_GT(released_but_listed, 10u);
}

// An instance list may show an older state than the list before. Only a list that is certainly
// newer proves that a machine is gone.
TEST(Reachability, ACloudListThatLacksAMachineMayBeStale) {
    ClusterSimulation simulation(560, {});
    simulation.run_until(10'000);
    simulation.leader()->on_instances_listed(
        {{"i-9", "i-9", "g4", "a", false, wire::InstanceStatus::booting, 1}}, simulation.now(),
        simulation.now());
    simulation.run_until(20'000);  // lists that lack it have arrived by then
    EXPECT_NE(simulation.leader()->registry().find("i-9"), nullptr);
    simulation.run_until(26'000);
    EXPECT_EQ(simulation.leader()->registry().find("i-9"), nullptr);
}

// No machine can be provisioned in the zone with the most quota left. The gang must not wait for
// it.
TEST(Reachability, AOneZoneGangGoesWhereAllItsMachinesCanBeProvisioned) {
    ClusterSimulation simulation(500, {}, 0, {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}}});
    wire::Json first = job("job-1", "standing", 1, 1);
    first["yard"] = "a";
    simulation.submit(first);
    simulation.run_until(40'000);
    ASSERT_EQ(simulation.running_tasks("a"), 1u);
    Faults exhausted;
    exhausted.exhausted_zone = "a";
    simulation.set_faults(exhausted);
    wire::Json gang = job("job-2", "ensemble", 4, 1);
    gang["one_zone"] = true;
    simulation.submit(gang);
    simulation.run_until(100'000);
    EXPECT_EQ(simulation.final_state("job-2"), "done")
        << simulation.describe_running() << simulation.describe_cluster_state();
}

}  // namespace
