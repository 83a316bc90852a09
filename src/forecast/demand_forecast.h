/// @file
/// What work is likely to come, and what capacity there is for it.
#pragma once
#include <utility>
#include <vector>

#include "cluster/cluster_state.h"
#include "forecast/arrival_rate.h"

namespace nickelramp::forecast {

/// What is wanted of a type of machine, by the work that costs least there, and what there is.
/// Amounts are machines, or parts of one.
struct TypeDemand {
    ArrivalRate spot_arrivals;           ///< of tasks that may use spot machines
    ArrivalRate whole_machine_arrivals;  ///< of tasks that take most of an ordinary machine each
    ArrivalRate urgent_arrivals;         ///< those of them that can't wait for a boot
    double free_spot_machines = 0;       ///< what is free on spot machines
    std::size_t empty_on_demand = 0;     ///< ordinary machines with nothing on them
    /// Ordinary machines that whole-machine tasks could have at once.
    std::size_t available_for_whole_machine_tasks = 0;
    bool required_by_some_work = false;  ///< some work fits no other type
    /// Empty machines that waiting work could need, a machine for each task.
    std::size_t whole_machines_wanted = 0;
    /// What gangs and replicas do not hold of ordinary [0] and of spot machines [1].
    double array_capacity[2] = {0, 0};
};

/// What the jobs of a class have shown.
struct ClassStatistics {
    double observed_run_s = 0;        ///< sum over completed tasks, older ones decayed
    double estimated_run_s = 0;       ///< the same sum of their owners' estimates
    double weight = 0;                ///< the same sum of ones
    std::uint32_t running = 0;        ///< tasks that will end by themselves
    double machine_share = 0;         ///< machines that those take
    bool uses_whole_machine = false;  ///< its tasks take a machine each
    bool spot = false;                ///< they may use spot machines
    Index type = kNone;               ///< where they cost least
    wire::Priority priority = wire::Priority::low;
    ArrivalRate array_cpu_arrivals;  ///< cpus of array tasks
};

/// Slots for replicas that are likely to come before another machine could boot.
struct ReplicaHeadroom {
    placement::Need need;  ///< the largest of the replicas, by each resource
    Index type = kNone;    ///< where the last one costs least
    ArrivalRate arrivals;  ///< replicas
    /// Cost of a slot by machine type (Job::relative_cost).
    std::vector<jobs::RelativeCost> relative_cost;
    double free_slots = 0;  ///< free for them, on ordinary machines that are not expensive
};

/// Arrivals by machine type and job class, run times against their owners' estimates, and sums of
/// free capacity that are kept up machine by machine. Lives for one term, on the loop thread; the
/// control loop passes the cluster state's changes on to it, and the scheduler, the job queue and
/// the autoscaler ask it. Reads the cluster state and writes only the machines' and jobs' own
/// forecast fields; times are milliseconds of the steady clock. Nothing fails.
class DemandForecast {
  public:
    /// Both must outlive the forecast.
    DemandForecast(const cluster::TermContext& term, cluster::ClusterState& cluster)
        : term_(term), cluster_(cluster) {}

    // --- what the cluster state tells

    /// A job came: computes what its slots cost, and counts its arrival.
    void on_job_added(jobs::Job& job);
    /// What is free on the machine, or its state, has changed.
    void on_machine_changed(machines::Machine& machine);
    void on_task_running_changed(const jobs::Job& job, bool begins);
    /// A task has completed: learns from how long it ran.
    void on_task_completed(const jobs::Job& job, const jobs::Attempt& attempt, Millis now);
    /// A scheduling pass begins: add_whole_machines_wanted() follows for each job that finds no
    /// place.
    void clear_whole_machines_wanted();
    void add_whole_machines_wanted(const jobs::Job& job);

    // --- what others ask

    /// How long a task of the job will run, in seconds: its owner's estimate, corrected by what its
    /// class has shown.
    [[nodiscard]] double expected_run_s(const jobs::Job& job) const;
    /// From how many completed tasks that is known; 0: it is the owner's estimate. Older ones count
    /// less.
    [[nodiscard]] std::size_t observed_completions(const jobs::Job& job) const {
        return static_cast<std::size_t>(class_statistics_[job.job_class].weight);
    }
    [[nodiscard]] const ReplicaHeadroom& replica_headroom() const { return replica_headroom_; }
    /// How many slots are to be kept free for replicas.
    [[nodiscard]] double wanted_replica_slots(Millis now);
    /// By machine type; may be shorter than the list of types.
    [[nodiscard]] const std::vector<TypeDemand>& demand() const { return demand_; }
    [[nodiscard]] TypeDemand& mutable_demand(Index type);
    /// Is some work that fits no other type expected there?
    [[nodiscard]] bool required_by_some_work(Index type) const {
        return type < demand_.size() && demand_[type].required_by_some_work;
    }
    /// Are empty ordinary machines of the type kept for whole-machine tasks now?
    [[nodiscard]] bool keeps_empty_machine(Index type, Millis now);
    /// How many ordinary machines are to stay although nothing uses them.
    [[nodiscard]] std::size_t wanted_spare_machines(Index type, Millis now);
    /// How many machines are to be free for whole-machine tasks that can't wait for a boot.
    [[nodiscard]] double wanted_urgent_machines(Index type, Millis now);
    /// How many spot machines are to be free for tasks that may use them.
    [[nodiscard]] double wanted_spot_machines(Index type, Millis now);
    /// By type: slots that running array tasks leave before a machine provisioned now could boot.
    [[nodiscard]] std::vector<std::uint32_t> slots_freed_soon() const;
    /// What arrays of higher priority take on average, in cpus.
    [[nodiscard]] double expected_load_above(const jobs::Job& job, Millis now);

  private:
    template <typename Leaves>
    double wanted_ahead_of_need(ArrivalRate& arrivals, Index type, Leaves leaves, double margin,
                                Millis now);
    void update_placement_costs(jobs::Job& job);
    void note_required_type(const jobs::Job& job);
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
