/// @file
/// The lease of a controller that helps the leader: the roles assigned to it are attached to it.
#pragma once
#include <cstdint>
#include <functional>

#include "base/time.h"
#include "lease/lease_guard.h"
#include "lease/lease_store.h"

namespace nickelramp::roles {

/// Acquired when a leader asks for help, renewed while it does, and revoked when nobody has asked
/// for long. Owned by RoleManager; runs on the loop's thread.
class HelperLease {
  public:
    enum class EndReason { became_leader, not_needed, expired };

    /// `on_lost` is called when a lease that was asked for or held is gone.
    HelperLease(lease::LeaseStore& store, std::function<void()> on_lost);

    /// A leader asks for help: the lease is acquired if need be, and kept at least until then.
    void keep_until(Millis until) { keep_until_ = until; }
    /// Acquires, renews or revokes the lease, whichever is due.
    void run_due_work(Millis now);
    /// Revokes the lease if it is held, and forgets it.
    void give_up(EndReason reason);

    /// 0: none is held.
    [[nodiscard]] std::uint64_t id() const { return lease_id_; }
    /// As above, but 0 also if it may have expired.
    [[nodiscard]] std::uint64_t valid_id(Millis now) const {
        return validity_.valid(now) ? lease_id_ : 0;
    }
    [[nodiscard]] Millis valid_until() const { return validity_.valid_until(); }

  private:
    enum class State { none, acquiring, held };
    void acquire(Millis now);
    void on_granted(const kvstore::LeaseReply& reply, Millis requested_at, Millis now);
    void renew(Millis now);
    void forget(EndReason reason);

    lease::LeaseStore& store_;
    std::function<void()> on_lost_;
    State state_ = State::none;
    std::uint64_t lease_id_ = 0;  // 0 unless held
    lease::LeaseValidity validity_;
    Millis renew_at_ = 0;
    Millis keep_until_ = 0;
};

}  // namespace nickelramp::roles
