/// @file
/// Messages exchanged with users: job specifications and replies on the status of jobs.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "wire/cbor.h"

namespace nickelramp::wire {

enum class Shape : std::uint8_t {
    array,   ///< independent tasks
    gang,    ///< tasks that run all at the same time or not at all
    service  ///< replicas that run until the job is cancelled
};
/// Priorities of jobs in ascending order.
enum class Priority : std::uint8_t { low, normal, high, production };

/// A job as its user specifies it. Resources are per task.
struct JobSpec {
    std::string id;
    std::string job_class;
    std::string team;
    Shape shape = Shape::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    double cpus = 0, gpus = 0, memory_gb = 0;
    /// Whether all machine types are allowed. If false, only those in `types` are, which may be
    /// empty.
    bool any_type = true;
    std::vector<std::string> types;
    std::optional<std::string> zone;
    /// Whether all tasks must run in one zone, whether tasks are distributed over zones, and
    /// whether spot machines are allowed.
    bool one_zone = false, spread = false, spot = false;
    std::string image;
    double image_gb = 0;
    /// The user's estimate of a task's run time in seconds, or 0 if there is none.
    double estimate_s = 0;
    /// Interval between a task's checkpoints and duration of a checkpoint, in seconds.
    double checkpoint_interval_s = 0, checkpoint_duration_s = 0;
    /// Seconds after the submission.
    std::optional<double> deadline_s;
};

/// Returns whether an id consists of "job-" and at least one digit, at most 40 bytes in total.
bool valid_job_id(const std::string& id);

/// The first missing or invalid field of a submission.
struct JobSpecError {
    /// The field's name in the protocol.
    std::string field;

    /// Returns the message for the user.
    std::string message() const { return "missing or invalid: " + field; }
};

/// Reads a job specification and ignores unknown fields. Used for submissions, for the records of
/// open jobs and by nickelrampctl.
Result<JobSpec, JobSpecError> parse_job(const Json& body);

/// Returns the fields of a submission that `parse_job` reads, as the user sent them. Only these are
/// kept in the record of the job.
Json known_job_fields(const Json& body);

enum class JobStatus : std::uint8_t { pending, running, done, cancelled };
/// Numbers of a job's tasks by state.
struct TaskCounts {
    std::uint64_t done = 0, running = 0;
};

/// Encodes the status of a job for its user, with the task counts if they are known.
Json encode_job_answer(const std::string& id, JobStatus status,
                       const std::optional<TaskCounts>& counts = std::nullopt);
/// Returns the name of a status in the protocol and in job records.
const char* status_name(JobStatus status);

}  // namespace nickelramp::wire
