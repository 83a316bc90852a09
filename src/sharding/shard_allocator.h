/// @file
/// The leader's side of shard leases: leases shards of machines to other controllers, delegates
/// jobs to them and reclaims the shards.
///
/// Machines are empty when they are leased out. The shard's record, with a fencing token for the
/// holder, is committed before the first grant is sent. The holder counts its lease from the time
/// at which it sent the status that the grant replies to, so it stops before the leader considers
/// the lease expired. To reclaim a shard, the leader rewrites its record under a new token, which
/// fences the holder's transactions. It then reads the checkpoints of the shard's jobs and asks the
/// machines which tasks they run, as after a change of leader.
///
/// shard_allocator.cpp implements leasing and delegation, shard_reclaim.cpp the end of leases and
/// the reclaiming of shards.
#pragma once
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"
#include "lifecycle/job_lifecycle.h"
#include "peers/messages.h"
#include "scheduling/placement_rules.h"
#include "sharding/shard_capacity.h"
#include "sharding/shard_lease_writer.h"
#include "sharding/shard_machine_selector.h"

namespace nickelramp::sharding {

/// The states of a shard lease, in the order in which it goes through them.
enum class ShardLeaseState {
    recording,   ///< the shard's record is being written
    active,      ///< the lease is renewed by grants
    expiring,    ///< no grants are sent; the shard is reclaimed once the lease has expired
    reclaiming,  ///< the record is being rewritten under a new token
    recovering,  ///< its jobs' checkpoints are being read; its machines get no tasks yet
};
[[nodiscard]] const char* name(ShardLeaseState state);

/// Why an active lease is no longer renewed.
enum class ShardExpiryReason {
    holder_lost,         ///< the lease has expired and the holder sends no status
    holder_unhealthy,    ///< the holder restarted, or the state service does not answer it
    holder_unconfirmed,  ///< the holder does not report the shard
    job_unconfirmed,     ///< the holder does not report a job delegated to it
    machine_unhealthy,   ///< the holder reports an unhealthy machine, which the leader handles
    idle,                ///< no jobs have been delegated with it for a while
    capacity_needed,     ///< jobs of the leader cannot be placed
    sharding_disabled,   ///< disabled in the operator's options
};
[[nodiscard]] const char* name(ShardExpiryReason reason);

/// A shard that is being leased out, is leased to a holder, or is being reclaimed.
struct ShardLease {
    std::string holder;
    std::uint64_t incarnation = 0;  ///< of the holder's process
    ShardLeaseState state = ShardLeaseState::recording;
    Millis expires_at = 0;  ///< when the holder has certainly stopped, even if its clock is slow
    Millis idle_since = 0;  ///< since when it has had no jobs
    Millis holder_confirmed_at = 0;  ///< when the holder last reported the shard
    std::vector<MachineCapacity> capacity;
    std::vector<std::string> jobs;  ///< ids of the jobs delegated with it
};

/// A grant and the peer to send it to.
struct AddressedGrant {
    std::string holder;
    peers::ShardGrant grant;
};

/// Leases shards to healthy peers, delegates jobs to them, and reclaims shards.
///
/// Guarantees:
/// - A machine is the leader's again only after every lease of it has expired and the record that
///   fences its holder is committed.
/// - A job is delegated whole, before any of its tasks is started, and counts against its team's
///   quota until its holder has finished it or it is reclaimed.
/// - A delegated job is reclaimed within jobs::kMaxWithholdingTime unless its holder confirms it.
/// - While the leader's lease is not confirmed, no shard is leased, renewed or reclaimed.
///
/// Called by the control loop only: on ticks, in each scheduling pass, and for messages from peers.
/// Runs on the loop thread. Times are milliseconds of the steady clock. Lives as long as its term
/// and must be used by the leader only.
class ShardAllocator {
  public:
    /// All arguments must outlive the allocator.
    ShardAllocator(cluster::TermContext& term, cluster::ClusterState& cluster,
                   cluster::ControlActions& actions, ShardLeaseWriter& lease_writer,
                   lifecycle::JobLifecycle& lifecycle, forecast::DemandForecast& forecast,
                   const scheduling::PlacementRules& rules)
        : term_(term),
          cluster_(cluster),
          actions_(actions),
          lease_writer_(lease_writer),
          lifecycle_(lifecycle),
          machine_selector_(cluster, forecast),
          rules_(rules) {}

    // --- Leasing of shards and delegation of jobs

    /// Records the status of a peer, which may become a holder. The clock value in the status is
    /// the peer's own. The next grant returns it, and the lease of that grant runs from then.
    void on_peer_status(const peers::Status& status, Millis now);
    /// Leases a shard to one healthy peer that has none, at most once every 500 ms and not while
    /// jobs cannot be placed.
    void allocate_shards(Millis now);
    /// Delegates the job to a holder whose shard has capacity for all of its tasks.
    /// @return whether the job was delegated.
    bool delegate_job(jobs::Job& job, Millis now);
    /// Records whether jobs could not be placed in the last scheduling pass.
    void set_jobs_starving(bool starving, Millis now) {
        if (starving && !jobs_starving_) starving_since_ = now;
        jobs_starving_ = starving;
    }
    /// Returns the grants to send now, one for each active lease whose record is committed. Each
    /// grant renews its lease for four seconds.
    /// @param cancellations_known_until time up to which this controller knows all cancellations.
    [[nodiscard]] std::vector<AddressedGrant> renewals(Millis cancellations_known_until,
                                                       Millis now);

    // --- Expiry of shard leases and reclaiming of shards

    /// Stops renewing leases that are idle, whose capacity the leader needs or that their holders
    /// do not confirm, and reclaims the shards of expired leases.
    void check_leases(Millis now);
    /// Handles a holder's report on its shard.
    void on_shard_status(const peers::ShardStatus& shard_status, Millis now);
    /// Handles the deletion of a delegated job's open record: the holder has finished the job.
    /// Ignores jobs that are not delegated.
    void on_open_record_deleted(const std::string& id);
    /// Handles the commit of a shard's record: a new lease becomes active, or the recovery of a
    /// reclaimed shard's jobs begins.
    void on_shard_recorded(std::uint32_t shard_number, Millis now);

    // --- Queries

    /// Returns the controller that replies to a leased machine's heartbeats; empty if none does.
    [[nodiscard]] std::string holder_of(Index machine) const;
    /// Returns the fencing tokens of all leased shards, in any state of their leases.
    [[nodiscard]] std::vector<std::uint64_t> active_tokens() const;
    /// The leases by shard number.
    [[nodiscard]] const std::map<std::uint32_t, ShardLease>& leases() const { return leases_; }

  private:
    /// A peer as described by its last status.
    struct Peer {
        std::uint64_t incarnation = 0, clock_ms = 0;
        bool healthy = false;
        Millis last_status_at = 0;
    };

    [[nodiscard]] static bool status_is_recent(const Peer& peer, Millis now);
    /// Returns the peer that holds the lease; null if it has sent no status in this term.
    [[nodiscard]] const Peer* peer_of(const ShardLease& lease) const;
    [[nodiscard]] bool has_lease(const std::string& holder) const;
    void lease_machines(const std::vector<machines::Machine*>& machines, const std::string& holder,
                        const Peer& peer, Millis now);
    [[nodiscard]] bool can_be_delegated(const jobs::Job& job) const;
    [[nodiscard]] bool reserve_for_job(ShardLease& lease, const jobs::Job& job) const;
    [[nodiscard]] bool may_renew(const ShardLease& lease, const shards::Shard& shard,
                                 Millis now) const;
    [[nodiscard]] peers::ShardGrant grant_for(std::uint32_t shard_number, const ShardLease& lease,
                                              const shards::Shard& shard,
                                              Millis cancellations_known_until, Millis now) const;

    void set_lease_state(std::uint32_t shard_number, ShardLease& lease, ShardLeaseState state);
    void expire(std::uint32_t shard_number, ShardLease& lease, ShardExpiryReason reason);
    [[nodiscard]] std::optional<ShardExpiryReason> expiry_reason(const ShardLease& lease,
                                                                 Millis now) const;
    [[nodiscard]] bool has_unconfirmed_job(const ShardLease& lease, Millis now) const;
    void reclaim_shard(std::uint32_t shard_number, ShardLease& lease, Millis now);
    void reclaim_job(jobs::Job& job);
    void on_checkpoints_listed(const std::string& id, std::uint64_t highest_holder_token,
                               const kvstore::ListReply& reply, Millis now);
    void finish_recovery(std::uint32_t shard_number);
    void take_job_from_holder(jobs::Job& job);
    void recount_capacity(ShardLease& lease) const;

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    cluster::ControlActions& actions_;
    ShardLeaseWriter& lease_writer_;
    lifecycle::JobLifecycle& lifecycle_;
    ShardMachineSelector machine_selector_;
    const scheduling::PlacementRules& rules_;
    std::map<std::string, Peer> peers_;           ///< by name
    std::map<std::uint32_t, ShardLease> leases_;  ///< by shard number
    bool jobs_starving_ = false;
    Millis starving_since_ = 0;
    Millis next_allocation_at_ = 0;
};

}  // namespace nickelramp::sharding
