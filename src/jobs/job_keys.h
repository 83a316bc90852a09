/// @file
/// Keys of a job's records in the key-value store:
///
///     job/<id>          the status that its user reads; final ones are kept for good
///     open/<id>         the description, from acceptance until no task of it can run anywhere
///     run/<id>/<chunk>  the checkpoint of kChunkTasks tasks: which are done, and where each
///     attempt
///                       may be
#pragma once
#include <cstdint>
#include <optional>
#include <string>

namespace nickelramp::jobs {

/// Tasks in one run record; task t is in chunk t / kChunkTasks.
inline constexpr std::uint32_t kChunkTasks = 64;

[[nodiscard]] std::string job_key(const std::string& id);
[[nodiscard]] std::string open_key(const std::string& id);
[[nodiscard]] std::string run_key(const std::string& id, std::uint32_t chunk);

/// "open/job-1" -> "job-1"; empty when the key has another form.
[[nodiscard]] std::string job_id_of_open_key(const std::string& key);

/// What the key of a run record names.
struct RunKey {
    std::string job_id;
    std::uint32_t chunk = 0;
};

/// "run/job-1/2" -> {"job-1", 2}; nothing when the key has another form.
[[nodiscard]] std::optional<RunKey> parse_run_key(const std::string& key);

}  // namespace nickelramp::jobs
