#include "scheduling/scheduler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cmath>

namespace nickelramp::scheduling {

using jobs::Attempt;
using jobs::Job;
using machines::Machine;
using placement::Need;
using wire::Priority;

namespace {
constexpr Millis kReservation = 12'000;  // beyond the time to save
constexpr double kVictimLate = 30;    // seconds of work that an array is worth more when it is late
constexpr Millis kMakeRoomGap = 500;  // for one job
// The largest jobs too begin within four minutes: room in its team's limit is gathered for a gang
// from five eighths of that on, and made for it from three quarters on. Sooner, arrays wait longer
// than gangs gain (docs/rounds.md, round 49).
constexpr Millis kBeginWithin = 240'000;
constexpr Millis kGatherAfter = kBeginWithin * 5 / 8, kStopAfter = kBeginWithin * 3 / 4;
constexpr Millis kStopEvery = 5'000;
constexpr std::size_t kMostSearched = 300;  // machines, for work that may be stopped
constexpr std::size_t kSearchedEach = 2;    // at least, for each task of a gang in each zone

// Seconds of its work.
double stopping_costs(const Job& job, const Attempt& attempt, Millis now) {
    if (job.spec.checkpoint_s > 0) return job.spec.save_s + 2;
    return attempt.running_since == 0 ? 0
                                      : static_cast<double>(now - attempt.running_since) / 1000.0;
}
}  // namespace

bool Scheduler::place_job(Job& job, Millis now) {
    // One with a mistake fails everywhere: it is to show with one task that it has none any more.
    if (job.placeable_tasks() == 0) return true;
    // Replicas stay for long: they take a dear place only when room on a cheap one can't be made
    // soon.
    job.avoids_expensive_machines =
        job.is_service() && (job.unplaced_since == 0 || now - job.unplaced_since < kStopOverhead);
    if (job.is_gang() ? place_gang(job, now) : place_tasks(job, now)) return true;
    if (job.is_gang() && now - job.accepted_at > kGatherAfter) update_limit_wait(job, now);
    std::uint32_t want = job.is_gang()
                             ? job.spec.tasks
                             : std::min(job.placeable_tasks(), rules_.tasks_within_limit(job));
    bool coming = want > 0 && rules_.within_limit(job, want) && preempt_for(job, want, now);
    if (!job.avoids_expensive_machines || coming || job.unplaced_tasks() == 0) return false;
    job.avoids_expensive_machines = false;
    return place_tasks(job, now);
}

// Arrays and services: one task after the other.
bool Scheduler::place_tasks(Job& job, Millis now) {
    Need need = placement::need_of(job);
    std::vector<std::uint32_t> in_zone(cluster_.zones().size());
    Index only_zone = kNone;
    if (job.spec.one_zone || job.spec.spread) {
        for (const auto& attempt : job.attempts) {
            if (!attempt->live()) continue;
            Machine* machine = cluster_.machine_of(*attempt);
            // One of its tasks may be on a machine whose zone is not known yet.
            if (machine == nullptr || machine->zone == kNone) return false;
            ++in_zone[machine->zone];
            only_zone = machine->zone;
        }
    }
    const std::uint32_t half = (job.spec.tasks + 1) / 2;
    struct Choice {
        double cost;
        Machine* machine;
        bool operator<(const Choice& o) const {  // the cheapest comes first off a heap
            return std::tie(cost, machine->index) > std::tie(o.cost, o.machine->index);
        }
    };
    auto rated = [&](Machine* machine) {
        double c = placement::placement_cost(job, *machine, cluster_.types()[machine->type]);
        if (machine->reserved_for == job.index) c -= 30;
        if (std::find(job.failed_on.begin(), job.failed_on.end(), machine->index) !=
            job.failed_on.end()) {
            c += 60;
        }
        return Choice{c, machine};
    };
    std::vector<Choice> heap;
    // What is kept for other work is kept from it for so long; then it gets one place of that.
    WithheldCapacity withheld(job, now);
    if (rules_.within_limit(job, 1)) {
        for (Machine* machine : rules_.fitting_machines(job, need, now)) {
            if (withheld.withholds(now < machine->cordoned_until ||
                                   rules_.should_avoid(job, *machine)))
                continue;
            heap.push_back(rated(machine));
        }
    }
    std::make_heap(heap.begin(), heap.end());
    const double kept = forecast_.wanted_replica_slots(now);
    while (!heap.empty() && job.unplaced_tasks() > 0 && rules_.within_limit(job, 1)) {
        std::pop_heap(heap.begin(), heap.end());
        Machine* machine = heap.back().machine;
        heap.pop_back();
        if (withheld.withholds(now < machine->cordoned_until || rules_.should_avoid(job, *machine)))
            continue;
        if (job.spec.one_zone && only_zone != kNone && machine->zone != only_zone) continue;
        if (job.spec.spread && in_zone[machine->zone] >= half) continue;
        if (withheld.withholds(machine->empty_on_demand && job.spec.spot &&
                               forecast_.keeps_empty_machine(machine->type, now)))
            continue;
        if (withheld.withholds(machine->replica_slots > 0 &&
                               rules_.reserved_for_replicas(job, *machine, kept)))
            continue;
        std::uint32_t task, number;
        if (!job.retry_tasks.empty()) {
            task = job.retry_tasks.back().task;
            number = job.retry_tasks.back().last_attempt + 1;
        } else {
            task = job.next_unstarted_task;
            number = 1;
        }
        if (cluster_.add_attempt(job, task, number, *machine, now) == nullptr) return false;
        withheld.on_placed();
        if (!job.retry_tasks.empty())
            job.retry_tasks.pop_back();
        else
            ++job.next_unstarted_task;
        ++in_zone[machine->zone];
        only_zone = machine->zone;
        if (job.placeable_tasks() == 0) return true;
        if (placement::fits_within(machine->cpus_free, machine->gpus_free, machine->memory_free,
                                   need)) {
            heap.push_back(rated(machine));
            std::push_heap(heap.begin(), heap.end());
        }
    }
    withheld.record(job, now);
    return job.unplaced_tasks() == 0;
}

// A gang goes as a whole or not at all.
bool Scheduler::place_gang(Job& job, Millis now) {
    if (!rules_.within_limit(job, job.spec.tasks)) return false;
    Need need = placement::need_of(job);
    struct Choice {
        Machine* machine;
        std::uint32_t room;
        double cost;
    };
    std::vector<Choice> options;
    for (Machine* machine : rules_.fitting_machines(job, need, now)) {
        std::uint32_t room = placement::tasks_that_fit(machine->cpus_free, machine->gpus_free,
                                                       machine->memory_free, need, job.spec.tasks);
        double c = placement::placement_cost(job, *machine, cluster_.types()[machine->type]);
        if (machine->reserved_for == job.index) c -= 30;
        options.push_back({machine, room, c});
    }
    std::sort(options.begin(), options.end(), [](const Choice& a, const Choice& b) {
        return std::tie(a.cost, a.machine->index) < std::tie(b.cost, b.machine->index);
    });
    std::vector<Choice> best;
    double best_cost = 0;
    const std::uint32_t half = (job.spec.tasks + 1) / 2;
    const Index zones = static_cast<Index>(cluster_.zones().size());
    for (Index z = 0; z <= zones && !options.empty(); ++z) {
        // Each zone alone; all zones together only for gangs that may be split.
        if (z == zones && job.spec.one_zone) break;
        if (z < zones && job.spec.spread && job.spec.tasks > 1) continue;
        std::vector<Choice> chosen;
        std::vector<std::uint32_t> in_zone(zones);
        std::uint32_t left = job.spec.tasks;
        double worst = 0;
        for (const Choice& o : options) {
            if (z < zones && o.machine->zone != z) continue;
            std::uint32_t k = std::min(o.room, left);
            if (job.spec.spread) k = std::min(k, half - std::min(half, in_zone[o.machine->zone]));
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
    std::uint32_t number = ++job.gang_attempt;
    std::uint32_t task = 0;
    job.gang_broken = false;
    for (const Choice& c : best) {
        for (std::uint32_t k = 0; k < c.room; ++k) {
            if (cluster_.add_attempt(job, task++, number, *c.machine, now) == nullptr) {
                cluster_.stop_all_attempts(job, now);
                return false;
            }
        }
    }
    while (!job.reserved_machines.empty())
        cluster_.release_reservation(*cluster_.machine_by_index(job.reserved_machines.back()));
    return true;
}

// What was gathered in its team's limit is kept for a gang that fits it for as long as a machine
// for it would take; then others may have it again, and it is gathered anew when need be.
void Scheduler::update_limit_wait(Job& gang, Millis now) {
    if (!rules_.within_limit(gang, gang.spec.tasks)) {
        gang.fits_limit_since = 0;
        if (cluster_.may_reserve_quota(gang.team, now)) preempt_within_limit(gang, now);
        return;
    }
    if (gang.fits_limit_since == 0) {
        gang.fits_limit_since = now;
        // What was said of room in the limit says nothing of room on machines.
        gang.preemption_under_way = false;
        gang.next_preemption_at = 0;
    }
    const Millis boot = cluster_.types().empty() ? 0 : seconds(cluster_.types().front().boot_s);
    if (now - gang.fits_limit_since <= boot + kReservation) return;
    cluster_.pause_quota_reservation(gang, now);
}

// Its team's own work takes the limit. What comes free is kept for the gang, and after a while work
// of lower priority is stopped, as little as will do.
void Scheduler::preempt_within_limit(Job& gang, Millis now) {
    const wire::Team& rule = cluster_.team_rule(gang.team);
    const cluster::TeamUsage& used = cluster_.team_usage(gang.team);
    // What would have to go, beside what other gangs and replicas have.
    double gpus =
        rule.gpus_max > 0 ? used.gpus + gang.spec.gpus * gang.spec.tasks - rule.gpus_max : 0;
    double cpus =
        rule.cpus_max > 0 ? used.cpus + gang.spec.cpus * gang.spec.tasks - rule.cpus_max : 0;
    auto enough = [&](double free_gpus, double free_cpus) {
        return gpus <= free_gpus + placement::kFitTolerance &&
               cpus <= free_cpus + placement::kFitTolerance;
    };
    if (gang.preemption_under_way || enough(used.array_gpus, used.array_cpus))
        cluster_.reserve_quota(gang, now);
    else
        cluster_.release_reserved_quota(gang);  // it would idle until those have ended
    if (now - gang.accepted_at < kStopAfter || now < gang.next_preemption_at) return;
    gang.next_preemption_at = now + kStopEvery;
    std::vector<std::pair<double, Attempt*>> victims;
    double their_gpus = 0, their_cpus = 0;
    for (const auto& [id, v] : cluster_.jobs()) {
        if (v->team != gang.team || v->spec.priority >= gang.spec.priority || v->live_attempts == 0)
            continue;
        for (const auto& attempt : v->attempts) {
            if (!attempt->live()) continue;
            if (attempt->stop_wanted) {  // on its way
                gpus -= v->spec.gpus;
                cpus -= v->spec.cpus;
                continue;
            }
            if (v->state != jobs::JobState::open || v->is_gang()) continue;
            victims.push_back({stopping_costs(*v, *attempt, now), attempt.get()});
            their_gpus += v->spec.gpus;
            their_cpus += v->spec.cpus;
        }
    }
    gang.preemption_under_way = enough(their_gpus, their_cpus);
    if (!gang.preemption_under_way) return;
    cluster_.reserve_quota(gang, now);
    std::sort(victims.begin(), victims.end(),
              [](const auto& a, const auto& b) { return a.first < b.first; });
    for (const auto& [lost, a] : victims) {
        if (enough(0, 0)) break;
        const Job& v = cluster_.job_of(*a);
        gpus -= v.spec.gpus;
        cpus -= v.spec.cpus;
        spdlog::debug("task {}/{} makes room in its team's limit for {}", v.spec.id, a->task,
                      gang.spec.id);
        cluster_.checkpoint_and_stop(*a, now);
    }
}

// Some of them, but as many as a large gang may need in one of the zones: one of 128 tasks once
// found no room among 300 machines of thirteen zones, however often it looked.
std::size_t Scheduler::machines_to_search(const Job& job, std::uint32_t tasks) const {
    const std::size_t zones = job.spec.one_zone ? cluster_.zones().size() : 1;
    const std::size_t needed = job.is_gang() ? kSearchedEach * tasks * zones : 0;
    return std::min(cluster_.machines().size(), std::max(kMostSearched, needed));
}

// Stops the least valuable work on as many machines as the job needs, and keeps them for it. Of
// many machines it looks at some, and the next time at others.
bool Scheduler::preempt_for(Job& job, std::uint32_t tasks, Millis now) {
    if (job.spec.priority < Priority::high && !job.within_guaranteed_quota) return false;
    if (now < job.next_preemption_at) return job.preemption_under_way;
    const std::size_t looks = machines_to_search(job, tasks);
    // What costs more is done less often.
    job.next_preemption_at =
        now + kMakeRoomGap * static_cast<Millis>(1 + looks / (kMostSearched + 1));
    job.preemption_under_way = false;
    if (job.reservations_since != 0 && now - job.reservations_since > jobs::kMaxHoldBack) {
        // It has room made and gets no place: others may have that for a while.
        while (!job.reserved_machines.empty())
            cluster_.release_reservation(*cluster_.machine_by_index(job.reserved_machines.back()));
        job.next_preemption_at = now + kReservation;
        job.reservations_since = 0;
        return false;
    }
    Need need = placement::need_of(job);
    struct Room {
        double cpus, gpus, memory_gb;
        void add(const Job& v) {
            cpus += v.spec.cpus;
            gpus += v.spec.gpus;
            memory_gb += v.spec.memory_gb;
        }
    };
    // What is free, or will be when those have gone that were told to.
    auto room_of = [&](const Machine& machine) {
        Room r{machine.cpus_free, machine.gpus_free, machine.memory_free};
        for (Attempt* attempt : machine.attempts) {
            if (attempt->live() && attempt->stop_wanted) r.add(cluster_.job_of(*attempt));
        }
        return r;
    };
    std::vector<std::uint32_t> in_zone(cluster_.zones().size());
    if (job.spec.spread) in_zone = cluster_.live_tasks_by_zone(job);
    const std::uint32_t half = (job.spec.tasks + 1) / 2;
    // How many of so many places in a zone it may have beside those that it has there.
    auto gets_there = [&](Index zone, std::uint32_t places) {
        if (job.spec.spread) places = std::min(places, half - std::min(half, in_zone[zone]));
        in_zone[zone] += places;
        return places;
    };
    std::uint32_t coming = 0;  // room that is being made already
    for (Index i : job.reserved_machines) {
        Machine& machine = *cluster_.machine_by_index(i);
        if (!machine.accepts_tasks() || now >= machine.reserved_until) continue;
        Room r = room_of(machine);
        coming += gets_there(machine.zone,
                             placement::tasks_that_fit(r.cpus, r.gpus, r.memory_gb, need, tasks));
    }
    if (coming >= tasks) return job.preemption_under_way = true;
    struct Plan {
        Machine* machine;
        std::vector<Attempt*> victims;
        std::uint32_t room;
        double cost;
    };
    std::vector<Plan> plans;
    const Millis boot = cluster_.types().empty() ? 0 : seconds(cluster_.types().front().boot_s);
    Index fixed_zone = kNone;
    if (job.spec.one_zone) {
        for (const auto& attempt : job.attempts) {
            if (Machine* machine = cluster_.machine_of(*attempt);
                machine != nullptr && attempt->live())
                fixed_zone = machine->zone;
        }
    }
    const double kept = forecast_.wanted_replica_slots(now);
    const auto& all = cluster_.machines();
    for (std::size_t k = 0; k < looks; ++k) {
        Machine* machine = all[(next_victim_search_index_ + k) % all.size()];
        if (!machine->accepts_tasks() || !rules_.allowed(job, *machine) ||
            now < machine->probation_until)
            continue;
        if (fixed_zone != kNone && machine->zone != fixed_zone) continue;
        // Room where the job is not placed would be waited for in vain.
        if (rules_.should_avoid(job, *machine) || rules_.reserved_for_replicas(job, *machine, kept))
            continue;
        if (machine->empty_on_demand && job.spec.spot &&
            forecast_.keeps_empty_machine(machine->type, now))
            continue;
        if (machine->reserved_for != kNone && now < machine->reserved_until) continue;
        Room free = room_of(*machine);
        std::vector<std::pair<double, Attempt*>> evictable;
        for (Attempt* attempt : machine->attempts) {
            if (!attempt->live() || attempt->stop_wanted || !rules_.may_preempt(*attempt, job))
                continue;
            const Job& v = cluster_.job_of(*attempt);
            // Ending a gang throws more away than a wait for the next machine costs.
            if (v.is_gang() && (job.unplaced_since == 0 || now - job.unplaced_since < boot))
                continue;
            double lost = v.is_gang() ? 40.0 * v.spec.tasks : 0;
            lost += stopping_costs(v, *attempt, now);
            lost += 5.0 * static_cast<double>(v.spec.priority);
            if (v.slack == jobs::ScheduleSlack::at_risk) lost += kVictimLate;
            evictable.push_back({lost, attempt});
        }
        std::sort(evictable.begin(), evictable.end(),
                  [](const auto& a, const auto& b) { return a.first < b.first; });
        Plan plan{machine,
                  {},
                  0,
                  placement::placement_cost(job, *machine, cluster_.types()[machine->type])};
        std::uint32_t wanted = job.is_gang() ? 1 : tasks;
        auto holds = [&] {
            return placement::tasks_that_fit(free.cpus, free.gpus, free.memory_gb, need, wanted);
        };
        for (const auto& [lost, a] : evictable) {
            if (holds() >= wanted) break;
            free.add(cluster_.job_of(*a));
            plan.victims.push_back(a);
            plan.cost += lost;
        }
        plan.room = placement::tasks_that_fit(free.cpus, free.gpus, free.memory_gb, need, tasks);
        if (plan.room == 0) continue;
        plan.cost /= plan.room;
        plans.push_back(std::move(plan));
    }
    next_victim_search_index_ += looks;
    std::uint32_t left = tasks - coming;
    std::sort(plans.begin(), plans.end(),
              [](const Plan& a, const Plan& b) { return a.cost < b.cost; });
    if (job.is_gang() && job.spec.one_zone) {
        // All in the zone that offers enough for least.
        Index zone = kNone;
        double least = 0;
        for (Index z = 0; z < cluster_.zones().size(); ++z) {
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
    if (job.is_gang()) {
        // All or none: half of one that is to be scattered once kept a zone for ever.
        const auto before = in_zone;
        std::uint32_t short_of = left;
        for (const Plan& p : plans)
            short_of -= gets_there(p.machine->zone, std::min(short_of, p.room));
        if (short_of > 0) return false;
        in_zone = before;
    }
    for (const Plan& p : plans) {
        if (left == 0) break;
        const std::uint32_t gets = gets_there(p.machine->zone, std::min(left, p.room));
        if (gets == 0) continue;
        left -= gets;
        cluster_.reserve_machine(*p.machine, job, now + kReservation);
        if (job.reservations_since == 0) job.reservations_since = now;
        for (Attempt* attempt : p.victims) {
            // Ending one member of a gang may have ended others of the list.
            auto& there = p.machine->attempts;
            if (std::find(there.begin(), there.end(), attempt) == there.end()) continue;
            p.machine->reserved_until =
                std::max(p.machine->reserved_until,
                         now + seconds(cluster_.job_of(*attempt).spec.save_s) + kReservation);
            spdlog::debug("task {}/{} makes room for {} on {}", cluster_.job_of(*attempt).spec.id,
                          attempt->task, job.spec.id, p.machine->name);
            cluster_.checkpoint_and_stop(*attempt, now);
        }
    }
    return job.preemption_under_way = left == 0;
}

}  // namespace nickelramp::scheduling
