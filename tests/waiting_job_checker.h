/// @file
/// Checks in a simulation that no job waits for long although it could run.
#pragma once
#include <map>
#include <string>

#include "tests/simulated_workers.h"

namespace nickelramp::test {

/// Measures for how long jobs wait although they could run: a task of the job, or its whole gang,
/// fits machines that are up, healthy and reachable, and fits its team's quota. The wait of a job
/// starts again whenever it is given a slot.
class WaitingJobChecker {
  public:
    WaitingJobChecker(SimulationContext& context, const wire::Settings& settings,
                      const SimulatedWorkers& workers, const SimulatedNetwork& network,
                      const SimulatedJobs& jobs)
        : context_(context),
          settings_(settings),
          workers_(workers),
          network_(network),
          jobs_(jobs) {}

    /// Sets the longest allowed wait. Until then check() does nothing.
    /// @param describe returns a description of the simulation for failure messages
    void expect_wait_below(Millis max_wait, std::function<std::string()> describe) {
        max_wait_ = max_wait;
        describe_ = std::move(describe);
    }
    /// Records that the job was given a slot.
    void on_start(const std::string& job) { waiting_since_.erase(job); }
    /// Asserts that no open job waits longer than allowed.
    void check(const std::function<bool(const std::string& job)>& is_open);

  private:
    using TasksByZone = std::map<std::string, std::uint32_t>;
    /// What is already placed of a job and its team.
    struct Placed {
        TasksByZone tasks_by_zone;
        std::uint32_t missing = 0;  ///< tasks that are neither placed nor completed
        double team_gpus = 0;
    };
    [[nodiscard]] bool would_fit(const wire::JobSpec& spec) const;
    [[nodiscard]] Placed placed(const wire::JobSpec& spec) const;
    [[nodiscard]] bool fits_quota(const wire::JobSpec& spec, double used, std::uint32_t more) const;
    [[nodiscard]] bool usable(const SimulatedMachine& machine, const wire::JobSpec& spec) const;
    /// Returns how many tasks of the job the machine has room for, at most `most`.
    [[nodiscard]] std::uint32_t free_slots_on(const SimulatedMachine& machine,
                                              const wire::JobSpec& spec, std::uint32_t most) const;

    SimulationContext& context_;
    const wire::Settings& settings_;
    const SimulatedWorkers& workers_;
    const SimulatedNetwork& network_;
    const SimulatedJobs& jobs_;
    Millis max_wait_ = kNever;
    std::function<std::string()> describe_;
    std::map<std::string, Millis> waiting_since_;
};

}  // namespace nickelramp::test
