/// @file
/// Checks the protocol's externally visible rules against what the emulated workers actually run:
/// no task runs on two machines, no team exceeds its quota, no task of a cancelled job runs longer
/// than allowed, no job is reported done before all its tasks are, and no accepted job is unknown
/// later.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "wire/messages.h"

namespace nickelramp::emulator {

/// A job as its user submitted it, and its actual progress on the emulated workers.
struct EmulatedJob {
    wire::JobSpec spec;
    double run_s = 0;  ///< run time of each task
    /// Times are 0 until the event occurs.
    Millis submitted_at = 0, accepted_at = 0, first_start_at = 0, done_at = 0;
    Millis cancellation_reported_at = 0;      ///< when a user first received the status cancelled
    std::uint32_t done = 0, on_machines = 0;  ///< numbers of tasks
    std::vector<bool> task_done;
};

/// Tracks all jobs of a run and counts violations of each rule.
class ProtocolRules {
  public:
    /// @param cancel how long tasks may still run once a user was told that the job is cancelled.
    /// @param gpu_limits quota by team; 0 stands for no limit.
    ProtocolRules(Millis cancel, std::map<std::string, double> gpu_limits)
        : cancel_(cancel), gpu_limits_(std::move(gpu_limits)) {}

    /// Registers a job as its user submits it.
    EmulatedJob& submitted(wire::JobSpec spec, double run_s, Millis now);
    /// Returns nullptr if there is no such job.
    EmulatedJob* find(const std::string& job);

    /// A task occupies a machine from the end of its image fetch until task_left().
    void task_arrived(const std::string& machine, EmulatedJob& job, std::uint32_t task, Millis now);
    void task_left(EmulatedJob& job, std::uint32_t task);
    void task_completed(EmulatedJob& job, std::uint32_t task, Millis now);
    /// Checks a controller's answer to a status request.
    /// @param known false if the answer was 404.
    void answer_received(EmulatedJob& job, bool known, wire::JobStatus status, Millis now);
    /// Checks that jobs whose time to cancel is over have no task left on any machine.
    void check(Millis now);

    /// Counts a violation and logs the first few of each rule.
    void record_violation(const std::string& rule, const std::string& what);
    /// Number of violations by rule.
    const std::map<std::string, std::uint64_t>& violations() const { return violations_; }
    /// Number of tasks that occupy a machine.
    std::size_t on_machines() const { return on_machine_.size(); }
    const std::unordered_map<std::string, EmulatedJob>& jobs() const { return jobs_; }

  private:
    static std::string key(const EmulatedJob& job, std::uint32_t task) {
        return job.spec.id + "/" + std::to_string(task);
    }
    Millis cancel_;
    std::map<std::string, double> gpu_limits_, gpus_;  // by team: quota, GPUs in use
    std::unordered_map<std::string, EmulatedJob> jobs_;
    std::unordered_map<std::string, std::string> on_machine_;  // machine by task
    std::map<std::string, std::uint64_t> violations_;
};

}  // namespace nickelramp::emulator
