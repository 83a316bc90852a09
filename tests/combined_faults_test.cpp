// Two troubles that meet (docs/design/meetings.md). Each test counts that the meeting came about,
// and fails if it did not; the world keeps what truly runs where and asserts the rules.
#include <gtest/gtest.h>

#include "tests/cluster_simulation.h"

namespace {

using namespace nickelramp;
using test::ClusterSimulation;
using test::Faults;
using test::job;

// Services, arrays with long tasks and gangs, all of it running.
std::vector<std::string> fill(ClusterSimulation& simulation, std::mt19937_64& random, int jobs) {
    std::vector<std::string> ids;
    const char* shapes[] = {"sweep", "ensemble", "standing"};
    for (int n = 0; n < jobs; ++n) {
        ids.push_back("job-" + std::to_string(n));
        wire::Json spec = job(ids.back(), shapes[n % 3], 1 + random() % 4, 1);
        if (n % 2 == 0) spec["crew"] = "blue";
        if (n % 4 == 0) spec["scatter"] = true;
        simulation.submit(spec);
    }
    simulation.run_until(45'000);
    return ids;
}

std::vector<std::string> untold(const ClusterSimulation& simulation,
                                const std::vector<std::string>& ids) {
    std::vector<std::string> out;
    for (const std::string& id : ids) {
        if (simulation.final_state(id).empty()) out.push_back(id);
    }
    return out;
}

// The gap: the state service refuses the leader alone, another confirms cancellations, then it is
// down for all for longer than cancel_s while workers go on reporting to the old one. All orders of
// refusal, take-over, confirmation and outage, and with a third trouble in it. What is told is
// told of jobs of which nothing is left (the world looks at every machine at that moment), and what
// was asked for is told soon after the state service is back.
TEST(CombinedFaults, FailoverDuringAStateServiceOutage) {
    const Millis cancel = seconds(test::simulation_settings().cancel_s);
    std::size_t gaps = 0, beside = 0, by_old = 0;
    for (std::uint64_t seed = 1; seed <= 160 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        auto upto = [&](Millis most) { return static_cast<Millis>(random() % most); };
        Faults faults;
        if (seed % 5 == 1) faults.unknown_commits = 0.15;
        if (seed % 5 == 2)
            faults.lost_command_replies = 0.15, faults.delayed_commands = 0.1,
            faults.refused_commands = 0.2;
        if (seed % 5 == 3) faults.late_heartbeat_copies = 0.4, faults.lost_heartbeats = 0.1;
        ClusterSimulation simulation(seed, faults);
        simulation.simulate_leader_leases();
        const auto ids = fill(simulation, random, 9);
        const Millis from = simulation.now() + upto(3'000);
        const Millis refused = 2'000 + upto(38'000), length = cancel + 2'000 + upto(15'000);
        const Millis outage = from + upto(16'000);
        simulation.run_until(from);
        simulation.reject_leader_at_state_service(refused);
        // Commands do not reach these, whoever sends them: their workers stay with the old leader.
        const bool muted = seed % 3 == 0;
        for (const std::string& name : simulation.working_machines())
            if (muted && (seed % 6 == 0 || random() % 2 == 0))
                simulation.block_commands(name, from + 20'000 + upto(90'000));
        bool down = false;
        std::size_t told = 0;
        const std::size_t terms = simulation.term_count();
        for (const std::string& id : ids) {
            if (random() % 5 != 0) simulation.request_cancel_until_answered(id);
            const Millis next = simulation.now() + upto(2'400);
            if (!down && next >= outage) {
                simulation.run_until(std::max(simulation.now(), outage));
                told = ids.size() - untold(simulation, ids).size();
                simulation.take_state_service_down(length);
                down = true;
                if (seed % 7 == 0) simulation.crash_leader();
                if (seed % 7 == 1) simulation.freeze_leader(upto(30'000));
                if (seed % 7 == 2)
                    simulation.partition({"b", 0.5, false, true, false, next, next + 40'000});
            }
            simulation.run_until(next);
        }
        if (!down) {
            told = ids.size() - untold(simulation, ids).size();
            simulation.take_state_service_down(length);
        }
        gaps += told > 0 && simulation.term_count() > terms ? 1 : 0;
        while (!simulation.state_service_up()) simulation.run_until(simulation.now() + 1'000);
        for (const std::string& id : ids) simulation.request_cancel_until_answered(id);
        // Whoever could not be reached may have been answered for two leases and lives one more.
        const bool reachable = seed % 7 != 2 && seed % 5 != 2 && !muted;
        const Millis lease = seconds(test::simulation_settings().lease_s);
        simulation.run_until(simulation.now() + (reachable ? 25'000 : 25'000 + 3 * lease + 5'000));
        EXPECT_TRUE(untold(simulation, ids).empty())
            << "not told: " << untold(simulation, ids).front() << "; "
            << simulation.describe_running();
        beside += simulation.cancellations_confirmed_beside_old_leaders();
        by_old += simulation.replies_by_old_leaders();
    }
    EXPECT_GT(gaps, 50u);
    EXPECT_GT(beside, 100u);
    EXPECT_GT(by_old, 300u);
}

// Everything ends: what is done or cancelled is told, and services, every third as fill() has it,
// are cancelled.
void ends(ClusterSimulation& simulation, const std::vector<std::string>& ids, Millis within) {
    simulation.clear_faults();
    for (const std::string& id : ids)
        if (std::stoi(id.substr(4)) % 3 == 2) simulation.request_cancel_until_answered(id);
    const Millis until = simulation.now() + within;
    while (simulation.now() < until && !untold(simulation, ids).empty() &&
           !testing::Test::HasFailure())
        simulation.run_until(simulation.now() + 2'000);
    EXPECT_TRUE(untold(simulation, ids).empty())
        << "not told: " << untold(simulation, ids).front() << "; " << simulation.describe_running()
        << simulation.describe_cluster_state();
}

// Answers to some do not arrive for longer than a lease: their sessions end.
void end_sessions(ClusterSimulation& simulation, std::mt19937_64& random) {
    for (const std::string& name : simulation.working_machines())
        if (random() % 10 == 0) simulation.block_inbound(name, simulation.now() + 24'000);
}

// A day of one trouble that goes on and of leaders that are refused, end or stand still; users
// cancel a third of the jobs.
ClusterSimulation::Coverage day(
    std::uint64_t seed, const Faults& faults, std::uint32_t share = 0,
    const std::function<void(ClusterSimulation&, std::mt19937_64&)>& more = {}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    auto upto = [&](Millis most) { return static_cast<Millis>(random() % most); };
    ClusterSimulation simulation(seed, faults, share);
    simulation.simulate_leader_leases();
    const auto ids = fill(simulation, random, 12);
    for (int n = 0; n < 6 && !testing::Test::HasFailure(); ++n) {
        if (random() % 2 == 0) simulation.request_cancel_until_answered(ids[random() % ids.size()]);
        if (more) more(simulation, random);
        switch (random() % 4) {
            case 0:
                simulation.reject_leader_at_state_service(2'000 + upto(38'000));
                break;
            case 1:
                simulation.crash_leader();
                break;
            case 2:
                simulation.freeze_leader(1'000 + upto(20'000));
                break;
            case 3:
                simulation.take_state_service_down(500 + upto(15'000));
                break;
        }
        simulation.run_until(simulation.now() + 3'000 + upto(12'000));
    }
    ends(simulation, ids, 300'000);
    return simulation.coverage();
}

void add(ClusterSimulation::Coverage& sum, const ClusterSimulation::Coverage& m) {
    sum.copies_of_old_incarnations += m.copies_of_old_incarnations;
    sum.copies_of_old_attempts += m.copies_of_old_attempts;
    sum.delayed_commands_executed += m.delayed_commands_executed;
    sum.delayed_commands_refused += m.delayed_commands_refused;
    sum.late_commits_applied += m.late_commits_applied;
    sum.late_commits_refused += m.late_commits_refused;
    sum.unrecorded_completions += m.unrecorded_completions;
}

// An old report arrives after newer ones, also from an earlier session or attempt, at the leader,
// at holders and deputies, at successors that have heard nothing newer yet.
TEST(CombinedFaults, OldHeartbeatsAfterNewerOnes) {
    Faults faults;
    faults.late_heartbeat_copies = 0.6;
    faults.lost_heartbeats = 0.1;
    faults.machine_failures_per_s = 0.01;
    ClusterSimulation::Coverage met;
    for (std::uint64_t seed = 200; seed < 260 && !HasFailure(); ++seed)
        add(met, day(seed, faults, seed % 2 == 0 ? 1 : 0, end_sessions));
    EXPECT_GT(met.copies_of_old_incarnations, 1'000u);
    EXPECT_GT(met.copies_of_old_attempts, 100u);
}

// A leader ends, and the next, while machines with long tasks cannot be reached or do not hear the
// new leader's answers. What is on them is started elsewhere only when its lease is certainly over
// (the world calls ran_twice otherwise), and then soon.
TEST(CombinedFaults, FailoversWhileMachinesAreUnreachable) {
    const wire::Settings settings = test::simulation_settings();
    std::size_t restarted = 0;
    for (std::uint64_t seed = 300; seed < 330 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        ClusterSimulation simulation(seed, {}, seed % 3 == 0 ? 1 : 0);
        simulation.simulate_leader_leases();
        simulation.submit(job("job-2", "standing", 4, 2));
        simulation.submit(job("job-5", "standing", 2, 1));
        simulation.run_until(45'000);
        const std::size_t before = simulation.running_tasks("a") + simulation.running_tasks("b");
        const std::size_t starts = simulation.started_tasks();
        const std::string lost = simulation.working_machines().front();
        if (seed % 3 == 1) {
            simulation.block_commands(lost, kNever);  // its reports reach whoever it reports to
        } else {
            simulation.block_inbound(lost, kNever);
        }
        for (int terms = 0; terms < 3; ++terms) {
            simulation.run_until(simulation.now() + static_cast<Millis>(random() % 6'000));
            if (terms == 1 && seed % 2 == 0)
                simulation.reject_leader_at_state_service(30'000);
            else
                simulation.crash_leader();
            simulation.run_until(simulation.now() + 6'000);
        }
        // The last of them counts from its own beginning: two leases of answers and one more.
        simulation.run_until(simulation.now() + seconds(3 * settings.lease_s) + 25'000);
        EXPECT_GE(simulation.running_tasks("a") + simulation.running_tasks("b"), before);
        restarted += simulation.started_tasks() > starts ? 1 : 0;
    }
    EXPECT_GE(restarted, 15u);
}

// The old leader keeps its workers and users, has lost the state service and the other controllers,
// and jobs are cancelled through the new one: longer than it may answer for.
TEST(CombinedFaults, ALeaderThatReachesWorkersAndUsersOnly) {
    std::size_t beside = 0;
    for (std::uint64_t seed = 400; seed < 430 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        ClusterSimulation simulation(seed, {});
        simulation.simulate_leader_leases();
        const auto ids = fill(simulation, random, 9);
        simulation.reject_leader_at_state_service(90'000);
        for (const std::string& name : simulation.working_machines())
            if (seed % 2 == 0) simulation.block_commands(name, simulation.now() + 50'000);
        for (const std::string& id : ids) {
            simulation.run_until(simulation.now() + static_cast<Millis>(random() % 6'000));
            if (random() % 2 == 0) simulation.request_cancel_until_answered(id);
        }
        simulation.run_until(simulation.now() + 60'000);
        beside += simulation.cancellations_confirmed_beside_old_leaders();
        ends(simulation, ids, 200'000);
    }
    EXPECT_GT(beside, 40u);
}

// Jobs of two or three tasks end far apart, and the leader changes in between, while completions
// are on no record yet. Done is told when all are (the world calls not_done otherwise), and soon.
TEST(CombinedFaults, FewTasksThatEndFarApart) {
    ClusterSimulation::Coverage met;
    for (std::uint64_t seed = 500; seed < 540 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        Faults faults;
        if (seed % 2 == 0) faults.unknown_commits = 0.2;
        ClusterSimulation simulation(seed, faults);
        simulation.simulate_leader_leases();
        std::vector<std::string> ids;
        for (int n = 0; n < 20; ++n) {
            ids.push_back("job-" + std::to_string(3 * n));
            wire::Json spec = job(ids.back(), n % 4 == 3 ? "ensemble" : "sweep", 2 + n % 2, 1);
            if (n % 2 == 0) spec["crew"] = "blue";
            if (n % 3 == 0) spec["scatter"] = true;
            simulation.submit(spec);
            simulation.run_until(simulation.now() + 500 + static_cast<Millis>(random() % 4'000));
            if (simulation.now() > 20'000 && random() % 4 == 0) {
                if (random() % 2 == 0)
                    simulation.crash_leader();
                else
                    simulation.reject_leader_at_state_service(
                        5'000 + static_cast<Millis>(random() % 20'000));
            }
        }
        simulation.clear_faults();
        simulation.run_until(simulation.now() + 15'000);  // somebody leads
        // Reports come every 3 s here, and nothing brings one sooner.
        EXPECT_TRUE(simulation.jobs_reported_late(10'000).empty())
            << simulation.jobs_reported_late(10'000).front();
        ends(simulation, ids, 200'000);
        add(met, simulation.coverage());
    }
    EXPECT_GT(met.unrecorded_completions, 50u);
}

// A command or its answer is held for seconds up to a minute: it is executed, or refused, when its
// attempt was given up, its leader replaced, the worker's session over.
TEST(CombinedFaults, CommandsDelayedForSeconds) {
    Faults faults;
    faults.delayed_commands = 0.25;
    faults.lost_command_replies = 0.1;
    ClusterSimulation::Coverage met;
    for (std::uint64_t seed = 600; seed < 720 && !HasFailure(); ++seed)
        add(met, day(seed, faults, seed % 3 == 0 ? 1 : 0, end_sessions));
    EXPECT_GT(met.delayed_commands_executed, 100u);
    EXPECT_GT(met.delayed_commands_refused, 500u);
}

// Transactions without an answer, of leaders, holders and users, are carried out late, after newer
// ones of the same controller, and by then of a leader that is replaced.
TEST(CombinedFaults, TransactionsAppliedLate) {
    Faults faults;
    faults.unknown_commits = 0.35;
    ClusterSimulation::Coverage met;
    for (std::uint64_t seed = 720; seed < 840 && !HasFailure(); ++seed)
        add(met, day(seed, faults, seed % 3 == 0 ? 2 : 0));
    EXPECT_GT(met.late_commits_applied, 30u);
    EXPECT_GT(met.late_commits_refused, 800u);
}

// Jobs of one task come four a second for two minutes, and a quarter of them is cancelled, with no
// more changes than the state service takes; leaders end meanwhile in some. Nothing is forgotten or
// piles up, what was called off is told soon, and a gang among them begins.
TEST(CombinedFaults, OneTaskJobsFourASecondAQuarterCancelled) {
    std::size_t withdrawn = 0, jobs = 0, changes = 0;
    for (std::uint64_t seed = 900; seed < 908 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        Faults faults;
        faults.state_writes_per_s = 40;
        ClusterSimulation simulation(seed, faults);
        simulation.simulate_leader_leases();
        std::vector<std::string> ids;
        std::map<std::string, Millis> asked;
        std::multimap<Millis, std::string> cancels;
        std::size_t most = 0;
        Millis longest = 0;
        auto look = [&] {
            std::erase_if(asked, [&](const auto& a) {
                if (!simulation.final_state(a.first).empty()) return true;
                longest = std::max(longest, simulation.now() - a.second);
                return false;
            });
        };
        for (int n = 0; n < 480 && !HasFailure(); ++n) {
            ids.push_back("job-" + std::to_string(n));
            wire::Json spec = job(ids.back(), n == 240 ? "ensemble" : "sweep", n == 240 ? 4 : 1,
                                  n == 240 ? 2 : 0.25);
            if (n % 2 == 0) spec["crew"] = "blue";
            simulation.submit(spec);
            if (n != 240 && random() % 4 == 0)
                cancels.emplace(simulation.now() + static_cast<Millis>(random() % 12'000),
                                ids.back());
            simulation.run_until(simulation.now() + 250);
            while (!cancels.empty() && cancels.begin()->first <= simulation.now()) {
                asked.emplace(cancels.begin()->second, simulation.now());
                simulation.request_cancel_until_answered(cancels.begin()->second);
                cancels.erase(cancels.begin());
            }
            if (seed % 2 == 0 && (n == 160 || n == 320)) simulation.crash_leader();
            look();
            most = std::max(most, untold(simulation, ids).size());
            if (n == 400) {
                EXPECT_EQ(simulation.final_state("job-240"), "done")
                    << simulation.describe_cluster_state();
            }
        }
        jobs += ids.size();
        changes += simulation.state_changes();
        ends(simulation, ids, 60'000);
        look();
        EXPECT_LE(longest, 10'000);  // with a take-over between
        EXPECT_LE(most, 200u);
        for (const std::string& id : ids)
            withdrawn += simulation.final_state(id) == "withdrawn" ? 1 : 0;
    }
    EXPECT_GT(withdrawn, 400u);
    // Two for its submission, one for its start, three for its end, one for its being called off,
    // and what machines and take-overs cost.
    EXPECT_LE(changes, jobs * 7);
}

// Whatever meets whatever: each trouble with each, in one moment or seconds apart.
TEST(CombinedFaults, EveryPairOfFaults) {
    using Strike = std::function<void(ClusterSimulation&, std::mt19937_64&)>;
    auto some = [](ClusterSimulation& simulation, std::mt19937_64& random, std::size_t part,
                   auto f) {
        for (const std::string& name : simulation.working_machines())
            if (random() % part == 0) f(name);
    };
    const std::pair<const char*, Strike> strikes[] = {
        {"refused",
         [](ClusterSimulation& simulation, auto& r) {
             simulation.reject_leader_at_state_service(2'000 + r() % 40'000);
         }},
        {"state down", [](ClusterSimulation& simulation,
                          auto& r) { simulation.take_state_service_down(1'000 + r() % 45'000); }},
        {"leader ends", [](ClusterSimulation& simulation, auto&) { simulation.crash_leader(); }},
        {"leader ends twice",
         [](ClusterSimulation& simulation, auto& r) {
             simulation.crash_leader();
             simulation.run_until(simulation.now() + 4'000 + r() % 1'000);
             simulation.crash_leader();
         }},
        {"leader stands still", [](ClusterSimulation& simulation,
                                   auto& r) { simulation.freeze_leader(1'000 + r() % 40'000); }},
        {"copies",
         [](ClusterSimulation& simulation, auto&) {
             Faults faults;
             faults.late_heartbeat_copies = 0.6;
             simulation.set_faults(faults);
         }},
        {"commands held",
         [](ClusterSimulation& simulation, auto&) {
             Faults faults;
             faults.delayed_commands = 0.3;
             simulation.set_faults(faults);
         }},
        {"late writes",
         [](ClusterSimulation& simulation, auto&) {
             Faults faults;
             faults.unknown_commits = 0.4;
             simulation.set_faults(faults);
         }},
        {"deaf",
         [&](ClusterSimulation& simulation, auto& r) {
             some(simulation, r, 3, [&](auto& name) {
                 simulation.block_inbound(name, simulation.now() + 5'000 + r() % 60'000);
             });
         }},
        {"no commands",
         [&](ClusterSimulation& simulation, auto& r) {
             some(simulation, r, 2, [&](auto& name) {
                 simulation.block_commands(name, simulation.now() + 5'000 + r() % 60'000);
             });
         }},
        {"zone cut, held",
         [](ClusterSimulation& simulation, auto& r) {
             simulation.partition({"b", 1, false, true, r() % 2 == 0, simulation.now(),
                                   simulation.now() + 5'000 + static_cast<Millis>(r() % 50'000)});
         }},
        {"machines hang",
         [](ClusterSimulation& simulation, auto& r) {
             simulation.partition({"a", 0.4, true, false, false, simulation.now(),
                                   simulation.now() + 3'000 + static_cast<Millis>(r() % 40'000)});
         }},
        {"machines die",
         [&](ClusterSimulation& simulation, auto& r) {
             some(simulation, r, 4, [&](auto& name) { simulation.kill_machine(name); });
         }},
        {"workers back at once",
         [&](ClusterSimulation& simulation, auto& r) {
             some(simulation, r, 4, [&](auto& name) { simulation.restart_machine(name); });
         }},
        {"holders end", [](ClusterSimulation& simulation, auto&) { simulation.restart_holders(); }},
    };
    std::uint64_t seed = 1'000;
    for (const auto& [one, first] : strikes) {
        for (const auto& [other, second] : strikes) {
            if (HasFailure()) return;
            SCOPED_TRACE(testing::Message() << one << ", then " << other << ", seed " << ++seed);
            std::mt19937_64 random(seed);
            ClusterSimulation simulation(seed, {}, 1);
            simulation.simulate_leader_leases();
            const auto ids = fill(simulation, random, 9);
            for (const std::string& id : ids)
                if (random() % 3 == 0) simulation.request_cancel_until_answered(id);
            first(simulation, random);
            const Millis apart[] = {0, 300, 3'000, 9'000};
            simulation.run_until(simulation.now() + apart[random() % 4]);
            second(simulation, random);
            for (const std::string& id : ids)
                if (random() % 3 == 0) simulation.request_cancel_until_answered(id);
            simulation.run_until(simulation.now() + 30'000);
            ends(simulation, ids, 250'000);
        }
    }
}

}  // namespace
