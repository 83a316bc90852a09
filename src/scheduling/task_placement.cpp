#include "scheduling/task_placement.h"

#include <algorithm>
#include <tuple>

#include "scheduling/free_resources.h"

namespace nickelramp::scheduling {

using jobs::Job;
using machines::Machine;

namespace {
constexpr double kFailedMachinePenaltyS = 60;  // for a machine on which a task of the job failed
}  // namespace

bool TaskPlacement::Candidate::operator<(const Candidate& other) const {
    return std::tie(cost, machine->index) > std::tie(other.cost, other.machine->index);
}

TaskPlacement::TaskPlacement(cluster::ClusterState& cluster, forecast::DemandForecast& forecast,
                             const PlacementRules& rules, Job& job, Millis now)
    : cluster_(cluster),
      forecast_(forecast),
      rules_(rules),
      job_(job),
      now_(now),
      need_(placement::need_of(job)),
      zone_tasks_(job, std::vector<std::uint32_t>(cluster.zones().size())),
      withheld_(job, now) {}

bool TaskPlacement::run() {
    if (!count_live_tasks()) return false;
    collect_candidates();
    wanted_replica_slots_ = forecast_.wanted_replica_slots(now_);
    while (!candidates_.empty() && job_.unplaced_tasks() > 0 && rules_.within_quota(job_, 1)) {
        Machine& machine = pop_cheapest();
        if (!may_use(machine)) continue;
        if (!start_next_task(machine)) return false;
        if (job_.placeable_tasks() == 0) return true;
        if (FreeResources::of(machine).tasks_that_fit(need_, 1) > 0) {
            candidates_.push_back(candidate(machine));
            std::push_heap(candidates_.begin(), candidates_.end());
        }
    }
    withheld_.record(job_, now_);
    return job_.unplaced_tasks() == 0;
}

bool TaskPlacement::count_live_tasks() {
    if (!job_.spec.one_zone && !job_.spec.spread) return true;
    for (const auto& attempt : job_.attempts) {
        if (!attempt->live()) continue;
        const Machine* machine = cluster_.machine_of(*attempt);
        if (machine == nullptr || machine->zone == kNone) return false;
        zone_tasks_.add(machine->zone, 1);
        zone_ = machine->zone;
    }
    return true;
}

void TaskPlacement::collect_candidates() {
    if (rules_.within_quota(job_, 1)) {
        for (Machine* machine : rules_.fitting_machines(job_, need_, now_)) {
            if (withheld_.withholds(withheld_from_job(*machine))) continue;
            candidates_.push_back(candidate(*machine));
        }
    }
    std::make_heap(candidates_.begin(), candidates_.end());
}

TaskPlacement::Candidate TaskPlacement::candidate(Machine& machine) const {
    double cost = rules_.placement_cost(job_, machine);
    const bool has_failed_there = std::find(job_.failed_on.begin(), job_.failed_on.end(),
                                            machine.index) != job_.failed_on.end();
    if (has_failed_there) cost += kFailedMachinePenaltyS;
    return {cost, &machine};
}

Machine& TaskPlacement::pop_cheapest() {
    std::pop_heap(candidates_.begin(), candidates_.end());
    Machine* machine = candidates_.back().machine;
    candidates_.pop_back();
    return *machine;
}

bool TaskPlacement::withheld_from_job(const Machine& machine) const {
    return now_ < machine.cordoned_until || rules_.should_avoid(job_, machine);
}

// The result can change with each task that is placed, so it is checked again for each task.
bool TaskPlacement::may_use(const Machine& machine) {
    if (withheld_.withholds(withheld_from_job(machine))) return false;
    if (job_.spec.one_zone && zone_ != kNone && machine.zone != zone_) return false;
    if (!zone_tasks_.allows_more_in(machine.zone)) return false;
    if (withheld_.withholds(machine.empty_on_demand && job_.spec.spot &&
                            forecast_.reserves_empty_machines(machine.type, now_)))
        return false;
    return !withheld_.withholds(machine.replica_slots > 0 &&
                                rules_.reserved_for_replicas(job_, machine, wanted_replica_slots_));
}

bool TaskPlacement::start_next_task(Machine& machine) {
    const bool is_retry = !job_.retry_tasks.empty();
    const std::uint32_t task = is_retry ? job_.retry_tasks.back().task : job_.next_unstarted_task;
    const std::uint32_t attempt = is_retry ? job_.retry_tasks.back().last_attempt + 1 : 1;
    if (cluster_.add_attempt(job_, task, attempt, machine, now_) == nullptr) return false;
    withheld_.on_placed();
    if (is_retry)
        job_.retry_tasks.pop_back();
    else
        ++job_.next_unstarted_task;
    zone_tasks_.add(machine.zone, 1);
    zone_ = machine.zone;
    return true;
}

}  // namespace nickelramp::scheduling
