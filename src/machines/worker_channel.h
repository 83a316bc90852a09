// What is known of a worker's voice: which of its messages is the newest, what each of them proves,
// and whether ours reach it (docs/design/evidence.md). A message tells of the moment at which it
// was made, and copies come late: that it has arrived now proves nothing about now.
#pragma once
#include <compare>
#include <cstdint>

#include "base/time.h"
#include "wire/messages.h"

namespace nickelramp::machines {

// copy:      of a report that the worker has given up already: it drops whatever is answered
// overtaken: was under way while a later message was heard: it may be answered, its content is old
// hint:      may be of any age: a reason to ask the worker, no more
// fresh:     made after everything that was known
// anew:      fresh, and of a worker that has begun with small numbers again; the token is to be
//            raised, so that copies of what it said in its former life do not echo it
enum class EvidenceFreshness { duplicate, overtaken, unordered, fresh, new_incarnation };
const char* name(EvidenceFreshness freshness);
// Is what it lists, and what it does not list, true of a moment after all that was known?
inline bool proves_state(EvidenceFreshness freshness) {
    return freshness == EvidenceFreshness::fresh || freshness == EvidenceFreshness::new_incarnation;
}

// sound:  what we send reaches it, as far as is known
// silent: nothing shows that it is there
// deaf:   its reports arrive, but answers or commands do not reach it
// partly: answers to its reports reach it, and keep its lease; commands do not
// mute:   it answers commands, and its reports do not come: what is on it ends with its lease
enum class Reachability { reachable, unresponsive, outbound_only, replies_only, inbound_only };
const char* name(Reachability reachability);

// A message's place in the order of all that the worker says.
struct MessagePosition {
    std::uint64_t incarnation = 0, sequence = 0;
    friend auto operator<=>(const MessagePosition&, const MessagePosition&) = default;
};

// How a report came.
struct HeartbeatArrival {
    // On a connection over which the worker has received an answer 200 of ours.
    bool follows_reply = false;
    // When it reached a controller, which may be before it reached this one. Never later than that.
    Millis arrived_at = 0;
};

class WorkerChannel {
  public:
    // Somebody else was in charge until now: only answers, and what echoes this token, prove
    // anything. The worker is taken to have been reached at that time.
    void take_control(std::uint64_t token, Millis reached);
    // A later token is given out from now on; its echo shows that something has arrived since.
    void raise_token(std::uint64_t token, Millis now);

    // The one place that says what a message proves.
    EvidenceFreshness on_heartbeat(const wire::Heartbeat& heartbeat,
                                   const HeartbeatArrival& arrival, Millis now);
    // A report that came straight from the worker.
    EvidenceFreshness on_heartbeat(const wire::Heartbeat& heartbeat, bool follows, Millis now) {
        return on_heartbeat(heartbeat, HeartbeatArrival{follows, now}, now);
    }
    // The answer to what was sent then, when `asked` was the newest known.
    EvidenceFreshness on_command_reply(const wire::Heartbeat& heartbeat,
                                       const MessagePosition& asked, Millis sent, Millis now);
    // A command was lost: the worker may have got it or not, and has not answered.
    void on_command_lost(Millis now);
    MessagePosition newest_position() const {
        return newest_proven_ > newest_heartbeat_ ? newest_proven_ : newest_heartbeat_;
    }

    // A report was answered 200: if that arrives, the lease lasts a lease from the report on.
    void on_reply_sent(Millis lease, Millis now);
    // Shall it be, when something hangs on its lease? What was not reached for a while after it was
    // heard again, and what lost its lease although it was answered, is left to lose it, so that
    // somebody can know that it has.
    bool should_reply(Millis lease, Millis now) const;

    // It counts as heard for so long after the last proof that something reached it.
    Reachability reachability(Millis patience, Millis now) const;
    // It has answered commands for half a lease, and no report came meanwhile. A worker that seeks
    // its way to another controller finds it sooner; what is started on one that does not ends with
    // its lease, whatever it answers, for only an answer to a report renews that.
    bool is_inbound_only(Millis lease, Millis now) const;
    // Nothing shows that its lease was renewed after that.
    Millis renewed_at() const { return reached_at_ < heartbeat_at_ ? reached_at_ : heartbeat_at_; }

    bool has_proof() const { return newest_proven_.incarnation != 0; }
    const MessagePosition& newest_proven() const {
        return newest_proven_;
    }  // of the messages that are proven
    // For commands; a wrong one is answered with the right one.
    std::uint64_t incarnation() const {
        return newest_proven_.incarnation == 0 ? 1 : newest_proven_.incarnation;
    }
    std::uint64_t token() const { return token_; }  // the highest that it had seen by then
    Millis reached_at() const { return reached_at_; }
    Millis heartbeat_at() const { return heartbeat_at_; }  // its last report came

  private:
    void note_reached(Millis at);
    void accept(const wire::Heartbeat& heartbeat, const MessagePosition& position, Millis now);

    MessagePosition newest_proven_;
    MessagePosition newest_heartbeat_;  // the highest of a report made under us
    std::uint64_t token_ = 0;
    std::uint64_t own_token_floor_ = 0;    // what echoes this or more was made under us
    std::uint64_t last_issued_token_ = 0;  // the last token given out
    Millis last_issued_at_ = 0, reached_at_ = 0, heartbeat_at_ = 0;
    Millis commands_lost_since_ = 0;  // the first command lost since one was answered; 0: none
    Millis unreached_since_ = 0;      // the first report since it was last reached; 0: none
    Millis replies_only_since_ = 0;   // the first answer since its last report; 0: none
    std::uint64_t replied_incarnation_ = 0;
    Millis lease_would_end_at_ =
        0;  // had the last answer arrived, that session would last until then
    bool lease_lapsed_ = false;
    bool incarnation_uncertain_ = false;  // it may have begun anew: only its answer tells
};

}  // namespace nickelramp::machines
