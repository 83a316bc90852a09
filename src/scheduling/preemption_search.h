/// @file
/// Finds the work that is to be stopped so that a more urgent job gets room, and stops it.
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

/// One search for machines on which stopping the least valuable work makes room for a job. A gang
/// gets room for all its tasks or none is made. The machines are reserved for the job until the
/// work on them has ended. Lives for one call of Scheduler::place_job: first enough_is_reserved(),
/// then collect_candidates(), then preempt(), each once.
class PreemptionSearch {
  public:
    /// `tasks`: how many tasks of the job want room.
    PreemptionSearch(cluster::ClusterState& cluster, forecast::DemandForecast& forecast,
                     const PlacementRules& rules, jobs::Job& job, std::uint32_t tasks, Millis now);

    /// How many machines one search looks at, unless a gang needs more.
    static constexpr std::size_t kMachinesPerSearch = 300;
    /// How many machines a search for this job looks at: at most all, and enough for a large gang.
    [[nodiscard]] static std::size_t machines_to_search(const cluster::ClusterState& cluster,
                                                        const jobs::Job& job, std::uint32_t tasks);

    /// Counts the room that earlier searches have reserved for the job.
    /// @return true if that is enough: nothing more is to be stopped.
    [[nodiscard]] bool enough_is_reserved();
    /// Looks at `count` machines of ClusterState::machines(), from `first` on and round again.
    void collect_candidates(std::size_t first, std::size_t count);
    /// Reserves the cheapest candidates and stops the work that is in the way.
    /// @return true if room for all tasks is being made.
    [[nodiscard]] bool preempt();

  private:
    /// A machine with the work that would be stopped there.
    struct Candidate {
        machines::Machine* machine = nullptr;
        std::vector<jobs::Attempt*> victims;
        std::uint32_t slots = 0;   // tasks of the job that fit then
        double cost_per_slot = 0;  // seconds, of the work lost and of the place
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
    ZoneTaskCounts zone_tasks_;         // of the job, with those that room is being made for
    std::uint32_t reserved_slots_ = 0;  // tasks that fit on what is reserved already
    Index required_zone_ = kNone;       // of a job bound to one zone that has tasks running
    double wanted_replica_slots_ = 0;
    std::vector<Candidate> candidates_;
};

}  // namespace nickelramp::scheduling
