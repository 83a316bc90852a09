/// @file
/// Scaling out and in: asks the cloud for machines that are needed and releases those that are not.
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

/// Carries out what ScaleOutPlan decides and what the cluster state marks for release. Every
/// request is in the intent log before it is sent, so that a successor can repeat it. Lives as long
/// as the leader's term, on the loop thread; the control loop calls it. It owns no sockets and
/// reads no clock: requests go through the term's ServiceGateway, times are milliseconds of the
/// steady clock. Requests that fail, or whose outcome is unknown, are repeated; nothing is reported
/// as an error.
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

    /// Packs jobs that found no place onto the machines that are coming, and asks for machines for
    /// the rest. Does nothing until the cloud's list of machines has been read in this term.
    /// @param unplaced most urgent first
    /// @param shortage what the forecast of the queue lacks
    void scale_out(const std::vector<jobs::Job*>& unplaced,
                   const scheduling::JobQueue::CapacityShortage& shortage, Millis now);
    /// The cloud's list of machines was read: takes in what it says.
    void on_instances_listed(const std::vector<wire::CloudInstance>& instances, Millis now);
    /// Sets how many machines there may be in all: the controllers could not serve more workers.
    void set_max_machines(std::size_t max_machines) { max_machines_ = max_machines; }
    /// How long the machine is kept when it is empty, in milliseconds.
    [[nodiscard]] Millis idle_retention(const machines::Machine& machine, Millis now);
    /// Asks the cloud to release the machines that are marked for it, once that is on record.
    void send_releases(Millis now);
    /// Repeats requests of unknown outcome that are due, and writes the intent log. Called each
    /// tick.
    void run_due_work(Millis now);
    /// Takes over what an earlier term has on record as under way.
    void inherit_intents(lease::Role role,
                         const std::vector<autoscaling::ProvisioningIntent>& intents, Millis now);
    /// Intents are on record by now: sends what they stand for. Called by the intent log's
    /// listener.
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
    void take_in_listed(const wire::CloudInstance& instance, Millis now);
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
    // Answered requests stay on record until every list of the cloud has their machines: a
    // successor learns of them by the same name instead of asking for as many again.
    std::deque<AnsweredRequest> answered_requests_;
    bool instances_listed_ = false;  // the cloud's list has been read in this term
    std::size_t max_machines_ = SIZE_MAX;
    bool release_in_flight_ = false;
    Millis retry_release_at_ = 0;
};

}  // namespace nickelramp::autoscaling
