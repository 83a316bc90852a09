/// \file
/// The leader's side of forwarded heartbeats: which of them may be handled. Forwarded messages may
/// be late, of an earlier term, or meant for an earlier process of this controller
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
    other_term,  ///< meant for another term or another process
    future,      ///< its time is after now, which no correct forwarder says
};
inline constexpr std::size_t kRejectionCount = 3;
/// The rejection's name in metrics.
[[nodiscard]] const char* name(Rejection rejection);

/// Admits forwarded heartbeats and counts what it rejects, for the metrics.
///
/// Guarantees: an admitted heartbeat reached its forwarder at most kHeartbeatTimeout ago, by this
/// controller's clock with the drift of the forwarder's allowed for. Owned and called by
/// controller::HeartbeatHandler on the loop thread; reads no clock.
class ForwardAdmission {
  public:
    /// How and when the heartbeat arrived at its forwarder; nothing if it is to be dropped without
    /// a reply. `term` and `incarnation`: of this leader and its process; `now`: milliseconds of
    /// the clock that its status messages carry.
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
