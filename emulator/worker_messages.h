// The workers' side of the protocol's messages: what they report, and what they are told.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/cbor.h"
#include "wire/messages.h"

namespace nickelramp::emulator {

std::string encode_heartbeat(const wire::Heartbeat& heartbeat);

struct WorkerCommands {
    std::uint64_t token = 0;
    std::optional<std::uint64_t> session;  // of direct commands only
    std::vector<wire::Command> commands;
};
// Nothing if it cannot be read or names no token.
std::optional<WorkerCommands> decode_commands(const std::string& body);
wire::Json job_body(const wire::JobSpec& spec);

}  // namespace nickelramp::emulator
