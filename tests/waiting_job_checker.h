// Whether jobs wait although they could run.
#pragma once
#include <map>
#include <string>

#include "tests/simulated_workers.h"

namespace nickelramp::test {

/// Measures for how long jobs wait while nothing but the leader holds them back: a task of the job,
/// or its whole gang, fits machines that are up, sound and reachable, and its team's quota. The
/// wait of a job that is given slots one by one begins anew with each.
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

    /// check() does nothing before that. `describe` is for messages of failures.
    void expect_wait_below(Millis longest, std::function<std::string()> describe) {
        longest_ = longest;
        describe_ = std::move(describe);
    }
    /// The job is given a slot.
    void on_start(const std::string& job) { waits_since_.erase(job); }
    /// Asserts that no open job waits longer than allowed.
    void check(const std::function<bool(const std::string& job)>& is_open);

  private:
    using TasksByZone = std::map<std::string, std::uint32_t>;
    /// What of a job and its team is placed already.
    struct Placed {
        TasksByZone tasks_by_zone;
        std::uint32_t missing = 0;  ///< tasks that are neither placed nor completed
        double team_gpus = 0;
    };
    [[nodiscard]] bool would_fit(const wire::JobSpec& spec) const;
    [[nodiscard]] Placed placed(const wire::JobSpec& spec) const;
    [[nodiscard]] bool fits_quota(const wire::JobSpec& spec, double used, std::uint32_t more) const;
    [[nodiscard]] bool usable(const SimulatedMachine& machine, const wire::JobSpec& spec) const;
    /// How many tasks the machine has room for, `most` at the most.
    [[nodiscard]] std::uint32_t room_on(const SimulatedMachine& machine, const wire::JobSpec& spec,
                                        std::uint32_t most) const;

    SimulationContext& context_;
    const wire::Settings& settings_;
    const SimulatedWorkers& workers_;
    const SimulatedNetwork& network_;
    const SimulatedJobs& jobs_;
    Millis longest_ = kNever;
    std::function<std::string()> describe_;
    std::map<std::string, Millis> waits_since_;
};

}  // namespace nickelramp::test
