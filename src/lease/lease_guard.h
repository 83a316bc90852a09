/// @file
/// Leases that end: the arithmetic of their validity, and the proof that one was valid when
/// something was sent.
///
/// A function that needs a lease takes a LeaseProof as an argument. Only a LeaseGuard issues
/// proofs, and the proof is checked again as the bytes go out, however long the message was queued
/// before. Everything runs on the loop's thread.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "base/time.h"

namespace nickelramp::lease {

/// What a proof allows. Each purpose is a type of its own, so that no proof can be taken for
/// another.
/// @{
struct Scheduling {};  ///< starts, checkpoints, shard grants, delegations: while the lease is valid
struct Responding {};  ///< heartbeat replies, stops and probes: as long as machine leases may be
                       ///< renewed
struct ScaleOut {};
struct ScaleIn {};
struct GarbageCollection {};
/// @}

/// Life of the leases that the leader key and the roles are attached to, in milliseconds.
inline constexpr Millis kLeaseDuration = 4'000;
/// How often such a lease is renewed.
inline constexpr Millis kLeaseRenewInterval = 900;

/// Until when a lease is certainly alive by this process's own clock: its duration counts from the
/// moment at which the last answered renewal was *sent*, less what the clocks may drift.
class LeaseValidity {
  public:
    explicit LeaseValidity(Millis duration) : duration_(duration) {}

    /// A renewal that was sent then has been answered. Replies may come in any order: the validity
    /// never shrinks.
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

/// A lease as it stands: under which fencing token, and until when by this process's steady clock.
struct Lease {
    std::uint64_t fence = 0;  ///< 0: there is none
    Millis expires_at = 0;
};

template <typename Purpose>
class LeaseGuard;

/// Proof that a lease was valid when it was asked for. Small and copyable; must not outlive the
/// guard that issued it.
template <typename Purpose>
class LeaseProof {
  public:
    /// Asked at the act: is the lease that this proof was issued under still valid? A later lease
    /// of the same kind does not count.
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

/// Issues proofs of one lease. Owned by whoever holds the lease.
template <typename Purpose>
class LeaseGuard {
  public:
    /// Clock and lease are read at each call: a process that stood still must not rely on what it
    /// saw before.
    LeaseGuard(std::function<Millis()> clock, std::function<Lease()> lease)
        : clock_(std::move(clock)), lease_(std::move(lease)) {}
    LeaseGuard(const LeaseGuard&) = delete;
    LeaseGuard& operator=(const LeaseGuard&) = delete;

    /// Nothing if there is no lease, or if it may have expired.
    [[nodiscard]] std::optional<LeaseProof<Purpose>> prove() const {
        const Lease lease = lease_();
        if (lease.fence == 0 || clock_() >= lease.expires_at) return std::nullopt;
        return LeaseProof<Purpose>(this, lease.fence);
    }
    /// Is the lease with this fence valid now?
    [[nodiscard]] bool is_valid(std::uint64_t fence) const {
        const Lease lease = lease_();
        return lease.fence == fence && clock_() < lease.expires_at;
    }

  private:
    std::function<Millis()> clock_;
    std::function<Lease()> lease_;
};

}  // namespace nickelramp::lease
