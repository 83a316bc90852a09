/// \file
/// How one controller shares the request budget of the key-value store with the others.
#pragma once
#include "kvstore/client.h"
#include "wire/settings.h"

namespace nickelramp::controller {

/// The share of the budget that this controller may use. The budget is one for all controllers and
/// their needs differ by the moment: each may use half of the requests, the leader, which writes
/// for everybody, most of the writes. A 429 slows any of them down further.
[[nodiscard]] inline kvstore::RateLimits store_rate_limits(const wire::Settings& settings,
                                                           bool leads) {
    constexpr double kRequestShare = 0.5;
    constexpr double kLeaderWriteShare = 0.8;
    constexpr double kFollowerWriteShare = 0.5;
    return {settings.state_requests_per_s * kRequestShare,
            settings.state_writes_per_s * (leads ? kLeaderWriteShare : kFollowerWriteShare)};
}

}  // namespace nickelramp::controller
