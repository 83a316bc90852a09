// What is likely to come, and what there is for it: arrivals by type and class, how long tasks run
// against their owners' guesses, and the sums of free room that are kept machine by machine. Reads
// the book; asks nobody for anything.
#pragma once
#include <utility>
#include <vector>

#include "cluster/cluster_state.h"
#include "forecast/arrival_rate.h"

namespace nickelramp::forecast {

// What is wanted of a type of machine, by the work that costs least there, and what there is.
struct TypeDemand {
    forecast::ArrivalRate spot_arrivals;  // machines' worth of tasks that may use spot ones
    forecast::ArrivalRate
        whole_machine_arrivals;             // tasks that want most of an ordinary machine, at once
    forecast::ArrivalRate urgent_arrivals;  // those of them that cannot wait for a boot
    double free_spot_machines = 0;          // free on spot machines, in machines
    std::size_t empty_on_demand = 0;        // ordinary machines with nothing on them
    std::size_t available_for_whole_machine_tasks =
        0;  // ordinary machines that whole-machine tasks could have at once
    bool required_by_some_work = false;  // some work fits no other type
    std::size_t whole_machines_wanted =
        0;  // blank machines that waiting work could need, a machine a task
    double array_capacity[2] = {0,
                                0};  // machines less what gangs and replicas hold; ordinary, spot
};

// What a class's jobs have shown.
struct ClassStatistics {
    double observed_run_s = 0, estimated_run_s = 0, weight = 0;
    std::uint32_t running = 0;        // tasks that will end by themselves
    double machine_share = 0;         // of machines, that those take
    bool uses_whole_machine = false;  // they take a machine each
    bool spot = false;                // they may use spot machines
    Index type = kNone;               // where they cost least
    wire::Priority priority = wire::Priority::low;
    forecast::ArrivalRate array_cpu_arrivals;  // cpus of array tasks that arrive
};

// Room for replicas that are likely to come before another machine could boot.
struct ReplicaHeadroom {
    placement::Need need;            // the largest of them
    Index type = kNone;              // where the last costs least
    forecast::ArrivalRate arrivals;  // replicas
    std::vector<jobs::RelativeCost> relative_cost;
    double free_slots = 0;  // free for them, on ordinary machines that are not dear
};

class DemandForecast {
  public:
    DemandForecast(const cluster::TermContext& term, cluster::ClusterState& cluster)
        : term_(term), cluster_(cluster) {}

    // --- told by the book
    void on_job_added(jobs::Job& job);
    void on_machine_changed(machines::Machine& machine);
    void on_task_running_changed(const jobs::Job& job, bool begins);
    void on_task_completed(const jobs::Job& job, const jobs::Attempt& attempt, Millis now);
    // Which types have work waiting that takes whole machines; a pass says it anew.
    void clear_whole_machines_wanted();
    void add_whole_machines_wanted(const jobs::Job& job);

    // --- asked
    double expected_run_s(const jobs::Job& job) const;
    // From how many completed tasks; 0: it is the owner's guess. Older ones count less.
    std::size_t observed_completions(const jobs::Job& job) const {
        return static_cast<std::size_t>(class_statistics_[job.job_class].weight);
    }
    const ReplicaHeadroom& replica_headroom() const { return replica_headroom_; }
    // Places to keep free for replicas.
    double wanted_replica_slots(Millis now);
    const std::vector<TypeDemand>& demand() const { return demand_; }
    TypeDemand& mutable_demand(Index type);
    // Is some work that fits no other type expected there?
    bool required_by_some_work(Index type) const {
        return type < demand_.size() && demand_[type].required_by_some_work;
    }
    bool keeps_empty_machine(Index type, Millis now);
    std::size_t wanted_spare_machines(Index type, Millis now);
    // Machines to have for gangs that cannot wait for a boot; the same of spot ones for arrays.
    double wanted_urgent_machines(Index type, Millis now);
    double wanted_spot_machines(Index type, Millis now);
    // By type: places that running array tasks leave before a machine hired now could boot.
    std::vector<std::uint32_t> slots_freed_soon() const;
    // What arrays of higher priority take on average, in cpus.
    double expected_load_above(const jobs::Job& job, Millis now);

  private:
    template <typename Leaves>
    double wanted_ahead_of_need(forecast::ArrivalRate& arrivals, Index type, Leaves leaves,
                                double margin, Millis now);
    void update_placement_costs(jobs::Job& job);
    void record_replica_arrival(const jobs::Job& job);
    bool uses_whole_machine(const jobs::Job& job) const;

    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    std::vector<ClassStatistics> class_statistics_;  // by class
    std::vector<TypeDemand> demand_;                 // by type
    ReplicaHeadroom replica_headroom_;
};

}  // namespace nickelramp::forecast
