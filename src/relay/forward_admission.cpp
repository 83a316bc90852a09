#include "relay/forward_admission.h"

#include <spdlog/spdlog.h>

#include "relay/heartbeat_forwarder.h"

namespace nickelramp::relay {

const char* name(Rejection rejection) {
    switch (rejection) {
        case Rejection::stale:
            return "stale";
        case Rejection::other_term:
            return "other_term";
        case Rejection::future:
            return "future";
    }
    return "?";
}

std::optional<machines::HeartbeatArrival> ForwardAdmission::admit(
    const peers::ForwardedHeartbeat& forwarded, std::uint64_t term, std::uint64_t incarnation,
    Millis now) {
    if (forwarded.term != term || forwarded.leader_incarnation != incarnation)
        return reject(Rejection::other_term, forwarded.from);
    // Each value is checked before the addition, because a peer may send any number and the sum
    // could overflow.
    const auto clock = static_cast<std::uint64_t>(now);
    if (forwarded.leader_clock_ms > clock || forwarded.since_status_ms > clock)
        return reject(Rejection::future, forwarded.from);
    const Millis reached_forwarder =
        static_cast<Millis>(forwarded.leader_clock_ms) +
        without_clock_drift(static_cast<Millis>(forwarded.since_status_ms));
    if (reached_forwarder > now) return reject(Rejection::future, forwarded.from);
    if (now - reached_forwarder > kHeartbeatTimeout)
        return reject(Rejection::stale, forwarded.from);
    ++admitted_;
    return machines::HeartbeatArrival{forwarded.follows_reply, reached_forwarder};
}

std::optional<machines::HeartbeatArrival> ForwardAdmission::reject(Rejection rejection,
                                                                   const std::string& forwarder) {
    std::uint64_t& count = rejected_[static_cast<std::size_t>(rejection)];
    if (++count == 1)
        spdlog::warn("forwarded heartbeat rejected: from={} reason={}; logged once per reason",
                     forwarder, name(rejection));
    return std::nullopt;
}

}  // namespace nickelramp::relay
