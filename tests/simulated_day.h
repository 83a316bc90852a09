/// @file
/// Helpers that the reachability tests share: runs over many seeds, options without spare machines,
/// and a simulated day of jobs that must all finish.
#pragma once
#include <cstdint>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "admin/options.h"
#include "tests/cluster_simulation.h"

namespace nickelramp::test {

/// Returns the duration of a worker's lease in the simulations.
Millis simulated_lease();

/// Calls `test` for `count` seeds, starting at `from`, until a test fails. Failure messages name
/// the seed.
void for_each_seed(std::uint64_t from, std::uint64_t count,
                   const std::function<void(std::uint64_t)>& test);

/// Returns options under which no machine is kept or provisioned beyond the present demand.
admin::Options options_without_margins();

/// A simulation that knows which of its jobs must finish: all except services that have not been
/// cancelled.
class SimulatedDay {
  public:
    /// @param shard_share see ClusterSimulation
    SimulatedDay(std::uint64_t seed, const Faults& faults, std::uint32_t shard_share = 0);

    /// Returns a random duration from 0 to `limit` - 1.
    Millis random_below(Millis limit) {
        return static_cast<Millis>(random() % static_cast<unsigned>(limit));
    }
    void run(Millis length) { simulation.run_until(simulation.now() + length); }
    /// Submits the next job. Every other job belongs to team blue.
    /// @param more further fields of the job, which override the defaults
    void submit(const std::string& shape, std::uint32_t tasks, double gpus,
                const wire::Json& more = {});
    /// Submits four services of two replicas each, three gangs and an array.
    void submit_mix(std::uint32_t array_tasks, bool one_zone = false);
    /// Cancels the n-th job, and retries until the request is answered.
    void cancel(std::size_t n);
    /// Cancels each job with a probability of 1 / `one_in`.
    void cancel_some(unsigned one_in);

    /// Returns whether the n-th job must finish.
    bool must_finish(std::size_t n) const { return !is_service[n] || cancelled.count(ids[n]) != 0; }
    /// Returns the ids of the jobs that must finish but have not, for failure messages.
    std::string unfinished_jobs() const;
    std::size_t running_tasks() const {
        return simulation.running_tasks("a") + simulation.running_tasks("b");
    }

    /// Ends all faults and asserts that all jobs that must finish do so within the given time.
    void expect_finished(Millis within);
    /// Cancels all services, then does the same as expect_finished().
    void expect_all_finished(Millis within);
    /// Asserts that the services of submit_mix() that have not been cancelled are running.
    void expect_services_running();

    std::mt19937_64 random;
    ClusterSimulation simulation;
    std::vector<std::string> ids;
    std::vector<bool> is_service;  ///< indexed like `ids`
    std::set<std::string> cancelled;
};

}  // namespace nickelramp::test
