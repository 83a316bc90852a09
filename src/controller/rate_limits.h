/// @file
/// Divides the request budget of the key-value store among the controllers.
#pragma once
#include "kvstore/client.h"
#include "wire/settings.h"

namespace nickelramp::controller {

/// Returns the share of the budget that this controller may use. All controllers share one budget,
/// but their needs vary over time, so the shares may add up to more than the budget. Each
/// controller may use half of the requests. The leader, which writes on behalf of all, may use most
/// of the writes. A reply with status 429 slows a controller down further.
[[nodiscard]] inline kvstore::RateLimits store_rate_limits(const wire::Settings& settings,
                                                           bool leads) {
    constexpr double kRequestShare = 0.5;
    constexpr double kLeaderWriteShare = 0.8;
    constexpr double kFollowerWriteShare = 0.5;
    return {settings.state_requests_per_s * kRequestShare,
            settings.state_writes_per_s * (leads ? kLeaderWriteShare : kFollowerWriteShare)};
}

}  // namespace nickelramp::controller
