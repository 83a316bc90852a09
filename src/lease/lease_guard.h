/// @file
/// Lease validity, and proofs that a lease is valid when a message is sent.
///
/// A function that needs a lease takes a LeaseProof as an argument. Only a LeaseGuard issues
/// proofs. A proof is checked again when the bytes are sent, because the message may have been
/// queued. Everything runs on the event loop's thread.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "base/time.h"

namespace nickelramp::lease {

/// What a proof permits. Each purpose is a separate type, so that proofs cannot be mixed up.
/// @{
struct Scheduling {};  ///< starts, checkpoints, shard grants and delegations, while the leader's
                       ///< lease is valid
struct Responding {};  ///< heartbeat replies, stops and probes, as long as machine leases may be
                       ///< renewed
struct ScaleOut {};
struct ScaleIn {};
struct GarbageCollection {};
/// @}

/// Duration of the leases that the leader key and the roles are attached to.
inline constexpr Millis kLeaseDuration = 4'000;
/// Interval between renewals of such a lease.
inline constexpr Millis kLeaseRenewInterval = 900;

/// Tracks until when a lease is certainly valid by this process's own clock. The duration counts
/// from the time at which the last acknowledged renewal was *sent*, less the maximum clock drift.
class LeaseValidity {
  public:
    explicit LeaseValidity(Millis duration) : duration_(duration) {}

    /// Records that a renewal sent at `sent_at` was acknowledged. Replies may arrive in any order;
    /// the validity is never shortened.
    void extend(Millis sent_at) {
        const Millis until = sent_at + without_clock_drift(duration_);
        if (until > valid_until_) valid_until_ = until;
    }
    void reset() { valid_until_ = -1; }
    [[nodiscard]] bool valid(Millis now) const { return now < valid_until_; }
    [[nodiscard]] Millis valid_until() const { return valid_until_; }

  private:
    Millis duration_;
    Millis valid_until_ = -1;
};

/// Current state of a lease.
struct Lease {
    std::uint64_t fence = 0;  ///< fencing token; 0: there is no lease
    Millis expires_at = 0;    ///< by this process's steady clock
};

template <typename Purpose>
class LeaseGuard;

/// Proof that a lease was valid when the proof was issued. Small and copyable; must not outlive the
/// guard that issued it.
template <typename Purpose>
class LeaseProof {
  public:
    /// Returns whether the lease that this proof was issued under is still valid. A later lease
    /// with another fence does not count. Called right before the protected operation.
    [[nodiscard]] bool is_valid() const { return guard_->is_valid(fence_); }
    [[nodiscard]] std::uint64_t fence() const { return fence_; }

  private:
    // Only the guard can issue proofs.
    friend class LeaseGuard<Purpose>;
    LeaseProof(const LeaseGuard<Purpose>* guard, std::uint64_t fence)
        : guard_(guard), fence_(fence) {}

    const LeaseGuard<Purpose>* guard_;
    std::uint64_t fence_;
};

/// Issues proofs of one lease. Owned by the holder of the lease.
template <typename Purpose>
class LeaseGuard {
  public:
    /// `clock` and `lease` are called for every check, because values read before the process was
    /// suspended may be stale.
    LeaseGuard(std::function<Millis()> clock, std::function<Lease()> lease)
        : clock_(std::move(clock)), lease_(std::move(lease)) {}
    LeaseGuard(const LeaseGuard&) = delete;
    LeaseGuard& operator=(const LeaseGuard&) = delete;

    /// Returns a proof, or nothing if there is no lease or it may have expired.
    [[nodiscard]] std::optional<LeaseProof<Purpose>> prove() const {
        const Lease lease = lease_();
        if (lease.fence == 0 || clock_() >= lease.expires_at) return std::nullopt;
        return LeaseProof<Purpose>(this, lease.fence);
    }
    /// Returns whether the lease with this fence is valid now.
    [[nodiscard]] bool is_valid(std::uint64_t fence) const {
        const Lease lease = lease_();
        return lease.fence == fence && clock_() < lease.expires_at;
    }

  private:
    std::function<Millis()> clock_;
    std::function<Lease()> lease_;
};

}  // namespace nickelramp::lease
