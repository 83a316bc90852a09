/// \file
/// In whose name a heartbeat was answered. A worker that has received a reply on its connection can
/// be reached by whoever replied there; the tag says who that was, so that no controller takes
/// another's reply for its own. Used by controller::HeartbeatHandler and net.
#pragma once
#include <cstdint>

namespace nickelramp::relay {

/// The parts of a controller that answer heartbeats: the leader's control loop, a shard holder, and
/// a partition responder.
enum class Responder : std::uint64_t { leader = 1, holder = 2, deputy = 3 };

/// The tag of a reply. Never 0, which stands for no reply. `fence`: the term number of the leader
/// or of a partition responder, or the shard holder's token.
[[nodiscard]] inline std::uint64_t responder_tag(Responder role, std::uint64_t fence) {
    constexpr std::uint64_t kRoleBits = 2;
    return (fence << kRoleBits) | static_cast<std::uint64_t>(role);
}

}  // namespace nickelramp::relay
