/// @file
/// Heartbeats on their way between controllers: a controller forwards the heartbeats of the workers
/// that are connected to it, and the leader's replies come back the same way. They are encoded like
/// all other peer messages, so that the leader parses no CBOR for a forwarded heartbeat. Used by
/// src/relay.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/messages.h"
#include "wire/messages.h"

namespace nickelramp::peers {

/// From the controller that a worker is connected to, to the leader.
struct ForwardedHeartbeat {
    std::string from;
    /// Of the forwarding process.
    std::uint64_t incarnation = 0;
    /// Of the heartbeat in that process; the reply repeats it.
    std::uint64_t sequence = 0;
    /// Term and process of the leader that it is meant for.
    std::uint64_t term = 0, leader_incarnation = 0;
    /// When it reached the forwarder, by the leader's clock: the clock in the leader's last status,
    /// and the milliseconds since that status arrived. Their sum is never later than the truth.
    std::uint64_t leader_clock_ms = 0, since_status_ms = 0;
    /// The worker has received a reply with status 200 of this term on the same connection.
    bool follows_reply = false;
    wire::Heartbeat heartbeat;
};

/// From the leader to the controller that forwarded.
struct ForwardedReply {
    std::string from;
    /// Of the process that forwarded.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0, term = 0;
    /// For the worker: 200, 421 or 503.
    std::uint64_t http_status = 0;
    /// With 421: the controller that holds the machine's shard.
    std::string holder;
    /// With 200: the fencing token, and what the worker is to do.
    std::uint64_t token = 0;
    std::vector<wire::Command> commands;
};

PeerFrame encode(const ForwardedHeartbeat& message);
PeerFrame encode(const ForwardedReply& message);

/// Both read the body of a frame. Nothing if it is cut short, has a field out of range or names no
/// sender; nor if a heartbeat has no term, machine or worker incarnation.
std::optional<ForwardedHeartbeat> decode_forwarded_heartbeat(std::string_view body);
std::optional<ForwardedReply> decode_forwarded_reply(std::string_view body);

}  // namespace nickelramp::peers
