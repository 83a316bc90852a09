/// @file
/// Checks the rules that must hold in every simulation, under any faults.
#pragma once
#include <map>
#include <string>

#include "tests/simulated_workers.h"

namespace nickelramp::test {

/// Asserts the guarantees for users and operators whenever a relevant event occurs. A failure
/// message names the rule: ran_twice, ran_cancelled, wrong_place, went_back or not_done.
class RuleChecker {
  public:
    RuleChecker(const SimulationContext& context, const wire::Settings& settings,
                SimulatedWorkers& workers, SimulatedJobs& jobs)
        : context_(context), settings_(settings), workers_(workers), jobs_(jobs) {}

    /// Asserts that the job of a start command exists and that its cancellation was not confirmed.
    /// Called before the command is executed. Returns whether the job exists.
    bool check_start_command(const wire::Command& command) const;
    /// Checks a task that has begun to occupy its machine. Asserts that no other machine runs it,
    /// that its team's quota is not exceeded, and that the job allows the machine.
    void check_task_begun(const SimulatedMachine& machine, const TaskId& id);
    /// Checks a job's final state before it is written. Asserts that the job had none before. If it
    /// is a cancellation, asserts that a user requested it and that none of the job's tasks is
    /// left. Otherwise asserts that all tasks are done.
    void check_final_state(const std::string& job, const std::string& earlier,
                           const std::string& state);
    /// Updates all tasks to the current time and asserts that no task of a cancelled job runs
    /// longer than allowed.
    void check_all();

    /// Returns the number of tasks that have begun so far.
    [[nodiscard]] std::size_t started_tasks() const { return started_tasks_; }

  private:
    void check_quota(const std::string& team, double gpus) const;
    void check_placement(const SimulatedMachine& machine, const wire::JobSpec& spec,
                         const std::map<std::string, std::uint32_t>& tasks_by_zone) const;
    void check_withdrawn(const std::string& job, const std::string& earlier);
    void check_done(const std::string& job) const;

    const SimulationContext& context_;
    const wire::Settings& settings_;
    SimulatedWorkers& workers_;
    SimulatedJobs& jobs_;
    std::size_t started_tasks_ = 0;
};

}  // namespace nickelramp::test
