/// @file
/// The contents of a job's records in the key-value store; jobs/job_keys.h defines their keys. The
/// field names in the encoded JSON are a stored format and differ from the C++ names.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/messages.h"

namespace nickelramp::jobs {

/// The record open/<id>.
struct OpenRecord {
    wire::JobSpec spec;
    std::int64_t accepted_wall_ms = 0;  // milliseconds of the wall clock
    bool cancelled = false;             // reported to the user at once, as earlier versions did
    bool cancel_requested = false;      // reported to the user once no task is left
};

/// Encodes the open record of a new job. `spec` has the known fields of the submission as the user
/// sent them. Records of earlier versions have its unknown fields, too.
[[nodiscard]] wire::Json encode_open_record(const wire::Json& spec, std::int64_t accepted_wall_ms);

/// Returns std::nullopt if the value contains no valid job description.
[[nodiscard]] std::optional<OpenRecord> decode_open_record(const wire::Json& value);

/// Returns whether the user has requested to cancel the job of an encoded open record.
[[nodiscard]] bool is_cancel_requested(const wire::Json& open_record);

/// Sets the request to cancel the job in an encoded open record, which must be a map and have no
/// such request yet. The record does not become longer, so it stays within the store's limit for
/// values.
void request_cancel(wire::Json& open_record);

/// One task of a run record.
struct RunEntry {
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;  // attempt number, from 1
    bool started = false;       // the start may have been sent; if false, the attempt has ended
    std::string machine;        // set only if started
};

/// The record run/<id>/<chunk>.
struct RunRecord {
    std::uint64_t done = 0;  // bit mask of the chunk's completed tasks
    std::vector<RunEntry> entries;
};

[[nodiscard]] wire::Json encode_run_record(const RunRecord& record);

/// Returns std::nullopt if the value is not a valid run record.
[[nodiscard]] std::optional<RunRecord> decode_run_record(const wire::Json& value);

}  // namespace nickelramp::jobs
