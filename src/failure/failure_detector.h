// Machines that say nothing, one by one and many at once: what the book knows of them is counted by
// failure domain, and what the domains allow is done to the book.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "cluster/cluster_state.h"
#include "failure/failure_domains.h"
#include "partition/partition_responder.h"
#include "peers/messages.h"
#include "wire/messages.h"

namespace nickelramp::failure {

class FailureDetector {
  public:
    FailureDetector(const cluster::TermContext& term, cluster::ClusterState& cluster,
                    const partition::HeartbeatDelegator& heartbeat_delegator)
        : term_(term),
          cluster_(cluster),
          heartbeat_delegator_(heartbeat_delegator),
          domains_(term.settings().heartbeat_interval_s, term.settings().lease_s) {}

    void adjust_counts(Index zone, int up, int silent) { domains_.adjust_counts(zone, up, silent); }
    void update(Millis now);
    // Neither new work nor new machines are of use there.
    bool is_lost(Index zone) const { return domains_.is_lost(zone); }
    bool is_healthy(Index zone) const { return domains_.health(zone) == DomainHealth::healthy; }
    // Most machines of every zone have fallen silent: rather this node's trouble than theirs.
    bool all_mostly_unresponsive() const { return domains_.all_mostly_unresponsive(); }

    // It has been silent for long enough to be lost, if it were alone in that.
    void consider_giving_up(machines::Machine& machine, Millis now);
    // A list of the cloud's, asked for at that time, that silent machines may be missing from.
    void check_missing_instances(const std::vector<wire::CloudInstance>& hosts, Millis asked,
                                 Millis now);

    // The leader before this one had not heard the zone's machines since then.
    void expect_lost_zone(Index zone, Millis since) { inherited_lost_since_[zone] = since; }
    Millis expected_recovery_by(Index zone, Millis otherwise) const;
    // What the next leader should know.
    std::vector<peers::Status::LostZone> lost_zones(Millis now) const;

  private:
    Millis likely_lease_end(const machines::Machine& machine) const;
    bool all_replicas_movable(const machines::Machine& machine) const;
    bool is_movable(const machines::Machine& machine, const jobs::Attempt& attempt) const;

    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    const partition::HeartbeatDelegator& heartbeat_delegator_;
    FailureDomains domains_;
    std::map<Index, Millis> inherited_lost_since_;  // by zone, as the leader before this one saw it
};

}  // namespace nickelramp::failure
