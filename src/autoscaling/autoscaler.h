/// @file
/// Scales the cluster out and in: requests machines from the cloud and releases unneeded ones.
#pragma once
#include <deque>
#include <string>
#include <vector>

#include "autoscaling/intent_log.h"
#include "autoscaling/scale_out_plan.h"
#include "cloud/provisioning_tracker.h"
#include "cluster/cluster_state.h"
#include "failure/failure_detector.h"
#include "forecast/demand_forecast.h"
#include "scheduling/job_queue.h"
#include "scheduling/placement_rules.h"

namespace nickelramp::autoscaling {

/// Requests the machines that ScaleOutPlan asks for and releases those that the cluster state marks
/// for release. Requests are recorded in the intent log before they are sent, so that the next
/// leader can retry them. Only the release of a machine on which no leader places work needs no
/// record. Requests that fail, or whose outcome is unknown, are retried and not
/// reported as errors. The control loop calls the autoscaler on the loop thread for the duration of
/// the leader's term. Requests go through the term's ServiceGateway. Times are milliseconds of the
/// steady clock and are passed in.
class Autoscaler {
  public:
    /// The references must outlive the autoscaler.
    Autoscaler(cluster::TermContext& term, cluster::ClusterState& cluster,
               cluster::ControlActions& actions, forecast::DemandForecast& forecast,
               const scheduling::PlacementRules& rules, cloud::ProvisioningTracker& provisioning,
               autoscaling::IntentLog& intent_log, const failure::FailureDetector& failure_detector)
        : term_(term),
          cluster_(cluster),
          actions_(actions),
          forecast_(forecast),
          rules_(rules),
          provisioning_(provisioning),
          intent_log_(intent_log),
          failure_detector_(failure_detector) {}

    /// Assigns unplaced jobs to machines that are being provisioned and requests machines for the
    /// rest. Does nothing until the cloud's list of machines has been read in this term.
    /// @param unplaced jobs without a placement, most urgent first
    /// @param shortage capacity that the job queue's forecast lacks
    void scale_out(const std::vector<jobs::Job*>& unplaced,
                   const scheduling::JobQueue::CapacityShortage& shortage, Millis now);
    /// Updates the cluster state from the cloud's list of machines.
    void on_instances_listed(const std::vector<wire::CloudInstance>& instances, Millis now);
    /// Sets the limit on the total number of machines, given by how many workers the controllers
    /// can serve.
    void set_max_machines(std::size_t max_machines) { max_machines_ = max_machines; }
    /// Returns how long the machine is kept while it is empty.
    [[nodiscard]] Millis idle_retention(const machines::Machine& machine, Millis now);
    /// Asks the cloud to release the machines that are marked for release. A release that must be
    /// recorded first is sent once its intent is recorded.
    void send_releases(Millis now);
    /// Retries requests of unknown outcome that are due and writes the intent log. Called each
    /// tick.
    void run_due_work(Millis now);
    /// Takes over the unfinished requests and releases that an earlier term recorded.
    void inherit_intents(lease::Role role,
                         const std::vector<autoscaling::ProvisioningIntent>& intents, Millis now);
    /// Sends the requests whose intents have been recorded. Called by the intent log's listener.
    void on_intents_recorded(lease::Role role, const std::vector<std::string>& names, Millis now);

  private:
    struct AnsweredRequest {
        Millis forget_at = 0;
        std::string name;
    };
    void request_machines(const cloud::MachineKind& kind, std::uint32_t count);
    [[nodiscard]] std::size_t remaining_machine_quota() const;
    void send_provision_request(const std::string& request);
    [[nodiscard]] bool record_intent(const autoscaling::ProvisioningIntent& intent);
    void forget_oldest_answered_request();
    void on_provisioned(const std::string& request, const cloud::MachineKind& kind,
                        const cloud::ProvisionReply& reply, Millis now);
    void update_listed_machine(const wire::CloudInstance& instance, Millis now);
    [[nodiscard]] std::vector<std::string> releasable_machines();
    void on_released(const std::vector<std::string>& names, bool ok, Millis now);

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    cluster::ControlActions& actions_;
    forecast::DemandForecast& forecast_;
    const scheduling::PlacementRules& rules_;
    cloud::ProvisioningTracker& provisioning_;
    autoscaling::IntentLog& intent_log_;
    const failure::FailureDetector& failure_detector_;
    // Answered requests stay recorded until every list from the cloud contains their machines.
    // Until then, the next leader learns of the machines by repeating the request under the same
    // name and does not request as many again.
    std::deque<AnsweredRequest> answered_requests_;
    bool instances_listed_ = false;  // whether the cloud's list was read in this term
    std::size_t max_machines_ = SIZE_MAX;
    bool release_in_flight_ = false;
    Millis retry_release_at_ = 0;
};

}  // namespace nickelramp::autoscaling
