// Blocks lent to other controllers, the leader's side.
//
// A lent machine is empty when it goes, and its block's record, with the holder's own token, is
// committed before the first grant is sent. The holder counts its lease from the moment that it
// sent the status which the grant answers, so it stops before the leader thinks so. A block is
// taken back by rewriting its record under a new token, which fences the holder's transactions;
// then the records of its jobs are read, and the machines are asked what is on them, as after a
// change of leader.
#pragma once
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"
#include "lifecycle/job_lifecycle.h"
#include "partition/partition_responder.h"
#include "peers/messages.h"
#include "scheduling/placement_rules.h"
#include "sharding/shard_lease_writer.h"

namespace nickelramp::sharding {

// wanted: its record is being written; granted: leases are sent; ending: no more are sent, and
// once the last has run out the block is taken back; reclaimed: its record is being rewritten;
// reading: its jobs' records are read, until then its machines get nothing
enum class ShardLeaseState { recording, active, expiring, reclaiming, recovering };
const char* name(ShardLeaseState state);

class ShardAllocator {
  public:
    struct MachineCapacity {
        Index machine = kNone;
        double cpus = 0, gpus = 0, memory_gb = 0;
    };
    struct ShardLease {
        std::string holder;
        std::uint64_t incarnation = 0;
        ShardLeaseState state = ShardLeaseState::recording;
        Millis expires_at = 0;  // by then the holder has stopped, by its own clock
        Millis idle_since = 0;
        Millis holder_confirmed_at = 0;  // the holder last said that it has the block
        std::vector<MachineCapacity> capacity;
        std::vector<std::string> jobs;
    };

    ShardAllocator(cluster::TermContext& term, cluster::ClusterState& cluster,
                   cluster::ControlActions& actions, sharding::ShardLeaseWriter& lease_writer,
                   lifecycle::JobLifecycle& lifecycle, forecast::DemandForecast& forecast,
                   const scheduling::PlacementRules& rules)
        : term_(term),
          cluster_(cluster),
          actions_(actions),
          lease_writer_(lease_writer),
          lifecycle_(lifecycle),
          forecast_(forecast),
          rules_(rules) {}

    // A peer that can hold machines; `clock_ms` is its own and comes back in the grant, whose lease
    // runs from then.
    void on_peer_status(const peers::Status& status, Millis now);
    // Lends each healthy peer a block of empty machines of one zone, unless jobs lack places.
    void allocate_shards(Millis now);
    // Gives a job whole to a holder that has room for all of it.
    bool delegate_job(jobs::Job& job, Millis now);
    // Ends leases that are idle, wanted elsewhere or no longer renewed, and takes their blocks
    // back.
    void check_leases(Millis now);
    void set_jobs_starving(bool starving, Millis now) {
        if (starving && !jobs_starving_) starving_since_ = now;
        jobs_starving_ = starving;
    }

    // The grants to send now; each renews a lease.
    std::vector<std::pair<std::string, peers::ShardGrant>> renewals(Millis view_fresh, Millis now);
    void on_shard_status(const peers::ShardStatus& shard_status, Millis now);
    // An open record has gone: whoever held the job has finished it.
    void on_open_record_deleted(const std::string& id);
    void on_shard_recorded(std::uint32_t block, Millis now);

    // Who answers for a lent machine; empty when nobody does for a moment.
    std::string holder_of(Index machine) const;
    std::vector<std::uint64_t> active_tokens() const;  // of the blocks that are lent
    const std::map<std::uint32_t, ShardLease>& leases() const { return leases_; }

  private:
    struct Peer {
        std::uint64_t incarnation = 0, clock_ms = 0;
        bool healthy = false;
        Millis last_status_at = 0;
    };
    void set_lease_state(std::uint32_t block, ShardLease& lease, ShardLeaseState state);
    void reclaim_job(jobs::Job& job);
    void finish_recovery(std::uint32_t block);
    void on_job_left(jobs::Job& job);

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    cluster::ControlActions& actions_;
    sharding::ShardLeaseWriter& lease_writer_;
    lifecycle::JobLifecycle& lifecycle_;
    forecast::DemandForecast& forecast_;
    const scheduling::PlacementRules& rules_;
    std::map<std::string, Peer> peers_;
    std::map<std::uint32_t, ShardLease> leases_;  // by block
    bool jobs_starving_ = false;                  // jobs found no place when last looked
    Millis starving_since_ = 0;
    Millis next_allocation_at_ = 0;
};

}  // namespace nickelramp::sharding
