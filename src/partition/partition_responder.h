/// @file
/// Replying to heartbeats inside a network partition: a controller that is partitioned together
/// with its zone's machines keeps replying to them, so that their leases are renewed. The leader
/// permits this in advance, for a limited time, by a delegation that it sends every second. The
/// controller starts and stops no tasks. It does not learn of cancellations after its last message
/// from the leader, so users are told of a cancellation only when it is complete
/// (docs/design/failure-domains.md).
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "machines/worker_channel.h"
#include "peers/messages.h"
#include "wire/messages.h"
#include "wire/settings.h"

namespace nickelramp::partition {

/// Returns how long, in milliseconds, a controller that cannot reach the state service may keep
/// replying to workers if users may be told of a cancellation at once. The tasks must then still
/// end within `cancel_s`.
[[nodiscard]] Millis max_response_bound(const wire::Settings& settings);

/// Returns how long, in milliseconds, a controller that cannot reach the state service may keep
/// replying to workers if users are told of a cancellation only when its tasks have ended. The
/// window is limited because a longer one delays the time at which the leader knows that a lease
/// has expired.
[[nodiscard]] Millis longest_response_window(const wire::Settings& settings);

/// Returns the time by which every lease that another controller may have renewed until now has
/// expired, even if that controller keeps replying for its whole response window.
[[nodiscard]] Millis last_possible_lease_end(const wire::Settings& settings, Millis now);

/// State of a PartitionResponder.
enum class PartitionState {
    no_delegation,  ///< it has no delegation, or the last one has expired
    standby,        ///< it has a delegation, but the leader or the state service is reachable
    responding,     ///< neither is reachable; it replies until the delegation expires
};
[[nodiscard]] const char* name(PartitionState state);

/// Replies to heartbeats on behalf of the leader, in a controller that is not the leader.
///
/// Guarantees:
/// - It replies only while it receives messages from neither the leader nor the state service, and
///   only within the delegation's response window, which starts at the time up to which the leader
///   knew every cancellation.
/// - It replies with the token that the heartbeat carries. It never replies if the machine has been
///   granted to another controller, or may have been since the delegation was sent.
/// - It does not reply to duplicates of heartbeats, nor to workers that do not receive its replies.
///
/// Called by HeartbeatHandler (heartbeats) and the controller (delegations, status, every tick).
/// Runs on the single loop thread; `now` is steady time in milliseconds. Lives as long as its
/// process; the settings must outlive it.
class PartitionResponder {
  public:
    explicit PartitionResponder(const wire::Settings& settings) : settings_(settings) {}

    /// Stores a delegation from the leader. Ignores it if it is for a process with another
    /// incarnation, or older than the stored one.
    void on_delegation(const peers::HeartbeatDelegation& delegation, std::uint64_t incarnation,
                       Millis now);
    /// Updates the state from the times of the last messages from the leader and the state service.
    void update(Millis last_leader_message_at, Millis last_state_service_answer_at, Millis now);
    /// Returns the token for the reply to the heartbeat, or nothing if no reply is allowed.
    /// @param follows see machines::HeartbeatArrival.
    [[nodiscard]] std::optional<std::uint64_t> token_for_reply(const wire::Heartbeat& heartbeat,
                                                               bool follows, Millis now);
    /// Adds the fields that the leader's HeartbeatDelegator needs to an outgoing status.
    void fill_status(peers::Status& status, Millis now) const;
    [[nodiscard]] PartitionState state() const { return state_; }
    /// Returns the term of the last delegation; 0 if there was none.
    [[nodiscard]] std::uint64_t term() const { return delegation_.term; }

  private:
    void set_state(PartitionState state);
    [[nodiscard]] bool is_delegated(std::uint64_t token) const;
    [[nodiscard]] machines::WorkerChannel* channel_of(const std::string& machine, Millis now);

    const wire::Settings& settings_;
    PartitionState state_ = PartitionState::no_delegation;
    peers::HeartbeatDelegation delegation_;
    Millis cancellations_known_until_ = 0;  // time up to which the leader knew them all
    Millis last_reply_at_ = 0;              // 0: none
    std::unordered_map<std::string, machines::WorkerChannel> channels_;  // only while responding
};

}  // namespace nickelramp::partition
