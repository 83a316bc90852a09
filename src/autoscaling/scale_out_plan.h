/// @file
/// Decides which machines to ask the cloud for in one round of scaling out.
#pragma once
#include <optional>
#include <vector>

#include "cloud/provisioning_tracker.h"
#include "cluster/cluster_state.h"
#include "failure/failure_detector.h"
#include "forecast/demand_forecast.h"
#include "scheduling/free_resources.h"
#include "scheduling/job_queue.h"
#include "scheduling/placement_rules.h"
#include "scheduling/zone_task_counts.h"

namespace nickelramp::autoscaling {

/// A machine that has not come after so many of its type's boot times is no longer counted on.
inline constexpr double kLateBootFactor = 1.7;

/// So many machines of a kind that are to be asked for.
struct MachineDemand {
    cloud::MachineKind kind;
    std::uint32_t count = 0;
};

/// One round of scaling out: packs what found no place onto the machines that are coming, and adds
/// machines for the rest and for work that is expected before another machine could boot. Reads the
/// cluster state and the forecast; asks nobody for anything. Autoscaler::scale_out makes one, calls
/// make() once and sends what it returns.
class ScaleOutPlan {
  public:
    /// The references must outlive the plan. `now`: milliseconds of the steady clock.
    ScaleOutPlan(const cluster::TermContext& term, cluster::ClusterState& cluster,
                 forecast::DemandForecast& forecast, const scheduling::PlacementRules& rules,
                 const cloud::ProvisioningTracker& provisioning,
                 const failure::FailureDetector& failure_detector, Millis now);

    /// @param unplaced the jobs that found no place, most urgent first
    /// @param shortage what the forecast of the queue lacks
    /// @return the machines to ask for, the most urgent first: the cloud takes few calls
    [[nodiscard]] std::vector<MachineDemand> make(
        const std::vector<jobs::Job*>& unplaced,
        const scheduling::JobQueue::CapacityShortage& shortage);

  private:
    /// A machine that is coming or that this plan asks for, with what the plan has left free on it.
    struct PlannedMachine {
        cloud::MachineKind kind;
        scheduling::FreeResources free;
    };
    /// What a job still needs, while it is packed.
    struct JobRequirement {
        const jobs::Job* job;
        placement::Need need;
        std::uint32_t tasks;  // without a machine yet
        Index zone;           // the only one that they may go to; kNone: any
        scheduling::ZoneTaskCounts zone_tasks;
    };
    enum class PriceLimit { not_expensive, any };

    // What is coming.
    void add_coming_machines();
    void add_machine(const cloud::MachineKind& kind);
    [[nodiscard]] bool is_coming(const machines::Machine& machine) const;

    // What the jobs need.
    void plan_jobs(const std::vector<jobs::Job*>& unplaced, bool spot);
    void plan_job(const jobs::Job& job);
    [[nodiscard]] std::optional<JobRequirement> requirement_of(const jobs::Job& job) const;
    void subtract_slots_freed_soon(JobRequirement& requirement);
    void choose_gang_zone(JobRequirement& requirement) const;
    [[nodiscard]] std::vector<std::uint32_t> slots_by_zone(const JobRequirement& requirement) const;
    void pack(JobRequirement& requirement, PlannedMachine& machine) const;
    void remove_full_machines();

    // What is expected.
    void plan_whole_machines();
    [[nodiscard]] std::size_t set_aside_untouched(Index type, std::size_t wanted);
    void plan_replica_headroom();
    [[nodiscard]] double use_planned_for_replicas(double wanted_slots);
    void plan_expensive_machines(const scheduling::JobQueue::CapacityShortage& shortage);
    void plan_spot_machines();

    // Which kind and zone, and the requests.
    [[nodiscard]] std::optional<cloud::MachineKind> cheapest_kind(const JobRequirement& requirement,
                                                                  Index required_zone,
                                                                  PriceLimit limit) const;
    [[nodiscard]] bool may_request(const jobs::Job& job, const cloud::MachineKind& kind,
                                   PriceLimit limit) const;
    [[nodiscard]] std::optional<cloud::MachineKind> in_emptiest_zone(Index type, bool spot) const;
    void request(const cloud::MachineKind& kind);
    [[nodiscard]] bool limit_reached() const;
    void request_limited(const cloud::MachineKind& kind);

    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    forecast::DemandForecast& forecast_;
    const scheduling::PlacementRules& rules_;
    const cloud::ProvisioningTracker& provisioning_;
    const failure::FailureDetector& failure_detector_;
    const Millis now_;
    std::vector<PlannedMachine> machines_;
    std::vector<MachineDemand> requests_;
    std::vector<std::uint32_t> machines_by_zone_;  // with those that the plan asks for
    std::vector<std::uint32_t> slots_freed_soon_;  // by type; arrays may count on them
    std::size_t limited_request_count_ = 0;
};

}  // namespace nickelramp::autoscaling
