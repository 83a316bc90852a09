#include "scheduling/preemption_search.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "scheduling/reservations.h"

namespace nickelramp::scheduling {

using jobs::Attempt;
using jobs::Job;
using machines::Machine;

namespace {
// Surcharges on the cost of stopping a task, which is the lost work in seconds.
constexpr double kGangMemberCostS = 40;  // per member of the gang: if one stops, all of them end
constexpr double kPriorityCostS = 5;     // per priority level
constexpr double kAtRiskCostS = 30;      // for a task of a job that may miss an objective
// Minimum number of machines to examine per task of a gang and per zone.
constexpr std::size_t kSearchedPerTask = 2;

ZoneTaskCounts live_zone_tasks(const cluster::ClusterState& cluster, const Job& job) {
    if (job.spec.spread) return {job, cluster.live_tasks_by_zone(job)};
    return {job, std::vector<std::uint32_t>(cluster.zones().size())};
}
}  // namespace

PreemptionSearch::PreemptionSearch(cluster::ClusterState& cluster,
                                   forecast::DemandForecast& forecast, const PlacementRules& rules,
                                   Job& job, std::uint32_t tasks, Millis now)
    : cluster_(cluster),
      forecast_(forecast),
      rules_(rules),
      job_(job),
      tasks_(tasks),
      now_(now),
      need_(placement::need_of(job)),
      boot_time_(typical_boot_time(cluster)),
      zone_tasks_(live_zone_tasks(cluster, job)) {}

// For a one-zone gang, the search must cover enough machines in a single zone. Searches of 300
// machines in 13 zones never found room for a gang of 128 tasks.
std::size_t PreemptionSearch::machines_to_search(const cluster::ClusterState& cluster,
                                                 const Job& job, std::uint32_t tasks) {
    const std::size_t zones = job.spec.one_zone ? cluster.zones().size() : 1;
    const std::size_t needed = job.is_gang() ? kSearchedPerTask * tasks * zones : 0;
    return std::min(cluster.machines().size(), std::max(kMachinesPerSearch, needed));
}

bool PreemptionSearch::enough_is_reserved() {
    for (const Index index : job_.reserved_machines) {
        const Machine& machine = *cluster_.machine_by_index(index);
        if (!machine.accepts_tasks() || now_ >= machine.reserved_until) continue;
        const std::uint32_t slots = free_soon(machine).tasks_that_fit(need_, tasks_);
        reserved_slots_ += assign_slots(zone_tasks_, machine.zone, slots);
    }
    return reserved_slots_ >= tasks_;
}

void PreemptionSearch::collect_candidates(std::size_t first, std::size_t count) {
    required_zone_ = job_.spec.one_zone ? zone_of_live_tasks() : kNone;
    wanted_replica_slots_ = forecast_.wanted_replica_slots(now_);
    const std::vector<Machine*>& machines = cluster_.machines();
    for (std::size_t n = 0; n < count; ++n) {
        Machine& machine = *machines[(first + n) % machines.size()];
        if (!may_make_room_on(machine)) continue;
        std::optional<Candidate> candidate = candidate_on(machine);
        if (candidate) candidates_.push_back(std::move(*candidate));
    }
}

bool PreemptionSearch::preempt() {
    std::uint32_t left = tasks_ - reserved_slots_;
    std::sort(candidates_.begin(), candidates_.end(), [](const Candidate& a, const Candidate& b) {
        return a.cost_per_slot < b.cost_per_slot;
    });
    if (job_.is_gang() && job_.spec.one_zone) {
        const std::optional<Index> zone = cheapest_zone();
        if (!zone) return false;
        std::erase_if(candidates_, [&zone](const Candidate& candidate) {
            return candidate.machine->zone != *zone;
        });
    }
    if (job_.is_gang() && !whole_gang_fits(left)) return false;
    for (const Candidate& candidate : candidates_) {
        if (left == 0) break;
        const std::uint32_t slots =
            assign_slots(zone_tasks_, candidate.machine->zone, std::min(left, candidate.slots));
        if (slots == 0) continue;
        left -= slots;
        make_room(candidate);
    }
    return left == 0;
}

// Returns the free resources of the machine once the tasks that are being stopped have ended.
FreeResources PreemptionSearch::free_soon(const Machine& machine) const {
    FreeResources free = FreeResources::of(machine);
    for (const Attempt* attempt : machine.attempts) {
        if (attempt->live() && attempt->stop_requested)
            free.add(placement::need_of(cluster_.job_of(*attempt)));
    }
    return free;
}

Index PreemptionSearch::zone_of_live_tasks() const {
    Index zone = kNone;
    for (const auto& attempt : job_.attempts) {
        const Machine* machine = cluster_.machine_of(*attempt);
        if (machine != nullptr && attempt->live()) zone = machine->zone;
    }
    return zone;
}

// Returns whether the job could be placed on the machine once tasks there have been preempted.
// Preemption on any other machine would not help the job.
bool PreemptionSearch::may_make_room_on(const Machine& machine) const {
    if (!machine.accepts_tasks() || !rules_.allowed(job_, machine) ||
        now_ < machine.probation_until)
        return false;
    if (required_zone_ != kNone && machine.zone != required_zone_) return false;
    if (rules_.should_avoid(job_, machine) ||
        rules_.reserved_for_replicas(job_, machine, wanted_replica_slots_))
        return false;
    if (machine.empty_on_demand && job_.spec.spot &&
        forecast_.reserves_empty_machines(machine.type, now_))
        return false;
    return machine.reserved_for == kNone || now_ >= machine.reserved_until;
}

std::optional<PreemptionSearch::Candidate> PreemptionSearch::candidate_on(Machine& machine) const {
    Candidate candidate;
    candidate.machine = &machine;
    double cost = placement::placement_cost(job_, machine, cluster_.types()[machine.type]);
    FreeResources free = free_soon(machine);
    const std::uint32_t wanted = job_.is_gang() ? 1 : tasks_;
    for (const PreemptionVictim& victim : victims_on(machine)) {
        if (free.tasks_that_fit(need_, wanted) >= wanted) break;
        free.add(placement::need_of(cluster_.job_of(*victim.attempt)));
        candidate.victims.push_back(victim.attempt);
        cost += victim.cost_s;
    }
    candidate.slots = free.tasks_that_fit(need_, tasks_);
    if (candidate.slots == 0) return std::nullopt;
    candidate.cost_per_slot = cost / candidate.slots;
    return candidate;
}

std::vector<PreemptionVictim> PreemptionSearch::victims_on(const Machine& machine) const {
    std::vector<PreemptionVictim> victims;
    // Stopping a gang loses more work than waiting for another machine to boot, so gangs are
    // stopped only once the job has waited for that long.
    const bool gangs_too = job_.unplaced_since != 0 && now_ - job_.unplaced_since >= boot_time_;
    for (Attempt* attempt : machine.attempts) {
        if (!attempt->live() || attempt->stop_requested || !rules_.may_preempt(*attempt, job_))
            continue;
        const Job& victim = cluster_.job_of(*attempt);
        if (victim.is_gang() && !gangs_too) continue;
        victims.push_back({victim_cost_s(victim, *attempt), attempt});
    }
    std::sort(victims.begin(), victims.end(), cheaper_victim);
    return victims;
}

double PreemptionSearch::victim_cost_s(const Job& victim, const Attempt& attempt) const {
    double cost = victim.is_gang() ? kGangMemberCostS * victim.spec.tasks : 0;
    cost += stop_cost_s(victim, attempt, now_);
    cost += kPriorityCostS * static_cast<double>(victim.spec.priority);
    if (victim.slack == jobs::ScheduleSlack::at_risk) cost += kAtRiskCostS;
    return cost;
}

// Returns the zone with room for all tasks at the lowest cost, or nullopt if no zone has room.
std::optional<Index> PreemptionSearch::cheapest_zone() const {
    std::optional<Index> cheapest;
    double least_cost = 0;
    for (Index zone = 0; zone < cluster_.zones().size(); ++zone) {
        std::uint32_t slots = 0;
        double cost = 0;
        for (const Candidate& candidate : candidates_) {
            if (candidate.machine->zone != zone || slots >= tasks_) continue;
            slots += candidate.slots;
            cost += candidate.cost_per_slot;
        }
        if (slots >= tasks_ && (!cheapest || cost < least_cost)) {
            cheapest = zone;
            least_cost = cost;
        }
    }
    return cheapest;
}

// Without this check, a spread gang of which only half fits would keep a zone reserved forever.
bool PreemptionSearch::whole_gang_fits(std::uint32_t tasks) const {
    ZoneTaskCounts zone_tasks = zone_tasks_;
    for (const Candidate& candidate : candidates_) {
        tasks -=
            assign_slots(zone_tasks, candidate.machine->zone, std::min(tasks, candidate.slots));
    }
    return tasks == 0;
}

// Returns how many of `slots` further slots in the zone the job may use, and adds them to `counts`.
std::uint32_t PreemptionSearch::assign_slots(ZoneTaskCounts& counts, Index zone,
                                             std::uint32_t slots) {
    const std::uint32_t allowed = counts.allowed_in(zone, slots);
    counts.add(zone, allowed);
    return allowed;
}

void PreemptionSearch::make_room(const Candidate& candidate) {
    Machine& machine = *candidate.machine;
    cluster_.reserve_machine(machine, job_, now_ + kReservationDuration);
    if (job_.reservations_since == 0) job_.reservations_since = now_;
    for (Attempt* attempt : candidate.victims) {
        // Stopping a member of a gang may already have removed other attempts of the list.
        if (std::find(machine.attempts.begin(), machine.attempts.end(), attempt) ==
            machine.attempts.end())
            continue;
        const Job& victim = cluster_.job_of(*attempt);
        machine.reserved_until =
            std::max(machine.reserved_until,
                     now_ + seconds(victim.spec.checkpoint_duration_s) + kReservationDuration);
        spdlog::debug("preempting task: task={}/{} machine={} for_job={}", victim.spec.id,
                      attempt->task, machine.name, job_.spec.id);
        cluster_.checkpoint_and_stop(*attempt, now_);
    }
}

}  // namespace nickelramp::scheduling
