/// @file
/// Token buckets for requests and writes to the state service.
#pragma once
#include <algorithm>

#include "kvstore/types.h"

namespace nickelramp::kvstore {

/// How much of the rate limits is left. Each bucket holds at most what a second brings, and starts
/// full. Handed the time; used by RequestQueue only.
class RequestBudget {
  public:
    RequestBudget(RateLimits limits, Millis now)
        : limits_(limits),
          request_tokens_(limits.requests_per_s),
          write_tokens_(limits.writes_per_s),
          refilled_at_(now) {}

    /// Takes effect with the next refill; what is saved up is kept until then.
    void set_limits(RateLimits limits) { limits_ = limits; }

    void refill(Millis now) {
        const double elapsed_s = static_cast<double>(now - refilled_at_) / 1000.0;
        refilled_at_ = now;
        request_tokens_ =
            std::min(limits_.requests_per_s, request_tokens_ + elapsed_s * limits_.requests_per_s);
        write_tokens_ =
            std::min(limits_.writes_per_s, write_tokens_ + elapsed_s * limits_.writes_per_s);
    }

    /// Does the budget allow a request with so many writes? A transaction larger than half a
    /// second's writes may overdraw: it could otherwise wait for ever.
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
