// Who leads. One key lives on a hold of the leader's; another, permanent, counts the terms:
//
//   lead/seat   {node}         attached to the leader's hold; present while somebody leads
//   lead/term   {term, node}   its stamp is the condition of every transaction of that term
//
// The decisions take replies and the time as arguments, own no sockets and read no clock;
// leadership/runner.h runs them.
#pragma once
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "base/time.h"
#include "duties/lease.h"
#include "state/client.h"

namespace nickelramp::leadership {

inline constexpr const char* kSeatKey = "lead/seat";
inline constexpr const char* kTermKey = "lead/term";

// following:  somebody else leads, or nobody as far as is known
// reading:    the seat is free; reading the term's number
// holding:    asking for a hold
// claiming:   the transaction that takes the seat is under way
// leading:    the hold is certainly alive, by this node's own steady clock
// doubting:   the hold may have ended; nothing new is decided until a renewal is answered
enum class State { following, reading, holding, claiming, leading, doubting };
const char* name(State s);

// What the election asks of the state service. Every call is answered once, later.
class Store {
  public:
    virtual ~Store() = default;
    virtual void list(const std::string& prefix,
                      std::function<void(Millis, const state::ListReply&)> done) = 0;
    virtual void watch(const std::string& prefix, std::uint64_t after, Millis wait,
                       std::function<void(Millis, const state::ListReply&)> done) = 0;
    virtual void get(const std::string& key,
                     std::function<void(Millis, const state::GetReply&)> done) = 0;
    virtual void commit(const state::Txn& txn,
                        std::function<void(Millis, const state::CommitReply&)> done) = 0;
    virtual void lease(Millis life, std::function<void(Millis, const state::LeaseReply&)> done) = 0;
    virtual void renew(std::uint64_t hold,
                       std::function<void(Millis, const state::LeaseReply&)> done) = 0;
    virtual void end_lease(std::uint64_t hold) = 0;
};

class Election {
  public:
    struct Hooks {
        std::function<void(std::uint64_t term, std::uint64_t version)> elected;
        std::function<void(Millis until)> confirmed;  // the hold certainly lasts until then
        std::function<void(const std::string& why)> deposed;
        std::function<void(const std::string& leader)> leader_changed;
        std::function<void(Millis at)> wake;  // there is something to do then, not later
    };
    Election(Store& store, std::string node, std::uint64_t seed, Hooks hooks);

    void start();
    void tend(Millis now);  // what its dates bring
    // Gives the seat up, and waits that long.
    void step_down(const std::string& why, Millis rest, Millis now);
    State state() const { return state_; }
    const std::string& leader() const { return leader_; }  // as last read; may be stale
    std::uint64_t term() const { return term_; }
    // This node's hold, to which its duties are attached; 0: none.
    std::uint64_t hold() const { return hold_; }
    // Until when it may decide, by its own clock. The timer that says so in the log comes late
    // after a freeze; whoever acts asks this.
    Millis certain_until() const { return hold_ == 0 ? 0 : validity_.until(); }

  private:
    void set_state(State s);
    void by(Millis& date, Millis at);
    void watch();
    void read_seat();
    void seat_seen(const std::string& node, std::uint64_t version, Millis now);
    void campaign(Millis now);
    void read_term();
    void take_hold(Millis now);
    void claim();
    void renew(Millis now);
    void check_validity(Millis now);
    void over(const std::string& why, Millis now);
    void give_up(Millis now);  // this campaign

    Store& store_;
    std::string node_;
    Hooks hooks_;
    std::minstd_rand random_;
    State state_ = State::following;
    std::string leader_;
    bool seat_known_ = false;
    std::uint64_t seat_version_ = 0;  // 0: free
    std::uint64_t revision_ = 0;      // where the watch goes on
    std::uint64_t term_ = 0, term_version_ = 0;
    std::uint64_t hold_ = 0;
    Millis hold_sent_ = 0;
    Millis rest_until_ = 0;
    duties::Validity validity_;
    Millis campaign_at_ = kNever, renew_at_ = kNever, validity_at_ = kNever, watch_at_ = kNever;
};

}  // namespace nickelramp::leadership
