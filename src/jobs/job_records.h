/// @file
/// The contents of a job's records in the key-value store (their keys: jobs/job_keys.h). The field
/// names in the encoded JSON are a stored format and differ from the names here.
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
    bool cancelled = false;             // and its user was told so at once, as earlier versions did
    bool cancel_requested = false;      // its user is told when nothing of it is left
};

/// `spec` is the job's description as its user sent it.
[[nodiscard]] wire::Json encode_open_record(const wire::Json& spec, std::int64_t accepted_wall_ms,
                                            bool cancelled);

/// Nothing when there is no valid description in it.
[[nodiscard]] std::optional<OpenRecord> decode_open_record(const wire::Json& value);

/// One task of a run record.
struct RunEntry {
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;  // its number, from 1
    bool started = false;       // its start may have been sent; otherwise the attempt is over
    std::string machine;        // only if started
};

/// The record run/<id>/<chunk>.
struct RunRecord {
    std::uint64_t done = 0;  // a bit for each task of the chunk
    std::vector<RunEntry> entries;
};

[[nodiscard]] wire::Json encode_run_record(const RunRecord& record);

/// Nothing when the value has another form.
[[nodiscard]] std::optional<RunRecord> decode_run_record(const wire::Json& value);

}  // namespace nickelramp::jobs
