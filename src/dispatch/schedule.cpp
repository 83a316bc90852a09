// The order of jobs, and who gets which machine.
#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

#include "dispatch/dispatcher.h"

namespace nickelramp::dispatch {

using jobs::JobState;
using wire::Priority;

namespace {
constexpr Millis kPassGap = 20;          // news gathers this long
constexpr Millis kReservation = 12'000;  // beyond the time to save
constexpr Millis kSupplyGap = 250;       // a boot takes far longer
constexpr double kGangsSoonS = 20;
// The forecast of a queue's end may be off by so much.
constexpr double kVictimLate = 30;    // seconds of work that an array is worth more when it is late
constexpr double kLeastShare = 0.25;  // of the places, that others never take from an array
constexpr double kEarly = 0.1;  // of the time that an objective gives, kept for what goes wrong
constexpr Millis kMakeRoomGap = 500;        // for one job
constexpr Millis kRoomSoon = 2'000;         // a task that is told to stop is gone within this
constexpr std::size_t kMostLooked = 300;    // machines of a kind, for one job in one pass
constexpr std::size_t kMostSearched = 300;  // machines, for work that may be stopped
}  // namespace

// Type, zone, kind and trust; not how much is free.
bool Dispatcher::allowed(const Job& j, const Machine& m) const {
    if (m.type == kNone || m.type >= j.allowed_type.size() || j.allowed_type[m.type] == 0)
        return false;
    if (j.zone != kNone && j.zone != m.zone) return false;
    return j.spec.spot || !m.spot;
}

std::uint32_t Dispatcher::room_in_limit(const Job& j) const {
    if (role_ == Role::holder) return j.spec.tasks;  // the leader has set the room aside
    const wire::Team& rule = team_rules_[j.team];
    const Team& used = teams_[j.team];
    double most = 1e6;
    if (rule.cpus_max > 0 && j.spec.cpus > 0) {
        most = std::min(most, (rule.cpus_max - used.cpus + placing::kSlack) / j.spec.cpus);
    }
    if (rule.gpus_max > 0 && j.spec.gpus > 0) {
        most = std::min(most, (rule.gpus_max - used.gpus + placing::kSlack) / j.spec.gpus);
    }
    return most <= 0 ? 0 : static_cast<std::uint32_t>(most);
}

bool Dispatcher::within_limit(const Job& j, std::uint32_t tasks) const {
    return room_in_limit(j) >= tasks;
}

// Production first, then what a team is owed, then the rest; by priority and arrival within.
std::vector<Dispatcher::Job*> Dispatcher::queue(Millis now) {
    std::vector<Job*> out;
    std::erase_if(waiting_, [&](Index i) {
        Job* j = slots_[i];
        if (j->unstarted() == 0) {
            j->queued = false;
            j->starved_since = 0;
            return true;
        }
        if (now >= j->hold_until) out.push_back(j);
        return false;
    });
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
jobs::Urgency Dispatcher::urgency(const Job& j, Millis now) const {
    jobs::Urgency u;
    if (j.spec.shape != wire::Shape::array) return u;
    Millis first = kNever;
    for (const wire::Objective& o : settings_.objectives) {
        if (o.kind == wire::Objective::Kind::wait) continue;
        auto start_by = start_due(j, o);
        if (!start_by) continue;
        if (*start_by < now)
            ++u.missed;
        else
            first = std::min(first, *start_by);
    }
    u.start_by = first;
    u.work = j.unstarted() * std::max(1.0, expected_run_s(j));
    return u;
}

// Does a place there cost so much more than the cheapest that only need is a reason to take it?
bool Dispatcher::dear(const Job& j, Index type, bool spot) {
    return j.spec.shape == wire::Shape::array && j.dearness_of(type, spot) > placing::kDear;
}

// Is this type left to work that fits no other? Arrays that fit elsewhere take it only when the
// cloud has nothing else.
bool Dispatcher::left_to_others(const Job& j, Index type) const {
    return j.spec.shape == wire::Shape::array && !j.anywhere && j.best_type != type &&
           type < demand_.size() && demand_[type].sole;
}

// Has the cloud refused every kind of machine that is not kept for other work?
bool Dispatcher::all_refused(const Job& j, Millis now) const {
    for (Index t = 0; t < types_.size() && t < j.allowed_type.size(); ++t) {
        if (j.allowed_type[t] == 0 || !std::isfinite(j.dearness_of(t, false))) continue;
        if (t < demand_.size() && demand_[t].sole && t != j.best_type) continue;
        for (const std::string& zone : types_[t].zones) {
            const Index z = zone_names_.find(zone);
            if (j.zone != kNone && z != j.zone) continue;
            for (bool spot : {false, true}) {
                if (spot && (!j.spec.spot || options_.use_spot == 0)) continue;
                if (!market_.refused({t, z, spot}, now)) return false;
            }
        }
    }
    return true;
}

// Which arrays will be late with the machines that there are, and how many dear ones must be hired
// so that they are not? The queue is served in order, so a job waits for the work before it.
void Dispatcher::foresee(const std::vector<Job*>& queue, Millis now) {
    double queue_s = 0;  // until the queue so far is served
    dear_to_hire_ = 0;
    dear_for_ = kNone;
    for (Job* j : queue) {
        if (j->spec.shape != wire::Shape::array) continue;
        const double cpus = std::max(0.01, j->spec.cpus);
        j->anywhere = all_refused(*j, now);
        double places = dear_to_hire_ / cpus;
        double boot_s = 0;
        for (Index t = 0; t < demand_.size() && t < types_.size(); ++t) {
            if (t >= j->allowed_type.size() || j->allowed_type[t] == 0) continue;
            const wire::MachineType& type = types_[t];
            const double each = t < j->places_on.size() ? j->places_on[t] : 0;
            if (each == 0 || left_to_others(*j, t)) continue;
            boot_s = std::max(boot_s, type.boot_s);
            places += each * (demand_[t].flexible[0] + (j->spec.spot ? demand_[t].flexible[1] : 0));
        }
        // Work of higher priority goes on coming, and goes first.
        places = std::max({1.0, places - steady_above(*j, now) / cpus, places * kLeastShare});
        const double run_s = std::max(1.0, expected_run_s(*j));
        // What runs now ends, on average, after half its time.
        if (queue_s == 0) queue_s = run_s / 2;
        queue_s += j->unstarted() * run_s / places;
        const double last_s = std::max(0.0, queue_s - run_s);
        j->patience = jobs::Patience::relaxed;
        double extra = 0;
        for (const wire::Objective& o : settings_.objectives) {
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
            extra = std::max(
                extra, std::min<double>(j->unstarted(), late / (1 + (due_s - boot_s) / run_s)));
            // With those, the queue so far is served by then; the jobs behind must not count the
            // same delay again.
            queue_s = std::min(queue_s, due_s + run_s);
        }
        if (extra == 0) continue;
        dear_to_hire_ += std::ceil(extra) * cpus;
        dear_for_ = j->index;
    }
}

// What arrays of higher priority take on average, in cpus.
double Dispatcher::steady_above(const Job& j, Millis now) {
    double sum = 0;
    for (Learned& l : learned_) {
        if (l.weight <= 0 || l.priority <= j.spec.priority) continue;
        sum += l.work.within(1, now) * l.ran_s / l.weight;
    }
    return sum;
}

// By when its tasks must start for this objective, if it is one of its class.
std::optional<Millis> Dispatcher::start_due(const Job& j, const wire::Objective& o) const {
    using Kind = wire::Objective::Kind;
    if (o.job_class != j.spec.job_class) return std::nullopt;
    if (o.kind == Kind::wait) return j.accepted_at + seconds(o.within_s);
    const Millis run = seconds(expected_run_s(j));
    if (o.kind == Kind::finished) return j.accepted_at + seconds(o.within_s) - run;
    if (o.kind == Kind::deadline && j.spec.deadline_s) {
        return j.accepted_at + seconds(*j.spec.deadline_s * o.times) - run;
    }
    return std::nullopt;
}

void Dispatcher::schedule(Millis now) {
    if (!started_ || deposed_) return;
    dirty_ = false;
    tend_jobs(now);
    // A long queue is looked through less often.
    next_pass_ = now + kPassGap + static_cast<Millis>(waiting_.size() / 4);
    std::vector<Job*> unplaced;
    for (Demand& d : demand_) d.whole_waiting = false;
    const std::vector<Job*> order = queue(now);
    foresee(order, now);
    for (Job* j : order) {
        if (confirmed_ && !lend_job(*j, now)) {
            try_job(*j, now);
            if (now >= commit_due(*j))
                commit_job(*j, now);
            else
                attend(*j, now);
        }
        if (j->unstarted() > 0) {
            if (j->starved_since == 0) j->starved_since = now;
            unplaced.push_back(j);
            if (j->best_type != kNone && learned_[j->job_class].whole) {
                demand_of(j->best_type).whole_waiting = true;
            }
        }
    }
    if (confirmed_ && role_ == Role::leader) {
        starving_ = !unplaced.empty();
        check_leases(now);
        if (now >= next_supply_) {
            next_supply_ = now + kSupplyGap;
            plan_supply(unplaced, now);
        } else if (starving_) {
            dirty_ = true;
        }
    }
    flush_poked(now);
}

bool Dispatcher::try_job(Job& j, Millis now) {
    // Replicas stay for long: they take a dear place only when room on a cheap one can't be made
    // soon.
    j.avoids_dear = j.service() && (j.starved_since == 0 || now - j.starved_since < kRoomSoon);
    if (j.gang() ? place_gang(j, now) : place_some(j, now)) return true;
    std::uint32_t want = j.gang() ? j.spec.tasks : std::min(j.unstarted(), room_in_limit(j));
    bool coming = want > 0 && within_limit(j, want) && make_room(j, want, now);
    if (!j.avoids_dear || coming || j.unstarted() == 0) return false;
    j.avoids_dear = false;
    return place_some(j, now);
}

// May a task of it start there now?
bool Dispatcher::may_get(const Job& j, const Machine& m, const Need& need, Millis now) const {
    if (!m.open() || !allowed(j, m) || now < m.probation_until) return false;
    if (m.reserved_for != kNone && m.reserved_for != j.index && now < m.reserved_until)
        return false;
    return placing::covers(m.cpus_free, m.gpus_free, m.memory_free, need);
}

// Is the machine better not used for the job, though it would fit? What gangs leave of one that
// must be paid for anyway costs nothing; replicas move away from it.
bool Dispatcher::leaves_alone(const Job& j, const Machine& m) const {
    if (j.service()) return j.avoids_dear && j.dearness_of(m.type, m.spot) > placing::kDear;
    if (m.gangs > 0) return false;
    return left_to_others(j, m.type);
}

// Is room there kept for replicas that will come before another machine could boot?
bool Dispatcher::kept_for_replicas(const Job& j, const Machine& m, double kept) const {
    return j.spec.spot && m.counts_for_replicas && standing_.places <= kept;
}

// The machines that a task of it may start on now; of very many, some.
std::vector<Dispatcher::Machine*> Dispatcher::fitting(const Job& j, const Need& need, Millis now) {
    std::vector<Machine*> out;
    std::size_t looked = 0;
    openings_.each(
        need,
        [&](const placing::Openings::Kind& kind) {
            looked = 0;
            return (j.spec.spot || !kind.spot) && (j.zone == kNone || j.zone == kind.zone);
        },
        [&](Index i) {
            Machine* m = roster_.at(i);
            if (may_get(j, *m, need, now)) out.push_back(m);
            return ++looked < kMostLooked;
        });
    return out;
}

// Blank machines that gangs need, or will within seconds, are not for those that spot machines
// serve as well: they would be stopped again at once.
bool Dispatcher::keeps_blank(Index type, Millis now) {
    Demand& d = demand_of(type);
    return d.whole_waiting ||
           d.blank <= static_cast<std::size_t>(d.whole.deviation(kGangsSoonS, now));
}

std::vector<std::uint32_t> Dispatcher::live_by_zone(const Job& j) {
    std::vector<std::uint32_t> out(zone_names_.size());
    for (const auto& a : j.attempts) {
        const Machine* m = machine_of(*a);
        if (a->live() && m != nullptr && m->zone != kNone) ++out[m->zone];
    }
    return out;
}

// Arrays and services: one task after the other.
bool Dispatcher::place_some(Job& j, Millis now) {
    Need need = placing::need_of(j);
    std::vector<std::uint32_t> in_zone(zone_names_.size());
    Index only_zone = kNone;
    if (j.spec.one_zone || j.spec.spread) {
        for (const auto& a : j.attempts) {
            if (!a->live()) continue;
            Machine* m = machine_of(*a);
            // One of its tasks may be on a machine whose zone is not known yet.
            if (m == nullptr || m->zone == kNone) return false;
            ++in_zone[m->zone];
            only_zone = m->zone;
        }
    }
    const std::uint32_t half = (j.spec.tasks + 1) / 2;
    struct Choice {
        double cost;
        Machine* machine;
        bool operator<(const Choice& o) const {  // the cheapest comes first off a heap
            return std::tie(cost, machine->index) > std::tie(o.cost, o.machine->index);
        }
    };
    auto rated = [&](Machine* m) {
        double c = placing::cost(j, *m, types_[m->type]);
        if (m->reserved_for == j.index) c -= 30;
        if (std::find(j.failed_on.begin(), j.failed_on.end(), m->index) != j.failed_on.end()) {
            c += 60;
        }
        return Choice{c, m};
    };
    std::vector<Choice> heap;
    if (within_limit(j, 1)) {
        for (Machine* m : fitting(j, need, now)) {
            if (now < m->closed_until || leaves_alone(j, *m)) continue;
            heap.push_back(rated(m));
        }
    }
    std::make_heap(heap.begin(), heap.end());
    const double kept = standing_wanted(now);
    while (!heap.empty() && j.unstarted() > 0 && within_limit(j, 1)) {
        std::pop_heap(heap.begin(), heap.end());
        Machine* m = heap.back().machine;
        heap.pop_back();
        if (m->blank && j.spec.spot && keeps_blank(m->type, now)) continue;
        if (m->places > 0 && kept_for_replicas(j, *m, kept)) continue;
        if (j.spec.one_zone && only_zone != kNone && m->zone != only_zone) continue;
        if (j.spec.spread && in_zone[m->zone] >= half) continue;
        std::uint32_t task, number;
        if (!j.waiting.empty()) {
            task = j.waiting.back().task;
            number = j.waiting.back().last_attempt + 1;
        } else {
            task = j.next_fresh;
            number = 1;
        }
        if (place(j, task, number, *m, now) == nullptr) return false;
        if (!j.waiting.empty())
            j.waiting.pop_back();
        else
            ++j.next_fresh;
        ++in_zone[m->zone];
        only_zone = m->zone;
        if (placing::covers(m->cpus_free, m->gpus_free, m->memory_free, need)) {
            heap.push_back(rated(m));
            std::push_heap(heap.begin(), heap.end());
        }
    }
    return j.unstarted() == 0;
}

// A gang goes as a whole or not at all.
bool Dispatcher::place_gang(Job& j, Millis now) {
    if (!within_limit(j, j.spec.tasks)) return false;
    Need need = placing::need_of(j);
    struct Choice {
        Machine* machine;
        std::uint32_t room;
        double cost;
    };
    std::vector<Choice> options;
    for (Machine* m : fitting(j, need, now)) {
        std::uint32_t room =
            placing::how_many(m->cpus_free, m->gpus_free, m->memory_free, need, j.spec.tasks);
        double c = placing::cost(j, *m, types_[m->type]);
        if (m->reserved_for == j.index) c -= 30;
        options.push_back({m, room, c});
    }
    std::sort(options.begin(), options.end(), [](const Choice& a, const Choice& b) {
        return std::tie(a.cost, a.machine->index) < std::tie(b.cost, b.machine->index);
    });
    std::vector<Choice> best;
    double best_cost = 0;
    const std::uint32_t half = (j.spec.tasks + 1) / 2;
    const Index zones = static_cast<Index>(zone_names_.size());
    for (Index z = 0; z <= zones && !options.empty(); ++z) {
        // Each zone alone; all zones together only for gangs that may be split.
        if (z == zones && j.spec.one_zone) break;
        if (z < zones && j.spec.spread && j.spec.tasks > 1) continue;
        std::vector<Choice> chosen;
        std::vector<std::uint32_t> in_zone(zones);
        std::uint32_t left = j.spec.tasks;
        double worst = 0;
        for (const Choice& o : options) {
            if (z < zones && o.machine->zone != z) continue;
            std::uint32_t k = std::min(o.room, left);
            if (j.spec.spread) k = std::min(k, half - std::min(half, in_zone[o.machine->zone]));
            if (k == 0) continue;
            chosen.push_back({o.machine, k, o.cost});
            in_zone[o.machine->zone] += k;
            worst = std::max(worst, o.cost);
            left -= k;
            if (left == 0) break;
        }
        if (left > 0) continue;
        if (best.empty() || worst < best_cost) {
            best = chosen;
            best_cost = worst;
        }
    }
    if (best.empty()) return false;
    std::uint32_t number = ++j.gang_attempt;
    std::uint32_t task = 0;
    j.gang_broken = false;
    for (const Choice& c : best) {
        for (std::uint32_t k = 0; k < c.room; ++k) {
            if (place(j, task++, number, *c.machine, now) == nullptr) {
                stop_all(j, now);
                return false;
            }
        }
    }
    while (!j.reserved.empty()) drop_reservation(*roster_.at(j.reserved.back()));
    return true;
}

// May this attempt be stopped so that the job gets its place?
bool Dispatcher::may_evict(const Attempt& a, const Job& j) {
    const Job& victim = job_of(a);
    if (victim.index == j.index || victim.state != JobState::open) return false;
    if (victim.spec.priority < j.spec.priority) return true;
    if (!j.within_guarantee || victim.team == j.team || victim.within_guarantee) return false;
    const wire::Team& rule = team_rules_[victim.team];
    const Team& used = teams_[victim.team];
    return used.gpus > rule.gpus + placing::kSlack || (rule.gpus <= 0 && used.cpus > rule.cpus);
}

// Stops the least valuable work on as many machines as the job needs, and keeps them for it. Of
// many machines it looks at some, and the next time at others.
bool Dispatcher::make_room(Job& j, std::uint32_t tasks, Millis now) {
    if (j.spec.priority < Priority::high && !j.within_guarantee) return false;
    if (now < j.make_room_at) return j.room_coming;
    j.make_room_at = now + kMakeRoomGap;
    j.room_coming = false;
    Need need = placing::need_of(j);
    struct Room {
        double cpus, gpus, memory_gb;
        void add(const Job& v) {
            cpus += v.spec.cpus;
            gpus += v.spec.gpus;
            memory_gb += v.spec.memory_gb;
        }
    };
    // What is free, or will be when those have gone that were told to.
    auto room_of = [&](const Machine& m) {
        Room r{m.cpus_free, m.gpus_free, m.memory_free};
        for (Attempt* a : m.attempts) {
            if (a->live() && a->must_go) r.add(job_of(*a));
        }
        return r;
    };
    std::uint32_t coming = 0;  // room that is being made already
    for (Index i : j.reserved) {
        Machine& m = *roster_.at(i);
        if (!m.open() || now >= m.reserved_until) continue;
        Room r = room_of(m);
        coming += placing::how_many(r.cpus, r.gpus, r.memory_gb, need, tasks);
    }
    if (coming >= tasks) return j.room_coming = true;
    struct Plan {
        Machine* machine;
        std::vector<Attempt*> victims;
        std::uint32_t room;
        double cost;
    };
    std::vector<Plan> plans;
    const Millis boot = types_.empty() ? 0 : seconds(types_.front().boot_s);
    Index fixed_zone = kNone;
    if (j.spec.one_zone) {
        for (const auto& a : j.attempts) {
            if (Machine* m = machine_of(*a); m != nullptr && a->live()) fixed_zone = m->zone;
        }
    }
    const double kept = standing_wanted(now);
    const auto& all = roster_.all();
    const std::size_t looks = std::min(all.size(), kMostSearched);
    for (std::size_t k = 0; k < looks; ++k) {
        Machine* m = all[(sought_from_ + k) % all.size()];
        if (!m->open() || !allowed(j, *m) || now < m->probation_until) continue;
        if (fixed_zone != kNone && m->zone != fixed_zone) continue;
        // Room where the job is not placed would be waited for in vain.
        if (leaves_alone(j, *m) || kept_for_replicas(j, *m, kept)) continue;
        if (m->reserved_for != kNone && now < m->reserved_until) continue;
        Room free = room_of(*m);
        std::vector<std::pair<double, Attempt*>> evictable;
        for (Attempt* a : m->attempts) {
            if (!a->live() || a->must_go || !may_evict(*a, j)) continue;
            const Job& v = job_of(*a);
            // Ending a gang throws more away than a wait for the next machine costs.
            if (v.gang() && (j.starved_since == 0 || now - j.starved_since < boot)) continue;
            double lost = v.gang() ? 40.0 * v.spec.tasks : 0;
            double run_s =
                a->running_since == 0 ? 0 : static_cast<double>(now - a->running_since) / 1000.0;
            lost += v.spec.checkpoint_s > 0 ? v.spec.save_s + 2 : run_s;
            lost += 5.0 * static_cast<double>(v.spec.priority);
            if (v.patience == jobs::Patience::pressed) lost += kVictimLate;
            evictable.push_back({lost, a});
        }
        std::sort(evictable.begin(), evictable.end(),
                  [](const auto& a, const auto& b) { return a.first < b.first; });
        Plan plan{m, {}, 0, placing::cost(j, *m, types_[m->type])};
        std::uint32_t wanted = j.gang() ? 1 : tasks;
        auto holds = [&] {
            return placing::how_many(free.cpus, free.gpus, free.memory_gb, need, wanted);
        };
        for (const auto& [lost, a] : evictable) {
            if (holds() >= wanted) break;
            free.add(job_of(*a));
            plan.victims.push_back(a);
            plan.cost += lost;
        }
        plan.room = placing::how_many(free.cpus, free.gpus, free.memory_gb, need, tasks);
        if (plan.room == 0) continue;
        plan.cost /= plan.room;
        plans.push_back(std::move(plan));
    }
    sought_from_ += looks;
    std::uint32_t left = tasks - coming;
    std::sort(plans.begin(), plans.end(),
              [](const Plan& a, const Plan& b) { return a.cost < b.cost; });
    if (j.gang() && j.spec.one_zone) {
        // All in the zone that offers enough for least.
        Index zone = kNone;
        double least = 0;
        for (Index z = 0; z < zone_names_.size(); ++z) {
            std::uint32_t room = 0;
            double sum = 0;
            for (const Plan& p : plans) {
                if (p.machine->zone != z || room >= tasks) continue;
                room += p.room;
                sum += p.cost;
            }
            if (room >= tasks && (zone == kNone || sum < least)) {
                zone = z;
                least = sum;
            }
        }
        if (zone == kNone) return false;
        std::erase_if(plans, [&](const Plan& p) { return p.machine->zone != zone; });
    }
    std::uint32_t room = 0;
    for (const Plan& p : plans) room += p.room;
    if (j.gang() && room < left) return false;
    std::vector<std::uint32_t> in_zone(zone_names_.size());
    if (j.spec.spread) in_zone = live_by_zone(j);
    const std::uint32_t half = (j.spec.tasks + 1) / 2;
    for (const Plan& p : plans) {
        if (left == 0) break;
        std::uint32_t gets = std::min(left, p.room);
        if (j.spec.spread) gets = std::min(gets, half - std::min(half, in_zone[p.machine->zone]));
        if (gets == 0) continue;
        in_zone[p.machine->zone] += gets;
        left -= gets;
        reserve(*p.machine, j, now + kReservation);
        for (Attempt* a : p.victims) {
            // Ending one member of a gang may have ended others of the list.
            auto& there = p.machine->attempts;
            if (std::find(there.begin(), there.end(), a) == there.end()) continue;
            p.machine->reserved_until = std::max(
                p.machine->reserved_until, now + seconds(job_of(*a).spec.save_s) + kReservation);
            spdlog::debug("task {}/{} makes room for {} on {}", job_of(*a).spec.id, a->task,
                          j.spec.id, p.machine->name);
            stop_saving(*a, now);
        }
    }
    return j.room_coming = left == 0;
}

}  // namespace nickelramp::dispatch
