// The machines that the cloud rents out: hiring for what found no place and ahead of need, and
// giving back.
#pragma once
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "autoscaling/intent_log.h"
#include "cloud/provisioning_tracker.h"
#include "cluster/cluster_state.h"
#include "failure/failure_detector.h"
#include "forecast/demand_forecast.h"
#include "scheduling/job_queue.h"
#include "scheduling/placement_rules.h"

namespace nickelramp::autoscaling {

// Boots beyond this many boot times no longer count.
inline constexpr double kLateBootFactor = 1.7;

class Autoscaler {
  public:
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

    // Packs what found no place onto the machines that are coming, and hires for the rest.
    void scale_out(const std::vector<jobs::Job*>& unplaced,
                   const scheduling::JobQueue::CapacityShortage& lacking, Millis now);
    void on_instances_listed(const std::vector<wire::CloudInstance>& hosts, Millis now);
    // Beyond that no controller could hear the workers.
    void set_max_machines(std::size_t most) { max_machines_ = most; }
    // How long an empty machine is kept.
    Millis idle_retention(const machines::Machine& machine, Millis now);
    // Tells the cloud of machines that are to go back, once that is on record.
    void send_releases(Millis now);
    // Asks again for what nobody knows the outcome of, and writes down what is to be asked.
    void run_due_work(Millis now);
    // What an earlier term has on record as under way.
    void inherit_intents(lease::Role role,
                         const std::vector<autoscaling::ProvisioningIntent>& intents, Millis now);
    void on_intents_recorded(lease::Role role, const std::vector<std::string>& names, Millis now);

  private:
    void request_machines(const cloud::MachineKind& kind, std::uint32_t count);
    std::size_t remaining_machine_quota() const;
    void send_provision_request(const std::string& request);
    bool record_intent(const autoscaling::ProvisioningIntent& rental);
    void on_provisioned(const std::string& request, const cloud::MachineKind& kind,
                        const cloud::ProvisionReply& reply, Millis now);
    void on_released(const std::vector<std::string>& names, bool ok, Millis now);

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    cluster::ControlActions& actions_;
    forecast::DemandForecast& forecast_;
    const scheduling::PlacementRules& rules_;
    cloud::ProvisioningTracker& provisioning_;
    autoscaling::IntentLog& intent_log_;
    const failure::FailureDetector& failure_detector_;
    // Answered rentals stay on record until every list of the cloud has their machines: a successor
    // learns of them by the same name, and not by renting them again.
    std::deque<std::pair<Millis, std::string>> answered_requests_;
    bool instances_listed_ = false;  // the cloud's list has been read in this term
    std::size_t max_machines_ = SIZE_MAX;
    bool release_in_flight_ = false;
    Millis retry_release_at_ = 0;
};

}  // namespace nickelramp::autoscaling
