// The rules of the protocol that can be seen from outside, asserted as they happen over what truly
// runs: no task on two machines, no team over its limit, nothing of a cancelled job for longer than
// it may, nothing done before its tasks are, nothing accepted forgotten.
#pragma once
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "wire/messages.h"

namespace nickelramp::emulator {

// What its user submitted, and what is known to be true of it.
struct JobTruth {
    wire::JobSpec spec;
    double run_s = 0;  // of each task
    Millis submitted_at = 0, accepted_at = 0, first_start_at = 0, done_at = 0;
    Millis told_cancelled_at = 0;
    std::uint32_t done = 0, on_machines = 0;
    std::vector<bool> task_done;
};

class ProtocolRules {
  public:
    ProtocolRules(Millis cancel, std::map<std::string, double> gpu_limits)
        : cancel_(cancel), gpu_limits_(std::move(gpu_limits)) {}

    JobTruth& submitted(wire::JobSpec spec, double run_s, Millis now);
    JobTruth* find(const std::string& job);

    // A task is on a machine from when it has its image until it is gone.
    void task_arrived(const std::string& machine, JobTruth& job, std::uint32_t task, Millis now);
    void task_left(JobTruth& job, std::uint32_t task);
    void task_completed(JobTruth& job, std::uint32_t task, Millis now);
    // What a user was told; `known`: false for 404.
    void user_told(JobTruth& job, bool known, wire::JobStatus status, Millis now);
    // Jobs that were cancelled too long ago to have anything left.
    void check(Millis now);

    void record_violation(const std::string& rule, const std::string& what);
    const std::map<std::string, std::uint64_t>& violations() const { return violations_; }
    std::size_t on_machines() const { return on_machine_.size(); }
    const std::unordered_map<std::string, JobTruth>& jobs() const { return jobs_; }

  private:
    static std::string key(const JobTruth& job, std::uint32_t task) {
        return job.spec.id + "/" + std::to_string(task);
    }
    Millis cancel_;
    std::map<std::string, double> gpu_limits_, gpus_;  // by team
    std::unordered_map<std::string, JobTruth> jobs_;
    std::unordered_map<std::string, std::string> on_machine_;  // task: machine
    std::map<std::string, std::uint64_t> violations_;
};

}  // namespace nickelramp::emulator
