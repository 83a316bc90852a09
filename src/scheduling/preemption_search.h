/// @file
/// Selects running tasks to preempt for a more urgent job, and stops them.
#pragma once
#include <optional>
#include <vector>

#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"
#include "scheduling/free_resources.h"
#include "scheduling/placement_rules.h"
#include "scheduling/stop_cost.h"
#include "scheduling/zone_task_counts.h"

namespace nickelramp::scheduling {

/// One search for machines on which tasks can be preempted for a job at the lowest cost. For a
/// gang, tasks are preempted only if all its tasks fit afterwards. The machines are reserved for
/// the job while the preempted tasks end. Created for one call of Scheduler::place_job. Call
/// enough_is_reserved(), collect_candidates() and preempt() in this order, each at most once.
class PreemptionSearch {
  public:
    /// @param tasks number of tasks of the job to make room for
    PreemptionSearch(cluster::ClusterState& cluster, forecast::DemandForecast& forecast,
                     const PlacementRules& rules, jobs::Job& job, std::uint32_t tasks, Millis now);

    /// Number of machines that one search examines, unless a gang needs more.
    static constexpr std::size_t kMachinesPerSearch = 300;
    /// Returns how many machines a search for this job examines: enough for a large gang, but no
    /// more than there are.
    [[nodiscard]] static std::size_t machines_to_search(const cluster::ClusterState& cluster,
                                                        const jobs::Job& job, std::uint32_t tasks);

    /// Counts the slots that earlier searches have reserved for the job.
    /// @return true if they suffice, so that nothing more needs to be preempted.
    [[nodiscard]] bool enough_is_reserved();
    /// Examines `count` machines of ClusterState::machines(), starting at index `first` and
    /// wrapping around at the end.
    void collect_candidates(std::size_t first, std::size_t count);
    /// Reserves the cheapest candidates and stops their victims.
    /// @return true if enough is now reserved for all tasks.
    [[nodiscard]] bool preempt();

  private:
    /// A machine, and the attempts that would be stopped there.
    struct Candidate {
        machines::Machine* machine = nullptr;
        std::vector<jobs::Attempt*> victims;
        std::uint32_t slots = 0;   // tasks of the job that fit once the victims have ended
        double cost_per_slot = 0;  // seconds; includes the lost work and the placement cost
    };
    [[nodiscard]] FreeResources free_soon(const machines::Machine& machine) const;
    [[nodiscard]] Index zone_of_live_tasks() const;
    [[nodiscard]] bool may_make_room_on(const machines::Machine& machine) const;
    [[nodiscard]] std::optional<Candidate> candidate_on(machines::Machine& machine) const;
    [[nodiscard]] std::vector<PreemptionVictim> victims_on(const machines::Machine& machine) const;
    [[nodiscard]] double victim_cost_s(const jobs::Job& victim, const jobs::Attempt& attempt) const;
    [[nodiscard]] std::optional<Index> cheapest_zone() const;
    [[nodiscard]] bool whole_gang_fits(std::uint32_t tasks) const;
    static std::uint32_t assign_slots(ZoneTaskCounts& counts, Index zone, std::uint32_t slots);
    void make_room(const Candidate& candidate);

    cluster::ClusterState& cluster_;
    forecast::DemandForecast& forecast_;
    const PlacementRules& rules_;
    jobs::Job& job_;
    const std::uint32_t tasks_;
    const Millis now_;
    const placement::Need need_;
    const Millis boot_time_;
    ZoneTaskCounts zone_tasks_;  // of the job, including tasks that machines are reserved for
    std::uint32_t reserved_slots_ = 0;  // tasks that fit on machines that are already reserved
    Index required_zone_ = kNone;       // of a one-zone job that has live tasks
    double wanted_replica_slots_ = 0;
    std::vector<Candidate> candidates_;
};

}  // namespace nickelramp::scheduling
