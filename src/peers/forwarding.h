// Messages that carry workers' reports between controllers: a controller forwards the report of a
// worker that is connected to it, and the leader's answer comes back the same way. A report is sent
// in the back channel's own codec, so that the leader parses no CBOR for it.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/messages.h"
#include "wire/messages.h"

namespace nickelramp::peers {

// Controller to leader.
struct ForwardedHeartbeat {
    std::string from;
    std::uint64_t incarnation = 0;         // of the forwarding process
    std::uint64_t sequence = 0;            // of the report in that process; the answer repeats it
    std::uint64_t term = 0;                // of the leader that it is meant for
    std::uint64_t leader_incarnation = 0;  // likewise
    // When it reached the forwarder, by the leader's clock: the clock in the leader's last status,
    // and the milliseconds since that status arrived. Never later than the truth.
    std::uint64_t leader_clock_ms = 0, since_status_ms = 0;
    // The worker has received an answer 200 of this term on the connection that it used.
    bool follows_reply = false;
    wire::Heartbeat heartbeat;
};

// Leader to the controller that forwarded.
struct ForwardedReply {
    std::string from;
    std::uint64_t incarnation = 0;  // of the process that forwarded
    std::uint64_t sequence = 0, term = 0;
    std::uint64_t http_status = 0;  // HTTP status for the worker: 200, 421 or 503
    std::string holder;             // with 421: the controller that holds the machine's block
    std::uint64_t token = 0;        // with 200
    std::vector<wire::Command> commands;
};

PeerFrame encode(const ForwardedHeartbeat& message);
PeerFrame encode(const ForwardedReply& message);
// Nothing for messages that cannot be read.
std::optional<ForwardedHeartbeat> decode_forwarded_heartbeat(std::string_view body);
std::optional<ForwardedReply> decode_forwarded_reply(std::string_view body);

}  // namespace nickelramp::peers
