/// \file
/// What a controller replies to a worker's heartbeat: the result of ControlLoop, ShardHolder and
/// PartitionResponder, carried to the worker by HTTP or through a forwarding controller.
#pragma once
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "wire/messages.h"

namespace nickelramp::machines {

/// HTTP statuses of a heartbeat reply.
inline constexpr int kHeartbeatAccepted = 200;
inline constexpr int kHeartbeatMisdirected = 421;  ///< another controller is responsible
inline constexpr int kHeartbeatUnavailable = 503;  ///< nobody can say now; the worker retries

struct HeartbeatReply {
    int status = kHeartbeatAccepted;
    std::string holder;       ///< with kHeartbeatMisdirected: who is responsible; may be empty
    std::uint64_t token = 0;  ///< with kHeartbeatAccepted: the fencing token for the worker
    std::vector<wire::Command> commands;  ///< with kHeartbeatAccepted

    [[nodiscard]] static HeartbeatReply misdirected(std::string holder = "") {
        return {kHeartbeatMisdirected, std::move(holder), 0, {}};
    }
    [[nodiscard]] static HeartbeatReply unavailable() { return {kHeartbeatUnavailable, "", 0, {}}; }
};

}  // namespace nickelramp::machines
