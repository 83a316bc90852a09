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
#include "kvstore/client.h"
#include "lease/lease_guard.h"

namespace nickelramp::election {

inline constexpr const char* kLeaderKey = "lead/seat";
inline constexpr const char* kTermKey = "lead/term";

// following:  somebody else leads, or nobody as far as is known
// reading:    the seat is free; reading the term's number
// holding:    asking for a hold
// claiming:   the transaction that takes the seat is under way
// leading:    the hold is certainly alive, by this node's own steady clock
// doubting:   the hold may have ended; nothing new is decided until a renewal is answered
enum class ElectionState {
    following,
    reading_term,
    acquiring_lease,
    claiming_leadership,
    leading,
    lease_uncertain
};
const char* name(ElectionState state);

// What the election asks of the state service. Every call is answered once, later.
class ElectionStore {
  public:
    virtual ~ElectionStore() = default;
    virtual void list(const std::string& prefix,
                      std::function<void(Millis, const kvstore::ListReply&)> done) = 0;
    virtual void watch(const std::string& prefix, std::uint64_t after, Millis wait,
                       std::function<void(Millis, const kvstore::ListReply&)> done) = 0;
    virtual void get(const std::string& key,
                     std::function<void(Millis, const kvstore::GetReply&)> done) = 0;
    virtual void commit(const kvstore::Transaction& transaction,
                        std::function<void(Millis, const kvstore::CommitReply&)> done) = 0;
    virtual void grant_lease(Millis life,
                             std::function<void(Millis, const kvstore::LeaseReply&)> done) = 0;
    virtual void renew_lease(std::uint64_t hold,
                             std::function<void(Millis, const kvstore::LeaseReply&)> done) = 0;
    virtual void revoke_lease(std::uint64_t hold) = 0;
};

class Election {
  public:
    struct Hooks {
        std::function<void(std::uint64_t term, std::uint64_t version)> elected;
        std::function<void(Millis until)> lease_confirmed;  // the hold certainly lasts until then
        std::function<void(const std::string& why)> deposed;
        std::function<void(const std::string& leader)> leader_changed;
        std::function<void(Millis at)> wake;  // there is something to do then, not later
    };
    Election(ElectionStore& store, std::string node, std::uint64_t seed, Hooks hooks);

    void start();
    void run_due_work(Millis now);  // what its dates bring
    // Gives the seat up, and waits that long.
    void step_down(const std::string& why, Millis rest, Millis now);
    ElectionState state() const { return state_; }
    const std::string& leader() const { return leader_; }  // as last read; may be stale
    std::uint64_t term() const { return term_; }
    // This node's hold, to which its duties are attached; 0: none.
    std::uint64_t lease_id() const { return lease_id_; }
    // Until when it may decide, by its own clock. The timer that says so in the log comes late
    // after a freeze; whoever acts asks this.
    Millis lease_valid_until() const { return lease_id_ == 0 ? 0 : lease_validity_.valid_until(); }

  private:
    void set_state(ElectionState state);
    void schedule_at(Millis& date, Millis at);
    void watch();
    void read_leader();
    void on_leader_read(const std::string& node, std::uint64_t version, Millis now);
    void campaign(Millis now);
    void read_term();
    void acquire_lease(Millis now);
    void claim_leadership();
    void renew_lease(Millis now);
    void check_lease_validity(Millis now);
    void end_leadership(const std::string& why, Millis now);
    void abandon_campaign(Millis now);  // this campaign

    ElectionStore& store_;
    std::string node_;
    Hooks hooks_;
    std::minstd_rand random_;
    ElectionState state_ = ElectionState::following;
    std::string leader_;
    bool leader_key_known_ = false;
    std::uint64_t leader_key_version_ = 0;  // 0: free
    std::uint64_t watch_revision_ = 0;      // where the watch goes on
    std::uint64_t term_ = 0, term_version_ = 0;
    std::uint64_t lease_id_ = 0;
    Millis lease_requested_at_ = 0;
    Millis backoff_until_ = 0;
    lease::LeaseValidity lease_validity_;
    Millis campaign_at_ = kNever, renew_at_ = kNever, check_validity_at_ = kNever,
           watch_at_ = kNever;
};

}  // namespace nickelramp::election
