// Can this controller serve users, and if not, why? Judged by what the state service says to it and
// what the other controllers say of theirs. Whoever serves nothing says so: when it begins, now and
// then while it lasts, and at its end.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "base/time.h"
#include "state/client.h"

namespace nickelramp::serving {

// starting: the machine types are not known yet
// serving:  the state service answers, as far as is known
// outage:   it serves nobody: users are told to come back, and no health check has to recover later
// refused:  it answers others and refuses this controller
// cut_off:  it does not answer this controller; others are answered, or cannot be heard either
enum class State { starting, serving, outage, refused, cut_off };
const char* name(State s);

// What another controller last said.
struct PeerNews {
    Millis heard_at = 0;
    Millis answered_at = 0;  // by the state service
};

// What waits for it here.
struct Waiting {
    std::size_t requests = 0;
    Millis since = 0;  // when the first of them came, or one before them
};

class Serving {
  public:
    // `others`: so many more controllers there are by the settings.
    Serving(std::size_t others, Millis now) : others_(others), since_(now) {}

    State look(bool types_known, const state::Health& health, const std::vector<PeerNews>& peers,
               const Waiting& waiting, Millis now);
    State state() const { return state_; }
    // In an outage that everybody has, all stay ready.
    bool ready() const { return state_ == State::serving || state_ == State::outage; }
    // It had better hand over. Not when it is cut off: its zone's machines may be in there with it,
    // and as long as it may it goes on answering them (docs/design/domains.md). The seat falls free
    // by itself.
    bool hands_over() const { return state_ == State::refused && others_served_; }

  private:
    State judge(bool types_known, const state::Health& health, const std::vector<PeerNews>& peers,
                Millis now);
    void set_state(State s, Millis now);

    std::size_t others_;
    State state_ = State::starting;
    Millis since_;
    Millis say_at_ = 0;
    bool others_served_ = false;  // as they themselves say
};

}  // namespace nickelramp::serving
