/// @file
/// The lease of a helper, a controller to which the leader assigns roles. The records of these
/// roles are attached to the lease.
#pragma once
#include <cstdint>
#include <functional>

#include "base/time.h"
#include "lease/lease_guard.h"
#include "lease/lease_store.h"

namespace nickelramp::roles {

/// Acquired when a leader requests help, renewed while requests continue, and revoked once they
/// have stopped for some time. Owned by RoleManager; runs on the event loop's thread.
class HelperLease {
  public:
    enum class EndReason { became_leader, not_needed, expired };

    /// `on_lost` is called when a lease that was requested or held has ended.
    HelperLease(lease::LeaseStore& store, std::function<void()> on_lost);

    /// Records that a leader requests help. The lease is acquired if necessary and kept at least
    /// until `until`.
    void keep_until(Millis until) { keep_until_ = until; }
    /// Acquires, renews or revokes the lease, whichever is due.
    void run_due_work(Millis now);
    /// Revokes the lease if it is held, and ends its use.
    void release(EndReason reason);

    /// Returns the id of the lease, or 0 if none is held.
    [[nodiscard]] std::uint64_t id() const { return lease_id_; }
    /// Returns the id of the lease, or 0 if none is held or it may have expired.
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
