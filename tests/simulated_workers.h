// The machines of a simulation with their workers and tasks.
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

/// What truly runs where. Workers execute commands, run their tasks and lose their leases as the
/// protocol says; a task's life is a few dates, to which advance() brings it up. Asserts that
/// commands are sound: no second attempt beside a running one, nothing that does not fit.
class SimulatedWorkers {
  public:
    /// What the rules of the simulation are checked by.
    struct Observer {
        /// A start of a new attempt is being executed; false: it is wrong, and not executed.
        std::function<bool(const wire::Command&)> on_start_command;
        /// A task occupies its machine from now on.
        std::function<void(const SimulatedMachine&, const TaskId&)> on_task_begun;
    };
    SimulatedWorkers(SimulationContext& context, const wire::Settings& settings,
                     const std::vector<wire::MachineType>& types, const SimulatedNetwork& network,
                     SimulatedJobs& jobs, Observer observer);

    using Machines = std::map<std::string, std::unique_ptr<SimulatedMachine>>;
    [[nodiscard]] const Machines& all() const { return machines_; }
    [[nodiscard]] SimulatedMachine& machine(const std::string& name) { return *machines_.at(name); }
    /// Null if there never was one.
    [[nodiscard]] SimulatedMachine* find(const std::string& name);
    SimulatedMachine& add(const std::string& name);
    [[nodiscard]] const wire::MachineType& type_of(const SimulatedMachine& machine) const;

    /// Brings the machine's tasks and its lease up to the present.
    void advance(SimulatedMachine& machine);
    void execute(SimulatedMachine& machine, const std::vector<wire::Command>& commands);
    /// The worker's next heartbeat.
    wire::Heartbeat make_heartbeat(SimulatedMachine& machine);
    /// The worker begins again with nothing on it. False if there is no worker.
    bool restart(SimulatedMachine& machine);
    /// The machine stops without notice.
    void kill(SimulatedMachine& machine);
    /// The cloud takes away all machines of the zone.
    void preempt_zone(const std::string& zone);
    /// No machine fails its tasks any more.
    void repair_faulty();

    /// Machines that are up and have tasks, by name.
    [[nodiscard]] std::vector<std::string> working_machines() const;
    [[nodiscard]] std::size_t running_tasks(const std::string& zone) const;
    /// Tasks of the job that occupy a machine.
    [[nodiscard]] std::size_t tasks_of(const std::string& job) const;
    /// By tasks that have not exited.
    [[nodiscard]] double gpus_used_by(const std::string& team) const;
    [[nodiscard]] std::string describe() const;

    /// Tasks that a stop command ended.
    [[nodiscard]] std::size_t stopped_tasks() const { return stopped_tasks_; }
    /// Tasks that ended because their worker's lease did.
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
    void gather_gang(const TaskId& id, SimulatedTask& task);
    void advance_running(const TaskId& id, SimulatedTask& task);
    /// Tasks of the attempt that wait for their gang or run, this one among them.
    [[nodiscard]] std::size_t gang_members(const std::string& job, std::uint32_t attempt) const;

    SimulationContext& context_;
    const wire::Settings& settings_;
    const std::vector<wire::MachineType>& types_;
    const SimulatedNetwork& network_;
    SimulatedJobs& jobs_;
    Observer observer_;
    Machines machines_;
    std::size_t stopped_tasks_ = 0;
    std::size_t tasks_killed_by_lease_ = 0;
};

}  // namespace nickelramp::test
