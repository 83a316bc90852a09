/// @file
/// Validates forwarded heartbeats on the leader. A forwarded heartbeat may be late, belong to
/// another term, or be addressed to an earlier process of this controller
/// (docs/design/forwarding.md).
#pragma once
#include <array>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "machines/worker_channel.h"
#include "peers/forwarding.h"

namespace nickelramp::relay {

/// Why a forwarded heartbeat is dropped.
enum class Rejection {
    stale,       ///< the worker no longer waits for the reply
    other_term,  ///< addressed to another term or another process
    future,      ///< its arrival time is in the future, which no correct forwarder sends
};
inline constexpr std::size_t kRejectionCount = 3;
/// Returns the rejection's name in metrics.
[[nodiscard]] const char* name(Rejection rejection);

/// Admits forwarded heartbeats and counts admissions and rejections for the metrics.
///
/// Guarantees: an admitted heartbeat reached its forwarder at most kHeartbeatTimeout ago by this
/// controller's clock, allowing for the drift of the forwarder's clock. Owned and called by
/// controller::HeartbeatHandler on the loop thread. Reads no clock.
class ForwardAdmission {
  public:
    /// Returns how and when the heartbeat arrived at its forwarder, or nothing if it must be
    /// dropped without a reply.
    /// @param term The term of this leader.
    /// @param incarnation The incarnation of this leader's process.
    /// @param now The current time of the clock that this leader's status messages carry.
    [[nodiscard]] std::optional<machines::HeartbeatArrival> admit(
        const peers::ForwardedHeartbeat& forwarded, std::uint64_t term, std::uint64_t incarnation,
        Millis now);
    [[nodiscard]] std::uint64_t admitted() const { return admitted_; }
    [[nodiscard]] std::uint64_t rejected(Rejection rejection) const {
        return rejected_[static_cast<std::size_t>(rejection)];
    }

  private:
    std::optional<machines::HeartbeatArrival> reject(Rejection rejection,
                                                     const std::string& forwarder);

    std::uint64_t admitted_ = 0;
    std::array<std::uint64_t, kRejectionCount> rejected_{};  ///< by Rejection
};

}  // namespace nickelramp::relay
