/// @file
/// Encodes and decodes messages as workers and users do: heartbeats, commands and job
/// submissions.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/cbor.h"
#include "wire/messages.h"

namespace nickelramp::emulator {

/// Returns the CBOR body of a heartbeat.
std::string encode_heartbeat(const wire::Heartbeat& heartbeat);

/// Commands in a heartbeat reply or in a direct request to a worker.
struct WorkerCommands {
    std::uint64_t token = 0;               ///< fencing token of the sending leader
    std::optional<std::uint64_t> session;  ///< incarnation addressed; direct commands only
    std::vector<wire::Command> commands;
};
/// Returns std::nullopt if the body is malformed or has no token. Malformed commands are skipped.
std::optional<WorkerCommands> decode_commands(const std::string& body);
/// Returns the body of a job submission.
wire::Json job_body(const wire::JobSpec& spec);

}  // namespace nickelramp::emulator
