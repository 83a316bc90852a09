// Rights that end: the arithmetic of a lease, and the proof that one lasted when something was
// sent. What only a right allows takes a Permit as an argument; only a gate gives one out, and it
// is asked again when the bytes go out, however long the message was queued before.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <utility>

#include "base/time.h"

namespace nickelramp::duties {

// What a permit is for. Each is a type, so that none can be taken for another.
struct Deciding {};   // starts, checkpoints, grants and leaves: while the hold certainly lasts
struct Answering {};  // reports, stops and probes: as long as leases may be renewed
struct Renting {};
struct Returning {};
struct Cleaning {};

// Of the holds that the seat and the duties hang on.
inline constexpr Millis kHoldLife = 4'000;
inline constexpr Millis kHoldRenewEvery = 900;

// A hold is certainly alive until its last answered renewal was *sent* plus its life, less what the
// clocks may drift.
class Validity {
  public:
    explicit Validity(Millis life) : life_(life) {}
    void renewed(Millis sent_at) {
        if (sent_at + shorter(life_) > until_) until_ = sent_at + shorter(life_);
    }
    void reset() { until_ = -1; }
    bool valid(Millis now) const { return now < until_; }
    Millis until() const { return until_; }

  private:
    Millis life_;
    Millis until_ = -1;
};

// A right as it stands: under which fence, and until when by the own steady clock.
struct Right {
    std::uint64_t fence = 0;  // 0: nobody gave it
    Millis until = 0;
};

template <typename For>
class Gate;

template <typename For>
class Permit {
  public:
    // Asked at the act: does the right that gave this out last at this moment? A later one of the
    // same kind does not count.
    bool lasts() const { return gate_->lasts(fence_); }
    std::uint64_t fence() const { return fence_; }

  private:
    friend class Gate<For>;
    Permit(const Gate<For>* gate, std::uint64_t fence) : gate_(gate), fence_(fence) {}
    const Gate<For>* gate_;
    std::uint64_t fence_;
};

template <typename For>
class Gate {
  public:
    // The clock is read at each call: a process that stood still must not go by an earlier look.
    Gate(std::function<Millis()> clock, std::function<Right()> right)
        : clock_(std::move(clock)), right_(std::move(right)) {}
    Gate(const Gate&) = delete;
    Gate& operator=(const Gate&) = delete;

    std::optional<Permit<For>> permit() const {
        const Right r = right_();
        if (r.fence == 0 || clock_() >= r.until) return std::nullopt;
        return Permit<For>(this, r.fence);
    }

  private:
    friend class Permit<For>;
    bool lasts(std::uint64_t fence) const {
        const Right r = right_();
        return r.fence == fence && clock_() < r.until;
    }
    std::function<Millis()> clock_;
    std::function<Right()> right_;
};

}  // namespace nickelramp::duties
