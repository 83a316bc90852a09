// What is true of the jobs of a simulation, whatever controllers know of them.
#pragma once
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tests/simulated_machine.h"
#include "wire/messages.h"

namespace nickelramp::test {

/// The jobs that were submitted, how their tasks behave, and what has truly become of them.
class SimulatedJobs {
  public:
    void add(const wire::JobSpec& spec) { specs_[spec.id] = spec; }
    [[nodiscard]] bool contains(const std::string& id) const { return specs_.count(id) != 0; }
    [[nodiscard]] const wire::JobSpec& spec(const std::string& id) const { return specs_.at(id); }
    [[nodiscard]] const std::map<std::string, wire::JobSpec>& specs() const { return specs_; }

    /// All its tasks will fail.
    void make_fail(const std::string& id) { failing_.insert(id); }
    [[nodiscard]] bool fails(const std::string& id) const { return failing_.count(id) != 0; }
    /// Its tasks take this long instead of a random duration.
    void set_task_duration(const std::string& id, Millis length) { task_durations_[id] = length; }
    [[nodiscard]] std::optional<Millis> task_duration(const std::string& id) const;

    /// Its user has asked to cancel it.
    void request_cancel(const std::string& id) { cancel_requested_.insert(id); }
    [[nodiscard]] bool cancel_requested(const std::string& id) const {
        return cancel_requested_.count(id) != 0;
    }
    /// Its user has been told that it is cancelled.
    void confirm_cancel(const std::string& id, Millis now) { cancelled_.emplace(id, now); }
    [[nodiscard]] std::optional<Millis> cancelled_at(const std::string& id) const;

    /// The task has completed; of a gang all tasks complete together.
    void complete(const TaskId& id, Millis now);
    [[nodiscard]] bool completed(const TaskId& id) const { return completed_.count(id) != 0; }
    /// Every completed task and the time of its completion.
    [[nodiscard]] const std::map<TaskId, Millis>& completed_tasks() const { return completed_; }
    /// When the last task completed; 0 while one has not.
    [[nodiscard]] Millis completed_at(const std::string& id) const;
    /// All tasks completed more than `longer` ago.
    [[nodiscard]] bool completed_before(const std::string& id, Millis now, Millis longer) const;

    void record_attempt(const TaskId& id, std::uint32_t attempt);
    /// A later attempt of the task has begun to run somewhere.
    [[nodiscard]] bool superseded(const TaskId& id, std::uint32_t attempt) const;

    /// Its final state is on record.
    void record_final(const std::string& id, Millis now) { final_at_.emplace(id, now); }
    /// 0 while no final state is on record.
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
