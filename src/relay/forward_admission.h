// The leader's side of forwarded reports: which of them may be handled. Forwards may be late, of an
// earlier term, or meant for an earlier process of this controller.
#pragma once
#include <array>
#include <cstdint>
#include <optional>

#include "base/time.h"
#include "machines/worker_channel.h"
#include "peers/forwarding.h"

namespace nickelramp::relay {

// stale:      nobody waits for the answer any more
// other_term: meant for another term or another process
// future:     its time is after now, which no honest forwarder says
enum class Rejection { stale, other_term, future };
inline constexpr std::size_t kRejectionCount = 3;
const char* name(Rejection rejection);

class ForwardAdmission {
  public:
    // How and when the report arrived; nothing if it is to be dropped unanswered.
    std::optional<machines::HeartbeatArrival> admit(const peers::ForwardedHeartbeat& forwarded,
                                                    std::uint64_t term, std::uint64_t incarnation,
                                                    Millis now);
    std::uint64_t admitted() const { return admitted_; }
    std::uint64_t rejected(Rejection rejection) const {
        return rejected_[static_cast<std::size_t>(rejection)];
    }

  private:
    std::optional<machines::HeartbeatArrival> reject(Rejection rejection, const std::string& from);

    std::uint64_t admitted_ = 0;
    std::array<std::uint64_t, kRejectionCount> rejected_{};
};

}  // namespace nickelramp::relay
