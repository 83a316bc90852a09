#include "scheduling/gang_placement.h"

#include <algorithm>
#include <tuple>

#include "scheduling/free_resources.h"
#include "scheduling/reservations.h"
#include "scheduling/zone_task_counts.h"

namespace nickelramp::scheduling {

using jobs::Job;
using machines::Machine;

GangPlacement::GangPlacement(cluster::ClusterState& cluster, const PlacementRules& rules, Job& gang,
                             Millis now)
    : cluster_(cluster), rules_(rules), gang_(gang), now_(now) {}

bool GangPlacement::run() {
    if (!rules_.within_quota(gang_, gang_.spec.tasks)) return false;
    collect_candidates();
    const std::optional<Assignment> assignment = best_assignment();
    return assignment && start(*assignment);
}

void GangPlacement::collect_candidates() {
    const placement::Need need = placement::need_of(gang_);
    for (Machine* machine : rules_.fitting_machines(gang_, need, now_)) {
        const std::uint32_t tasks =
            FreeResources::of(*machine).tasks_that_fit(need, gang_.spec.tasks);
        candidates_.push_back({machine, tasks, rules_.placement_cost(gang_, *machine)});
    }
    std::sort(candidates_.begin(), candidates_.end(), [](const Candidate& a, const Candidate& b) {
        return std::tie(a.cost, a.machine->index) < std::tie(b.cost, b.machine->index);
    });
}

std::optional<GangPlacement::Assignment> GangPlacement::assign_in(Index zone) const {
    Assignment assignment;
    ZoneTaskCounts zone_tasks(gang_, std::vector<std::uint32_t>(cluster_.zones().size()));
    std::uint32_t left = gang_.spec.tasks;
    for (const Candidate& candidate : candidates_) {
        const Index candidate_zone = candidate.machine->zone;
        if (zone != kNone && candidate_zone != zone) continue;
        const std::uint32_t tasks =
            zone_tasks.allowed_in(candidate_zone, std::min(candidate.tasks, left));
        if (tasks == 0) continue;
        assignment.machines.push_back({candidate.machine, tasks, candidate.cost});
        assignment.worst_cost = std::max(assignment.worst_cost, candidate.cost);
        zone_tasks.add(candidate_zone, tasks);
        left -= tasks;
        if (left == 0) return assignment;
    }
    return std::nullopt;
}

std::optional<GangPlacement::Assignment> GangPlacement::best_assignment() const {
    std::optional<Assignment> best;
    auto consider = [&best](std::optional<Assignment> assignment) {
        if (!assignment) return;
        if (!best || assignment->worst_cost < best->worst_cost) best = std::move(assignment);
    };
    if (candidates_.empty()) return best;
    const bool must_be_split = gang_.spec.spread && gang_.spec.tasks > 1;
    for (Index zone = 0; zone < cluster_.zones().size() && !must_be_split; ++zone)
        consider(assign_in(zone));
    if (!gang_.spec.one_zone) consider(assign_in(kNone));
    return best;
}

bool GangPlacement::start(const Assignment& assignment) {
    const std::uint32_t attempt = ++gang_.gang_attempt;
    std::uint32_t task = 0;
    gang_.gang_broken = false;
    for (const Candidate& chosen : assignment.machines) {
        for (std::uint32_t n = 0; n < chosen.tasks; ++n) {
            if (cluster_.add_attempt(gang_, task++, attempt, *chosen.machine, now_) == nullptr) {
                cluster_.stop_all_attempts(gang_, now_);
                return false;
            }
        }
    }
    release_reservations(cluster_, gang_);
    return true;
}

}  // namespace nickelramp::scheduling
