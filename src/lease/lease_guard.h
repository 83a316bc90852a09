// Rights that end: the arithmetic of a lease, and the proof that one lasted when something was
// sent. What only a right allows takes a Permit as an argument; only a gate gives one out, and it
// is asked again when the bytes go out, however long the message was queued before.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "base/time.h"

namespace nickelramp::lease {

// What a permit is for. Each is a type, so that none can be taken for another.
struct Scheduling {};  // starts, checkpoints, grants and leaves: while the hold certainly lasts
struct Responding {};  // reports, stops and probes: as long as leases may be renewed
struct ScaleOut {};
struct ScaleIn {};
struct GarbageCollection {};

// Of the holds that the seat and the duties hang on.
inline constexpr Millis kLeaseDuration = 4'000;
inline constexpr Millis kLeaseRenewInterval = 900;

// A hold is certainly alive until its last answered renewal was *sent* plus its life, less what the
// clocks may drift.
class LeaseValidity {
  public:
    explicit LeaseValidity(Millis life) : duration_(life) {}
    void extend(Millis sent_at) {
        if (sent_at + without_clock_drift(duration_) > valid_until_)
            valid_until_ = sent_at + without_clock_drift(duration_);
    }
    void reset() { valid_until_ = -1; }
    bool valid(Millis now) const { return now < valid_until_; }
    Millis valid_until() const { return valid_until_; }

  private:
    Millis duration_;
    Millis valid_until_ = -1;
};

// A right as it stands: under which fence, and until when by the own steady clock.
struct Lease {
    std::uint64_t fence = 0;  // 0: nobody gave it
    Millis expires_at = 0;
};

template <typename For>
class LeaseGuard;

template <typename For>
class LeaseProof {
  public:
    // Asked at the act: does the right that gave this out last at this moment? A later one of the
    // same kind does not count.
    bool is_valid() const { return guard_->is_valid(fence_); }
    std::uint64_t fence() const { return fence_; }

  private:
    friend class LeaseGuard<For>;
    LeaseProof(const LeaseGuard<For>* gate, std::uint64_t fence) : guard_(gate), fence_(fence) {}
    const LeaseGuard<For>* guard_;
    std::uint64_t fence_;
};

template <typename For>
class LeaseGuard {
  public:
    // The clock is read at each call: a process that stood still must not go by an earlier look.
    LeaseGuard(std::function<Millis()> clock, std::function<Lease()> right)
        : clock_(std::move(clock)), lease_(std::move(right)) {}
    LeaseGuard(const LeaseGuard&) = delete;
    LeaseGuard& operator=(const LeaseGuard&) = delete;

    std::optional<LeaseProof<For>> prove() const {
        const Lease lease = lease_();
        if (lease.fence == 0 || clock_() >= lease.expires_at) return std::nullopt;
        return LeaseProof<For>(this, lease.fence);
    }

  private:
    friend class LeaseProof<For>;
    bool is_valid(std::uint64_t fence) const {
        const Lease lease = lease_();
        return lease.fence == fence && clock_() < lease.expires_at;
    }
    std::function<Millis()> clock_;
    std::function<Lease()> lease_;
};

}  // namespace nickelramp::lease
