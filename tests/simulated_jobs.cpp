#include "tests/simulated_jobs.h"

#include <algorithm>

namespace nickelramp::test {

std::optional<Millis> SimulatedJobs::task_duration(const std::string& id) const {
    const auto it = task_durations_.find(id);
    return it == task_durations_.end() ? std::nullopt : std::optional(it->second);
}

std::optional<Millis> SimulatedJobs::cancelled_at(const std::string& id) const {
    const auto it = cancelled_.find(id);
    return it == cancelled_.end() ? std::nullopt : std::optional(it->second);
}

void SimulatedJobs::complete(const TaskId& id, Millis now) {
    const wire::JobSpec& job = spec(id.job);
    if (job.shape != wire::Shape::gang) {
        completed_.try_emplace(id, now);
        return;
    }
    for (std::uint32_t task = 0; task < job.tasks; ++task)
        completed_.try_emplace({id.job, task}, now);
}

Millis SimulatedJobs::completed_at(const std::string& id) const {
    Millis last = 0;
    for (std::uint32_t task = 0; task < spec(id).tasks; ++task) {
        const auto it = completed_.find({id, task});
        if (it == completed_.end()) return 0;
        last = std::max(last, it->second);
    }
    return last;
}

bool SimulatedJobs::completed_before(const std::string& id, Millis now, Millis longer) const {
    for (std::uint32_t task = 0; task < spec(id).tasks; ++task) {
        const auto it = completed_.find({id, task});
        if (it == completed_.end() || now - it->second <= longer) return false;
    }
    return true;
}

void SimulatedJobs::record_attempt(const TaskId& id, std::uint32_t attempt) {
    std::uint32_t& latest = latest_attempts_[id];
    latest = std::max(latest, attempt);
}

bool SimulatedJobs::superseded(const TaskId& id, std::uint32_t attempt) const {
    const auto it = latest_attempts_.find(id);
    return it != latest_attempts_.end() && it->second > attempt;
}

Millis SimulatedJobs::final_at(const std::string& id) const {
    const auto it = final_at_.find(id);
    return it == final_at_.end() ? 0 : it->second;
}

}  // namespace nickelramp::test
