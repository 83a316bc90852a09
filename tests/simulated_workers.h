/// @file
/// The machines of a simulation with their workers and tasks.
#pragma once
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/simulated_jobs.h"
#include "tests/simulated_machine.h"
#include "tests/simulated_network.h"
#include "tests/simulation_context.h"
#include "wire/settings.h"

namespace nickelramp::test {

/// The actual state of all machines and tasks. Workers execute commands, run tasks and lose their
/// leases as the protocol specifies. A task stores the times of its phase changes, and
/// advance() applies those that have passed. Asserts that no command starts a second attempt of a
/// task on the same machine, or a task that does not fit.
class SimulatedWorkers {
  public:
    /// Callbacks that check the rules of the simulation.
    struct Observer {
        /// Called before a new attempt is started. The command is not executed if this returns
        /// false.
        std::function<bool(const wire::Command&)> on_start_command;
        /// Called when a task begins to occupy its machine.
        std::function<void(const SimulatedMachine&, const TaskId&)> on_task_begun;
    };
    SimulatedWorkers(SimulationContext& context, const wire::Settings& settings,
                     const std::vector<wire::MachineType>& types, const SimulatedNetwork& network,
                     SimulatedJobs& jobs, Observer observer);

    using Machines = std::map<std::string, std::unique_ptr<SimulatedMachine>>;
    [[nodiscard]] const Machines& all() const { return machines_; }
    [[nodiscard]] SimulatedMachine& machine(const std::string& name) { return *machines_.at(name); }
    /// Returns null if no machine of this name was ever added.
    [[nodiscard]] SimulatedMachine* find(const std::string& name);
    SimulatedMachine& add(const std::string& name);
    [[nodiscard]] const wire::MachineType& type_of(const SimulatedMachine& machine) const;

    /// Updates the machine's tasks and its lease to the current time.
    void advance(SimulatedMachine& machine);
    void execute(SimulatedMachine& machine, const std::vector<wire::Command>& commands);
    /// Creates the worker's next heartbeat.
    wire::Heartbeat make_heartbeat(SimulatedMachine& machine);
    /// Restarts the worker without tasks. Returns false if the machine is not running.
    bool restart(SimulatedMachine& machine);
    /// Stops the machine without notice to the cloud or the controllers.
    void kill(SimulatedMachine& machine);
    /// Removes all machines of the zone, as when the cloud preempts them.
    void preempt_zone(const std::string& zone);
    /// Makes faulty machines work correctly from now on.
    void repair_faulty();

    /// Returns the names of the running machines that have tasks.
    [[nodiscard]] std::vector<std::string> working_machines() const;
    [[nodiscard]] std::size_t running_tasks(const std::string& zone) const;
    /// Returns how many tasks of the job occupy a machine.
    [[nodiscard]] std::size_t tasks_of(const std::string& job) const;
    /// Returns the GPUs used by the team's tasks that have not exited.
    [[nodiscard]] double gpus_used_by(const std::string& team) const;
    [[nodiscard]] std::string describe() const;

    /// Returns how often a stop command reached a task that had not exited.
    [[nodiscard]] std::size_t stopped_tasks() const { return stopped_tasks_; }
    /// Returns how often a start command took effect.
    [[nodiscard]] std::size_t started_attempts() const { return started_attempts_; }
    /// Returns how many tasks ended because their worker's lease expired.
    [[nodiscard]] std::size_t tasks_killed_by_lease() const { return tasks_killed_by_lease_; }

  private:
    void forget(SimulatedMachine& machine, const AttemptId& attempt);
    void stop(SimulatedMachine& machine, const wire::Command& command);
    void start(SimulatedMachine& machine, const wire::Command& command);
    [[nodiscard]] Millis fetch_duration(const SimulatedMachine& machine, const wire::JobSpec& spec);
    [[nodiscard]] double free_gpus(const SimulatedMachine& machine) const;
    void lose_lease(SimulatedMachine& machine);
    void advance_task(SimulatedMachine& machine, const TaskId& id, SimulatedTask& task);
    void begin_task(SimulatedMachine& machine, const TaskId& id, SimulatedTask& task);
    void advance_waiting(const TaskId& id, SimulatedTask& task);
    void advance_running(const TaskId& id, SimulatedTask& task);
    /// Returns how many tasks of the gang's attempt are waiting or running.
    [[nodiscard]] std::size_t gang_members(const std::string& job, std::uint32_t attempt) const;

    SimulationContext& context_;
    const wire::Settings& settings_;
    const std::vector<wire::MachineType>& types_;
    const SimulatedNetwork& network_;
    SimulatedJobs& jobs_;
    Observer observer_;
    Machines machines_;
    std::size_t stopped_tasks_ = 0;
    std::size_t started_attempts_ = 0;
    std::size_t tasks_killed_by_lease_ = 0;
};

}  // namespace nickelramp::test
