/// @file
/// Leader election. One key is attached to a lease of the leader; another, permanent, numbers the
/// terms:
///
///   lead/seat   {node}         attached to the leader's lease; exists while somebody leads
///   lead/term   {term, node}   its version is the condition of every transaction of that term
///
/// Election decides only: it takes replies and the time as arguments, owns no sockets and reads no
/// clock. ElectionDriver (election/election_driver.h) runs it on libuv.
#pragma once
#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "base/time.h"
#include "kvstore/types.h"
#include "lease/lease_guard.h"
#include "lease/lease_store.h"

namespace nickelramp::election {

inline constexpr const char* kLeaderKey = "lead/seat";
inline constexpr const char* kTermKey = "lead/term";

enum class ElectionState {
    following,            ///< somebody else leads, or nobody as far as is known
    reading_term,         ///< nobody leads; the term's number is being read
    acquiring_lease,      ///< a lease has been asked for
    claiming_leadership,  ///< the transaction that writes the leader key is under way
    leading,              ///< the lease is certainly alive, by this controller's steady clock
    lease_uncertain       ///< the lease may have expired; nothing is decided until it is renewed
};
/// The state's name on administration pages, which logs use, too.
[[nodiscard]] const char* name(ElectionState state);

/// What the election asks of the key-value store. Every `done` is called once, later, with the time
/// at which the reply came; failures are in the reply's status.
class ElectionStore : public lease::LeaseStore {
  public:
    using ListDone = std::function<void(Millis now, const kvstore::ListReply&)>;
    using GetDone = std::function<void(Millis now, const kvstore::GetReply&)>;
    using CommitDone = std::function<void(Millis now, const kvstore::CommitReply&)>;

    virtual void list(const std::string& prefix, ListDone done) = 0;
    /// One long poll for changes after the revision, of at most `wait` milliseconds.
    virtual void watch(const std::string& prefix, std::uint64_t after, Millis wait,
                       ListDone done) = 0;
    virtual void get(const std::string& key, GetDone done) = 0;
    virtual void commit(const kvstore::Transaction& transaction, CommitDone done) = 0;
};

/// Who wants to know how the election goes: the controller. Called from within Election's calls and
/// replies to it; must not destroy the election.
class ElectionObserver {
  public:
    virtual ~ElectionObserver() = default;
    /// This controller leads. `version` is that of kTermKey, the condition of its transactions.
    virtual void on_elected(std::uint64_t term, std::uint64_t version) = 0;
    /// The leader's lease certainly lasts until then, by its steady clock.
    virtual void on_lease_confirmed(Millis valid_until) = 0;
    /// This controller led, and does no more. The reason is logged.
    virtual void on_deposed() = 0;
    /// Another controller leads, as far as is known; empty: nobody does.
    virtual void on_leader_changed(const std::string& leader) = 0;
};

/// One controller's part in the election. It guarantees that `leading` is only ever the state of
/// the controller whose lease holds kLeaderKey. Failed requests are repeated until they succeed.
class Election {
  public:
    /// Asks for a call of run_due_work() at that time, not later.
    using RequestWakeUp = std::function<void(Millis at)>;

    /// `store` and `observer` must outlive the election. `name` is the controller's; `seed` is of
    /// the jitter between candidates.
    Election(ElectionStore& store, ElectionObserver& observer, std::string name, std::uint64_t seed,
             RequestWakeUp request_wake_up);

    void start();
    /// Does what is due: campaigns, renews the lease, checks its validity, reads the leader again.
    void run_due_work(Millis now);
    /// Gives leadership up, and does not campaign again for `backoff` milliseconds. Does nothing
    /// unless this controller leads.
    void step_down(const std::string& reason, Millis backoff, Millis now);

    [[nodiscard]] ElectionState state() const { return state_; }
    /// Who leads, as last read; may be stale. Empty: nobody.
    [[nodiscard]] const std::string& leader() const { return leader_; }
    /// This controller's lease, to which its roles are attached; 0: none.
    [[nodiscard]] std::uint64_t lease_id() const { return lease_id_; }
    /// Until when it may decide, by its steady clock; 0: it does not lead. Whoever acts asks this:
    /// the timer that changes the state comes late after the process stood still.
    [[nodiscard]] Millis lease_valid_until() const {
        return lease_id_ == 0 ? 0 : lease_validity_.valid_until();
    }

  private:
    [[nodiscard]] bool is_leader() const {
        return state_ == ElectionState::leading || state_ == ElectionState::lease_uncertain;
    }
    void set_state(ElectionState state);
    void schedule_at(Millis& due_at, Millis at);
    void read_leader();
    void watch_leader();
    void on_leader_changes(const kvstore::ListReply& reply, Millis now);
    void on_leader_read(const std::string& leader, std::uint64_t version, Millis now);
    void campaign(Millis now);
    void abandon_campaign(Millis now);
    void read_term();
    void acquire_lease(Millis now);
    void claim_leadership();
    void on_claim_failed(Millis now);
    void start_leading(std::uint64_t version, Millis now);
    void renew_lease(Millis now);
    void on_lease_renewed(Millis requested_at, Millis now);
    void check_lease_validity(Millis now);
    void end_leadership(const std::string& reason, Millis now);

    ElectionStore& store_;
    ElectionObserver& observer_;
    std::string name_;
    RequestWakeUp request_wake_up_;
    std::minstd_rand random_;
    ElectionState state_ = ElectionState::following;

    std::string leader_;
    bool leader_key_known_ = false;
    std::uint64_t leader_key_version_ = 0;  // 0: the key does not exist
    std::uint64_t watch_revision_ = 0;      // where the watch goes on

    std::uint64_t term_ = 0;
    std::uint64_t term_version_ = 0;
    std::uint64_t lease_id_ = 0;
    Millis lease_requested_at_ = 0;
    lease::LeaseValidity lease_validity_;
    Millis backoff_until_ = 0;

    // When each is due; kNever: it is not.
    Millis campaign_at_ = kNever;
    Millis renew_at_ = kNever;
    Millis check_validity_at_ = kNever;
    Millis read_leader_at_ = kNever;
};

}  // namespace nickelramp::election
