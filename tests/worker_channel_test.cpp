// What a worker's messages prove, against a plain model of workers that start again and of a
// network that brings copies late; and in the simulated world: machines that hear nothing, copies,
// and workers that are back at once with their numbers anew.
#include "machines/worker_channel.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "tests/cluster_simulation.h"

namespace {

using namespace nickelramp;
using machines::EvidenceFreshness;
using machines::MessagePosition;
using machines::Reachability;
using machines::WorkerChannel;
using test::ClusterSimulation;
using test::Faults;
using test::job;
using test::report;

// Every message has the moment at which it was made; whatever is taken for proven must have been
// made after everything that was proven before, and after the book came to be in charge.
TEST(WorkerChannel, OldMessagesProveNothing) {
    struct Message {
        wire::Heartbeat report;
        std::size_t made = 0;
    };
    std::size_t fresh = 0, anew = 0, copies = 0, hints = 0;
    EXPECT_TRUE(rc::check([&] {
        const auto events = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 1'000));
        WorkerChannel channel;
        std::vector<Message> sent;  // all that were ever made
        std::size_t moment = 0, proven = 0, life = 1;
        std::uint64_t session = 1, seq = 0, seen = 0, given = 1'000;
        Millis now = 1'000;
        channel.take_control(given, now);
        std::size_t charged = 0;  // the moment since which the book is in charge
        auto make = [&] {
            Message m;
            m.report.incarnation = session;
            m.report.sequence = ++seq;
            m.report.token = seen;
            m.made = ++moment;
            return m;
        };
        auto judge = [&](const Message& m, EvidenceFreshness freshness) {
            test::test_trace().add(now, "proof", m.made, static_cast<int>(freshness));
            fresh += freshness == EvidenceFreshness::fresh;
            anew += freshness == EvidenceFreshness::new_incarnation;
            copies += freshness == EvidenceFreshness::duplicate;
            hints += freshness == EvidenceFreshness::unordered;
            if (!machines::proves_state(freshness)) return;
            RC_ASSERT(m.made > proven && m.made > charged);
            if (freshness == EvidenceFreshness::new_incarnation) RC_ASSERT(life > 1);
            proven = m.made;
        };
        for (int e : events) {
            now += 500;
            if (e < 450) {  // a report that arrives, and its answer too or not
                sent.push_back(make());
                const EvidenceFreshness freshness =
                    channel.on_heartbeat(sent.back().report, false, now);
                judge(sent.back(), freshness);
                if (freshness != EvidenceFreshness::duplicate && e % 3 != 0)
                    seen = std::max(seen, given);
            } else if (e < 600) {  // one that is lost, for now
                sent.push_back(make());
            } else if (e < 800) {  // a copy of anything that was ever said
                if (sent.empty()) continue;
                const Message& m = sent[static_cast<std::size_t>(e * 7919) % sent.size()];
                judge(m, channel.on_heartbeat(m.report, false, now));
            } else if (e < 920) {  // a request of the book's and its answer
                const MessagePosition asked = channel.newest_position();
                if (e % 4 == 0) {  // a report of meanwhile is heard first
                    sent.push_back(make());
                    judge(sent.back(), channel.on_heartbeat(sent.back().report, false, now));
                }
                seen = std::max(seen, given);
                sent.push_back(make());
                const Message answer = sent.back();
                MessagePosition newest{session, seq};
                if (e % 5 == 0) {  // overtaken by a report that was made later, and is heard first
                    sent.push_back(make());
                    const EvidenceFreshness later =
                        channel.on_heartbeat(sent.back().report, false, now);
                    judge(sent.back(), later);
                    if (machines::proves_state(later)) newest = {session, seq};
                }
                const EvidenceFreshness freshness =
                    channel.on_command_reply(answer.report, asked, now, now);
                judge(answer, freshness);
                RC_ASSERT(channel.newest_proven() == newest);
                if (freshness == EvidenceFreshness::new_incarnation)
                    channel.raise_token(++given, now);
            } else if (e < 950) {  // its lease has ended
                ++session;
            } else if (e < 985) {  // it is back at once
                ++life;
                session = 1;
                seq = seen = 0;
            } else if (e < 992) {  // another book is in charge
                given += 1'000;
                channel.take_control(given, now);
                charged = moment;
                proven = 0;
            } else {
                channel.raise_token(++given, now);
            }
        }
        // One answer, and everything is known again.
        const MessagePosition asked = channel.newest_position();
        seen = given;
        sent.push_back(make());
        RC_ASSERT(
            machines::proves_state(channel.on_command_reply(sent.back().report, asked, now, now)));
    }));
    EXPECT_GT(fresh, 2'000u);
    EXPECT_GT(anew, 100u);
    EXPECT_GT(copies, 1'000u);
    EXPECT_GT(hints, 100u);
}

// What arrives shows that the machine is there, not that it can be reached.
TEST(WorkerChannel, AMachineIsOutboundOnlyUntilSomethingReachesIt) {
    WorkerChannel channel;
    channel.take_control(10, 1'000);
    EXPECT_EQ(channel.on_command_reply(report(1, 1, 10), {}, 1'000, 1'001),
              EvidenceFreshness::fresh);
    for (Millis t : {4'000, 7'000, 10'000, 13'000}) {
        EXPECT_EQ(channel.on_heartbeat(report(1, static_cast<std::uint64_t>(t), 10), false, t),
                  EvidenceFreshness::fresh);
        channel.on_reply_sent(20'000, t);
    }
    EXPECT_EQ(channel.reachability(5'000, 5'000), Reachability::reachable);
    EXPECT_EQ(channel.reachability(5'000, 13'000), Reachability::outbound_only);
    // Answers that do not arrive must not make its lease seem longer for ever.
    EXPECT_TRUE(channel.should_reply(20'000, 14'000));
    EXPECT_FALSE(channel.should_reply(20'000, 14'001));
    EXPECT_EQ(channel.on_heartbeat(report(1, 13'001, 10), true, 14'000), EvidenceFreshness::fresh);
    EXPECT_EQ(channel.reachability(5'000, 14'000), Reachability::reachable);
    EXPECT_TRUE(channel.should_reply(20'000, 14'000));
}

TEST(WorkerChannel, ALeaseThatEndsDespiteRepliesShowsThatRepliesAreLost) {
    WorkerChannel channel;
    channel.take_control(10, 1'000);
    EXPECT_EQ(channel.on_command_reply(report(1, 1, 10), {}, 1'000, 1'001),
              EvidenceFreshness::fresh);
    channel.on_reply_sent(20'000, 15'000);
    EXPECT_EQ(channel.on_command_reply(report(2, 9, 10), channel.newest_position(), 22'000, 22'001),
              EvidenceFreshness::fresh);
    EXPECT_EQ(channel.reachability(5'000, 22'001),
              Reachability::outbound_only);  // commands do arrive
    EXPECT_FALSE(channel.should_reply(20'000, 22'001));
    // One that stood still for so long has lost it by itself.
    WorkerChannel d;
    d.take_control(10, 1'000);
    EXPECT_EQ(d.on_command_reply(report(1, 1, 10), {}, 1'000, 1'001), EvidenceFreshness::fresh);
    d.on_reply_sent(20'000, 15'000);
    EXPECT_EQ(d.on_command_reply(report(2, 9, 10), d.newest_position(), 36'000, 36'001),
              EvidenceFreshness::fresh);
    EXPECT_EQ(d.reachability(5'000, 36'001), Reachability::reachable);
}

// A service of four, an array and a gang over some machines, all of it running.
std::unique_ptr<ClusterSimulation> town(std::uint64_t seed, Faults faults = {},
                                        std::uint32_t share = 0) {
    auto simulation = std::make_unique<ClusterSimulation>(seed, faults, share);
    simulation->submit(job("job-1", "standing", 4, 4));
    simulation->submit(job("job-2", "ensemble", 2, 2));
    wire::Json array = job("job-3", "sweep", 30, 1);
    array["crew"] = "blue";
    simulation->submit(array);
    simulation->run_until(60'000);
    return simulation;
}

// Without the guard: its reports kept it alive for ever, and what was on it was never started
// again.
TEST(WorkerChannel, TasksOfAnOutboundOnlyMachineAreRestartedElsewhere) {
    for (std::uint64_t seed : {11, 12, 13}) {
        SCOPED_TRACE(seed);
        auto simulation = town(seed);
        const std::string deaf = simulation->working_machines().front();
        const std::size_t before = simulation->running_tasks("a") + simulation->running_tasks("b");
        simulation->block_inbound(deaf, kNever);
        simulation->run_until(simulation->now() + 12'000);
        EXPECT_TRUE(simulation->removed(deaf));
        simulation->run_until(simulation->now() + 40'000);
        EXPECT_GE(simulation->running_tasks("a") + simulation->running_tasks("b"),
                  std::min<std::size_t>(before, 4));
    }
}

// While the cloud is down and cannot give it back: what is on it is started elsewhere when its
// lease has ended, which its own reports tell.
TEST(WorkerChannel, AnOutboundOnlyMachinesLeaseEndsThoughTheCloudIsDown) {
    for (std::uint64_t seed : {61, 62, 63}) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {});
        wire::Json array = job("job-0", "sweep", 1'500, 1);
        array["crew"] = "blue";  // may be stopped for a replica
        simulation.submit(array);
        simulation.submit(job("job-1", "standing", 1, 4));
        simulation.run_until(60'000);
        const auto& attempts = simulation.leader()->open_jobs().at("job-1")->attempts;
        ASSERT_EQ(attempts.size(), 1u);
        const Index was = attempts.front()->machine;
        Faults down;
        down.cloud_down = true;
        simulation.set_faults(down);
        simulation.block_inbound(simulation.leader()->registry().by_index(was)->name, kNever);
        // Half a lease of doubt, a lease, and a place elsewhere.
        simulation.run_until(simulation.now() + 50'000);
        EXPECT_TRUE(std::any_of(attempts.begin(), attempts.end(), [&](const auto& a) {
            return a->machine != was && a->state == jobs::AttemptState::running;
        }));
    }
}

// Answers reach it, and keep its lease; commands do not. Without a name of its own it looked sound:
// what was placed on it waited for a start that never came, over and over.
TEST(WorkerChannel, AMachineWithoutCommandsKeepsItsTasksAndGetsNoNewOnes) {
    WorkerChannel channel;
    channel.take_control(10, 1'000);
    EXPECT_EQ(channel.on_command_reply(report(1, 1, 10), {}, 1'000, 1'001),
              EvidenceFreshness::fresh);
    channel.on_command_lost(2'000);
    EXPECT_EQ(channel.on_heartbeat(report(1, 2, 10), true, 6'900), EvidenceFreshness::fresh);
    EXPECT_EQ(channel.reachability(5'000, 7'000), Reachability::reachable);
    EXPECT_EQ(channel.reachability(5'000, 7'001), Reachability::replies_only);
    EXPECT_EQ(channel.on_command_reply(report(1, 3, 10), channel.newest_position(), 7'100, 7'101),
              EvidenceFreshness::fresh);
    EXPECT_EQ(channel.reachability(5'000, 7'102), Reachability::reachable);
    for (std::uint64_t seed : {14, 15, 16}) {
        SCOPED_TRACE(seed);
        auto simulation = town(seed);
        const std::string name = simulation->working_machines().front();
        const std::size_t killed = simulation->tasks_killed_by_lease();
        simulation->block_commands(name, kNever);
        // The others hear none for a moment, which says nothing yet.
        for (const std::string& other : simulation->working_machines())
            if (other != name) simulation->block_commands(other, simulation->now() + 4'000);
        for (int n = 10; n < 16; ++n) {
            wire::Json more = job("job-" + std::to_string(n), "sweep", 4, 1);
            more["crew"] = "blue";
            simulation->submit(more);
        }
        simulation->fail_over();  // a new leader finds it so, too
        simulation->run_until(simulation->now() + 60'000);
        std::size_t named = 0;
        for (const auto* machine : simulation->leader()->registry().all())
            named += machine->reachability == Reachability::replies_only ? 1 : 0;
        EXPECT_EQ(named, simulation->removed(name) ? 0u : 1u);
        EXPECT_EQ(simulation->tasks_killed_by_lease(), killed);
        for (int n = 10; n < 16; ++n)
            EXPECT_EQ(simulation->final_state("job-" + std::to_string(n)), "done") << n;
        // Orders in answers still work, and what is empty goes back.
        simulation->cancel("job-1");
        simulation->cancel("job-2");
        simulation->cancel("job-3");
        simulation->run_until(simulation->now() + 60'000);
        EXPECT_FALSE(simulation->final_state("job-1").empty());
        EXPECT_TRUE(simulation->removed(name));
    }
}

// Two machines and no third: the one that hears no commands is empty first, and what was placed on
// it began nowhere, also when the other came free.
TEST(WorkerChannel, NothingIsPlacedWhereNoCommandArrives) {
    for (std::uint64_t seed : {81, 82, 83}) {
        SCOPED_TRACE(seed);
        ClusterSimulation simulation(seed, {}, 0, {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a"}}});
        admin::Options options;
        options.idle_retention_margin = options.provisioning_margin = options.spot_margin =
            options.replica_margin = 0;
        simulation.set_options(options);
        simulation.submit(job("job-1", "standing", 1, 4));
        simulation.submit(job("job-2", "standing", 1, 4));
        simulation.run_until(40'000);
        ASSERT_EQ(simulation.running_tasks("a"), 2u);
        Faults full;
        full.exhausted_zone = "a";
        simulation.set_faults(full);
        const auto& attempts = simulation.leader()->open_jobs().at("job-1")->attempts;
        const Index at = attempts.front()->machine;
        simulation.block_commands(simulation.leader()->registry().by_index(at)->name, kNever);
        simulation.cancel("job-1");  // its stop goes with an answer
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

// Given up by rations, as any trouble that a zone's machines share; when it is over, those that are
// left are sound again.
TEST(WorkerChannel, AnOutboundOnlyZoneIsNotGivenUpAtOnce) {
    ClusterSimulation simulation(21, {});
    for (int n = 0; n < 12; ++n) {
        wire::Json j = job("job-" + std::to_string(n), "standing", 2, 0);
        j["cores"] = 8.0;
        j["scatter"] = true;
        simulation.submit(j);
    }
    simulation.run_until(100'000);
    std::size_t there = 0;
    for (const std::string& name : simulation.working_machines()) {
        if (simulation.zone_of(name) != "b") continue;
        simulation.block_inbound(name, 112'000);
        ++there;
    }
    ASSERT_GE(there, 5u);
    const std::size_t running = simulation.running_tasks("b");
    simulation.run_until(111'000);
    EXPECT_LE(simulation.released_machines("b"), 1u);
    std::size_t deaf = 0;
    for (const auto* machine : simulation.leader()->registry().all())
        deaf += machine->reachability != Reachability::reachable;
    EXPECT_GE(deaf, there - 1);
    simulation.run_until(150'000);
    for (const auto* machine : simulation.leader()->registry().all())
        EXPECT_EQ(machine->reachability, Reachability::reachable);
    EXPECT_EQ(simulation.running_tasks("b"), running);
    EXPECT_EQ(simulation.tasks_killed_by_lease(), 0u);
}

// A worker that is back before anybody missed it: what was on it is started again at once, though
// its numbers are smaller than those that are known.
TEST(WorkerChannel, AWorkerThatRestartsAtOnceIsBelieved) {
    for (std::uint64_t seed : {31, 32, 33}) {
        SCOPED_TRACE(seed);
        auto simulation = town(seed);
        const std::size_t starts = simulation->started_tasks(),
                          returned = simulation->released_machines();
        const std::string name = simulation->working_machines().front();
        const std::size_t tasks = simulation->tasks_on(name);
        simulation->restart_machine(name);
        simulation->redeliver_heartbeat(name, false, 700);  // of its former life
        simulation->run_until(simulation->now() + 8'000);
        EXPECT_GE(simulation->started_tasks(), starts + tasks);
        EXPECT_EQ(simulation->released_machines(), returned);  // and it was not given up for it
        simulation->cancel("job-1");
        simulation->run_until(simulation->now() + 200'000);
        EXPECT_EQ(simulation->final_state("job-2"), "done");
        EXPECT_EQ(simulation->final_state("job-3"), "done");
    }
}

// Neither a grave nor a new leader takes a copy for a machine.
TEST(WorkerChannel, DuplicatesDoNotReviveMachines) {
    auto simulation = town(41);
    const std::string gone = simulation->working_machines().front();
    simulation->kill_machine(gone);
    simulation->run_until(simulation->now() + 60'000);
    ASSERT_EQ(simulation->leader()->registry().find(gone), nullptr);
    simulation->redeliver_heartbeat(gone, false, 1'000);
    simulation->run_until(simulation->now() + 2'000);
    EXPECT_EQ(simulation->leader()->registry().find(gone), nullptr);
    simulation->fail_over();
    simulation->run_until(simulation->now() + 20'000);
    const std::size_t rented = simulation->provisioned_machines();
    for (int i = 0; i < 20; ++i) simulation->redeliver_heartbeat(gone, i % 2 == 0, 1'000 + 500 * i);
    simulation->run_until(simulation->now() + 30'000);
    EXPECT_EQ(simulation->heartbeat_copies(), 21u);
    const machines::Machine* machine = simulation->leader()->registry().find(gone);
    EXPECT_TRUE(machine == nullptr || (machine->unverified && machine->up_at == 0));
    EXPECT_EQ(simulation->provisioned_machines(), rented);
}

// A machine known from a copy alone is none that work could wait for: others are hired at once.
TEST(WorkerChannel, UnverifiedMachinesAreNotCountedOn) {
    auto simulation = town(45);
    std::vector<std::string> gone;
    for (const std::string& name : simulation->working_machines()) gone.push_back(name);
    for (const std::string& name : gone) simulation->kill_machine(name);
    simulation->run_until(simulation->now() + 60'000);
    for (const std::string& name : gone) ASSERT_TRUE(simulation->removed(name));
    simulation->fail_over();
    simulation->run_until(simulation->now() + 3'000);
    for (const std::string& name : gone) simulation->redeliver_heartbeat(name, false, 10);
    simulation->run_until(simulation->now() + 20);
    const std::size_t rented = simulation->provisioned_machines();
    wire::Json gang = job("job-9", "ensemble", 4, 4);
    gang["crew"] = "blue";
    simulation->cancel("job-3");  // of the same team: its limit is the gang's
    simulation->submit(gang);
    simulation->run_until(simulation->now() + 1'500);
    EXPECT_GE(simulation->provisioned_machines(), rented + 4);
}

// What is on a machine that dies is not kept alive by what it said before.
TEST(WorkerChannel, DuplicatesKeepNoMachineAlive) {
    auto simulation = town(51);
    const std::string dead = simulation->working_machines().front();
    for (int i = 1; i < 60; ++i) simulation->redeliver_heartbeat(dead, i % 2 == 0, 700 * i);
    simulation->kill_machine(dead);
    simulation->run_until(simulation->now() + 30'000);
    EXPECT_TRUE(simulation->removed(dead));
    EXPECT_GT(simulation->heartbeat_copies(), 20u);
    EXPECT_EQ(simulation->answered_heartbeat_copies(), 0u);  // or its lease would seem to last
}

// All of it at once, with leaders that are replaced, lost messages, holders that end.
void busy_day(std::uint64_t seed, Faults faults, std::uint32_t share) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    ClusterSimulation simulation(seed, faults, share);
    std::mt19937_64 random(seed);
    std::vector<std::string> ids;
    for (int n = 0; n < 12; ++n) {
        const char* shapes[] = {"sweep", "ensemble", "standing"};
        ids.push_back("job-" + std::to_string(n));
        wire::Json spec = job(ids.back(), shapes[random() % 3], 1 + random() % 6, 1 + random() % 2);
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
        busy_day(seed, faults, seed % 2 == 0 ? 1 : 0);
}

// No commands that are held for long: a worker that has forgotten every token obeys them.
TEST(WorkerChannel, RulesHoldWithWorkerRestartsDuplicatesAndFailovers) {
    Faults faults;
    faults.late_heartbeat_copies = 0.3;
    faults.lost_heartbeats = 0.05;
    faults.refused_commands = 0.05;
    faults.worker_restarts_per_s = 1;
    faults.lingering_old_leaders = 0.5;
    for (std::uint64_t seed = 700; seed < 716; ++seed)
        busy_day(seed, faults, seed % 2 == 0 ? 1 : 0);
}

}  // namespace
