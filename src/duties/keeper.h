// Who does which duty. The leader appoints: itself at first, another controller where that is
// better, by one transaction that moves the record to the other's hold, so that there is no moment
// in which two hold it or, while both live, nobody does. A duty that another holds outlives a
// change of leader; one whose holder's hold ends falls vacant and is claimed by whoever leads.
//
// Both sides are here. Handed replies and the time; owns no sockets and reads no clock.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "duties/duty.h"
#include "duties/lease.h"

namespace nickelramp::duties {

// unknown:   its record has to be read
// vacant:    nobody has it
// claiming:  this leader's transaction for it is under way
// held:      by this controller
// moving:    the transaction that gives it away is under way; it is not done meanwhile
// elsewhere: another controller has it
enum class State { unknown, vacant, claiming, held, moving, elsewhere };
const char* name(State s);

class Keeper {
  public:
    struct Hooks {
        std::function<void(state::Txn, std::function<void(Millis, const state::CommitReply&)>)>
            commit;
        std::function<void(std::function<void(Millis, const state::ListReply&)>)> list;
        // The duty's fence as this leader knows it; 0: nobody is known to have it.
        std::function<void(Duty, std::uint64_t fence)> fenced;
    };
    Keeper(std::string node, std::uint64_t incarnation, Hooks hooks)
        : node_(std::move(node)), incarnation_(incarnation), hooks_(std::move(hooks)) {}

    // --- the leader's side
    // A term begins; its duties hang on the leader's own hold.
    void lead(state::Condition term, std::uint64_t hold, Millis now);
    // It is over; what hung on its hold goes with it.
    void follow();
    bool leads() const { return hold_ != 0; }
    // Reads what is not known and claims what is vacant.
    void tend(Millis now);
    // A transaction that named the duty's fence has failed for it: its record is read again.
    void refuted(Duty d);
    // Moves the duty to another controller's hold.
    void give(Duty d, const Post& to);
    // Takes it back from a holder whose charges are over.
    void take(Duty d);
    // May its holder elsewhere be charged? Not once it was asked to be taken back: a transaction of
    // unknown outcome may be carried out later, and this leader would act beside the holder.
    bool chargeable(Duty d) const {
        return state(d) == State::elsewhere && entry(d).taken_from != fence(d);
    }

    // --- the helper's side: what the leader says that this controller has
    void charged(Duty d, std::uint64_t fence, std::uint64_t hold);
    void released(Duty d);
    void hold_lost();  // the helper's own

    State state(Duty d) const { return entry(d).state; }
    const Post& post(Duty d) const { return entry(d).post; }
    std::uint64_t fence(Duty d) const { return entry(d).fence; }
    // The fence if somebody is known to have the duty; 0: nobody is.
    std::uint64_t known(Duty d) const {
        return state(d) == State::held || state(d) == State::elsewhere ? fence(d) : 0;
    }
    // May this controller act under the duty, as far as its record goes? 0: no.
    std::uint64_t acting(Duty d) const { return state(d) == State::held ? fence(d) : 0; }

  private:
    struct Entry {
        State state = State::unknown;
        Post post;
        std::uint64_t fence = 0;
        std::uint64_t taken_from = 0;  // asked to be taken back from that fence, in this term
        Millis retry_at = 0;           // its record is read then, if need be
        std::uint64_t unreadable = 0;  // the stamp at which that was logged
    };
    Entry& entry(Duty d) { return entries_[static_cast<std::size_t>(d)]; }
    const Entry& entry(Duty d) const { return entries_[static_cast<std::size_t>(d)]; }
    void set_state(Duty d, State s);
    void found(Duty d, const Post& post, std::uint64_t fence);
    void absorb(Duty d, const state::ListReply& r, Millis now);
    void read(Millis now);
    void claim();
    void move(Duty d, const Post& to);
    Post mine() const { return {node_, incarnation_, hold_}; }

    std::string node_;
    std::uint64_t incarnation_;
    Hooks hooks_;
    state::Condition term_;
    std::uint64_t hold_ = 0;
    std::uint64_t generation_ = 0;  // answers to an earlier term are dropped
    bool asking_ = false;
    Entry entries_[kDuties];
};

}  // namespace nickelramp::duties
