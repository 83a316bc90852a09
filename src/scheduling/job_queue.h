/// @file
/// The order in which waiting jobs are served, and the forecast of that queue: which arrays will
/// miss an objective with the machines that there are, and how much capacity would prevent it.
#pragma once
#include <optional>
#include <vector>

#include "cloud/provisioning_tracker.h"
#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"
#include "scheduling/placement_rules.h"

namespace nickelramp::scheduling {

/// The queue of waiting jobs. The control loop calls ordered_jobs() and forecast() in each
/// scheduling pass of a term, on the loop thread; between passes it keeps the last shortage only.
/// Times are milliseconds of the steady clock. Nothing fails.
class JobQueue {
  public:
    /// Cpus on expensive machines that the queue lacks, beyond what is there and under way.
    struct CapacityShortage {
        double cpus = 0;
        Index job = kNone;  ///< one that would use them; kNone: nothing is lacking
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

    /// The jobs that want to start tasks and are not backing off, most urgent first: production,
    /// then jobs within their team's guaranteed quota, then the rest; within each by priority, by
    /// objectives and by arrival. Updates Job::urgency.
    [[nodiscard]] std::vector<jobs::Job*> ordered_jobs(Millis now);
    /// Sets for each array of the queue whether it is at risk of missing an objective
    /// (Job::slack) and whether it may use any type (Job::any_machine_type_allowed), and computes
    /// shortage(). `queue`: what ordered_jobs() returned.
    void forecast(const std::vector<jobs::Job*>& queue, Millis now);
    /// The result of the last forecast(); the autoscaler asks for it.
    [[nodiscard]] const CapacityShortage& shortage() const { return shortage_; }

  private:
    /// What the machines that there are, or are under way, offer an array.
    struct ServiceEstimate {
        double slots = 0;
        double boot_s = 0;  // of the slowest type that it may use
        double run_s = 0;   // of one task
    };
    [[nodiscard]] jobs::Urgency urgency(const jobs::Job& job, Millis now) const;
    [[nodiscard]] std::optional<Millis> latest_start(const jobs::Job& job,
                                                     const wire::Objective& objective) const;
    [[nodiscard]] bool may_use_spot(const jobs::Job& job) const;
    [[nodiscard]] bool all_kinds_backing_off(const jobs::Job& job, Millis now) const;
    [[nodiscard]] bool type_backing_off(const jobs::Job& job, Index type, Millis now) const;
    [[nodiscard]] ServiceEstimate estimate_service(const jobs::Job& job, Millis now) const;
    /// @return how many slots the job lacks to meet its objectives.
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
