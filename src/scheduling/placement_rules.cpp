#include "scheduling/placement_rules.h"

#include <algorithm>

namespace nickelramp::scheduling {

using jobs::Attempt;
using jobs::Job;
using jobs::JobState;
using machines::Machine;
using placement::Need;

namespace {
constexpr std::size_t kMaxMachinesPerKind = 300;  // returned by one call of fitting_machines()
constexpr double kReservedBonusS = 30;            // for a machine that is reserved for the job
constexpr double kUnlimitedTasks = 1e6;

// Returns how many tasks fit into the unused part of a quota.
double tasks_in_quota(double left, double per_task) {
    return (left + placement::kFitTolerance) / per_task;
}
}  // namespace

bool PlacementRules::allowed(const Job& job, const Machine& machine) const {
    if (machine.type == kNone || machine.type >= job.allowed_type.size() ||
        job.allowed_type[machine.type] == 0)
        return false;
    if (job.zone != kNone && job.zone != machine.zone) return false;
    return job.spec.spot || !machine.spot;
}

std::uint32_t PlacementRules::tasks_within_quota(const Job& job) const {
    if (term_.is_shard_holder()) return job.spec.tasks;  // charged to the quota by the leader
    const wire::Team& quota = cluster_.team_quota(job.team);
    const cluster::TeamUsage& usage = cluster_.team_usage(job.team);
    // A gang needs quota for all its tasks at once. Quota that becomes free is reserved for a gang
    // that has waited long. Otherwise small tasks would use it first and the gang would never
    // start.
    const Job* gang = cluster_.quota_reserved_for(job.team);
    Need reserved;
    if (gang != nullptr && gang != &job && job.spec.priority != wire::Priority::production) {
        reserved.cpus = gang->spec.cpus * gang->spec.tasks;
        reserved.gpus = gang->spec.gpus * gang->spec.tasks;
    }
    double tasks = kUnlimitedTasks;
    if (quota.cpus_max > 0 && job.spec.cpus > 0) {
        const double left = quota.cpus_max - usage.cpus - reserved.cpus;
        tasks = std::min(tasks, tasks_in_quota(left, job.spec.cpus));
    }
    if (quota.gpus_max > 0 && job.spec.gpus > 0) {
        const double left = quota.gpus_max - usage.gpus - reserved.gpus;
        tasks = std::min(tasks, tasks_in_quota(left, job.spec.gpus));
    }
    return tasks <= 0 ? 0 : static_cast<std::uint32_t>(tasks);
}

bool PlacementRules::within_quota(const Job& job, std::uint32_t tasks) const {
    return tasks_within_quota(job) >= tasks;
}

double PlacementRules::placement_cost(const Job& job, const Machine& machine) const {
    const double cost = placement::placement_cost(job, machine, cluster_.types()[machine.type]);
    return machine.reserved_for == job.index ? cost - kReservedBonusS : cost;
}

bool PlacementRules::is_expensive(const Job& job, Index type, bool spot) {
    return job.spec.shape == wire::Shape::array &&
           job.relative_cost_of(type, spot) > placement::kExpensiveFactor;
}

bool PlacementRules::reserved_for_other_work(const Job& job, Index type) const {
    return job.spec.shape == wire::Shape::array && !job.any_machine_type_allowed &&
           job.cheapest_type != type && forecast_.required_by_some_work(type);
}

bool PlacementRules::may_start_on(const Job& job, const Machine& machine, const Need& need,
                                  Millis now) const {
    if (!machine.accepts_tasks() || !allowed(job, machine) || now < machine.probation_until)
        return false;
    if (machine.reserved_for != kNone && machine.reserved_for != job.index &&
        now < machine.reserved_until)
        return false;
    return placement::fits_within(machine.cpus_free, machine.gpus_free, machine.memory_free, need);
}

// Capacity that a gang leaves free on its machine costs nothing extra, so arrays may use it.
// Replicas may not: they would keep the machine in use after the gang has ended.
bool PlacementRules::should_avoid(const Job& job, const Machine& machine) const {
    if (job.is_service())
        return job.avoids_expensive_machines &&
               job.relative_cost_of(machine.type, machine.spot) > placement::kExpensiveFactor;
    if (machine.live_gang_attempts > 0) return false;
    return reserved_for_other_work(job, machine.type);
}

bool PlacementRules::reserved_for_replicas(const Job& job, const Machine& machine,
                                           double wanted_slots) const {
    return job.spec.spot && machine.counts_for_replicas &&
           forecast_.replica_headroom().free_slots <= wanted_slots;
}

std::vector<Machine*> PlacementRules::fitting_machines(const Job& job, const Need& need,
                                                       Millis now) const {
    std::vector<Machine*> machines;
    std::size_t found_of_kind = 0;
    cluster_.free_capacity().for_each_candidate(
        need,
        [&](const placement::FreeCapacityIndex::MachineKind& kind) {
            found_of_kind = 0;
            return kind.type < job.allowed_type.size() && job.allowed_type[kind.type] != 0 &&
                   (job.spec.spot || !kind.spot) && (job.zone == kNone || job.zone == kind.zone);
        },
        [&](Index index) {
            Machine* machine = cluster_.machine_by_index(index);
            // Machines that lack memory do not count towards the limit. Otherwise hundreds of them
            // can hide a machine that fits.
            if (!may_start_on(job, *machine, need, now)) return true;
            machines.push_back(machine);
            return ++found_of_kind < kMaxMachinesPerKind;
        });
    return machines;
}

bool PlacementRules::may_preempt(const Attempt& attempt, const Job& job) const {
    const Job& victim = cluster_.job_of(attempt);
    if (victim.index == job.index || victim.state != JobState::open) return false;
    if (victim.spec.priority < job.spec.priority) return true;
    if (!job.within_guaranteed_quota || victim.team == job.team || victim.within_guaranteed_quota)
        return false;
    const wire::Team& guaranteed = cluster_.team_quota(victim.team);
    const cluster::TeamUsage& usage = cluster_.team_usage(victim.team);
    return usage.gpus > guaranteed.gpus + placement::kFitTolerance ||
           (guaranteed.gpus <= 0 && usage.cpus > guaranteed.cpus);
}

}  // namespace nickelramp::scheduling
