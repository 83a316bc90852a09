/// @file
/// Unresponsive machines, one by one and many at once: counts them by failure domain and does to
/// the cluster state what the domains' health allows.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "cluster/cluster_state.h"
#include "failure/failure_domains.h"
#include "partition/heartbeat_delegator.h"
#include "peers/messages.h"
#include "wire/messages.h"

namespace nickelramp::failure {

/// Decides when an unresponsive machine is given up, and which zones are lost.
///
/// Guarantees: outside healthy zones machines are given up at a limited rate, and in a lost zone,
/// unless their gangs are broken or their replicas better start elsewhere, only a boot time after
/// their leases end. A machine that the cloud does not list any more is gone at once.
///
/// Called by the control loop on ticks, by its checks of machines and with the cloud's lists;
/// the autoscaler, the drain planner and the command sender ask which zones are lost. Runs on the
/// one loop thread; times are milliseconds of the steady clock. Lives as long as its term; the
/// constructor's arguments must outlive it.
class FailureDetector {
  public:
    FailureDetector(const cluster::TermContext& term, cluster::ClusterState& cluster,
                    const partition::HeartbeatDelegator& heartbeat_delegator)
        : term_(term),
          cluster_(cluster),
          heartbeat_delegator_(heartbeat_delegator),
          domains_(term.settings().heartbeat_interval_s, term.settings().lease_s) {}

    /// So many machines more or fewer are up in the zone, and unresponsive of them.
    void adjust_counts(Index zone, int up, int unresponsive) {
        domains_.adjust_counts(zone, up, unresponsive);
    }
    /// Updates the health of all domains. Machines of a zone that is lost from now on are suspected
    /// until they are heard again, and nothing is placed on them.
    void update(Millis now);
    /// Whether neither new work nor new machines are of use in the zone.
    [[nodiscard]] bool is_lost(Index zone) const { return domains_.is_lost(zone); }
    [[nodiscard]] bool is_healthy(Index zone) const {
        return domains_.health(zone) == DomainHealth::healthy;
    }
    /// Whether most machines of every zone are unresponsive: this controller is likelier to be cut
    /// off than they are.
    [[nodiscard]] bool all_mostly_unresponsive() const {
        return domains_.all_mostly_unresponsive();
    }

    /// The machine has not answered for long enough to be given up if it were the only one: drains
    /// or releases it if its domain allows that now.
    void consider_giving_up(machines::Machine& machine, Millis now);
    /// Removes machines that are missing from a list of the cloud's, if the list is certainly newer
    /// than their last listing.
    /// @param asked_at when the list was asked for.
    void check_missing_instances(const std::vector<wire::CloudInstance>& instances, Millis asked_at,
                                 Millis now);

    /// The leader before this one had lost the zone and not heard its machines since then.
    void expect_lost_zone(Index zone, Millis since) { inherited_lost_since_[zone] = since; }
    /// When the zone's machines were last reached, as far as is known: `otherwise`, or earlier if
    /// the leader before this one had lost the zone.
    [[nodiscard]] Millis expected_recovery_by(Index zone, Millis otherwise) const;
    /// The zones that are lost, for the next leader.
    [[nodiscard]] std::vector<peers::Status::LostZone> lost_zones(Millis now) const;

  private:
    [[nodiscard]] UnresponsiveMachine describe(const machines::Machine& machine) const;
    [[nodiscard]] Millis likely_lease_end(const machines::Machine& machine) const;
    [[nodiscard]] bool may_have_responder(const machines::Machine& machine) const;
    [[nodiscard]] bool all_replicas_movable(const machines::Machine& machine) const;
    [[nodiscard]] bool is_movable(const machines::Machine& machine,
                                  const jobs::Attempt& attempt) const;
    [[nodiscard]] bool listed_before(const machines::Machine& machine, Millis time) const;
    void suspect_machines_of(Index zone);

    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    const partition::HeartbeatDelegator& heartbeat_delegator_;
    FailureDomains domains_;
    std::map<Index, Millis> inherited_lost_since_;  // by zone, as the leader before this one saw it
};

}  // namespace nickelramp::failure
