/// @file
/// Messages of users: job specifications, and what they are told of their jobs.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "wire/cbor.h"

namespace nickelramp::wire {

/// array: independent tasks; gang: tasks that run all at once or not at all; service: replicas that
/// run until they are cancelled.
enum class Shape : std::uint8_t { array, gang, service };
/// From the lowest to the highest.
enum class Priority : std::uint8_t { low, normal, high, production };

/// What a user asks for. Resources are those of one task.
struct JobSpec {
    std::string id;
    std::string job_class;
    std::string team;
    Shape shape = Shape::array;
    Priority priority = Priority::normal;
    std::uint32_t tasks = 1;
    double cpus = 0, gpus = 0, memory_gb = 0;
    /// False: only on machines of the listed types, of which there may be none.
    bool any_type = true;
    std::vector<std::string> types;
    std::optional<std::string> zone;
    /// All tasks in one zone; tasks distributed over zones; spot machines allowed.
    bool one_zone = false, spread = false, spot = false;
    std::string image;
    double image_gb = 0;
    /// The user's estimate of a task's run time, in seconds; 0: none.
    double estimate_s = 0;
    /// Interval between checkpoints of a task, and how long one takes, in seconds.
    double checkpoint_s = 0, save_s = 0;
    /// Seconds from submission.
    std::optional<double> deadline_s;
};

/// "job-" and digits, 40 bytes at the most.
bool valid_job_id(const std::string& id);

/// The first field of a submission that is missing or has a value that is not allowed.
struct JobSpecError {
    /// By its name in the protocol.
    std::string field;

    /// For users.
    std::string message() const { return "missing or invalid: " + field; }
};

/// Reads a job specification. Unknown fields are ignored. Used for submissions, for the records of
/// open jobs and by nickelrampctl.
Result<JobSpec, JobSpecError> parse_job(const Json& body);

enum class JobStatus : std::uint8_t { pending, running, done, cancelled };
/// Numbers of tasks of a job.
struct TaskCounts {
    std::uint64_t done = 0, running = 0;
};

/// The status of a job as users are told it; with the counts where they are known.
Json encode_job_answer(const std::string& id, JobStatus status,
                       const std::optional<TaskCounts>& counts = std::nullopt);
/// The status's text in the protocol and in job records.
const char* final_name(JobStatus status);

}  // namespace nickelramp::wire
