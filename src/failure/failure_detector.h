/// @file
/// Detection of failed machines: counts unresponsive machines by failure domain, and drains or
/// releases them in the cluster state as the health of their domain permits.
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

/// Decides when an unresponsive machine is declared lost, and which zones are lost.
///
/// Guarantees: outside healthy zones machines are declared lost at a limited rate. In a lost zone a
/// machine is declared lost only one boot time after its lease ends, unless it has members of
/// broken gangs, or replicas that should start elsewhere before their lease ends. A machine that
/// the cloud no longer lists is removed at once.
///
/// Called by the control loop on ticks, on machine checks and when the cloud's instance list
/// arrives. The autoscaler, the drain planner and the command sender query which zones are lost.
/// Runs on the single loop thread; times are milliseconds of the steady clock. Lives as long as its
/// term; the constructor's arguments must outlive it.
class FailureDetector {
  public:
    FailureDetector(const cluster::TermContext& term, cluster::ClusterState& cluster,
                    const partition::HeartbeatDelegator& heartbeat_delegator)
        : term_(term),
          cluster_(cluster),
          heartbeat_delegator_(heartbeat_delegator),
          domains_(term.settings().heartbeat_interval_s, term.settings().lease_s) {}

    /// Adds to the zone's counts of machines that are up and of unresponsive ones among them.
    void adjust_counts(Index zone, int up, int unresponsive) {
        domains_.adjust_counts(zone, up, unresponsive);
    }
    /// Updates the health of all domains. When a zone becomes lost, its machines are suspected, and
    /// get no tasks, until a heartbeat is received.
    void update(Millis now);
    /// Returns whether the zone is lost, so that it gets neither new work nor new machines.
    [[nodiscard]] bool is_lost(Index zone) const { return domains_.is_lost(zone); }
    [[nodiscard]] bool is_healthy(Index zone) const {
        return domains_.health(zone) == DomainHealth::healthy;
    }
    /// Returns whether most machines of every zone are unresponsive. Then this controller is more
    /// likely to be partitioned than the machines are.
    [[nodiscard]] bool all_mostly_unresponsive() const {
        return domains_.all_mostly_unresponsive();
    }

    /// Drains or releases a machine if its domain permits that now. The machine must have been
    /// unresponsive for long enough to be declared lost if it were the only one.
    void declare_lost_if_permitted(machines::Machine& machine, Millis now);
    /// Removes machines that are missing from the cloud's instance list, if the list is certainly
    /// newer than the one that showed them.
    /// @param asked_at when the list was requested.
    void check_missing_instances(const std::vector<wire::CloudInstance>& instances, Millis asked_at,
                                 Millis now);

    /// Records that the zone was lost for the previous leader, which received no heartbeats from it
    /// since `since`.
    void inherit_lost_zone(Index zone, Millis since) { inherited_lost_since_[zone] = since; }
    /// Returns when the zone's machines were last reached, as far as is known: `otherwise`, or
    /// earlier if the zone was lost for the previous leader.
    [[nodiscard]] Millis last_reached_at(Index zone, Millis otherwise) const;
    /// Returns the zones that are lost, to be reported to the next leader.
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
    std::map<Index, Millis> inherited_lost_since_;  // by zone, from the previous leader
};

}  // namespace nickelramp::failure
