/// \file
/// A controller's side of shard leases: it holds nothing, or one shard of machines that the leader
/// leases to it, until the lease ends.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/control_loop.h"
#include "peers/messages.h"

namespace nickelramp::control {

enum class ShardHolderState {
    empty,         ///< holds nothing
    active,        ///< the lease lasts
    winding_down,  ///< the lease has ended: nothing new is started, what runs is tended for 10 s
                   ///< more
};

/// Runs a ControlLoop for the leased shard.
///
/// Guarantees: it starts nothing after the lease has ended by its own clock, which runs from when
/// it sent the status that the grant replies to, so never later than the leader thinks; it accepts
/// no grant that is older than the last, meant for an earlier process, or of a shard that it let
/// go. Owns no sockets and reads no clock; times are milliseconds of the steady clock. Lives as
/// long as its Controller, which calls it on the loop thread.
class ShardHolder {
  public:
    /// `term_key`: the key of the leader's term, named by the conditions of transactions.
    /// `incarnation`: of this process. `settings` and `gateway` must outlive the holder.
    ShardHolder(const wire::Settings& settings, std::string term_key, ServiceGateway& gateway,
                std::uint64_t incarnation);

    /// Takes a shard or renews its lease. Ignores a grant that it may not use. `wall_ms`: now by
    /// the wall clock.
    void on_grant(const peers::ShardGrant& grant, const std::vector<wire::MachineType>& types,
                  std::int64_t wall_ms, Millis now);
    /// Lets the shard go some time after the lease has ended, else runs its control loop.
    void tick(Millis now);
    /// Lets the shard go at once. `why` is for the log. Does nothing when empty.
    void end(const std::string& why);
    /// Destroys control loops that ended; called when none of their callbacks is running.
    void dispose_ended() { ended_loops_.clear(); }
    [[nodiscard]] bool has_ended() const { return !ended_loops_.empty(); }

    [[nodiscard]] bool holds(const std::string& machine) const;
    /// Only for machines that it holds. Unavailable once cancellations may have been missed for too
    /// long (may_respond_until). `follows_reply` as in machines::HeartbeatArrival.
    [[nodiscard]] machines::HeartbeatReply on_heartbeat(const wire::Heartbeat& heartbeat,
                                                        bool follows_reply, Millis now);
    /// For the leader, sent every second; nothing when empty.
    [[nodiscard]] std::optional<peers::ShardStatus> status() const;
    /// Who granted the shard.
    [[nodiscard]] const std::string& leader() const { return grant_.from; }
    [[nodiscard]] ShardHolderState state() const { return state_; }
    /// The shard's fencing token; 0 when empty.
    [[nodiscard]] std::uint64_t token() const {
        return state_ == ShardHolderState::empty ? 0 : grant_.token;
    }
    /// Until when it may start tasks.
    [[nodiscard]] Millis lease_until() const { return lease_until_; }
    /// Until when it may accept heartbeats of its machines.
    [[nodiscard]] Millis may_respond_until() const {
        return cancellations_known_until_ + partition::max_response_bound(settings_);
    }
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }

  private:
    /// empty -> active -> winding_down -> (active | empty); active -> empty.
    void set_state(ShardHolderState state) { state_ = state; }
    [[nodiscard]] bool is_acceptable(const peers::ShardGrant& grant, Millis now) const;
    void take_shard(const peers::ShardGrant& grant, const std::vector<wire::MachineType>& types,
                    Millis now);
    void load_job(const std::string& id, std::int64_t wall_ms);
    void load_checkpoints(const std::string& id, const jobs::OpenRecord& record,
                          std::uint64_t version, std::int64_t wall_ms);
    [[nodiscard]] bool still_wants(const std::string& id, std::uint64_t token) const;

    const wire::Settings& settings_;
    std::string term_key_;
    ServiceGateway& gateway_;
    std::uint64_t incarnation_;
    ShardHolderState state_ = ShardHolderState::empty;
    std::unique_ptr<ControlLoop> control_loop_;  ///< of the shard; null when empty
    std::vector<std::unique_ptr<ControlLoop>> ended_loops_;
    peers::ShardGrant grant_;        ///< the one that began the lease, not its renewals
    std::uint64_t ended_token_ = 0;  ///< of the last shard that was let go
    Millis lease_until_ = 0;
    Millis cancellations_known_until_ = 0;  ///< every cancellation up to then is known

    enum class LoadState { loading, loaded };
    std::map<std::string, LoadState> jobs_;  ///< delegated to it, by id
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace nickelramp::control
