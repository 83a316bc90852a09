/// @file
/// Leader election with two keys in the key-value store. One is attached to the leader's lease, the
/// other is permanent and numbers the terms:
///
///   lead/seat   {node}         attached to the leader's lease; exists while there is a leader
///   lead/term   {term, node}   its version is the condition of every transaction of that term
///
/// Election contains only the decisions. It receives replies and the time as arguments, owns no
/// sockets and reads no clock. ElectionDriver (election/election_driver.h) runs it on libuv.
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
    following,            ///< another controller leads, or no leader is known
    reading_term,         ///< there is no leader; the term's number is being read
    acquiring_lease,      ///< a lease has been requested
    claiming_leadership,  ///< the transaction that writes the leader key is in flight
    leading,              ///< the lease is certainly valid, by this controller's steady clock
    lease_uncertain       ///< the lease may have expired; no decisions are made until it is renewed
};
/// Returns the state's name, as used on administration pages and in logs.
[[nodiscard]] const char* name(ElectionState state);

/// Key-value store operations that the election needs. Every `done` is called exactly once, after
/// the call has returned, with the time at which the reply arrived. The reply's status reports
/// failures.
class ElectionStore : public lease::LeaseStore {
  public:
    using ListDone = std::function<void(Millis now, const kvstore::ListReply&)>;
    using GetDone = std::function<void(Millis now, const kvstore::GetReply&)>;
    using CommitDone = std::function<void(Millis now, const kvstore::CommitReply&)>;

    virtual void list(const std::string& prefix, ListDone done) = 0;
    /// Sends one long poll for changes after the revision `after`, which waits at most `wait`.
    virtual void watch(const std::string& prefix, std::uint64_t after, Millis wait,
                       ListDone done) = 0;
    virtual void get(const std::string& key, GetDone done) = 0;
    virtual void commit(const kvstore::Transaction& transaction, CommitDone done) = 0;
};

/// Receives the events of an election; implemented by the controller. The functions are called from
/// within Election's calls and reply handlers and must not destroy the election.
class ElectionObserver {
  public:
    virtual ~ElectionObserver() = default;
    /// This controller was elected. `version` is the version of kTermKey, which its transactions
    /// are conditional on.
    virtual void on_elected(std::uint64_t term, std::uint64_t version) = 0;
    /// The leader's lease is certainly valid until `valid_until`, by this controller's steady
    /// clock.
    virtual void on_lease_confirmed(Millis valid_until) = 0;
    /// This controller is no longer the leader. The reason is logged.
    virtual void on_deposed() = 0;
    /// The known leader has changed; empty: there is none.
    virtual void on_leader_changed(const std::string& leader) = 0;
};

/// One controller's participation in the election. Guarantees that a controller is in the state
/// `leading` only while kLeaderKey is attached to its lease. Failed requests are retried until they
/// succeed.
class Election {
  public:
    /// Requests a call of run_due_work() no later than at `at`.
    using RequestWakeUp = std::function<void(Millis at)>;

    /// `store` and `observer` must outlive the election. `name` is the controller's name. `seed`
    /// initializes the random delay before a campaign, which differs between candidates.
    Election(ElectionStore& store, ElectionObserver& observer, std::string name, std::uint64_t seed,
             RequestWakeUp request_wake_up);

    void start();
    /// Performs the work that is due: campaigns, renews the lease, checks its validity or reads the
    /// leader again.
    void run_due_work(Millis now);
    /// Gives up leadership and does not campaign again for `backoff`. Does nothing unless this
    /// controller leads.
    void step_down(const std::string& reason, Millis backoff, Millis now);

    [[nodiscard]] ElectionState state() const { return state_; }
    /// Returns the leader as last read, which may be stale. Empty: there is none.
    [[nodiscard]] const std::string& leader() const { return leader_; }
    /// Returns the leader's lease, to which its roles are attached; 0: none.
    [[nodiscard]] std::uint64_t lease_id() const { return lease_id_; }
    /// Returns until when this controller may act as leader, by its steady clock; 0: it does not
    /// lead. Callers check this before they act, because the timer that changes the state is late
    /// if the process was suspended.
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
    std::uint64_t watch_revision_ = 0;      // revision at which the watch continues

    std::uint64_t term_ = 0;
    std::uint64_t term_version_ = 0;
    std::uint64_t lease_id_ = 0;
    Millis lease_requested_at_ = 0;
    lease::LeaseValidity lease_validity_;
    Millis backoff_until_ = 0;

    // Times at which the work is due; kNever: it is not scheduled.
    Millis campaign_at_ = kNever;
    Millis renew_at_ = kNever;
    Millis check_validity_at_ = kNever;
    Millis read_leader_at_ = kNever;
};

}  // namespace nickelramp::election
