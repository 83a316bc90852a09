/// \file
/// What is known of the communication with one worker: which of its messages is the newest, what
/// each of them proves, and whether ours reach it (docs/design/worker-evidence.md).
///
/// A message tells of the moment at which it was made, and copies come late: that one arrives now
/// proves nothing about now. Everything here is pure: times are arguments, in milliseconds of the
/// controller's steady clock.
#pragma once
#include <compare>
#include <cstdint>

#include "base/time.h"
#include "wire/messages.h"

namespace nickelramp::machines {

/// What a message proves.
enum class EvidenceFreshness {
    duplicate,  ///< of a heartbeat that the worker has given up: it drops whatever is replied
    overtaken,  ///< in flight while a later message arrived: may be replied to, its content is old
    unordered,  ///< may be of any age: a reason to probe the worker, no more
    fresh,      ///< made after everything that was known
    /// Fresh, and of a worker that counts from small numbers again. Its token must be raised, so
    /// that copies from its former incarnation do not echo it.
    new_incarnation,
};

/// Whether what the message lists, and what it does not list, was true after all that was known.
[[nodiscard]] inline bool proves_state(EvidenceFreshness freshness) {
    return freshness == EvidenceFreshness::fresh || freshness == EvidenceFreshness::new_incarnation;
}

/// Which messages pass between the controllers and a worker.
enum class Reachability {
    reachable,      ///< what we send arrives, as far as is known
    unresponsive,   ///< nothing shows that the machine is there
    outbound_only,  ///< its heartbeats arrive; replies or commands do not reach it
    replies_only,   ///< replies reach it and renew its lease; commands do not
    inbound_only,   ///< it answers commands; its heartbeats do not arrive, so its lease will end
};

/// A message's place in the order of all that a worker says.
struct MessagePosition {
    std::uint64_t incarnation = 0, sequence = 0;
    friend auto operator<=>(const MessagePosition&, const MessagePosition&) = default;
};

/// How a heartbeat came.
struct HeartbeatArrival {
    /// On a connection over which the worker has received an accepting reply of ours: it can be
    /// reached.
    bool follows_reply = false;
    /// When it reached a controller, which may be before it reached this one; never later than
    /// that.
    Millis arrived_at = 0;
};

/// The evidence about one worker. A value type without references, owned by Machine and by
/// partition::PartitionResponder.
///
/// Guarantees: a message that proves the worker's state was made after every message that proved it
/// before, and after take_control(); reached_at() is never later than the last moment at which a
/// message of ours arrived.
class WorkerChannel {
  public:
    /// Another controller answered for the worker until now: from here on only command replies, and
    /// heartbeats that echo at least this token, prove anything. The worker is taken to have been
    /// reached at `reached_at`.
    void take_control(std::uint64_t token, Millis reached_at);
    /// A later token is issued from now on; its echo shows that something has arrived since.
    void raise_token(std::uint64_t token, Millis now);

    /// Notes a heartbeat and says what it proves; never EvidenceFreshness::new_incarnation.
    EvidenceFreshness on_heartbeat(const wire::Heartbeat& heartbeat,
                                   const HeartbeatArrival& arrival, Millis now);
    /// A heartbeat that came straight from the worker.
    EvidenceFreshness on_heartbeat(const wire::Heartbeat& heartbeat, bool follows_reply,
                                   Millis now) {
        return on_heartbeat(heartbeat, HeartbeatArrival{follows_reply, now}, now);
    }
    /// Notes the reply to a command that was sent at `sent_at`, when `newest_known` was
    /// newest_position(), and says what it proves; never a duplicate or unordered.
    EvidenceFreshness on_command_reply(const wire::Heartbeat& heartbeat,
                                       const MessagePosition& newest_known, Millis sent_at,
                                       Millis now);
    /// No reply came: the worker may have got the command or not.
    void on_command_lost(Millis now);
    /// To be kept with each command that is sent.
    [[nodiscard]] MessagePosition newest_position() const {
        return newest_proven_ > newest_heartbeat_ ? newest_proven_ : newest_heartbeat_;
    }

    /// A heartbeat was accepted: if the reply arrives, the worker's lease lasts `lease` from then
    /// on.
    void on_reply_sent(Millis lease, Millis now);
    /// Whether a heartbeat of a worker that has tasks may be accepted. A worker that was not
    /// reached for half a lease after it was heard again, or that lost its lease although it was
    /// replied to, is left to lose its lease, so that the controller knows when its tasks have
    /// ended.
    [[nodiscard]] bool should_reply(Millis lease, Millis now) const;

    /// Never inbound_only, which is_inbound_only() tells. `timeout`: the worker counts as reachable
    /// for so long after the last proof that a message reached it.
    [[nodiscard]] Reachability reachability(Millis timeout, Millis now) const;
    /// It has answered commands for half a lease, and no heartbeat came meanwhile. A worker that
    /// looks for another controller finds it sooner. What is started on one that does not ends with
    /// its lease, as only replies to heartbeats renew that.
    [[nodiscard]] bool is_inbound_only(Millis lease, Millis now) const;
    /// Nothing shows that the worker's lease was renewed after that.
    [[nodiscard]] Millis renewed_at() const {
        return reached_at_ < heartbeat_at_ ? reached_at_ : heartbeat_at_;
    }

    [[nodiscard]] bool has_proof() const { return newest_proven_.incarnation != 0; }
    /// The newest message that proved the worker's state.
    [[nodiscard]] const MessagePosition& newest_proven() const { return newest_proven_; }
    /// To be named by commands; the reply to a wrong one carries the right one.
    [[nodiscard]] std::uint64_t incarnation() const {
        return newest_proven_.incarnation == 0 ? 1 : newest_proven_.incarnation;
    }
    /// The highest token that the worker had seen when it made the newest proven message.
    [[nodiscard]] std::uint64_t token() const { return token_; }
    [[nodiscard]] Millis reached_at() const { return reached_at_; }
    /// When its last heartbeat came that was no duplicate.
    [[nodiscard]] Millis heartbeat_at() const { return heartbeat_at_; }

  private:
    void note_reached(Millis at);
    void note_heard(Millis now);
    [[nodiscard]] bool made_under_own_token(const wire::Heartbeat& heartbeat) const;
    void accept(const wire::Heartbeat& heartbeat, const MessagePosition& position, Millis now);
    void accept_new_incarnation(const wire::Heartbeat& heartbeat, const MessagePosition& position);

    MessagePosition newest_proven_;
    MessagePosition newest_heartbeat_;  ///< of those made while this controller was in control
    std::uint64_t token_ = 0;
    std::uint64_t own_token_floor_ = 0;  ///< heartbeats that echo at least it were made under us
    std::uint64_t last_issued_token_ = 0;
    Millis last_issued_at_ = 0;
    Millis reached_at_ = 0;
    Millis heartbeat_at_ = 0;
    Millis commands_lost_since_ = 0;  ///< first command lost since one was answered; 0: none
    Millis unreached_since_ = 0;      ///< first heartbeat since it was last reached; 0: none
    Millis replies_only_since_ = 0;   ///< first command reply since its last heartbeat; 0: none
    std::uint64_t replied_incarnation_ = 0;
    /// If the last reply to a heartbeat arrived, that incarnation lasts until then.
    Millis lease_would_end_at_ = 0;
    bool lease_lapsed_ = false;           ///< although a reply should have renewed it
    bool incarnation_uncertain_ = false;  ///< may have restarted: only a command reply tells
};

}  // namespace nickelramp::machines
