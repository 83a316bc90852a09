// Tests that a request which was carried out and answered may arrive again, at any time and in any
// order with newer requests (docs/design/repeated-requests.md). Each test counts the copies that
// arrived and fails if there were too few. The simulation asserts the rules.
#include <gtest/gtest.h>

#include <cstdlib>
#include <set>

#include "tests/election_simulation.h"
#include "tests/simulated_day.h"

namespace {

using namespace nickelramp;
using test::ElectionSimulation;
using test::Faults;
using test::for_each_seed;
using test::SimulatedDay;
using test::SimulationCoverage;

// With fewer copies of a kind a test shows nothing.
constexpr std::size_t kMinCopies = 20;

// Returns how many seeds to run: `usual`, or NICKELRAMP_SEEDS for a longer run by hand.
std::uint64_t seed_count(std::uint64_t usual) {
    const char* const wanted = std::getenv("NICKELRAMP_SEEDS");
    return wanted == nullptr ? usual : std::strtoull(wanted, nullptr, 10);
}

Faults repeated(const std::string& kind) {
    Faults faults;
    faults.repeated_requests = 0.6;
    faults.repeated_requests_of = kind;
    faults.faulty_machines = 0.2;
    return faults;
}

// Submits jobs of which a third fail until they are cancelled, with tasks of a second or less.
void submit_short_and_failing_jobs(SimulatedDay& day, int count) {
    for (int n = 0; n < count; ++n) {
        day.submit("sweep", 2 + static_cast<std::uint32_t>(day.random() % 6), 1,
                   {{"save_every_s", 0.0}});
        if (day.random() % 3 == 0) day.simulation.make_job_fail(day.ids.back());
        if (day.random() % 2 == 0)
            day.simulation.set_task_duration(day.ids.back(), 100 + day.random_below(900));
    }
    day.submit_mix(4);
}

// Runs a day on which jobs are submitted and cancelled while leaders are replaced within a second.
void run_day(SimulatedDay& day, const std::function<void(SimulatedDay&)>& disturb) {
    for (int n = 0; n < 6 && !testing::Test::HasFailure(); ++n) {
        submit_short_and_failing_jobs(day, 3);
        day.run(4'000 + day.random_below(8'000));
        day.cancel_some(4);
        disturb(day);
        day.run(1 + day.random_below(1'000));
    }
    for (std::size_t n = 0; n < day.ids.size(); ++n) day.cancel(n);
    day.expect_finished(300'000);
    day.run(200'000);  // the last copies arrive
}

std::size_t copies_of(const SimulatedDay& day, const std::string& kind) {
    const auto& copies = day.simulation.coverage().repeated_requests;
    const auto found = copies.find(kind);
    return found == copies.end() ? 0 : found->second;
}

void replace_leader(SimulatedDay& day) {
    if (day.random() % 2 == 0) day.simulation.crash_leader();
}

// A worker that has forgotten an exited attempt would run it again.
TEST(RepeatedRequests, StartCommandsThatArriveAgainStartNoEndedAttempt) {
    SimulationCoverage sum;
    for_each_seed(1, seed_count(8), [&](std::uint64_t seed) {
        SimulatedDay day(seed, repeated("commands"), seed % 2 == 0 ? 1 : 0);
        run_day(day, replace_leader);
        sum.repeated_commands_executed += day.simulation.coverage().repeated_commands_executed;
        sum.repeated_commands_rejected += day.simulation.coverage().repeated_commands_rejected;
        sum.repeated_starts += day.simulation.coverage().repeated_starts;
    });
    EXPECT_GT(sum.repeated_commands_executed, kMinCopies);
    EXPECT_GT(sum.repeated_commands_rejected, kMinCopies);
    EXPECT_GT(sum.repeated_starts, kMinCopies);
}

// Restarts each machine that has tasks, once.
void restart_workers_once(SimulatedDay& day, std::set<std::string>& restarted) {
    for (const std::string& machine : day.simulation.working_machines())
        if (restarted.insert(machine).second) day.simulation.restart_machine(machine);
}

// A restarted worker remembers nothing, so only a higher token keeps a copy from starting a task
// that runs elsewhere by then.
TEST(RepeatedRequests, UnfinishedAttemptsOfRestartedWorkersDoNotComeBack) {
    std::size_t started_again = 0, copies = 0;
    for_each_seed(51, seed_count(8), [&](std::uint64_t seed) {
        Faults faults;
        faults.repeated_requests = 0.9;
        faults.repeated_requests_of = "commands";
        SimulatedDay day(seed, faults, seed % 2 == 0 ? 1 : 0);
        std::set<std::string> restarted;
        for (int n = 0; n < 8; ++n) {
            day.submit("sweep", 4, 1);
            day.simulation.set_task_duration(day.ids.back(), 5'000 + day.random_below(30'000));
        }
        for (int n = 0; n < 12; ++n) {
            day.run(1'000 + day.random_below(8'000));
            restart_workers_once(day, restarted);
            if (n % 4 == 3) replace_leader(day);
        }
        day.expect_finished(300'000);
        started_again += day.simulation.coverage().forgotten_by_restart;
        copies += copies_of(day, "commands");
    });
    EXPECT_GT(started_again, 0u);
    EXPECT_GT(copies, kMinCopies);
}

// Each transaction depends on the version of a record that it changes, except deletions of the
// records of ended jobs.
TEST(RepeatedRequests, TransactionsThatArriveAgainChangeNothing) {
    std::size_t copies = 0;
    for_each_seed(101, seed_count(6), [&](std::uint64_t seed) {
        SimulatedDay day(seed, repeated("transactions"), seed % 2 == 0 ? 1 : 0);
        day.submit("sweep", 400, 0, {{"cores", 0.02}, {"mem_gb", 0.01}});
        run_day(day, replace_leader);
        for (const auto& [kind, count] : day.simulation.coverage().repeated_commits_applied)
            EXPECT_TRUE(count == 0 || kind == "left over") << kind;
        copies += copies_of(day, "transactions");
    });
    EXPECT_GT(copies, kMinCopies);
}

TEST(RepeatedRequests, CloudCallsThatArriveAgainRentAndReturnNothingElse) {
    std::size_t provisioning = 0, releases = 0;
    for (const char* kind : {"provisioning", "releases"}) {
        for_each_seed(201, seed_count(8), [&](std::uint64_t seed) {
            Faults faults = repeated(kind);
            faults.machine_failures_per_s = 0.2;
            SimulatedDay day(seed, faults);
            run_day(day, replace_leader);
            provisioning += copies_of(day, "provisioning");
            releases += copies_of(day, "releases");
        });
    }
    EXPECT_GT(provisioning, kMinCopies);
    EXPECT_GT(releases, kMinCopies);
}

TEST(RepeatedRequests, MessagesBetweenControllersThatArriveAgainBreakNoRule) {
    std::size_t copies = 0;
    for_each_seed(301, seed_count(4), [&](std::uint64_t seed) {
        SimulatedDay day(seed, repeated("peer messages"), 1);
        run_day(day, [](SimulatedDay& disturbed) {
            if (disturbed.random() % 2 == 0) disturbed.simulation.restart_holders();
            replace_leader(disturbed);
        });
        copies += copies_of(day, "peer messages");
    });
    EXPECT_GT(copies, kMinCopies);
}

TEST(RepeatedRequests, CopiesOfAllKindsBreakNoRule) {
    SimulationCoverage sum;
    for_each_seed(401, seed_count(6), [&](std::uint64_t seed) {
        Faults faults = repeated("");
        faults.late_heartbeat_copies = 0.2;
        faults.lost_command_replies = 0.05;
        faults.delayed_commands = 0.05;
        SimulatedDay day(seed, faults, seed % 2 == 0 ? 1 : 0);
        run_day(day, [seed](SimulatedDay& disturbed) {
            replace_leader(disturbed);
            if (seed % 2 == 0) disturbed.simulation.restart_holders();
        });
        for (const auto& [kind, count] : day.simulation.coverage().repeated_requests)
            sum.repeated_requests[kind] += count;
        sum.repeated_commands_rejected += day.simulation.coverage().repeated_commands_rejected;
    });
    for (const char* kind : {"commands", "transactions", "provisioning", "releases"})
        EXPECT_GT(sum.repeated_requests[kind], kMinCopies) << kind;
    EXPECT_GT(sum.repeated_commands_rejected, kMinCopies);
}

// A copy may renew the lease of a process that has ended, which delays the next election by a lease
// at the most. ElectionSimulation asserts that one controller at a time acts under each role.
TEST(RepeatedRequests, CopiesOfElectionRequestsGiveNoSecondControllerARole) {
    std::size_t copies = 0;
    for_each_seed(501, seed_count(12), [&](std::uint64_t seed) {
        std::mt19937_64 random(seed);
        ElectionSimulation simulation(seed, 3 + seed % 3);
        simulation.repeated_requests = 0.6;
        simulation.run_until(8'000);
        while (simulation.now() < 90'000 && !HasFailure()) {
            const std::size_t leader = std::min(simulation.leader(), simulation.size() - 1);
            if (random() % 3 == 0)
                simulation.freeze(leader, 1'000 + static_cast<Millis>(random() % 8'000));
            else
                simulation.crash(leader, 20 + static_cast<Millis>(random() % 1'000));
            simulation.run_until(simulation.now() + 500 + static_cast<Millis>(random() % 10'000));
        }
        copies += simulation.copies();
        simulation.repeated_requests = 0;
        simulation.run_until(simulation.now() + 80'000);  // the last copies arrive
        EXPECT_LT(simulation.leader(), simulation.size());
        for (const lease::Role role : lease::kAllRoles)
            EXPECT_LT(simulation.role_holder(role), simulation.size()) << name(role);
    });
    EXPECT_GT(copies, kMinCopies);
}

}  // namespace
