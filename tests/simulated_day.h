/// \file
/// Set-ups that several tests of reachability share: runs over many seeds, options without spare
/// machines, and a simulated day of jobs that must all be finished.
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

/// The simulations' lease of a worker, in milliseconds.
Millis simulated_lease();

/// Calls `test` for `count` seeds from `from` on, until one fails. Failures name the seed.
void for_each_seed(std::uint64_t from, std::uint64_t count,
                   const std::function<void(std::uint64_t)>& test);

/// No machine is kept or provisioned beyond what jobs need now.
admin::Options options_without_margins();

/// A simulation with jobs of which it knows which must finish: all but services that nobody has
/// cancelled.
class SimulatedDay {
  public:
    /// `shard_share` as in ClusterSimulation.
    SimulatedDay(std::uint64_t seed, const Faults& faults, std::uint32_t shard_share = 0);

    /// From 0 to `limit` - 1.
    Millis random_below(Millis limit) {
        return static_cast<Millis>(random() % static_cast<unsigned>(limit));
    }
    void run(Millis length) { simulation.run_until(simulation.now() + length); }
    /// Submits the next job; every other one is of the team blue. `more`: further fields of it.
    void submit(const std::string& shape, std::uint32_t tasks, double gpus,
                const wire::Json& more = {});
    /// Four services of two replicas, three gangs and an array.
    void submit_mix(std::uint32_t array_tasks, bool one_zone = false);
    /// Cancels the n-th job, again until the request is answered.
    void cancel(std::size_t n);
    /// Cancels each job with the probability 1 / `one_in`.
    void cancel_some(unsigned one_in);

    /// Whether the n-th job must finish.
    bool must_finish(std::size_t n) const { return !is_service[n] || cancelled.count(ids[n]) != 0; }
    /// The jobs that must finish and have not, for messages.
    std::string unfinished_jobs() const;
    std::size_t running_tasks() const {
        return simulation.running_tasks("a") + simulation.running_tasks("b");
    }

    /// Without faults from now on, all jobs that must finish do so within that time.
    void expect_finished(Millis within);
    /// The same, once all services are cancelled.
    void expect_all_finished(Millis within);
    /// Of submit_mix(), all services that nobody has cancelled run.
    void expect_services_running();

    std::mt19937_64 random;
    ClusterSimulation simulation;
    std::vector<std::string> ids;
    std::vector<bool> is_service;  ///< by number of the job
    std::set<std::string> cancelled;
};

}  // namespace nickelramp::test
