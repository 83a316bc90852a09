/// @file
/// Token buckets for requests and writes to the state service.
#pragma once
#include <algorithm>

#include "kvstore/types.h"

namespace nickelramp::kvstore {

/// Remaining request and write tokens. Each bucket starts full and holds at most the tokens of one
/// second. Reads no clock. Used by RequestQueue only.
class RequestBudget {
  public:
    RequestBudget(RateLimits limits, Millis now)
        : limits_(limits),
          request_tokens_(limits.requests_per_s),
          write_tokens_(limits.writes_per_s),
          refilled_at_(now) {}

    /// Sets new limits, which take effect with the next refill. Existing tokens are kept until
    /// then.
    void set_limits(RateLimits limits) { limits_ = limits; }

    void refill(Millis now) {
        const double elapsed_s = static_cast<double>(now - refilled_at_) / 1000.0;
        refilled_at_ = now;
        request_tokens_ =
            std::min(limits_.requests_per_s, request_tokens_ + elapsed_s * limits_.requests_per_s);
        write_tokens_ =
            std::min(limits_.writes_per_s, write_tokens_ + elapsed_s * limits_.writes_per_s);
    }

    /// Returns whether the budget allows a request with this many writes. A transaction that writes
    /// more than the tokens of half a second may overdraw the bucket, because it could otherwise
    /// wait forever.
    [[nodiscard]] bool allows(double writes) const {
        return request_tokens_ >= 1 && write_tokens_ >= std::min(writes, limits_.writes_per_s / 2);
    }

    void spend(double writes) {
        request_tokens_ -= 1;
        write_tokens_ -= writes;
    }

  private:
    RateLimits limits_;
    double request_tokens_;
    double write_tokens_;
    Millis refilled_at_;
};

}  // namespace nickelramp::kvstore
