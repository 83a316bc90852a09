// Machines, zones and controllers that come within reach or go out of it: machines that are up at
// once, mute ones, a zone cut off and all controllers away for longer than a lease, leaders that
// follow one another quickly, jobs bound to one zone (docs/design/meetings.md). Each test counts
// that its meeting came about; the world asserts the rules.
#include <gtest/gtest.h>

#include "machines/worker_channel.h"
#include "tests/cluster_simulation.h"

namespace {

using namespace nickelramp;
using machines::Reachability;
using machines::WorkerChannel;
using test::ClusterSimulation;
using test::Faults;
using test::job;
using test::report;

const Millis kLease = seconds(test::simulation_settings().lease_s);
// A lease that somebody else may have given is over: two of answers, one more, drift, a second.
const Millis kOver = 3 * kLease + 2'000;

void each_seed(std::uint64_t from, std::uint64_t count,
               const std::function<void(std::uint64_t)>& day) {
    for (std::uint64_t seed = from; seed < from + count && !testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        day(seed);
    }
}

struct Day {
    Day(std::uint64_t seed, const Faults& faults, std::uint32_t share = 0)
        : random(seed), world(seed, faults, share) {
        world.simulate_leader_leases();
    }
    Millis upto(Millis most) { return static_cast<Millis>(random() % static_cast<unsigned>(most)); }
    void run(Millis length) { world.run_until(world.now() + length); }
    void enter(const std::string& shape, std::uint32_t tasks, double gpus,
               const wire::Json& more = {}) {
        wire::Json spec = job("job-" + std::to_string(ids.size()), shape, tasks, gpus);
        if (ids.size() % 2 == 0) spec["crew"] = "blue";
        if (more.is_object()) spec.update(more);
        ids.push_back(spec["id"]);
        services.push_back(shape == "standing");
        world.submit(spec);
    }
    std::string untold() const {
        std::string out;
        for (std::size_t n = 0; n < ids.size(); ++n)
            if (world.final_state(ids[n]).empty() && wanted(n)) out += ids[n] + " ";
        return out;
    }
    bool wanted(std::size_t n) const { return !services[n] || asked.count(ids[n]) != 0; }
    void cancel(std::size_t n) {
        asked.insert(ids[n]);
        world.request_cancel_until_answered(ids[n]);
    }
    void cancel_some(unsigned part) {
        for (std::size_t n = 0; n < ids.size(); ++n)
            if (random() % part == 0) cancel(n);
    }
    // All that was asked for is told, and what can end has ended.
    void ends(Millis within) {
        world.clear_faults();
        const Millis from = world.now();
        while (world.now() < from + within && !untold().empty() && !testing::Test::HasFailure())
            run(500);
        EXPECT_EQ(untold(), "") << world.describe_running() << world.describe_cluster_state();
    }
    void all_end(Millis within) {
        for (std::size_t n = 0; n < ids.size(); ++n)
            if (services[n]) cancel(n);
        ends(within);
    }
    // Four services of two, three gangs and an array.
    void enter_mix(std::uint32_t array, bool one_zone = false) {
        for (int n = 0; n < 4; ++n) enter("standing", 2, 1, {{"scatter", n % 2 == 0}});
        for (int n = 0; n < 3; ++n) enter("ensemble", 2 + random() % 3, 1);
        enter("sweep", array, 1, {{"one_zone", one_zone}});
    }
    // Of the mix, all that nobody has cancelled.
    void services_run() {
        std::size_t replicas = 0;
        for (std::size_t n = 0; n < 4; ++n) replicas += wanted(n) ? 0 : 2;
        EXPECT_GE(running(), replicas)
            << world.describe_running() << world.describe_cluster_state();
    }
    std::size_t running() const { return world.running_tasks("a") + world.running_tasks("b"); }

    std::mt19937_64 random;
    ClusterSimulation world;
    std::vector<std::string> ids;
    std::vector<bool> services;
    std::set<std::string> asked;
};

// Up 0.3 to 2 s after the rental request has come to the cloud: the report comes before the
// rental's answer, work is placed at once, and the leader ends while the transactions that say so
// are late or only their answers lost. The next one's list lacks the machine, or calls it booting,
// or still shows what was returned.
TEST(Reachability, MachinesThatBootWithinTwoSeconds) {
    std::size_t inherited = 0, unlisted = 0, booting = 0, unanswered = 0, late = 0;
    each_seed(1, 70, [&](std::uint64_t seed) {
        Faults faults;
        faults.min_boot = 300;
        faults.max_boot = 2'000;
        faults.cloud_list_lag = 3'000;  // or twice that
        faults.unknown_commits = 0.3;
        faults.lost_cloud_replies = 0.4;
        if (seed % 3 == 0) faults.late_cloud_calls = 0.2;
        if (seed % 4 == 0) faults.lost_heartbeats = 0.1;
        Day day(seed, faults, seed % 5 == 0 ? 1 : 0);
        const char* shapes[] = {"sweep", "ensemble", "standing"};
        for (std::size_t n = 0; n < 14; ++n) {
            day.enter(shapes[day.random() % 3], 1 + day.random() % 6, 1 + day.random() % 2);
            day.run(300 + day.upto(6'000));
            if (day.random() % 3 == 0) {
                inherited += day.world.working_machines().size();
                day.world.crash_leader();
            }
            if (day.random() % 4 == 0) day.cancel(day.random() % day.ids.size());
        }
        day.world.clear_faults();
        day.all_end(250'000);
        const ClusterSimulation::Coverage& m = day.world.coverage();
        unlisted += m.working_but_unlisted;
        booting += m.working_but_listed_booting;
        unanswered += m.heartbeats_before_rental_reply;
        late += m.late_commits_applied + m.late_commits_refused;
    });
    EXPECT_GT(unlisted, 15u);
    EXPECT_GT(booting, 10u);
    EXPECT_GT(unanswered, 300u);
    EXPECT_GT(late, 100u);
    EXPECT_GT(inherited, 300u);
}

// An answer shows that it is there and renews nothing.
TEST(Reachability, AMachineThatAnswersButSendsNoHeartbeatsIsInboundOnly) {
    WorkerChannel channel;
    channel.take_control(10, 1'000);
    EXPECT_EQ(channel.on_heartbeat(report(1, 1, 10), false, 2'000),
              machines::EvidenceFreshness::fresh);
    channel.on_reply_sent(kLease, 2'000);
    std::uint64_t seq = 1;
    for (Millis t = 6'000; t <= 16'000; t += 5'000) {
        EXPECT_EQ(channel.on_command_reply(report(1, ++seq, 10), channel.newest_position(), t, t),
                  machines::EvidenceFreshness::fresh);
        EXPECT_EQ(channel.reachability(5'000, t), Reachability::reachable);
        EXPECT_EQ(channel.renewed_at(), 2'000);
    }
    EXPECT_FALSE(channel.is_inbound_only(kLease, 16'000));
    EXPECT_TRUE(channel.is_inbound_only(kLease, 16'001));
    EXPECT_EQ(channel.on_heartbeat(report(1, ++seq, 10), false, 16'002),
              machines::EvidenceFreshness::fresh);
    EXPECT_FALSE(channel.is_inbound_only(kLease, 60'000));
}

// Nothing is started on it again and again only to end with its lease; cancellations are carried
// out there at once; it goes back, or, while the cloud is down, stays without work.
TEST(Reachability, InboundOnlyMachines) {
    std::size_t lost = 0, told = 0, stopped = 0;
    each_seed(100, 40, [&](std::uint64_t seed) {
        Day day(seed, {}, seed % 3 == 0 ? 1 : 0);
        for (int n = 0; n < 4; ++n) day.enter("standing", 2, 2);
        day.enter("ensemble", 3, 1);
        day.run(40'000);
        const std::size_t before = day.running(), killed = day.world.tasks_killed_by_lease();
        const std::string mute = day.world.working_machines()[seed % 3];
        const std::size_t there = day.world.tasks_on(mute), stops = day.world.stopped_tasks();
        day.world.block_heartbeats(mute, kNever);
        Faults faults;
        faults.cloud_down = seed % 2 == 0;
        day.world.set_faults(faults);
        if (seed % 4 >= 2) day.world.crash_leader();
        // Half a lease until it is known, as much of a new leader's.
        day.run(2 * kLease + 15'000);
        EXPECT_EQ(day.world.removed(mute), !faults.cloud_down);
        EXPECT_TRUE(!faults.cloud_down || day.world.tasks_on(mute) == 0)
            << day.world.describe_running();
        EXPECT_GE(day.running(), before)
            << day.world.describe_running() << day.world.describe_cluster_state();
        // Each of its tasks once, and what a new leader placed on it before it knew.
        EXPECT_LE(day.world.tasks_killed_by_lease() - killed, 2 * there);
        lost += day.world.tasks_killed_by_lease() - killed;
        stopped += day.world.stopped_tasks() - stops;
        // Those that are mute from now on run what is called off.
        for (const std::string& name : day.world.working_machines())
            if (day.random() % 2 == 0) day.world.block_heartbeats(name, day.world.now() + 60'000);
        for (std::size_t n = 0; n < 4; n += 2) day.cancel(n);
        day.run(3'000);
        told += day.world.final_state(day.ids[0]).empty() ? 0 : 1;
        EXPECT_EQ(day.untold(), "");
        day.all_end(kOver + 25'000);
    });
    EXPECT_GT(lost, 5u);
    EXPECT_GT(stopped, 40u);  // in time to save
    EXPECT_EQ(told, 40u);
}

// Each for longer than a lease, while leaders change and jobs are cancelled: a zone with a
// controller is cut off, all controllers are away, the machines of a zone or half of all are mute.
// Nothing is there twice (the world looks), and then everything goes on soon: machines answer the
// new leader, so that nothing waits for leases that it cannot know.
TEST(Reachability, UnreachableForLongerThanALease) {
    std::size_t killed = 0, by_deputies = 0, mutes = 0;
    each_seed(150, 120, [&](std::uint64_t seed) {
        const std::uint64_t how = seed / 3;
        Day day(seed, {}, seed % 4 < 3 ? 1 : 0);
        day.enter_mix(16, seed % 5 == 0);
        day.run(38'000 + day.upto(4'000));
        const Millis from = day.world.now(), until = from + kLease + 2'000 + day.upto(2 * kLease);
        if (seed % 3 == 0) {
            day.world.partition({"b", 1, false, how % 2 == 0, how % 4 != 0, from, until});
        } else if (seed % 3 == 1) {
            // Crashed, frozen or refused; nobody begins before the state service is back.
            day.world.take_state_service_down(until - from);
            if (seed % 4 < 3 && how % 2 == 0) day.world.restart_holders();
            if (how % 3 == 0) day.world.freeze_leader(until - from);
            if (how % 3 == 1) day.world.reject_leader_at_state_service(until - from + 10'000);
            if (how % 3 != 0) day.run(day.upto(9'000)), day.world.crash_leader();
        }
        for (const std::string& name : day.world.working_machines()) {
            if (seed % 3 != 2) continue;
            if (how % 2 == 0 ? day.random() % 2 == 0 : day.world.zone_of(name) != "b") continue;
            day.world.block_heartbeats(name, until);
            ++mutes;
        }
        while (day.world.now() < until) {
            day.run(std::min<Millis>(2'000 + day.upto(11'000), until - day.world.now()));
            if (seed % 3 != 1 && day.random() % 2 == 0) day.world.crash_leader();
            day.cancel_some(6);
        }
        killed += day.world.tasks_killed_by_lease();
        by_deputies += day.world.replies_by_responders();
        day.run(6'000);  // somebody leads
        day.ends(60'000);
        day.run(25'000);
        day.services_run();
        day.all_end(30'000);
    });
    EXPECT_GT(killed, 200u);
    EXPECT_GT(by_deputies, 100u);
    EXPECT_GT(mutes, 60u);
}

// Ten leaders in two minutes, also with outages of the state service in between. Each counts what
// it cannot reach from its own beginning, so that waits do not add up, but begin again: whatever
// was asked for is told within three leases of the last one's.
TEST(Reachability, TenLeadersInTwoMinutes) {
    std::size_t terms = 0, out_of_reach = 0;
    each_seed(300, 40, [&](std::uint64_t seed) {
        Day day(seed, {}, seed % 4 == 0 ? 1 : 0);
        day.enter_mix(20);
        day.run(40'000);
        for (const std::string& name : day.world.working_machines()) {
            const unsigned kind = day.random() % 12;
            out_of_reach += kind < 4 ? 1 : 0;
            if (kind == 0) day.world.block_inbound(name, kNever);
            if (kind == 1) day.world.block_commands(name, kNever);
            if (kind == 2) day.world.block_heartbeats(name, kNever);
            if (kind == 3) day.world.kill_machine(name);
        }
        Faults faults;
        faults.cloud_down = seed % 3 == 0;
        day.world.set_faults(faults);
        const std::size_t first = day.world.term_count();
        for (int n = 0; n < 10; ++n) {
            if (seed % 2 == 0 && n % 3 == 1)
                day.world.take_state_service_down(3'000 + day.upto(5'000));
            day.world.crash_leader();
            day.cancel_some(12);
            day.run(11'000 + day.upto(1'000));
        }
        terms += day.world.term_count() - first;
        day.run(6'000);
        day.ends(kOver + 25'000);
        day.run(kOver + 25'000);
        day.services_run();
        day.all_end(kOver + 25'000);
    });
    EXPECT_GE(terms, 360u);
    EXPECT_GT(out_of_reach, 30u);
}

// Jobs bound to one zone lose machines in all ways while the leader changes. What is left of them
// holds them in their zone until it is gone (the world calls wrong_place otherwise); then those
// without a yard move, and those with one wait for room there.
TEST(Reachability, JobsBoundToOneZoneLoseMachines) {
    std::size_t moved = 0, waited = 0;
    each_seed(400, 60, [&](std::uint64_t seed) {
        Day day(seed, {}, seed % 4 == 0 ? 1 : 0);
        const wire::Json one = {{"one_zone", true}}, yard = {{"yard", "b"}};
        for (int n = 0; n < 3; ++n) day.enter("standing", 2, 1 + n % 2, one);
        for (int n = 0; n < 2; ++n) day.enter("standing", 1, 2, yard);
        day.enter("ensemble", 4, 1, one);
        day.enter("sweep", 14, 1, one);
        day.enter("sweep", 6, 1, yard);
        day.run(20'000 + day.upto(22'000));
        const std::size_t before = day.world.running_tasks("b");
        const bool cut = seed % 5 == 0, for_good = seed % 2 == 0;
        const Millis from = day.world.now(), back = from + kLease + day.upto(3 * kLease);
        for (const auto* machine : day.world.leader()->registry().all()) {
            if (cut || day.world.zone_of(machine->name) != "b") continue;
            if (for_good || day.random() % 2 == 0) day.world.kill_machine(machine->name);
        }
        if (cut) day.world.partition({"b", 1, false, false, false, from, for_good ? kNever : back});
        if (seed % 5 == 1) day.world.preempt_zone("b");
        Faults faults;
        if (for_good) faults.exhausted_zone = "b";
        day.world.set_faults(faults);
        for (int n = 0; n < 3; ++n) {
            day.run(day.upto(9'000));
            if (day.random() % 2 == 0) day.world.crash_leader();
            if (n == 1) day.enter("ensemble", 3, 1, one);
        }
        day.run(kOver + 45'000);
        for (std::size_t n = 0; n < 3; ++n) {
            auto& attempts = day.world.leader()->open_jobs().at(day.ids[n])->attempts;
            const auto runs = std::count_if(attempts.begin(), attempts.end(), [](const auto& a) {
                return a->state == jobs::AttemptState::running;
            });
            EXPECT_EQ(runs, 2) << day.ids[n] << day.world.describe_running()
                               << day.world.describe_cluster_state();
            moved += for_good && before > 0 ? 1 : 0;
        }
        if (for_good && !cut) {
            EXPECT_EQ(day.world.running_tasks("b"), 0u);
            ++waited;
            day.world.clear_faults();
            day.run(45'000);
            EXPECT_GE(day.world.running_tasks("b"), 2u) << day.world.describe_cluster_state();
        }
        if (!for_good) day.all_end(kOver + 60'000);
    });
    EXPECT_GT(moved, 20u);
    EXPECT_GT(waited, 10u);
}

// A new leader's first list shows what its predecessor has just returned, as booting even: nothing
// is to wait for that.
TEST(Reachability, NoJobWaitsForMachinesOfAStaleCloudList) {
    std::size_t ghosts = 0;
    each_seed(520, 30, [&](std::uint64_t seed) {
        Faults faults;
        faults.cloud_list_lag = 3'000;
        faults.min_boot = 300, faults.max_boot = 2'000;
        ClusterSimulation simulation(seed, faults, 0,
                                     {{"g4", 16, 4, 64, 50, 1, 10, 4, 60, {"a", "b"}}});
        admin::Options options;
        options.idle_retention_margin = options.provisioning_margin = options.spot_margin =
            options.replica_margin = 0;
        simulation.set_options(options);
        simulation.submit(job("job-1", "sweep", 1, 4));
        while (simulation.released_machines() == 0 && simulation.now() < 100'000)
            simulation.run_until(simulation.now() + 100);
        // Its return is on no record any more.
        simulation.run_until(simulation.now() + 3'000 + static_cast<Millis>(seed % 20) * 100);
        const std::size_t before = simulation.coverage().gone_but_listed;
        simulation.fail_over();
        simulation.run_until(simulation.now() + 500);
        ghosts += simulation.coverage().gone_but_listed - before;
        simulation.submit(job("job-2", "standing", 1, 4));
        simulation.run_until(simulation.now() + 30'000);
        EXPECT_EQ(simulation.running_tasks("a") + simulation.running_tasks("b"), 1u)
            << simulation.describe_cluster_state();
    });
    EXPECT_GT(ghosts, 10u);
}

// A list may be older than the one before: only one that is certainly later proves anything.
TEST(Reachability, ACloudListThatLacksAMachineMayBeStale) {
    ClusterSimulation simulation(560, {});
    simulation.run_until(10'000);
    simulation.leader()->on_instances_listed(
        {{"i-9", "i-9", "g4", "a", false, wire::InstanceStatus::booting, 1}}, simulation.now(),
        simulation.now());
    simulation.run_until(20'000);  // others that lack it have come meanwhile
    EXPECT_NE(simulation.leader()->registry().find("i-9"), nullptr);
    simulation.run_until(26'000);
    EXPECT_EQ(simulation.leader()->registry().find("i-9"), nullptr);
}

// The zone with most room left has no machine more: the gang must not wait for it.
TEST(Reachability, AOneZoneGangGoesWhereAllItsMachinesCanBeProvisioned) {
    ClusterSimulation simulation(500, {}, 0, {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}}});
    wire::Json first = job("job-1", "standing", 1, 1);
    first["yard"] = "a";
    simulation.submit(first);
    simulation.run_until(40'000);
    ASSERT_EQ(simulation.running_tasks("a"), 1u);
    Faults full;
    full.exhausted_zone = "a";
    simulation.set_faults(full);
    wire::Json gang = job("job-2", "ensemble", 4, 1);
    gang["one_zone"] = true;
    simulation.submit(gang);
    simulation.run_until(100'000);
    EXPECT_EQ(simulation.final_state("job-2"), "done")
        << simulation.describe_running() << simulation.describe_cluster_state();
}

}  // namespace
