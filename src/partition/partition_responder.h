/// @file
/// Replying to heartbeats inside a network partition: a controller that a partition leaves alone
/// with its zone's machines goes on replying to them, so that what runs there keeps its leases. It
/// starts and stops nothing. What it cannot know are cancellations later than its last message from
/// the leader: users are told of a cancellation only when it is complete
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

/// How long, in milliseconds, a controller that cannot reach the state service may go on replying
/// to workers if users may be told of a cancellation at once: the tasks must still end within
/// `cancel_s`.
[[nodiscard]] Millis max_response_bound(const wire::Settings& settings);

/// The same if users are told when the tasks are gone: only the wait for leases to end bounds it.
[[nodiscard]] Millis longest_response_window(const wire::Settings& settings);

/// By when every lease has expired that another controller may have renewed until now, whatever it
/// knew.
[[nodiscard]] Millis last_possible_lease_end(const wire::Settings& settings, Millis now);

/// What a PartitionResponder does.
enum class PartitionState {
    no_delegation,  ///< it has no delegation, or the last one has expired
    standby,        ///< it has one; the leader or the state service is heard, so it is not needed
    responding,     ///< neither is heard: it replies to heartbeats until the delegation expires
};
[[nodiscard]] const char* name(PartitionState state);

/// Replies to heartbeats in the leader's name: the side of the controller that is not the leader.
///
/// Guarantees:
/// - It replies only while it hears neither the leader nor the state service, and only within the
///   delegation's response window, counted from the last cancellation that the leader knew of.
/// - It replies under the token that the heartbeat carries, never where another controller has been
///   granted the machine, or may have been since the delegation was sent.
/// - It does not reply to copies of heartbeats, nor to workers that do not receive its replies.
///
/// Called by HeartbeatHandler (heartbeats) and the controller (delegations, status, every tick).
/// Runs on the one loop thread; `now` is steady time in milliseconds. Lives as long as its process;
/// the settings must outlive it.
class PartitionResponder {
  public:
    explicit PartitionResponder(const wire::Settings& settings) : settings_(settings) {}

    /// Takes over a delegation from the leader. Ignored if it is for another process than the one
    /// with this incarnation, or older than the one known.
    void on_delegation(const peers::HeartbeatDelegation& delegation, std::uint64_t incarnation,
                       Millis now);
    /// Moves to the state that follows from when the leader and the state service were last heard.
    void update(Millis leader_heard_at, Millis state_service_heard_at, Millis now);
    /// The token to reply to the heartbeat with; nothing if it may not be replied to.
    /// @param follows see machines::HeartbeatArrival.
    [[nodiscard]] std::optional<std::uint64_t> token_for_reply(const wire::Heartbeat& heartbeat,
                                                               bool follows, Millis now);
    /// Adds to an outgoing status what the leader's HeartbeatDelegator must know.
    void fill_status(peers::Status& status, Millis now) const;
    [[nodiscard]] PartitionState state() const { return state_; }
    /// The term in whose leader's name it replies; 0 if it has had no delegation.
    [[nodiscard]] std::uint64_t term() const { return delegation_.term; }

  private:
    void set_state(PartitionState state);
    [[nodiscard]] bool is_delegated(std::uint64_t token) const;
    [[nodiscard]] machines::WorkerChannel* channel_of(const std::string& machine, Millis now);

    const wire::Settings& settings_;
    PartitionState state_ = PartitionState::no_delegation;
    peers::HeartbeatDelegation delegation_;
    Millis cancellations_known_until_ = 0;  // the leader knew every cancellation up to then
    Millis last_reply_at_ = 0;              // 0: none
    std::unordered_map<std::string, machines::WorkerChannel> channels_;  // while it responds
};

}  // namespace nickelramp::partition
