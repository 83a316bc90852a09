/// @file
/// Messages that forward heartbeats between controllers. A controller forwards the heartbeats of
/// the workers that are connected to it, and the leader replies to that controller. The messages
/// are encoded like all other peer messages, so that the leader parses no CBOR for a forwarded
/// heartbeat. Used by src/relay.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/messages.h"
#include "wire/messages.h"

namespace nickelramp::peers {

/// Sent to the leader by the controller that a worker is connected to.
struct ForwardedHeartbeat {
    std::string from;
    /// Identifies the forwarding process.
    std::uint64_t incarnation = 0;
    /// Number of the heartbeat in that process. The reply repeats it.
    std::uint64_t sequence = 0;
    /// Term and process of the leader that the message is addressed to.
    std::uint64_t term = 0, leader_incarnation = 0;
    /// When the heartbeat reached the forwarder, by the leader's clock: the clock in the leader's
    /// last status, and the time since that status arrived. Their sum is never later than the
    /// actual time of arrival.
    std::uint64_t leader_clock_ms = 0, since_status_ms = 0;
    /// Whether the worker has received a reply of this term with status 200 on the same connection.
    bool follows_reply = false;
    wire::Heartbeat heartbeat;
};

/// Sent by the leader to the controller that forwarded the heartbeat.
struct ForwardedReply {
    std::string from;
    /// Identifies the process that forwarded the heartbeat.
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0, term = 0;
    /// HTTP status of the reply to the worker: 200, 421 or 503.
    std::uint64_t http_status = 0;
    /// With status 421: the controller that holds the machine's shard.
    std::string holder;
    /// With status 200: the fencing token, and the commands for the worker.
    std::uint64_t token = 0;
    std::vector<wire::Command> commands;
};

PeerFrame encode(const ForwardedHeartbeat& message);
PeerFrame encode(const ForwardedReply& message);

/// Both functions read the body of a frame. They return nothing if the body is truncated, has an
/// out-of-range field or no sender, or if a heartbeat has no term, machine or worker incarnation.
std::optional<ForwardedHeartbeat> decode_forwarded_heartbeat(std::string_view body);
std::optional<ForwardedReply> decode_forwarded_reply(std::string_view body);

}  // namespace nickelramp::peers
