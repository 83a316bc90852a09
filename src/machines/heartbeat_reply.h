/// @file
/// A controller's reply to a worker's heartbeat. It is produced by ControlLoop, ShardHolder or
/// PartitionResponder and sent to the worker over HTTP or through a forwarding controller.
#pragma once
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "wire/messages.h"

namespace nickelramp::machines {

/// HTTP statuses of a heartbeat reply.
inline constexpr int kHeartbeatAccepted = 200;
inline constexpr int kHeartbeatMisdirected = 421;  ///< another controller manages the machine
inline constexpr int kHeartbeatUnavailable = 503;  ///< no controller known now; the worker retries

struct HeartbeatReply {
    int status = kHeartbeatAccepted;
    std::string holder;  ///< with kHeartbeatMisdirected: the responsible controller; may be empty
    std::uint64_t token = 0;  ///< with kHeartbeatAccepted: the fencing token for the worker
    std::vector<wire::Command> commands;  ///< with kHeartbeatAccepted

    [[nodiscard]] static HeartbeatReply misdirected(std::string holder = "") {
        return {kHeartbeatMisdirected, std::move(holder), 0, {}};
    }
    [[nodiscard]] static HeartbeatReply unavailable() { return {kHeartbeatUnavailable, "", 0, {}}; }
};

}  // namespace nickelramp::machines
