/// @file
/// Keys of a job's records in the key-value store:
///
///     job/<id>          the status shown to the user; a final status is kept permanently
///     open/<id>         the description, from acceptance until no task can be running anywhere
///     run/<id>/<chunk>  the checkpoint of kChunkTasks tasks: which are done, and on which
///                       machine an attempt of each may be running
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace nickelramp::jobs {

/// The number of tasks in one run record. Task t is in chunk t / kChunkTasks.
inline constexpr std::uint32_t kChunkTasks = 64;

[[nodiscard]] std::string job_key(const std::string& id);
[[nodiscard]] std::string open_key(const std::string& id);
[[nodiscard]] std::string run_key(const std::string& id, std::uint32_t chunk);

/// Returns the job id of an open key ("open/job-1" -> "job-1"), or an empty string if the key is
/// not a valid open key.
[[nodiscard]] std::string job_id_of_open_key(const std::string& key);

/// The parts of a run record's key.
struct RunKey {
    std::string job_id;
    std::uint32_t chunk = 0;
};

/// Parses a run key ("run/job-1/2" -> {"job-1", 2}). Returns std::nullopt if the key is not a valid
/// run key.
[[nodiscard]] std::optional<RunKey> parse_run_key(const std::string& key);

}  // namespace nickelramp::jobs
