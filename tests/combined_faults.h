// Jobs, waits and random days that tests of several faults at a time share.
#pragma once
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "tests/cluster_simulation.h"

namespace nickelramp::test {

/// A random duration from 0 to `limit`, which is excluded.
Millis below(Millis limit, std::mt19937_64& random);

/// Submits arrays, gangs and services in turn (job-0, job-1, ...) and lets 45 s pass, so that all
/// of it runs.
std::vector<std::string> run_mixed_jobs(ClusterSimulation& simulation, std::mt19937_64& random,
                                        int jobs);

/// Those without a final state.
std::vector<std::string> unfinished(const ClusterSimulation& simulation,
                                    const std::vector<std::string>& ids);

/// Ends all random faults, cancels the services of run_mixed_jobs(), and asserts that all jobs get
/// a final state within that time.
void expect_all_finish(ClusterSimulation& simulation, const std::vector<std::string>& ids,
                       Millis within);

/// Cuts some machines off from replies for longer than a lease, so that their incarnations end.
void end_some_incarnations(ClusterSimulation& simulation, std::mt19937_64& random);

/// Faults on top of those of a day; called before each fault of the leader.
using MoreFaults = std::function<void(ClusterSimulation&, std::mt19937_64&)>;

/// A day with these random faults, on which leaders are cut off from the key-value store, crash or
/// freeze and users cancel jobs. Asserts that all jobs end.
SimulationCoverage run_faulty_day(std::uint64_t seed, const Faults& faults,
                                  std::uint32_t delegated = 0, const MoreFaults& more = {});

/// Adds what the tests of combined faults look at.
void add(SimulationCoverage& sum, const SimulationCoverage& coverage);

}  // namespace nickelramp::test
