#include "emulator/protocol_rules.h"

#include <spdlog/spdlog.h>

namespace nickelramp::emulator {

namespace {
constexpr double kSlack = 1e-6;  // rounding errors of summed GPUs
constexpr std::uint64_t kMaxLoggedPerRule = 5;
}  // namespace

EmulatedJob& ProtocolRules::submitted(wire::JobSpec spec, double run_s, Millis now) {
    EmulatedJob& job = jobs_[spec.id];
    job.task_done.resize(spec.tasks);
    job.spec = std::move(spec);
    job.run_s = run_s;
    job.submitted_at = now;
    return job;
}

EmulatedJob* ProtocolRules::find(const std::string& id) {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : &it->second;
}

void ProtocolRules::task_arrived(const std::string& machine, EmulatedJob& job, std::uint32_t task,
                                 Millis now) {
    auto [it, inserted] = on_machine_.emplace(key(job, task), machine);
    if (!inserted)
        record_violation("ran_twice", key(job, task) + " on " + it->second + " and " + machine);
    if (job.cancellation_reported_at != 0 && now - job.cancellation_reported_at > cancel_)
        record_violation("ran_cancelled", key(job, task) + " starts");
    ++job.on_machines;
    double& gpus = gpus_[job.spec.team];
    gpus += job.spec.gpus;
    auto limit = gpu_limits_.find(job.spec.team);
    if (limit != gpu_limits_.end() && limit->second > 0 && gpus > limit->second + kSlack)
        record_violation("quota", job.spec.team + " uses " + std::to_string(gpus));
}

void ProtocolRules::task_left(EmulatedJob& job, std::uint32_t task) {
    if (on_machine_.erase(key(job, task)) == 0) return;
    --job.on_machines;
    gpus_[job.spec.team] -= job.spec.gpus;
}

void ProtocolRules::task_completed(EmulatedJob& job, std::uint32_t task, Millis now) {
    if (job.task_done[task]) return;
    job.task_done[task] = true;
    if (++job.done == job.spec.tasks) job.done_at = now;
}

void ProtocolRules::answer_received(EmulatedJob& job, bool known, wire::JobStatus status,
                                    Millis now) {
    if (!known) {
        if (job.accepted_at != 0) record_violation("forgotten", job.spec.id);
        return;
    }
    if (status == wire::JobStatus::done && job.done < job.spec.tasks)
        record_violation("not_done", job.spec.id);
    if (status == wire::JobStatus::cancelled && job.cancellation_reported_at == 0)
        job.cancellation_reported_at = now;
}

void ProtocolRules::check(Millis now) {
    for (auto& [id, job] : jobs_) {
        const bool late =
            job.cancellation_reported_at != 0 && now - job.cancellation_reported_at > cancel_;
        if (late && job.on_machines > 0) record_violation("ran_cancelled", id + " still runs");
    }
}

void ProtocolRules::record_violation(const std::string& rule, const std::string& what) {
    if (++violations_[rule] <= kMaxLoggedPerRule)
        spdlog::error("protocol rule violated: rule={} {}", rule, what);
}

}  // namespace nickelramp::emulator
