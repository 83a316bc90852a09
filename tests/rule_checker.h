// The rules that hold in every simulation, whatever fails in it.
#pragma once
#include <map>
#include <string>

#include "tests/simulated_workers.h"

namespace nickelramp::test {

/// Asserts, at the moment in which something happens, what users and operators may rely on. A
/// failure names the rule: ran_twice, ran_cancelled, wrong_place, went_back or not_done.
class RuleChecker {
  public:
    RuleChecker(const SimulationContext& context, const wire::Settings& settings,
                SimulatedWorkers& workers, SimulatedJobs& jobs)
        : context_(context), settings_(settings), workers_(workers), jobs_(jobs) {}

    /// A start command is about to be executed: its job exists, and its cancellation was not
    /// confirmed. False if there is no such job.
    bool check_start_command(const wire::Command& command) const;
    /// A task occupies its machine: no other machine runs it, its team's quota holds, and the
    /// machine is one that the job allows.
    void check_task_begun(const SimulatedMachine& machine, const TaskId& id);
    /// A user is about to be told a job's final state: it is the first that is told; if it is a
    /// cancellation, it was requested and no task of the job is left; otherwise all tasks are done.
    void check_final_state(const std::string& job, const std::string& earlier,
                           const std::string& state);
    /// Brings all tasks up to the present: none of a cancelled job runs longer than allowed.
    void check_all();

    /// Tasks that have begun so far.
    [[nodiscard]] std::size_t started_tasks() const { return started_tasks_; }

  private:
    void check_quota(const std::string& team, double gpus) const;
    void check_place(const SimulatedMachine& machine, const wire::JobSpec& spec,
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
