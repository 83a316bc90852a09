/// @file
/// The shard holder's side of shard leases. A controller holds at most one shard of machines, which
/// the leader leases to it.
#pragma once
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "control/control_loop.h"
#include "peers/messages.h"

namespace nickelramp::control {

enum class ShardHolderState {
    empty,         ///< holds no shard
    active,        ///< the lease is valid
    winding_down,  ///< the lease has expired: no task is started, running tasks are managed for
                   ///< another 10 s
};

/// Runs a ControlLoop for the leased shard.
///
/// Starts no task after the lease has expired by its own clock. The lease runs from when it sent
/// the status that the grant replies to, so it never expires later than the leader assumes. Accepts
/// no grant that is older than the last one, meant for an earlier process, or for a shard that it
/// has released. Owns no sockets and reads no clock. Times are milliseconds of the steady clock.
/// Lives as long as its Controller, which calls it on the loop thread.
class ShardHolder {
  public:
    /// `settings` and `gateway` must outlive the holder.
    /// @param term_key the key of the leader's term, which is used in transaction conditions.
    /// @param incarnation the incarnation of this process.
    ShardHolder(const wire::Settings& settings, std::string term_key, ServiceGateway& gateway,
                std::uint64_t incarnation);

    /// Takes over a shard or renews its lease. Ignores a grant that is not acceptable.
    /// @param wall_ms the current time by the wall clock.
    void on_grant(const peers::ShardGrant& grant, const std::vector<wire::MachineType>& types,
                  std::int64_t wall_ms, Millis now);
    /// Runs the shard's control loop, or releases the shard 10 s after the lease has expired.
    void tick(Millis now);
    /// Releases the shard at once. Does nothing when empty. `why` is written to the log.
    void end(const std::string& why);
    /// Destroys ended control loops. Called only while none of their callbacks is running.
    void dispose_ended() { ended_loops_.clear(); }
    [[nodiscard]] bool has_ended() const { return !ended_loops_.empty(); }

    [[nodiscard]] bool holds(const std::string& machine) const;
    /// Returns the reply to a heartbeat of a machine that it holds. The reply is unavailable once
    /// cancellations may have been missed for too long (may_respond_until). `follows_reply` is
    /// defined in machines::HeartbeatArrival.
    [[nodiscard]] machines::HeartbeatReply on_heartbeat(const wire::Heartbeat& heartbeat,
                                                        bool follows_reply, Millis now);
    /// Returns the status that is sent to the leader every second, or nullopt when empty.
    [[nodiscard]] std::optional<peers::ShardStatus> status() const;
    /// Returns the name of the leader that granted the shard.
    [[nodiscard]] const std::string& leader() const { return grant_.from; }
    [[nodiscard]] ShardHolderState state() const { return state_; }
    /// Returns the shard's fencing token, or 0 when empty.
    [[nodiscard]] std::uint64_t token() const {
        return state_ == ShardHolderState::empty ? 0 : grant_.token;
    }
    /// Returns until when it may start tasks.
    [[nodiscard]] Millis lease_until() const { return lease_until_; }
    /// Returns until when it may accept heartbeats of its machines.
    [[nodiscard]] Millis may_respond_until() const {
        return cancellations_known_until_ + partition::max_response_bound(settings_);
    }
    [[nodiscard]] std::uint64_t incarnation() const { return incarnation_; }

  private:
    /// Allowed transitions: empty -> active -> winding_down -> (active | empty); active -> empty.
    void set_state(ShardHolderState state) { state_ = state; }
    [[nodiscard]] bool is_acceptable(const peers::ShardGrant& grant, Millis now) const;
    void take_shard(const peers::ShardGrant& grant, const std::vector<wire::MachineType>& types,
                    Millis now);
    void load_job(const std::string& id, std::int64_t wall_ms);
    void load_checkpoints(const std::string& id, const jobs::OpenRecord& record,
                          std::uint64_t version, std::int64_t wall_ms);
    [[nodiscard]] bool load_still_needed(const std::string& id, std::uint64_t token) const;

    const wire::Settings& settings_;
    std::string term_key_;
    ServiceGateway& gateway_;
    std::uint64_t incarnation_;
    ShardHolderState state_ = ShardHolderState::empty;
    std::unique_ptr<ControlLoop> control_loop_;  ///< of the shard; null when empty
    std::vector<std::unique_ptr<ControlLoop>> ended_loops_;
    peers::ShardGrant grant_;        ///< the grant that began the lease, not its renewals
    std::uint64_t ended_token_ = 0;  ///< token of the last shard that was released
    Millis lease_until_ = 0;
    Millis cancellations_known_until_ = 0;  ///< all cancellations up to this time are known

    enum class LoadState { loading, loaded };
    std::map<std::string, LoadState> jobs_;  ///< delegated jobs, by id
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace nickelramp::control
