/// @file
/// The order in which waiting jobs are served, and a forecast for that queue. The forecast says
/// which arrays will miss an objective with the existing machines, and how much additional capacity
/// would prevent it.
#pragma once
#include <optional>
#include <vector>

#include "cloud/provisioning_tracker.h"
#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"
#include "scheduling/placement_rules.h"

namespace nickelramp::scheduling {

/// The queue of waiting jobs. The control loop calls ordered_jobs() and forecast() in each
/// scheduling pass of a term, on the loop thread. Between passes the queue keeps only the last
/// shortage. Times are milliseconds of the steady clock. No function reports an error.
class JobQueue {
  public:
    /// Cpus that the queue lacks on expensive machines, in addition to existing machines and
    /// machines that are being provisioned.
    struct CapacityShortage {
        double cpus = 0;
        Index job = kNone;  ///< a job that would use them; kNone if nothing is lacking
    };

    /// The references must outlive the queue.
    JobQueue(const cluster::TermContext& term, cluster::ClusterState& cluster,
             forecast::DemandForecast& forecast, const PlacementRules& rules,
             const cloud::ProvisioningTracker& provisioning)
        : term_(term),
          cluster_(cluster),
          demand_forecast_(forecast),
          rules_(rules),
          provisioning_(provisioning) {}

    /// Returns the jobs that have tasks to start and are not backing off, most urgent first:
    /// production, then jobs within their team's guaranteed quota, then the others. Each of these
    /// groups is ordered by priority, then objectives, then arrival. Updates Job::urgency.
    [[nodiscard]] std::vector<jobs::Job*> ordered_jobs(Millis now);
    /// Sets for each array of the queue whether it is at risk of missing an objective
    /// (Job::slack) and whether it may use any machine type (Job::any_machine_type_allowed), and
    /// computes shortage().
    /// @param queue the result of ordered_jobs()
    void forecast(const std::vector<jobs::Job*>& queue, Millis now);
    /// The shortage computed by the last forecast(), used by the autoscaler.
    [[nodiscard]] const CapacityShortage& shortage() const { return shortage_; }

  private:
    /// The capacity that existing machines and machines being provisioned offer an array.
    struct ServiceEstimate {
        double slots = 0;
        double boot_s = 0;  // of the slowest type that the array may use
        double run_s = 0;   // of one task
    };
    [[nodiscard]] jobs::Urgency urgency(const jobs::Job& job, Millis now) const;
    [[nodiscard]] std::optional<Millis> latest_start(const jobs::Job& job,
                                                     const wire::Objective& objective) const;
    [[nodiscard]] bool may_use_spot(const jobs::Job& job) const;
    [[nodiscard]] bool all_kinds_backing_off(const jobs::Job& job, Millis now) const;
    [[nodiscard]] bool type_backing_off(const jobs::Job& job, Index type, Millis now) const;
    [[nodiscard]] ServiceEstimate estimate_service(const jobs::Job& job, Millis now) const;
    /// Returns how many slots the job lacks to meet its objectives. Sets Job::slack, and shortens
    /// `queue_s` if new slots would serve the queue sooner.
    [[nodiscard]] double missing_slots(jobs::Job& job, const ServiceEstimate& estimate,
                                       double& queue_s, Millis now) const;
    [[nodiscard]] std::optional<double> due_in_s(const jobs::Job& job,
                                                 const wire::Objective& objective,
                                                 Millis now) const;

    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    forecast::DemandForecast& demand_forecast_;
    const PlacementRules& rules_;
    const cloud::ProvisioningTracker& provisioning_;
    CapacityShortage shortage_;
};

}  // namespace nickelramp::scheduling
