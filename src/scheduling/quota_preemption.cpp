#include "scheduling/quota_preemption.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "scheduling/gang_wait_limits.h"

namespace nickelramp::scheduling {

using jobs::Attempt;
using jobs::Job;

namespace {
constexpr Millis kPreemptionInterval = 5'000;
}  // namespace

QuotaPreemption::QuotaPreemption(cluster::ClusterState& cluster, Job& gang, Millis now)
    : cluster_(cluster), gang_(gang), now_(now), shortage_(shortage_in_quota()) {}

void QuotaPreemption::run() {
    const cluster::TeamUsage& usage = cluster_.team_usage(gang_.team);
    // If the gang would not fit even after all arrays of the team had ended, reserved quota would
    // only be left unused.
    if (gang_.preemption_under_way || suffices({usage.array_gpus, usage.array_cpus}))
        cluster_.reserve_quota(gang_, now_);
    else
        cluster_.release_reserved_quota(gang_);
    if (now_ - gang_.accepted_at < kPreemptInQuotaAfter || now_ < gang_.next_preemption_at) return;
    gang_.next_preemption_at = now_ + kPreemptionInterval;
    const Amount available = collect_victims();
    gang_.preemption_under_way = suffices(available);
    if (!gang_.preemption_under_way) return;
    cluster_.reserve_quota(gang_, now_);
    stop_victims();
}

QuotaPreemption::Amount QuotaPreemption::shortage_in_quota() const {
    const wire::Team& quota = cluster_.team_quota(gang_.team);
    const cluster::TeamUsage& usage = cluster_.team_usage(gang_.team);
    const wire::JobSpec& spec = gang_.spec;
    Amount shortage;
    if (quota.gpus_max > 0) shortage.gpus = usage.gpus + spec.gpus * spec.tasks - quota.gpus_max;
    if (quota.cpus_max > 0) shortage.cpus = usage.cpus + spec.cpus * spec.tasks - quota.cpus_max;
    return shortage;
}

bool QuotaPreemption::suffices(const Amount& freed) const {
    return shortage_.gpus <= freed.gpus + placement::kFitTolerance &&
           shortage_.cpus <= freed.cpus + placement::kFitTolerance;
}

QuotaPreemption::Amount QuotaPreemption::collect_victims() {
    Amount total;
    for (const auto& [id, job] : cluster_.jobs()) {
        if (job->team == gang_.team && job->spec.priority < gang_.spec.priority &&
            job->live_attempts != 0)
            collect_victims_of(*job, total);
    }
    return total;
}

void QuotaPreemption::collect_victims_of(const Job& victim, Amount& total) {
    for (const auto& attempt : victim.attempts) {
        if (!attempt->live()) continue;
        if (attempt->stop_requested) {
            shortage_.gpus -= victim.spec.gpus;
            shortage_.cpus -= victim.spec.cpus;
            continue;
        }
        if (victim.state != jobs::JobState::open || victim.is_gang()) continue;
        victims_.push_back({stop_cost_s(victim, *attempt, now_), attempt.get()});
        total.gpus += victim.spec.gpus;
        total.cpus += victim.spec.cpus;
    }
}

void QuotaPreemption::stop_victims() {
    std::sort(victims_.begin(), victims_.end(), cheaper_victim);
    for (const PreemptionVictim& victim : victims_) {
        if (suffices({})) break;
        Attempt& attempt = *victim.attempt;
        const Job& job = cluster_.job_of(attempt);
        shortage_.gpus -= job.spec.gpus;
        shortage_.cpus -= job.spec.cpus;
        spdlog::debug("preempting task to free team quota: task={}/{} for_job={}", job.spec.id,
                      attempt.task, gang_.spec.id);
        cluster_.checkpoint_and_stop(attempt, now_);
    }
}

}  // namespace nickelramp::scheduling
