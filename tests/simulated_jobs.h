/// @file
/// The actual state of a simulation's jobs, independent of what controllers know.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tests/simulated_machine.h"
#include "wire/messages.h"

namespace nickelramp::test {

/// The submitted jobs, the behaviour of their tasks, and the actual outcomes.
class SimulatedJobs {
  public:
    void add(const wire::JobSpec& spec) { specs_[spec.id] = spec; }
    [[nodiscard]] bool contains(const std::string& id) const { return specs_.count(id) != 0; }
    [[nodiscard]] const wire::JobSpec& spec(const std::string& id) const { return specs_.at(id); }
    [[nodiscard]] const std::map<std::string, wire::JobSpec>& specs() const { return specs_; }

    /// Makes all tasks of the job fail.
    void make_fail(const std::string& id) { failing_.insert(id); }
    [[nodiscard]] bool fails(const std::string& id) const { return failing_.count(id) != 0; }
    /// Sets the duration of the job's tasks, which is random otherwise.
    void set_task_duration(const std::string& id, Millis length) { task_durations_[id] = length; }
    [[nodiscard]] std::optional<Millis> task_duration(const std::string& id) const;

    /// Records that a user has requested the job's cancellation.
    void request_cancel(const std::string& id) { cancel_requested_.insert(id); }
    [[nodiscard]] bool cancel_requested(const std::string& id) const {
        return cancel_requested_.count(id) != 0;
    }
    /// Records that the job's cancellation was confirmed to the user.
    void confirm_cancel(const std::string& id, Millis now) { cancelled_.emplace(id, now); }
    [[nodiscard]] std::optional<Millis> cancelled_at(const std::string& id) const;

    /// Records that the task has completed. The tasks of a gang all complete together.
    void complete(const TaskId& id, Millis now);
    [[nodiscard]] bool completed(const TaskId& id) const { return completed_.count(id) != 0; }
    /// Returns every completed task with the time of its completion.
    [[nodiscard]] const std::map<TaskId, Millis>& completed_tasks() const { return completed_; }
    /// Returns when the last task completed, or 0 if not all tasks have completed.
    [[nodiscard]] Millis completed_at(const std::string& id) const;
    /// Returns whether all tasks completed more than `longer` ago.
    [[nodiscard]] bool completed_before(const std::string& id, Millis now, Millis longer) const;

    void record_attempt(const TaskId& id, std::uint32_t attempt);
    /// Returns whether a later attempt of the task has begun to run on any machine.
    [[nodiscard]] bool superseded(const TaskId& id, std::uint32_t attempt) const;

    /// Records when the job's final state was written.
    void record_final(const std::string& id, Millis now) { final_at_.emplace(id, now); }
    /// Returns when the job's final state was written, or 0 if it has none.
    [[nodiscard]] Millis final_at(const std::string& id) const;

  private:
    std::map<std::string, wire::JobSpec> specs_;
    std::set<std::string> failing_;
    std::map<std::string, Millis> task_durations_;
    std::set<std::string> cancel_requested_;
    std::map<std::string, Millis> cancelled_;
    std::map<TaskId, Millis> completed_;
    std::map<TaskId, std::uint32_t> latest_attempts_;
    std::map<std::string, Millis> final_at_;
};

}  // namespace nickelramp::test
