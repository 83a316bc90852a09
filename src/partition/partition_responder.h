// Deputies: a controller that a cut leaves alone with its zone's machines goes on answering their
// reports, so that what runs there runs on. It starts and stops nothing. What it cannot know are
// cancellations that came after its last news from the leader: users are told of one only when it
// is over (docs/design/domains.md).
#pragma once
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/time.h"
#include "machines/worker_channel.h"
#include "peers/messages.h"
#include "wire/messages.h"
#include "wire/settings.h"

namespace nickelramp::partition {

// How long a node that cannot reach the state service may go on answering workers where users may
// be told of a cancellation at once: it must still be over within cancel_s.
Millis max_response_bound(const wire::Settings& settings);
// And where they are told when the tasks are gone, so that only the wait for leases to end bounds
// it.
Millis longest_response_window(const wire::Settings& settings);
// By when every lease is over that somebody else may have given by what was known until now.
Millis last_possible_lease_end(const wire::Settings& settings, Millis now);

// none:      no leave, or one that has ended
// standing:  has a leave; the leader or the state service answers, so there is nothing to do
// answering: neither does; reports are answered until the leave ends
enum class PartitionState { no_delegation, standby, responding };
const char* name(PartitionState state);

// The controller's side: what the leader lets it do, and whether it is time to.
class PartitionResponder {
  public:
    explicit PartitionResponder(const wire::Settings& settings) : settings_(settings) {}

    void on_delegation(const peers::HeartbeatDelegation& delegation, std::uint64_t incarnation,
                       Millis now);
    // When the leader and the state service were last heard.
    void update(Millis leader_at, Millis state_at, Millis now);
    // The token to answer the report with; nothing when it may not be answered.
    std::optional<std::uint64_t> token_for_reply(const wire::Heartbeat& heartbeat, bool follows,
                                                 Millis now);
    // What the leader must know of it; into the status that goes out.
    void fill_status(peers::Status& status, Millis now) const;
    PartitionState state() const { return state_; }
    std::uint64_t term() const { return delegation_.term; }  // in whose name it answers

  private:
    void set_state(PartitionState state);

    const wire::Settings& settings_;
    PartitionState state_ = PartitionState::no_delegation;
    peers::HeartbeatDelegation delegation_;
    Millis cancellations_known_until_ = 0;  // every cancellation up to then was known to the leader
    Millis last_reply_at_ = 0;
    std::unordered_map<std::string, machines::WorkerChannel> channels_;  // while it answers
};

// The leader's side: who may have answered in its name, and until when.
class HeartbeatDelegator {
  public:
    explicit HeartbeatDelegator(const wire::Settings& settings) : settings_(settings) {}

    void on_peer_status(const peers::Status& status, std::uint64_t term, Millis now);
    // The leaves to send now. `lent`: the tokens of blocks that others hold; `highest`: no token
    // beyond it has been granted.
    std::vector<std::pair<std::string, peers::HeartbeatDelegation>> delegations(
        std::uint64_t term, std::uint64_t highest, const std::vector<std::uint64_t>& lent,
        Millis view_fresh, Millis now);
    // Is a lease that this leader's own answers let last until then over, whatever deputies did?
    bool lease_expired(Millis lease_until, Millis now) const;
    // How long this leader and its deputies may answer without news: the longest if every
    // controller tells of a cancellation only when it is over.
    Millis response_window() const;
    // By when it is over at the latest, as far as is known.
    Millis lease_end_at_latest(Millis lease_until) const;

  private:
    struct Entry {
        std::uint64_t incarnation = 0, clock_ms = 0;
        Millis last_status_at = 0;
        bool confirms_cancellations = false;
        Millis view = 0;              // of the last leave sent; 0: none was
        Millis no_replies_until = 0;  // it had answered nothing that is not told below
        Millis last_reply_at = 0;     // the last that it told of; 0: none
    };
    Millis lease_after(Millis answered) const;

    const wire::Settings& settings_;
    std::map<std::string, Entry> peers_;
    std::vector<Millis> departed_views_;  // views of processes that have ended since
};

}  // namespace nickelramp::partition
