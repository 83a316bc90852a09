#include "tests/combined_faults.h"

#include <gtest/gtest.h>

namespace nickelramp::test {

Millis bounded_random(Millis limit, std::mt19937_64& random) {
    return static_cast<Millis>(random() % limit);
}

std::vector<std::string> run_mixed_jobs(ClusterSimulation& simulation, std::mt19937_64& random,
                                        int jobs) {
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

std::vector<std::string> unfinished(const ClusterSimulation& simulation,
                                    const std::vector<std::string>& ids) {
    std::vector<std::string> open;
    for (const std::string& id : ids) {
        if (simulation.final_state(id).empty()) open.push_back(id);
    }
    return open;
}

void expect_all_finish(ClusterSimulation& simulation, const std::vector<std::string>& ids,
                       Millis within) {
    simulation.clear_faults();
    for (const std::string& id : ids) {
        const bool service = std::stoi(id.substr(4)) % 3 == 2;
        if (service) simulation.request_cancel_until_answered(id);
    }
    const Millis until = simulation.now() + within;
    while (simulation.now() < until && !unfinished(simulation, ids).empty() &&
           !testing::Test::HasFailure())
        simulation.run_until(simulation.now() + 2'000);
    EXPECT_TRUE(unfinished(simulation, ids).empty())
        << "no final state: " << unfinished(simulation, ids).front() << "; "
        << simulation.describe_running() << simulation.describe_cluster_state();
}

void end_some_incarnations(ClusterSimulation& simulation, std::mt19937_64& random) {
    for (const std::string& name : simulation.working_machines())
        if (random() % 10 == 0) simulation.block_inbound(name, simulation.now() + 24'000);
}

SimulationCoverage run_faulty_day(std::uint64_t seed, const Faults& faults, std::uint32_t delegated,
                                  const FaultInjector& more) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    ClusterSimulation simulation(seed, faults, delegated);
    simulation.simulate_leader_leases();
    const auto ids = run_mixed_jobs(simulation, random, 12);
    for (int n = 0; n < 6 && !testing::Test::HasFailure(); ++n) {
        if (random() % 2 == 0) simulation.request_cancel_until_answered(ids[random() % ids.size()]);
        if (more) more(simulation, random);
        switch (random() % 4) {
            case 0:
                simulation.reject_leader_at_state_service(2'000 + bounded_random(38'000, random));
                break;
            case 1:
                simulation.crash_leader();
                break;
            case 2:
                simulation.freeze_leader(1'000 + bounded_random(20'000, random));
                break;
            default:
                simulation.take_state_service_down(500 + bounded_random(15'000, random));
                break;
        }
        simulation.run_until(simulation.now() + 3'000 + bounded_random(12'000, random));
    }
    expect_all_finish(simulation, ids, 300'000);
    return simulation.coverage();
}

void add(SimulationCoverage& sum, const SimulationCoverage& coverage) {
    sum.copies_of_old_incarnations += coverage.copies_of_old_incarnations;
    sum.copies_of_old_attempts += coverage.copies_of_old_attempts;
    sum.delayed_commands_executed += coverage.delayed_commands_executed;
    sum.delayed_commands_refused += coverage.delayed_commands_refused;
    sum.late_commits_applied += coverage.late_commits_applied;
    sum.late_commits_refused += coverage.late_commits_refused;
    sum.unrecorded_completions += coverage.unrecorded_completions;
}

}  // namespace nickelramp::test
