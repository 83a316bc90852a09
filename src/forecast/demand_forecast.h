/// @file
/// Forecasts demand for machines and tracks the capacity that is free for it.
#pragma once
#include <utility>
#include <vector>

#include "cluster/cluster_state.h"
#include "forecast/arrival_rate.h"

namespace nickelramp::forecast {

/// Demand for a machine type, from work that costs least on that type, and its capacity. Amounts
/// are machines or fractions of a machine.
struct TypeDemand {
    ArrivalRate spot_arrivals;           ///< of tasks that may use spot machines
    ArrivalRate whole_machine_arrivals;  ///< of tasks that use most of an on-demand machine each
    ArrivalRate urgent_arrivals;         ///< the part of them that cannot wait for a boot
    double free_spot_machines = 0;       ///< free capacity on spot machines
    std::size_t empty_on_demand = 0;     ///< on-demand machines without tasks
    /// On-demand machines that whole-machine tasks could use immediately.
    std::size_t available_for_whole_machine_tasks = 0;
    bool required_by_some_work = false;  ///< whether some work fits no other type
    /// Empty machines that waiting whole-machine tasks could need.
    std::size_t whole_machines_wanted = 0;
    /// Capacity not used by gangs and replicas, on on-demand [0] and on spot machines [1].
    double array_capacity[2] = {0, 0};
};

/// Statistics of the jobs of a class.
struct ClassStatistics {
    double observed_run_s = 0;        ///< sum over completed tasks, with older ones decayed
    double estimated_run_s = 0;       ///< decayed sum of the owners' estimates for those tasks
    double weight = 0;                ///< decayed number of those tasks
    std::uint32_t running = 0;        ///< running tasks that end by themselves (not replicas)
    double machine_share = 0;         ///< machines that the running tasks use
    bool uses_whole_machine = false;  ///< each of its tasks needs a whole machine
    bool spot = false;                ///< its tasks may use spot machines
    Index type = kNone;               ///< machine type on which its tasks cost least
    wire::Priority priority = wire::Priority::low;
    ArrivalRate array_cpu_arrivals;  ///< in CPUs of array tasks
};

/// Free slots for replicas that are expected before another machine could boot.
struct ReplicaHeadroom {
    placement::Need need;  ///< the maximum over all replicas, by resource
    Index type = kNone;    ///< machine type on which the latest replica costs least
    ArrivalRate arrivals;  ///< in replicas
    /// Cost of a slot by machine type (Job::relative_cost).
    std::vector<jobs::RelativeCost> relative_cost;
    double free_slots = 0;  ///< free slots on on-demand machines that are not expensive
};

/// Tracks arrivals by machine type and job class, run times compared with the owners' estimates,
/// and sums of free capacity that are updated machine by machine. The control loop notifies the
/// forecast of changes of the cluster state, and the scheduler, the job queue and the autoscaler
/// query it. Used on the loop thread for one term. It reads the cluster state and writes only the
/// forecast fields of machines and jobs. Times are milliseconds of the steady clock.
class DemandForecast {
  public:
    /// Both must outlive the forecast.
    DemandForecast(const cluster::TermContext& term, cluster::ClusterState& cluster)
        : term_(term), cluster_(cluster) {}

    // --- Notifications of cluster state changes

    /// Computes the costs of a new job's slots and records its arrival.
    void on_job_added(jobs::Job& job);
    /// Updates the sums after a change of the machine's state or free resources.
    void on_machine_changed(machines::Machine& machine);
    void on_task_running_changed(const jobs::Job& job, bool begins);
    /// Updates the run time statistics of the job's class after a task has completed.
    void on_task_completed(const jobs::Job& job, const jobs::Attempt& attempt, Millis now);
    /// Called when a scheduling pass begins. add_whole_machines_wanted() is called afterwards for
    /// each job that cannot be placed.
    void clear_whole_machines_wanted();
    void add_whole_machines_wanted(const jobs::Job& job);

    // --- Queries

    /// Returns the expected run time of a task of the job: its owner's estimate, corrected by the
    /// observed run times of its class.
    [[nodiscard]] double expected_run_s(const jobs::Job& job) const;
    /// Returns the number of completed tasks that expected_run_s() is based on, with older ones
    /// decayed. If it is 0, the expected run time is the owner's estimate.
    [[nodiscard]] std::size_t observed_completions(const jobs::Job& job) const {
        return static_cast<std::size_t>(class_statistics_[job.job_class].weight);
    }
    [[nodiscard]] const ReplicaHeadroom& replica_headroom() const { return replica_headroom_; }
    /// Returns how many slots are to be kept free for replicas.
    [[nodiscard]] double wanted_replica_slots(Millis now);
    /// Demand by machine type. May be shorter than the list of types.
    [[nodiscard]] const std::vector<TypeDemand>& demand() const { return demand_; }
    [[nodiscard]] TypeDemand& mutable_demand(Index type);
    /// Returns whether there is work that fits no other type.
    [[nodiscard]] bool required_by_some_work(Index type) const {
        return type < demand_.size() && demand_[type].required_by_some_work;
    }
    /// Returns whether empty on-demand machines of the type are reserved for whole-machine tasks
    /// now.
    [[nodiscard]] bool reserves_empty_machines(Index type, Millis now);
    /// Returns how many unused on-demand machines are to be kept.
    [[nodiscard]] std::size_t wanted_spare_machines(Index type, Millis now);
    /// Returns how many machines are to be kept free for whole-machine tasks that cannot wait for a
    /// boot.
    [[nodiscard]] double wanted_urgent_machines(Index type, Millis now);
    /// Returns how many spot machines are to be kept free for tasks that may use them.
    [[nodiscard]] double wanted_spot_machines(Index type, Millis now);
    /// Returns, by type, the number of slots that running array tasks are expected to free before a
    /// machine provisioned now could boot.
    [[nodiscard]] std::vector<std::uint32_t> slots_freed_soon() const;
    /// Returns the average CPU use of arrays with a higher priority than the job.
    [[nodiscard]] double expected_higher_priority_load(const jobs::Job& job, Millis now);

  private:
    template <typename FreesMachine>
    double wanted_headroom(ArrivalRate& arrivals, Index type, FreesMachine frees_machine,
                           double margin, Millis now);
    void update_placement_costs(jobs::Job& job);
    void mark_required_type(const jobs::Job& job);
    void record_replica_arrival(const jobs::Job& job);
    void record_whole_machine_arrival(const jobs::Job& job);
    [[nodiscard]] bool uses_whole_machine(const jobs::Job& job) const;
    [[nodiscard]] bool must_start_within_boot(const jobs::Job& job) const;
    void update_empty(machines::Machine& machine);
    void update_spot_share(machines::Machine& machine);
    void update_array_share(machines::Machine& machine);
    void update_replica_slots(machines::Machine& machine);
    void update_whole_machine(machines::Machine& machine);

    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    std::vector<ClassStatistics> class_statistics_;  // by class
    std::vector<TypeDemand> demand_;                 // by type
    ReplicaHeadroom replica_headroom_;
};

}  // namespace nickelramp::forecast
