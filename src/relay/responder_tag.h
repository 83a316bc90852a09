/// @file
/// Tags that identify the responder that answered a heartbeat. If a worker received a reply on its
/// connection, it is reachable for the responder that sent it. The tag identifies that responder,
/// so that no responder mistakes another one's reply for its own. Used by
/// controller::HeartbeatHandler and net.
#pragma once
#include <cstdint>

namespace nickelramp::relay {

/// The parts of a controller that answer heartbeats: the leader's control loop, a shard holder, and
/// a partition responder (`partition_responder`).
enum class Responder : std::uint64_t { leader = 1, holder = 2, partition_responder = 3 };

/// Returns the tag of a reply. It is never 0, which stands for no reply.
/// @param fence The term of the leader or partition responder, or the shard holder's token.
[[nodiscard]] inline std::uint64_t responder_tag(Responder role, std::uint64_t fence) {
    constexpr std::uint64_t kRoleBits = 2;
    return (fence << kRoleBits) | static_cast<std::uint64_t>(role);
}

}  // namespace nickelramp::relay
