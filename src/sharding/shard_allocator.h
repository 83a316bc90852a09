/// @file
/// Shards leased to other controllers: the leader's side.
///
/// A leased machine is empty when it goes, and its shard's record, with the holder's own fencing
/// token, is committed before the first grant is sent. The holder counts its lease from the moment
/// at which it sent the status that the grant replies to, so it stops before the leader believes
/// that it has. A shard is taken back by rewriting its record under a new token, which fences the
/// holder's transactions; then the checkpoints of its jobs are read and its machines are asked what
/// is on them, as after a change of leader.
///
/// Sources: shard_allocator.cpp has leasing and delegating, shard_reclaim.cpp ending and
/// reclaiming.
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

/// The states of a shard lease, in their order.
enum class ShardLeaseState {
    recording,   ///< the shard's record is being written
    active,      ///< grants are sent, which renew the lease
    expiring,    ///< none are sent any more; once the last has run out the shard is taken back
    reclaiming,  ///< the record is being rewritten under a new token
    recovering,  ///< its jobs' checkpoints are being read; its machines get no tasks until then
};
[[nodiscard]] const char* name(ShardLeaseState state);

/// Why an active lease is renewed no more.
enum class ShardExpiryReason {
    holder_lost,         ///< not heard from since the lease ran out
    holder_unhealthy,    ///< restarted, or its state service does not answer it
    holder_unconfirmed,  ///< it does not say that it has the shard
    job_unconfirmed,     ///< it does not name a job that it was given
    machine_unhealthy,   ///< it wants to be rid of a machine, with which the leader deals
    idle,                ///< no job of it for a while
    capacity_needed,     ///< jobs of the leader find no place
    sharding_disabled,   ///< by the operator's options
};
[[nodiscard]] const char* name(ShardExpiryReason reason);

/// A shard that is leased to a holder, or on its way there or back.
struct ShardLease {
    std::string holder;
    std::uint64_t incarnation = 0;  ///< of the holder's process
    ShardLeaseState state = ShardLeaseState::recording;
    Millis expires_at = 0;           ///< by then the holder has stopped, by its own clock
    Millis idle_since = 0;           ///< it has had no job since then
    Millis holder_confirmed_at = 0;  ///< the holder last said that it has the shard
    std::vector<MachineCapacity> capacity;
    std::vector<std::string> jobs;  ///< ids of the jobs delegated with it
};

/// A grant and the peer to send it to.
struct AddressedGrant {
    std::string holder;
    peers::ShardGrant grant;
};

/// Leases shards to healthy peers, delegates jobs to them, and takes shards back.
///
/// Guarantees:
/// - A machine is the leader's again only after every lease of it has run out and the record that
///   fences its holder is committed.
/// - A job is delegated whole, before anything of it was started, and counts against its team's
///   quota until its holder has finished it or it is taken back.
/// - A delegated job that its holder does not confirm comes back within jobs::kMaxHoldBack.
/// - While the leader's lease is not confirmed, nothing is leased, renewed or taken back.
///
/// Called by the control loop alone: on ticks, in each scheduling pass, and with messages of peers.
/// Runs on the one loop thread; times are milliseconds of the steady clock. Lives as long as its
/// term and must be used by the leader only.
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

    // --- leasing

    /// A peer, which may become a holder, has sent its status. The status' clock is the peer's own
    /// and comes back in the next grant, whose lease runs from then.
    void on_peer_status(const peers::Status& status, Millis now);
    /// Leases a shard to one healthy peer that has none, at most once in 500 ms and not while jobs
    /// find no place.
    void allocate_shards(Millis now);
    /// Delegates the job whole to a holder that has room for all of it.
    /// @return whether it did.
    bool delegate_job(jobs::Job& job, Millis now);
    /// Whether jobs found no place in the last scheduling pass.
    void set_jobs_starving(bool starving, Millis now) {
        if (starving && !jobs_starving_) starving_since_ = now;
        jobs_starving_ = starving;
    }
    /// The grants to send now, one for each active lease whose record is committed; each renews its
    /// lease for four seconds.
    /// @param view_fresh every cancellation up to then is known here.
    [[nodiscard]] std::vector<AddressedGrant> renewals(Millis view_fresh, Millis now);

    // --- ending

    /// Ends leases that are idle, needed here or no longer confirmed, and takes back the shards of
    /// those that have run out.
    void check_leases(Millis now);
    /// A holder reports on its shard.
    void on_shard_status(const peers::ShardStatus& shard_status, Millis now);
    /// An open record has gone: whoever held the job has finished it. Ignores jobs that are not
    /// delegated.
    void on_open_record_deleted(const std::string& id);
    /// The shard's record is committed: its lease begins, or its jobs can be recovered.
    void on_shard_recorded(std::uint32_t shard_number, Millis now);

    // --- reading

    /// The controller that replies to a leased machine's heartbeats; empty while none does.
    [[nodiscard]] std::string holder_of(Index machine) const;
    /// The fencing tokens of all shards that are not the leader's, in any state.
    [[nodiscard]] std::vector<std::uint64_t> active_tokens() const;
    /// By shard number.
    [[nodiscard]] const std::map<std::uint32_t, ShardLease>& leases() const { return leases_; }

  private:
    /// A peer as its last status describes it.
    struct Peer {
        std::uint64_t incarnation = 0, clock_ms = 0;
        bool healthy = false;
        Millis last_status_at = 0;
    };

    [[nodiscard]] static bool heard_recently(const Peer& peer, Millis now);
    /// The holder's peer; null if no status of it has come in this term.
    [[nodiscard]] const Peer* peer_of(const ShardLease& lease) const;
    [[nodiscard]] bool has_lease(const std::string& holder) const;
    void lease_machines(const std::vector<machines::Machine*>& machines, const std::string& holder,
                        const Peer& peer, Millis now);
    [[nodiscard]] bool can_be_delegated(const jobs::Job& job) const;
    [[nodiscard]] bool reserve_for_job(ShardLease& lease, const jobs::Job& job) const;
    [[nodiscard]] bool may_renew(const ShardLease& lease, const shards::Shard& shard,
                                 Millis now) const;
    [[nodiscard]] peers::ShardGrant grant_for(std::uint32_t shard_number, const ShardLease& lease,
                                              const shards::Shard& shard, Millis view_fresh,
                                              Millis now) const;

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
    std::map<std::string, Peer> peers_;           // by name
    std::map<std::uint32_t, ShardLease> leases_;  // by shard number
    bool jobs_starving_ = false;
    Millis starving_since_ = 0;
    Millis next_allocation_at_ = 0;
};

}  // namespace nickelramp::sharding
