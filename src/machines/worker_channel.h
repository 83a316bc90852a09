/// @file
/// The state of communication with one worker: which of its messages is the newest, what each
/// message proves, and whether the controller's messages reach it (docs/design/worker-evidence.md).
///
/// A message describes the worker at the time it was made. Copies may arrive late, so the arrival
/// of a message proves nothing about the present. Nothing here reads a clock or does I/O; times are
/// arguments, in milliseconds of the controller's steady clock.
#pragma once
#include <compare>
#include <cstdint>

#include "base/time.h"
#include "wire/messages.h"

namespace nickelramp::machines {

/// How the content of a message relates to what is already known.
enum class EvidenceFreshness {
    duplicate,  ///< of a heartbeat that was superseded: the worker drops any reply to it
    overtaken,  ///< a later message arrived first: may be replied to, its content is outdated
    unordered,  ///< of unknown age: only a reason to probe the worker
    fresh,      ///< made after all messages known so far
    /// Fresh, from a worker that has restarted and counts its messages from the beginning. Its
    /// token must be raised, so that copies from its former incarnation do not echo it.
    new_incarnation,
};

/// Returns whether the content of the message is newer than everything known before, both in the
/// tasks that it lists and in those that it omits.
[[nodiscard]] inline bool proves_state(EvidenceFreshness freshness) {
    return freshness == EvidenceFreshness::fresh || freshness == EvidenceFreshness::new_incarnation;
}

/// Which messages get through between the controllers and a worker.
enum class Reachability {
    reachable,      ///< the controller's messages arrive, as far as is known
    unresponsive,   ///< there is no sign that the machine is alive
    outbound_only,  ///< its heartbeats arrive; replies or commands do not reach it
    replies_only,   ///< replies reach it and renew its lease; commands do not
    inbound_only,   ///< it answers commands; its heartbeats do not arrive, so its lease will expire
};

/// A message's place in the order of all messages of a worker.
struct MessagePosition {
    std::uint64_t incarnation = 0, sequence = 0;
    friend auto operator<=>(const MessagePosition&, const MessagePosition&) = default;
};

/// How and when a heartbeat arrived.
struct HeartbeatArrival {
    /// It came over a connection on which the worker has received an accepting reply, so the worker
    /// can be reached.
    bool follows_reply = false;
    /// When it reached a controller, possibly before it was forwarded to this one. Never later than
    /// the actual arrival.
    Millis arrived_at = 0;
};

/// The evidence about one worker. A value type without references, owned by Machine and by
/// partition::PartitionResponder.
///
/// Guarantees: a message that proves the worker's state was made after every message that proved it
/// before, and after take_control(). reached_at() is never later than the last arrival of one of
/// the controller's messages at the worker.
class WorkerChannel {
  public:
    /// Starts to manage a worker that another controller managed until now. From here on only
    /// command replies, and heartbeats that echo at least this token, prove anything. The worker is
    /// assumed to have been reached at `reached_at`.
    void take_control(std::uint64_t token, Millis reached_at);
    /// Records that a higher token is issued from now on. Its echo proves that a message sent since
    /// then has arrived.
    void raise_token(std::uint64_t token, Millis now);

    /// Records a heartbeat and returns its freshness; never EvidenceFreshness::new_incarnation.
    EvidenceFreshness on_heartbeat(const wire::Heartbeat& heartbeat,
                                   const HeartbeatArrival& arrival, Millis now);
    /// The same for a heartbeat received directly from the worker.
    EvidenceFreshness on_heartbeat(const wire::Heartbeat& heartbeat, bool follows_reply,
                                   Millis now) {
        return on_heartbeat(heartbeat, HeartbeatArrival{follows_reply, now}, now);
    }
    /// Records the reply to a command that was sent at `sent_at`, when newest_position() was
    /// `newest_known`. Returns its freshness; never duplicate or unordered.
    EvidenceFreshness on_command_reply(const wire::Heartbeat& heartbeat,
                                       const MessagePosition& newest_known, Millis sent_at,
                                       Millis now);
    /// Records that a command got no reply. The worker may or may not have received it.
    void on_command_lost(Millis now);
    /// Returns the newest known position, to be stored with each command that is sent.
    [[nodiscard]] MessagePosition newest_position() const {
        return newest_proven_ > newest_heartbeat_ ? newest_proven_ : newest_heartbeat_;
    }

    /// Records that a heartbeat was accepted. If the reply arrives, the worker's lease lasts
    /// `lease` from then on.
    void on_reply_sent(Millis lease, Millis now);
    /// Returns whether a heartbeat of a worker that has tasks may be accepted. If the worker was
    /// not reached for half a lease although its heartbeats arrive, or lost its lease despite
    /// replies, its lease is no longer renewed, so that the controller knows when its tasks have
    /// ended.
    [[nodiscard]] bool should_reply(Millis lease, Millis now) const;

    /// Returns the reachability except inbound_only, for which there is is_inbound_only().
    /// @param timeout how long the worker counts as reachable after the last proof that a message
    ///     reached it.
    [[nodiscard]] Reachability reachability(Millis timeout, Millis now) const;
    /// Returns whether the worker has answered commands for half a lease while no heartbeat
    /// arrived. A worker that is searching for another controller finds one sooner than that. Tasks
    /// started on an inbound-only worker end with its lease, since only heartbeat replies renew it.
    [[nodiscard]] bool is_inbound_only(Millis lease, Millis now) const;
    /// Returns the time after which there is no evidence of a lease renewal.
    [[nodiscard]] Millis renewed_at() const {
        return reached_at_ < heartbeat_at_ ? reached_at_ : heartbeat_at_;
    }

    [[nodiscard]] bool has_proof() const { return newest_proven_.incarnation != 0; }
    /// Returns the position of the newest message that proved the worker's state.
    [[nodiscard]] const MessagePosition& newest_proven() const { return newest_proven_; }
    /// Returns the incarnation to put into commands. The reply to a command with a wrong one
    /// carries the right one.
    [[nodiscard]] std::uint64_t incarnation() const {
        return newest_proven_.incarnation == 0 ? 1 : newest_proven_.incarnation;
    }
    /// Returns the highest token that the worker had seen when it made the newest proven message.
    [[nodiscard]] std::uint64_t token() const { return token_; }
    [[nodiscard]] Millis reached_at() const { return reached_at_; }
    /// Returns when the last heartbeat that was not a duplicate arrived.
    [[nodiscard]] Millis heartbeat_at() const { return heartbeat_at_; }

  private:
    void note_reached(Millis at);
    void note_heartbeat(Millis now);
    [[nodiscard]] bool echoes_own_token(const wire::Heartbeat& heartbeat) const;
    void accept(const wire::Heartbeat& heartbeat, const MessagePosition& position, Millis now);
    void accept_new_incarnation(const wire::Heartbeat& heartbeat, const MessagePosition& position);

    MessagePosition newest_proven_;
    MessagePosition newest_heartbeat_;  ///< newest of those made under this controller's token
    std::uint64_t token_ = 0;
    std::uint64_t own_token_floor_ = 0;  ///< lowest token whose echo counts as evidence
    std::uint64_t last_issued_token_ = 0;
    Millis last_issued_at_ = 0;
    Millis reached_at_ = 0;
    Millis heartbeat_at_ = 0;
    Millis commands_lost_since_ = 0;  ///< first lost command since the last answered one; 0: none
    Millis unreached_since_ = 0;      ///< first heartbeat since it was last reached; 0: none
    Millis replies_only_since_ = 0;   ///< first command reply since its last heartbeat; 0: none
    std::uint64_t replied_incarnation_ = 0;
    /// Until then replied_incarnation_ keeps its lease if the last heartbeat reply arrived.
    Millis lease_would_end_at_ = 0;
    bool lease_lapsed_ = false;  ///< the lease expired although a reply should have renewed it
    bool incarnation_uncertain_ = false;  ///< may have restarted; a command reply shows it
};

}  // namespace nickelramp::machines
