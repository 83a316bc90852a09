#include "schedule/order.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace nickelramp::schedule {

using jobs::Job;
using wire::Priority;

namespace {
constexpr double kLeastShare = 0.25;  // of the places, that others never take from an array
constexpr double kEarly = 0.1;  // of the time that an objective gives, kept for what goes wrong
}  // namespace

// Production first, then what a team is owed, then the rest; by priority and arrival within.
std::vector<Job*> Order::queue(Millis now) {
    std::vector<Job*> out;
    book_.prune_waiting();
    for (Index i : book_.waiting()) {
        Job* j = book_.job_at(i);
        if (now >= j->hold_until) out.push_back(j);
    }
    auto rank = [](const Job* j) {
        if (j->spec.priority == Priority::production) return 0;
        int p = 3 - static_cast<int>(j->spec.priority);
        return j->within_guarantee ? p : p + 4;
    };
    for (Job* j : out) j->urgency = urgency(*j, now);
    std::sort(out.begin(), out.end(), [&](const Job* a, const Job* b) {
        int ra = rank(a), rb = rank(b);
        if (ra != rb) return ra < rb;
        // Those that have time let the others go first, or newer and smaller ones would pass a
        // large job until it is late.
        return std::tie(a->urgency.missed, b->patience, a->urgency.work, a->accepted_at,
                        a->spec.id) < std::tie(b->urgency.missed, a->patience, b->urgency.work,
                                               b->accepted_at, b->spec.id);
    });
    return out;
}

// How many of its class's objectives a job can no longer meet, and when it must start for the next
// one. A job that is late already lets those go first that are not.
jobs::Urgency Order::urgency(const Job& j, Millis now) const {
    jobs::Urgency u;
    if (j.spec.shape != wire::Shape::array) return u;
    Millis first = kNever;
    for (const wire::Objective& o : term_.settings().objectives) {
        if (o.kind == wire::Objective::Kind::wait) continue;
        auto start_by = start_due(j, o);
        if (!start_by) continue;
        if (*start_by < now)
            ++u.missed;
        else
            first = std::min(first, *start_by);
    }
    u.start_by = first;
    u.work = j.wanted() * std::max(1.0, outlook_.expected_run_s(j));
    return u;
}

// Has the cloud refused every kind of machine that is not kept for other work?
bool Order::all_refused(const Job& j, Millis now) const {
    for (Index t = 0; t < book_.types().size() && t < j.allowed_type.size(); ++t) {
        if (j.allowed_type[t] == 0 || !std::isfinite(j.dearness_of(t, false))) continue;
        if (outlook_.sole(t) && t != j.best_type) continue;
        for (const std::string& zone : book_.types()[t].zones) {
            const Index z = book_.zones().find(zone);
            if (j.zone != kNone && z != j.zone) continue;
            for (bool spot : {false, true}) {
                if (spot && (!j.spec.spot || term_.options().use_spot == 0)) continue;
                if (!market_.refused({t, z, spot}, now)) return false;
            }
        }
    }
    return true;
}

// Which arrays will be late with the machines that there are, and how many dear ones must be hired
// so that they are not? The queue is served in order, so a job waits for the work before it.
void Order::foresee(const std::vector<Job*>& queue, Millis now) {
    const std::vector<outlook::Demand>& demand = outlook_.demand();
    double queue_s = 0;  // until the queue so far is served
    lacking_.cpus = 0;
    lacking_.job = kNone;
    for (Job* j : queue) {
        if (j->spec.shape != wire::Shape::array) continue;
        const double cpus = std::max(0.01, j->spec.cpus);
        j->anywhere = all_refused(*j, now);
        double places = lacking_.cpus / cpus;
        double boot_s = 0;
        for (Index t = 0; t < demand.size() && t < book_.types().size(); ++t) {
            if (t >= j->allowed_type.size() || j->allowed_type[t] == 0) continue;
            const wire::MachineType& type = book_.types()[t];
            const double each = t < j->places_on.size() ? j->places_on[t] : 0;
            if (each == 0 || rules_.left_to_others(*j, t)) continue;
            boot_s = std::max(boot_s, type.boot_s);
            places += each * (demand[t].flexible[0] + (j->spec.spot ? demand[t].flexible[1] : 0));
        }
        // Work of higher priority goes on coming, and goes first.
        places =
            std::max({1.0, places - outlook_.steady_above(*j, now) / cpus, places * kLeastShare});
        const double run_s = std::max(1.0, outlook_.expected_run_s(*j));
        // What runs now ends, on average, after half its time.
        if (queue_s == 0) queue_s = run_s / 2;
        queue_s += j->wanted() * run_s / places;
        const double last_s = std::max(0.0, queue_s - run_s);
        j->patience = jobs::Patience::relaxed;
        double extra = 0;
        for (const wire::Objective& o : term_.settings().objectives) {
            auto due = start_due(*j, o);
            if (!due || *due < now) continue;
            const auto margin = static_cast<Millis>(
                kEarly * static_cast<double>(std::max<Millis>(0, *due - j->accepted_at)));
            const double due_s =
                static_cast<double>(std::max<Millis>(0, *due - margin - now)) / 1000.0;
            if (due_s > last_s) continue;
            j->patience = jobs::Patience::pressed;
            if (due_s < boot_s) continue;
            // A new place serves several tasks until they are due, one after the other.
            const double late = (last_s - due_s) * places / run_s;
            extra = std::max(extra,
                             std::min<double>(j->wanted(), late / (1 + (due_s - boot_s) / run_s)));
            // With those, the queue so far is served by then; the jobs behind must not count the
            // same delay again.
            queue_s = std::min(queue_s, due_s + run_s);
        }
        if (extra == 0) continue;
        lacking_.cpus += std::ceil(extra) * cpus;
        lacking_.job = j->index;
    }
}

// By when its tasks must start for this objective, if it is one of its class.
std::optional<Millis> Order::start_due(const Job& j, const wire::Objective& o) const {
    using Kind = wire::Objective::Kind;
    if (o.job_class != j.spec.job_class) return std::nullopt;
    if (o.kind == Kind::wait) return j.accepted_at + seconds(o.within_s);
    const Millis run = seconds(outlook_.expected_run_s(j));
    if (o.kind == Kind::finished) return j.accepted_at + seconds(o.within_s) - run;
    if (o.kind == Kind::deadline && j.spec.deadline_s) {
        return j.accepted_at + seconds(*j.spec.deadline_s * o.times) - run;
    }
    return std::nullopt;
}

}  // namespace nickelramp::schedule
