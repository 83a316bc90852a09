/// @file
/// Decides which machines to request from the cloud in one round of scaling out.
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

/// Multiple of its type's boot time after which a booting machine is no longer expected.
inline constexpr double kLateBootFactor = 1.7;

/// A number of machines of one kind to request.
struct MachineDemand {
    cloud::MachineKind kind;
    std::uint32_t count = 0;
};

/// One round of scaling out. Assigns unplaced jobs to machines that are being provisioned, and adds
/// machines for the rest and for work that is expected before another machine could boot. Reads the
/// cluster state and the forecast and sends nothing. Autoscaler::scale_out creates a plan, calls
/// make() once and requests the machines that it returns.
class ScaleOutPlan {
  public:
    /// The references must outlive the plan.
    /// @param now milliseconds of the steady clock
    ScaleOutPlan(const cluster::TermContext& term, cluster::ClusterState& cluster,
                 forecast::DemandForecast& forecast, const scheduling::PlacementRules& rules,
                 const cloud::ProvisioningTracker& provisioning,
                 const failure::FailureDetector& failure_detector, Millis now);

    /// @param unplaced jobs without a placement, most urgent first
    /// @param shortage capacity that the job queue's forecast lacks
    /// @return the machines to request, most urgent first, since the cloud limits the request rate
    [[nodiscard]] std::vector<MachineDemand> make(
        const std::vector<jobs::Job*>& unplaced,
        const scheduling::JobQueue::CapacityShortage& shortage);

  private:
    /// A machine that is being provisioned or that this plan requests, with its resources that the
    /// plan has not assigned yet.
    struct PlannedMachine {
        cloud::MachineKind kind;
        scheduling::FreeResources free;
    };
    /// The part of a job's demand that has not been assigned to machines yet.
    struct JobRequirement {
        const jobs::Job* job;
        placement::Need need;
        std::uint32_t tasks;  // not yet assigned to a machine
        Index zone;           // required zone, or kNone for any
        scheduling::ZoneTaskCounts zone_tasks;
    };
    enum class PriceLimit { not_expensive, any };

    // Machines being provisioned.
    void add_provisioning_machines();
    void add_machine(const cloud::MachineKind& kind);
    [[nodiscard]] bool is_still_expected(const machines::Machine& machine) const;

    // Demand of the unplaced jobs.
    void plan_jobs(const std::vector<jobs::Job*>& unplaced, bool spot);
    void plan_job(const jobs::Job& job);
    [[nodiscard]] std::optional<JobRequirement> requirement_of(const jobs::Job& job) const;
    void subtract_slots_freed_soon(JobRequirement& requirement);
    void choose_gang_zone(JobRequirement& requirement) const;
    [[nodiscard]] std::vector<std::uint32_t> slots_by_zone(const JobRequirement& requirement) const;
    void pack(JobRequirement& requirement, PlannedMachine& machine) const;
    void remove_full_machines();

    // Expected demand.
    void plan_whole_machines();
    [[nodiscard]] std::size_t set_aside_unassigned(Index type, std::size_t wanted);
    void plan_replica_headroom();
    [[nodiscard]] double set_aside_replica_slots(double wanted_slots);
    void plan_expensive_machines(const scheduling::JobQueue::CapacityShortage& shortage);
    void plan_spot_machines();

    // Choice of kind and zone, and requests.
    [[nodiscard]] std::optional<cloud::MachineKind> cheapest_kind(const JobRequirement& requirement,
                                                                  Index required_zone,
                                                                  PriceLimit limit) const;
    [[nodiscard]] bool may_request(const jobs::Job& job, const cloud::MachineKind& kind,
                                   PriceLimit limit) const;
    [[nodiscard]] std::optional<cloud::MachineKind> kind_in_emptiest_zone(Index type,
                                                                          bool spot) const;
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
    std::vector<std::uint32_t> machines_by_zone_;  // including requested machines
    std::vector<std::uint32_t> slots_freed_soon_;  // by type, available to arrays
    std::size_t limited_request_count_ = 0;
};

}  // namespace nickelramp::autoscaling
