/// @file
/// Helpers for tests that combine several faults: mixed jobs, random durations and simulated runs
/// with random faults.
#pragma once
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "tests/cluster_simulation.h"

namespace nickelramp::test {

/// Returns a random duration from 0 to `limit` - 1.
Millis bounded_random(Millis limit, std::mt19937_64& random);

/// Submits arrays, gangs and services in turn (job-0, job-1, ...) and advances the simulation to
/// 45 s, so that all of them run. Returns the ids of the jobs.
std::vector<std::string> run_mixed_jobs(ClusterSimulation& simulation, std::mt19937_64& random,
                                        int jobs);

/// Returns the jobs without a final state.
std::vector<std::string> unfinished(const ClusterSimulation& simulation,
                                    const std::vector<std::string>& ids);

/// Ends all random faults, cancels the services of run_mixed_jobs(), and asserts that all jobs get
/// a final state within the given time.
void expect_all_finish(ClusterSimulation& simulation, const std::vector<std::string>& ids,
                       Millis within);

/// Blocks all messages to some machines for longer than a lease, so that their incarnations end.
void end_some_incarnations(ClusterSimulation& simulation, std::mt19937_64& random);

/// Injects faults in addition to the random ones. Called before each fault of the leader.
using FaultInjector = std::function<void(ClusterSimulation&, std::mt19937_64&)>;

/// Runs a simulation with these random faults, in which leaders crash, freeze or cannot reach the
/// key-value store, the store has outages, and users cancel jobs. Asserts that all jobs get a final
/// state.
/// @param delegated the shard_share of ClusterSimulation
SimulationCoverage run_faulty_day(std::uint64_t seed, const Faults& faults,
                                  std::uint32_t delegated = 0, const FaultInjector& more = {});

/// Adds the counters that the tests of combined faults check to `sum`.
void add(SimulationCoverage& sum, const SimulationCoverage& coverage);

}  // namespace nickelramp::test
