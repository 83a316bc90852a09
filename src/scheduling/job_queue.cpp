#include "scheduling/job_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace nickelramp::scheduling {

using jobs::Job;
using wire::Priority;

namespace {
// Lower bound on the share of its slots that an array is expected to get despite other jobs.
constexpr double kMinShare = 0.25;
// Share of the time allowed by an objective that is kept as a margin for faults.
constexpr double kSafetyMargin = 0.1;
constexpr double kMinCpusPerTask = 0.01;
constexpr double kMinRunS = 1;

// Lower ranks go first.
int rank(const Job& job) {
    if (job.spec.priority == Priority::production) return 0;
    const int by_priority = 3 - static_cast<int>(job.spec.priority);
    return job.within_guaranteed_quota ? by_priority : by_priority + 4;
}

// Within a rank, jobs at risk of missing an objective precede jobs that are on time. Otherwise
// newer and smaller jobs would overtake a large job until it is late.
bool goes_before(const Job* a, const Job* b) {
    const int rank_a = rank(*a), rank_b = rank(*b);
    if (rank_a != rank_b) return rank_a < rank_b;
    return std::tie(a->urgency.missed_objectives, b->slack, a->urgency.waiting_work_s,
                    a->accepted_at, a->spec.id) < std::tie(b->urgency.missed_objectives, a->slack,
                                                           b->urgency.waiting_work_s,
                                                           b->accepted_at, b->spec.id);
}
}  // namespace

std::vector<Job*> JobQueue::ordered_jobs(Millis now) {
    std::vector<Job*> queue;
    cluster_.prune_pending_jobs();
    for (const Index index : cluster_.pending_jobs()) {
        Job* job = cluster_.job_by_index(index);
        if (now >= job->backoff_until) queue.push_back(job);
    }
    for (Job* job : queue) job->urgency = urgency(*job, now);
    std::sort(queue.begin(), queue.end(), goes_before);
    return queue;
}

// Returns how many objectives of its class the job can no longer meet, and when it must start to
// meet the next one. Jobs that have missed fewer objectives go first.
jobs::Urgency JobQueue::urgency(const Job& job, Millis now) const {
    jobs::Urgency urgency;
    if (job.spec.shape != wire::Shape::array) return urgency;
    urgency.start_by = kNever;
    for (const wire::Objective& objective : term_.settings().objectives) {
        if (objective.kind == wire::Objective::Kind::wait) continue;
        const std::optional<Millis> start_by = latest_start(job, objective);
        if (!start_by) continue;
        if (*start_by < now)
            ++urgency.missed_objectives;
        else
            urgency.start_by = std::min(urgency.start_by, *start_by);
    }
    urgency.waiting_work_s =
        job.placeable_tasks() * std::max(kMinRunS, demand_forecast_.expected_run_s(job));
    return urgency;
}

bool JobQueue::may_use_spot(const Job& job) const {
    return job.spec.spot && term_.options().use_spot != 0;
}

// Returns whether the cloud has refused every kind of machine that is not kept for other work.
bool JobQueue::all_kinds_backing_off(const Job& job, Millis now) const {
    for (Index type = 0; type < cluster_.types().size() && type < job.allowed_type.size(); ++type) {
        if (job.allowed_type[type] == 0 || !std::isfinite(job.relative_cost_of(type, false)))
            continue;
        if (demand_forecast_.required_by_some_work(type) && type != job.cheapest_type) continue;
        if (!type_backing_off(job, type, now)) return false;
    }
    return true;
}

bool JobQueue::type_backing_off(const Job& job, Index type, Millis now) const {
    for (const std::string& zone_name : cluster_.types()[type].zones) {
        const Index zone = cluster_.zones().find(zone_name);
        if (job.zone != kNone && zone != job.zone) continue;
        if (!provisioning_.is_backing_off({type, zone, false}, now)) return false;
        if (may_use_spot(job) && !provisioning_.is_backing_off({type, zone, true}, now))
            return false;
    }
    return true;
}

// The queue is served in order, so a job waits until the jobs before it are served.
void JobQueue::forecast(const std::vector<Job*>& queue, Millis now) {
    double queue_s = 0;  // time until the jobs up to the current one are served
    shortage_ = {};
    for (Job* job : queue) {
        if (job->spec.shape != wire::Shape::array) continue;
        job->any_machine_type_allowed = all_kinds_backing_off(*job, now);
        const ServiceEstimate estimate = estimate_service(*job, now);
        // Running tasks have, on average, half of their run time left.
        if (queue_s == 0) queue_s = estimate.run_s / 2;
        queue_s += job->placeable_tasks() * estimate.run_s / estimate.slots;
        const double missing = missing_slots(*job, estimate, queue_s, now);
        if (missing == 0) continue;
        shortage_.cpus += std::ceil(missing) * std::max(kMinCpusPerTask, job->spec.cpus);
        shortage_.job = job->index;
    }
}

JobQueue::ServiceEstimate JobQueue::estimate_service(const Job& job, Millis now) const {
    const std::vector<forecast::TypeDemand>& demand = demand_forecast_.demand();
    const double cpus = std::max(kMinCpusPerTask, job.spec.cpus);
    ServiceEstimate estimate;
    // Capacity that was found missing for earlier jobs of the queue counts as available.
    double slots = shortage_.cpus / cpus;
    for (Index type = 0; type < demand.size() && type < cluster_.types().size(); ++type) {
        if (type >= job.allowed_type.size() || job.allowed_type[type] == 0) continue;
        const double per_machine = type < job.slots_by_type.size() ? job.slots_by_type[type] : 0;
        if (per_machine == 0 || rules_.reserved_for_other_work(job, type)) continue;
        estimate.boot_s = std::max(estimate.boot_s, cluster_.types()[type].boot_s);
        slots += per_machine * (demand[type].array_capacity[0] +
                                (job.spec.spot ? demand[type].array_capacity[1] : 0));
    }
    // Work of higher priority that is expected to arrive is served first.
    const double load_above = demand_forecast_.expected_higher_priority_load(job, now);
    estimate.slots = std::max({1.0, slots - load_above / cpus, slots * kMinShare});
    estimate.run_s = std::max(kMinRunS, demand_forecast_.expected_run_s(job));
    return estimate;
}

double JobQueue::missing_slots(Job& job, const ServiceEstimate& estimate, double& queue_s,
                               Millis now) const {
    const double run_s = estimate.run_s;
    const double last_start_s = std::max(0.0, queue_s - run_s);
    job.slack = jobs::ScheduleSlack::on_time;
    double missing = 0;
    for (const wire::Objective& objective : term_.settings().objectives) {
        const std::optional<double> due_s = due_in_s(job, objective, now);
        if (!due_s || *due_s > last_start_s) continue;
        job.slack = jobs::ScheduleSlack::at_risk;
        if (*due_s < estimate.boot_s) continue;  // a new machine would boot too late
        // A new slot can run several of the tasks, one after the other, before they are due.
        const double late_tasks = (last_start_s - *due_s) * estimate.slots / run_s;
        const double tasks_per_slot = 1 + (*due_s - estimate.boot_s) / run_s;
        missing =
            std::max(missing, std::min<double>(job.placeable_tasks(), late_tasks / tasks_per_slot));
        // With the new slots, the jobs up to this one are served by then. Later jobs must not count
        // the same delay again.
        queue_s = std::min(queue_s, *due_s + run_s);
    }
    return missing;
}

// Returns in how many seconds the last task must start to meet the objective with a margin. Returns
// nullopt if the objective does not apply to the job or can no longer be met.
std::optional<double> JobQueue::due_in_s(const Job& job, const wire::Objective& objective,
                                         Millis now) const {
    const std::optional<Millis> due = latest_start(job, objective);
    if (!due || *due < now) return std::nullopt;
    const auto allowed = static_cast<double>(std::max<Millis>(0, *due - job.accepted_at));
    const auto margin = static_cast<Millis>(kSafetyMargin * allowed);
    return static_cast<double>(std::max<Millis>(0, *due - margin - now)) / 1000.0;
}

// Returns when the tasks of the job must start to meet the objective, or nullopt if the objective
// does not apply to the job.
std::optional<Millis> JobQueue::latest_start(const Job& job,
                                             const wire::Objective& objective) const {
    using Kind = wire::Objective::Kind;
    if (objective.job_class != job.spec.job_class) return std::nullopt;
    if (objective.kind == Kind::wait) return job.accepted_at + seconds(objective.within_s);
    const Millis run_time = seconds(demand_forecast_.expected_run_s(job));
    if (objective.kind == Kind::finished)
        return job.accepted_at + seconds(objective.within_s) - run_time;
    if (objective.kind == Kind::deadline && job.spec.deadline_s)
        return job.accepted_at + seconds(*job.spec.deadline_s * objective.times) - run_time;
    return std::nullopt;
}

}  // namespace nickelramp::scheduling
