#include "scheduling/job_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace nickelramp::scheduling {

using jobs::Job;
using wire::Priority;

namespace {
constexpr double kLeastShare = 0.25;  // of the places, that others never take from an array
constexpr double kEarly = 0.1;  // of the time that an objective gives, kept for what goes wrong
}  // namespace

// Production first, then what a team is owed, then the rest; by priority and arrival within.
std::vector<Job*> JobQueue::ordered_jobs(Millis now) {
    std::vector<Job*> out;
    cluster_.prune_pending_jobs();
    for (Index i : cluster_.pending_jobs()) {
        Job* job = cluster_.job_by_index(i);
        if (now >= job->backoff_until) out.push_back(job);
    }
    auto rank = [](const Job* job) {
        if (job->spec.priority == Priority::production) return 0;
        int p = 3 - static_cast<int>(job->spec.priority);
        return job->within_guaranteed_quota ? p : p + 4;
    };
    for (Job* job : out) job->urgency = urgency(*job, now);
    std::sort(out.begin(), out.end(), [&](const Job* a, const Job* b) {
        int ra = rank(a), rb = rank(b);
        if (ra != rb) return ra < rb;
        // Those that have time let the others go first, or newer and smaller ones would pass a
        // large job until it is late.
        return std::tie(a->urgency.missed_objectives, b->slack, a->urgency.waiting_work_s,
                        a->accepted_at, a->spec.id) < std::tie(b->urgency.missed_objectives,
                                                               a->slack, b->urgency.waiting_work_s,
                                                               b->accepted_at, b->spec.id);
    });
    return out;
}

// How many of its class's objectives a job can no longer meet, and when it must start for the next
// one. A job that is late already lets those go first that are not.
jobs::Urgency JobQueue::urgency(const Job& job, Millis now) const {
    jobs::Urgency u;
    if (job.spec.shape != wire::Shape::array) return u;
    Millis first = kNever;
    for (const wire::Objective& objective : term_.settings().objectives) {
        if (objective.kind == wire::Objective::Kind::wait) continue;
        auto start_by = latest_start(job, objective);
        if (!start_by) continue;
        if (*start_by < now)
            ++u.missed_objectives;
        else
            first = std::min(first, *start_by);
    }
    u.start_by = first;
    u.waiting_work_s = job.placeable_tasks() * std::max(1.0, demand_forecast_.expected_run_s(job));
    return u;
}

// Has the cloud refused every kind of machine that is not kept for other work?
bool JobQueue::all_kinds_backing_off(const Job& job, Millis now) const {
    for (Index t = 0; t < cluster_.types().size() && t < job.allowed_type.size(); ++t) {
        if (job.allowed_type[t] == 0 || !std::isfinite(job.relative_cost_of(t, false))) continue;
        if (demand_forecast_.required_by_some_work(t) && t != job.cheapest_type) continue;
        for (const std::string& zone : cluster_.types()[t].zones) {
            const Index z = cluster_.zones().find(zone);
            if (job.zone != kNone && z != job.zone) continue;
            for (bool spot : {false, true}) {
                if (spot && (!job.spec.spot || term_.options().use_spot == 0)) continue;
                if (!provisioning_.is_backing_off({t, z, spot}, now)) return false;
            }
        }
    }
    return true;
}

// Which arrays will be late with the machines that there are, and how many dear ones must be hired
// so that they are not? The queue is served in order, so a job waits for the work before it.
void JobQueue::forecast(const std::vector<Job*>& queue, Millis now) {
    const std::vector<forecast::TypeDemand>& demand = demand_forecast_.demand();
    double queue_s = 0;  // until the queue so far is served
    shortage_.cpus = 0;
    shortage_.job = kNone;
    for (Job* job : queue) {
        if (job->spec.shape != wire::Shape::array) continue;
        const double cpus = std::max(0.01, job->spec.cpus);
        job->any_machine_type_allowed = all_kinds_backing_off(*job, now);
        double places = shortage_.cpus / cpus;
        double boot_s = 0;
        for (Index t = 0; t < demand.size() && t < cluster_.types().size(); ++t) {
            if (t >= job->allowed_type.size() || job->allowed_type[t] == 0) continue;
            const wire::MachineType& type = cluster_.types()[t];
            const double each = t < job->slots_by_type.size() ? job->slots_by_type[t] : 0;
            if (each == 0 || rules_.reserved_for_other_work(*job, t)) continue;
            boot_s = std::max(boot_s, type.boot_s);
            places += each * (demand[t].array_capacity[0] +
                              (job->spec.spot ? demand[t].array_capacity[1] : 0));
        }
        // Work of higher priority goes on coming, and goes first.
        places = std::max({1.0, places - demand_forecast_.expected_load_above(*job, now) / cpus,
                           places * kLeastShare});
        const double run_s = std::max(1.0, demand_forecast_.expected_run_s(*job));
        // What runs now ends, on average, after half its time.
        if (queue_s == 0) queue_s = run_s / 2;
        queue_s += job->placeable_tasks() * run_s / places;
        const double last_s = std::max(0.0, queue_s - run_s);
        job->slack = jobs::ScheduleSlack::on_time;
        double extra = 0;
        for (const wire::Objective& objective : term_.settings().objectives) {
            auto due = latest_start(*job, objective);
            if (!due || *due < now) continue;
            const auto margin = static_cast<Millis>(
                kEarly * static_cast<double>(std::max<Millis>(0, *due - job->accepted_at)));
            const double due_s =
                static_cast<double>(std::max<Millis>(0, *due - margin - now)) / 1000.0;
            if (due_s > last_s) continue;
            job->slack = jobs::ScheduleSlack::at_risk;
            if (due_s < boot_s) continue;
            // A new place serves several tasks until they are due, one after the other.
            const double late = (last_s - due_s) * places / run_s;
            extra = std::max(extra, std::min<double>(job->placeable_tasks(),
                                                     late / (1 + (due_s - boot_s) / run_s)));
            // With those, the queue so far is served by then; the jobs behind must not count the
            // same delay again.
            queue_s = std::min(queue_s, due_s + run_s);
        }
        if (extra == 0) continue;
        shortage_.cpus += std::ceil(extra) * cpus;
        shortage_.job = job->index;
    }
}

// By when its tasks must start for this objective, if it is one of its class.
std::optional<Millis> JobQueue::latest_start(const Job& job,
                                             const wire::Objective& objective) const {
    using Kind = wire::Objective::Kind;
    if (objective.job_class != job.spec.job_class) return std::nullopt;
    if (objective.kind == Kind::wait) return job.accepted_at + seconds(objective.within_s);
    const Millis run = seconds(demand_forecast_.expected_run_s(job));
    if (objective.kind == Kind::finished)
        return job.accepted_at + seconds(objective.within_s) - run;
    if (objective.kind == Kind::deadline && job.spec.deadline_s) {
        return job.accepted_at + seconds(*job.spec.deadline_s * objective.times) - run;
    }
    return std::nullopt;
}

}  // namespace nickelramp::scheduling
