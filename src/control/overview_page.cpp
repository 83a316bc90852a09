#include "control/overview_page.h"

#include <optional>

namespace nickelramp::control {

using jobs::Job;
using machines::Machine;
using machines::MachineState;
using wire::Objective;

namespace {
constexpr std::size_t kMaxListed = 200;

double in_seconds(Millis duration) { return static_cast<double>(duration) / 1000.0; }

// Returns the time after its acceptance within which the job meets the objective, or nullopt if the
// objective does not apply to the job, or no longer does.
std::optional<Millis> allowed_time(const Objective& objective, const Job& job) {
    switch (objective.kind) {
        case Objective::Kind::wait:
            if (job.unplaced_tasks() == 0) return std::nullopt;
            return seconds(objective.within_s);
        case Objective::Kind::finished:
            return seconds(objective.within_s);
        case Objective::Kind::deadline:
            if (!job.spec.deadline_s) return std::nullopt;
            return seconds(*job.spec.deadline_s * objective.times);
        default:
            return std::nullopt;
    }
}
}  // namespace

wire::Json OverviewPage::render(Millis now) const {
    wire::Json waiting = wire::Json::array();
    wire::Json late = wire::Json::array();
    for (const auto& [id, job] : cluster_.jobs()) {
        if (job->state != jobs::JobState::open) continue;
        if (job->unplaced_tasks() > 0 && waiting.size() < kMaxListed)
            waiting.push_back(waiting_job(*job, now));
        add_late_job(*job, now, late);
    }
    return {{"term", term_.info().number},
            {"confirmed", term_.lease_confirmed(now)},
            {"open_jobs", cluster_.jobs().size()},
            {"machines", machine_counts()},
            {"lent", leased_shards()},
            {"intents", intent_counts()},
            {"waiting", waiting},
            {"late", late}};
}

wire::Json OverviewPage::waiting_job(const Job& job, Millis now) const {
    return {{"id", job.spec.id},
            {"class", job.spec.job_class},
            {"team", job.spec.team},
            {"tasks", job.unplaced_tasks()},
            {"for_s", in_seconds(now - job.accepted_at)},
            {"why", waiting_reason(job, now)}};
}

std::string OverviewPage::waiting_reason(const Job& job, Millis now) const {
    if (now < job.backoff_until) return "held back after failures";
    if (!term_.lease_confirmed(now)) return "the state service does not answer the leader";
    const std::uint32_t needed_tasks = job.is_gang() ? job.spec.tasks : 1;
    if (placement_rules_.tasks_within_quota(job) < needed_tasks) {
        const Job* gang = cluster_.quota_reserved_for(job.team);
        if (gang == nullptr || gang == &job) return "its team is at its limit";
        return "what its team's limit leaves is gathered for " + gang->spec.id;
    }
    return machines_reason(job, now);
}

std::string OverviewPage::machines_reason(const Job& job, Millis now) const {
    bool any_up = false;
    bool any_provisioning = false;
    for (const Machine* machine : cluster_.machines()) {
        if (machine->type == kNone || !placement_rules_.allowed(job, *machine)) continue;
        any_up |= machine->accepts_tasks();
        any_provisioning |=
            machine->state == MachineState::booting || machine->state == MachineState::joining;
        if (machine->reserved_for == job.index && now < machine->reserved_until)
            return "room is being made for it";
    }
    if (any_provisioning) return "allowed machines are full, others are coming";
    return any_up ? "allowed machines are full" : "no allowed machine, and the cloud gives none";
}

// Adds an entry for every objective that the job has missed or is about to miss.
void OverviewPage::add_late_job(const Job& job, Millis now, wire::Json& late) const {
    for (const Objective& objective : term_.settings().objectives) {
        if (objective.job_class != job.spec.job_class || late.size() >= kMaxListed) continue;
        const std::optional<Millis> allowed = allowed_time(objective, job);
        if (!allowed) continue;
        const bool until_start = objective.kind == Objective::Kind::wait;
        const bool unplaced = job.unplaced_tasks() > 0;
        const Millis left = job.accepted_at + *allowed - now;
        const Millis needed = unplaced && !until_start ? seconds(forecast_.expected_run_s(job)) : 0;
        if (left > needed) continue;
        late.push_back({{"id", job.spec.id},
                        {"class", job.spec.job_class},
                        {"objective", until_start ? "start" : "finish"},
                        {"within_s", in_seconds(*allowed)},
                        {"left_s", in_seconds(left)},
                        {"why", unplaced ? waiting_reason(job, now) : "runs longer than it may"}});
    }
}

wire::Json OverviewPage::machine_counts() const {
    wire::Json counts = wire::Json::object();
    for (const Machine* machine : cluster_.machines()) {
        const char* state = machines::name(machine->state);
        counts[state] = counts.value(state, 0) + 1;
    }
    return counts;
}

wire::Json OverviewPage::leased_shards() const {
    wire::Json shards = wire::Json::array();
    for (const auto& [shard, lease] : shard_allocator_.leases()) {
        shards.push_back({{"block", shard},
                          {"holder", lease.holder},
                          {"machines", lease.capacity.size()},
                          {"jobs", lease.jobs}});
    }
    return shards;
}

wire::Json OverviewPage::intent_counts() const {
    wire::Json counts = wire::Json::object();
    for (lease::Role role : {lease::Role::scale_out, lease::Role::scale_in})
        counts[lease::name(role)] = intent_log_.size(role);
    return counts;
}

}  // namespace nickelramp::control
