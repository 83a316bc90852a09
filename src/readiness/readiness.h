// Can this controller serve users, and if not, why? Judged by what the state service says to it and
// what the other controllers say of theirs. Whoever serves nothing says so: when it begins, now and
// then while it lasts, and at its end.
#pragma once
#include <cstddef>
#include <string>
#include <vector>

#include "base/time.h"
#include "kvstore/types.h"

namespace nickelramp::readiness {

// starting: the machine types are not known yet
// serving:  the state service answers, as far as is known
// outage:   it serves nobody: users are told to come back, and no health check has to recover later
// refused:  it answers others and refuses this controller
// cut_off:  it does not answer this controller; others are answered, or cannot be heard either
enum class ReadinessState { starting, serving, outage, rejected, cut_off };
const char* name(ReadinessState state);

// What another controller last said.
struct PeerHealth {
    Millis last_status_at = 0;
    Millis last_answer_at = 0;  // by the state service
};

// What waits for it here.
struct PendingRequests {
    std::size_t requests = 0;
    Millis since = 0;  // when the first of them came, or one before them
};

class Readiness {
  public:
    // `others`: so many more controllers there are by the settings.
    Readiness(std::size_t others, Millis now) : peer_count_(others), since_(now) {}

    ReadinessState update(bool types_known, const kvstore::ServiceHealth& health,
                          const std::vector<PeerHealth>& peers, const PendingRequests& waiting,
                          Millis now);
    ReadinessState state() const { return state_; }
    // In an outage that everybody has, all stay ready.
    bool ready() const {
        return state_ == ReadinessState::serving || state_ == ReadinessState::outage;
    }
    // It had better hand over. Not when it is cut off: its zone's machines may be in there with it,
    // and as long as it may it goes on answering them (docs/design/domains.md). The seat falls free
    // by itself.
    bool should_hand_over() const { return state_ == ReadinessState::rejected && peers_served_; }

  private:
    ReadinessState evaluate(bool types_known, const kvstore::ServiceHealth& health,
                            const std::vector<PeerHealth>& peers, Millis now);
    void set_state(ReadinessState state, Millis now);

    std::size_t peer_count_;
    ReadinessState state_ = ReadinessState::starting;
    Millis since_;
    Millis next_log_at_ = 0;
    bool peers_served_ = false;  // as they themselves say
};

}  // namespace nickelramp::readiness
