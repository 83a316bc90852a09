#include "tests/waiting_job_checker.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "placement/placement_cost.h"

namespace nickelramp::test {

namespace {
constexpr double kEpsilon = 1e-6;
}  // namespace

void WaitingJobChecker::check(const std::function<bool(const std::string& job)>& is_open) {
    if (max_wait_ == kNever) return;
    for (const auto& [id, spec] : jobs_.specs()) {
        if (!is_open(id) || jobs_.cancel_requested(id) || !would_fit(spec)) {
            waiting_since_.erase(id);
            continue;
        }
        const Millis since = waiting_since_.try_emplace(id, context_.now()).first->second;
        const Millis wait = context_.now() - since;
        context_.coverage.longest_wait = std::max(context_.coverage.longest_wait, wait);
        EXPECT_LE(wait, max_wait_) << id << " is waiting although it fits; " << describe_();
    }
}

bool WaitingJobChecker::would_fit(const wire::JobSpec& spec) const {
    const bool gang = spec.shape == wire::Shape::gang;
    const std::uint32_t min_slots = gang ? spec.tasks : 1;
    Placed current = placed(spec);
    if (current.missing == 0 || (gang && current.missing < spec.tasks)) return false;
    if (!fits_quota(spec, current.team_gpus, min_slots)) return false;
    TasksByZone free_slots;
    for (const auto& [name, machine] : workers_.all()) {
        if (usable(*machine, spec))
            free_slots[machine->zone] += free_slots_on(*machine, spec, min_slots);
    }
    std::uint32_t all = 0, most = 0;
    for (auto [zone, slots] : free_slots) {
        const std::uint32_t max_per_zone = (spec.tasks + 1) / 2;
        if (spec.spread)
            slots =
                std::min(slots, max_per_zone - std::min(max_per_zone, current.tasks_by_zone[zone]));
        const bool other_zone = spec.one_zone && !current.tasks_by_zone.empty() &&
                                current.tasks_by_zone.count(zone) == 0;
        if (other_zone) continue;
        all += slots;
        most = std::max(most, slots);
    }
    return (gang && spec.one_zone ? most : all) >= min_slots;
}

WaitingJobChecker::Placed WaitingJobChecker::placed(const wire::JobSpec& spec) const {
    Placed result;
    std::set<std::uint32_t> tasks;
    for (const auto& [name, machine] : workers_.all()) {
        for (const auto& [id, task] : machine->tasks) {
            if (task.exited()) continue;
            const wire::JobSpec& other = jobs_.spec(id.job);
            if (other.team == spec.team) result.team_gpus += other.gpus;
            if (id.job != spec.id) continue;
            tasks.insert(id.task);
            ++result.tasks_by_zone[machine->zone];
        }
    }
    for (std::uint32_t task = 0; task < spec.tasks; ++task)
        result.missing += tasks.count(task) == 0 && !jobs_.completed({spec.id, task}) ? 1 : 0;
    return result;
}

bool WaitingJobChecker::fits_quota(const wire::JobSpec& spec, double used,
                                   std::uint32_t more) const {
    double quota = 0;
    for (const auto& team : settings_.teams) quota += team.name == spec.team ? team.gpus_max : 0;
    return quota <= 0 || used + more * spec.gpus <= quota + kEpsilon;
}

bool WaitingJobChecker::usable(const SimulatedMachine& machine, const wire::JobSpec& spec) const {
    const bool healthy = machine.running() && !machine.faulty &&
                         network_.partition_of(machine) == nullptr &&
                         context_.now() >= machine.inbound_blocked_until &&
                         context_.now() >= machine.commands_blocked_until &&
                         context_.now() >= machine.heartbeats_blocked_until;
    const bool type_allowed =
        spec.any_type || std::count(spec.types.begin(), spec.types.end(), machine.type) > 0;
    const bool zone_allowed = !spec.zone || *spec.zone == machine.zone;
    return healthy && type_allowed && zone_allowed && (spec.spot || !machine.spot);
}

std::uint32_t WaitingJobChecker::free_slots_on(const SimulatedMachine& machine,
                                               const wire::JobSpec& spec,
                                               std::uint32_t most) const {
    const wire::MachineType& type = workers_.type_of(machine);
    double cpus = type.cpus, gpus = type.gpus, memory_gb = type.memory_gb;
    for (const auto& [id, task] : machine.tasks) {
        if (task.exited()) continue;
        const wire::JobSpec& other = jobs_.spec(id.job);
        cpus -= other.cpus;
        gpus -= other.gpus;
        memory_gb -= other.memory_gb;
    }
    return placement::tasks_that_fit(cpus, gpus, memory_gb, {spec.cpus, spec.gpus, spec.memory_gb},
                                     most);
}

}  // namespace nickelramp::test
