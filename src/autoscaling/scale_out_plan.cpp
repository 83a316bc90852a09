#include "autoscaling/scale_out_plan.h"

#include <algorithm>

namespace nickelramp::autoscaling {

using cloud::MachineKind;
using forecast::ReplicaHeadroom;
using forecast::TypeDemand;
using jobs::Job;
using machines::Machine;
using scheduling::FreeResources;
using scheduling::ZoneTaskCounts;

namespace {
// Machines in one round. Whole machines for expected urgent tasks do not count.
constexpr std::size_t kMaxLimitedRequests = 400;
constexpr std::uint32_t kMaxSlotsPriced = 64;     // per machine, when prices are compared
constexpr std::uint32_t kMaxReplicaSlots = 1024;  // per machine
constexpr double kZoneBalanceWeight = 0.001;      // fraction of the price per machine in the zone
}  // namespace

ScaleOutPlan::ScaleOutPlan(const cluster::TermContext& term, cluster::ClusterState& cluster,
                           forecast::DemandForecast& forecast,
                           const scheduling::PlacementRules& rules,
                           const cloud::ProvisioningTracker& provisioning,
                           const failure::FailureDetector& failure_detector, Millis now)
    : term_(term),
      cluster_(cluster),
      forecast_(forecast),
      rules_(rules),
      provisioning_(provisioning),
      failure_detector_(failure_detector),
      now_(now),
      machines_by_zone_(cluster.machine_count_by_zone()),
      slots_freed_soon_(forecast.slots_freed_soon()) {
    machines_by_zone_.resize(cluster_.zones().size());
}

// Machines for expected gangs and replicas are set aside before jobs that may use spot machines are
// packed. Otherwise arrays would be packed onto them, and each later round would request as many
// machines again.
std::vector<MachineDemand> ScaleOutPlan::make(
    const std::vector<Job*>& unplaced, const scheduling::JobQueue::CapacityShortage& shortage) {
    add_provisioning_machines();
    plan_jobs(unplaced, false);
    plan_whole_machines();
    plan_replica_headroom();
    plan_jobs(unplaced, true);
    plan_expensive_machines(shortage);
    plan_spot_machines();
    return requests_;
}

void ScaleOutPlan::add_provisioning_machines() {
    for (const Index index : cluster_.provisioning_machines()) {
        const Machine& machine = *cluster_.machine_by_index(index);
        if (is_still_expected(machine)) add_machine({machine.type, machine.zone, machine.spot});
    }
    for (const auto& [name, request] : provisioning_.requests()) {
        for (std::uint32_t n = 0; n < request.count; ++n) add_machine(request.kind);
    }
}

void ScaleOutPlan::add_machine(const MachineKind& kind) {
    machines_.push_back({kind, FreeResources::of(cluster_.types()[kind.type])});
}

bool ScaleOutPlan::is_still_expected(const Machine& machine) const {
    if (machine.type == kNone || machine.unverified) return false;
    if (failure_detector_.is_lost(machine.zone)) return false;  // no task can start there now
    if (machine.state == machines::MachineState::joining) return true;
    const double boot_s = cluster_.types()[machine.type].boot_s;
    return now_ - machine.provisioned_at <= seconds(boot_s * kLateBootFactor);
}

void ScaleOutPlan::plan_jobs(const std::vector<Job*>& unplaced, bool spot) {
    for (const Job* job : unplaced) {
        if (job->spec.spot == spot) plan_job(*job);
    }
}

void ScaleOutPlan::plan_job(const Job& job) {
    std::optional<JobRequirement> requirement = requirement_of(job);
    if (!requirement) return;
    if (job.spec.shape == wire::Shape::array) subtract_slots_freed_soon(*requirement);
    const bool is_one_zone_gang = job.is_gang() && job.spec.one_zone && job.spec.tasks > 1;
    if (is_one_zone_gang && requirement->zone == kNone) choose_gang_zone(*requirement);
    for (PlannedMachine& machine : machines_) {
        if (requirement->tasks == 0) break;
        pack(*requirement, machine);
    }
    while (requirement->tasks > 0 && !limit_reached()) {
        const std::optional<MachineKind> kind =
            cheapest_kind(*requirement, requirement->zone, PriceLimit::not_expensive);
        if (!kind) break;
        request_limited(*kind);
        add_machine(*kind);
        pack(*requirement, machines_.back());
    }
    remove_full_machines();
}

// Returns std::nullopt for a gang that exceeds its team's remaining quota, since more machines
// would not help it.
std::optional<ScaleOutPlan::JobRequirement> ScaleOutPlan::requirement_of(const Job& job) const {
    const std::uint32_t tasks = std::min(job.placeable_tasks(), rules_.tasks_within_quota(job));
    if (job.is_gang() && tasks < job.spec.tasks) return std::nullopt;
    std::vector<std::uint32_t> tasks_by_zone(cluster_.zones().size());
    Index only_zone = job.zone;
    if (job.spec.one_zone || job.spec.spread) tasks_by_zone = cluster_.live_tasks_by_zone(job);
    for (Index zone = 0; job.spec.one_zone && zone < tasks_by_zone.size(); ++zone) {
        if (tasks_by_zone[zone] > 0) only_zone = zone;
    }
    return JobRequirement{&job, placement::need_of(job), tasks, only_zone,
                          ZoneTaskCounts(job, std::move(tasks_by_zone))};
}

// Subtracts the tasks that can use slots freed by running array tasks before a machine could boot.
void ScaleOutPlan::subtract_slots_freed_soon(JobRequirement& requirement) {
    const Job& job = *requirement.job;
    for (Index type = 0; type < slots_freed_soon_.size() && type < job.allowed_type.size();
         ++type) {
        if (job.allowed_type[type] == 0 || rules_.reserved_for_other_work(job, type)) continue;
        const std::uint32_t slots = std::min(requirement.tasks, slots_freed_soon_[type]);
        slots_freed_soon_[type] -= slots;
        requirement.tasks -= slots;
    }
}

// Chooses the zone with the most slots on free machines and on machines being provisioned, among
// the zones where the remaining machines can be requested. In a zone without further machines, the
// gang would wait for as long as those slots stay free.
void ScaleOutPlan::choose_gang_zone(JobRequirement& requirement) const {
    const std::vector<std::uint32_t> slots = slots_by_zone(requirement);
    if (*std::max_element(slots.begin(), slots.end()) == 0) return;
    Index& chosen = requirement.zone;
    for (Index zone = 0; zone < slots.size(); ++zone) {
        if (chosen != kNone && slots[zone] <= slots[chosen]) continue;
        if (slots[zone] >= requirement.tasks ||
            cheapest_kind(requirement, zone, PriceLimit::not_expensive))
            chosen = zone;
    }
}

std::vector<std::uint32_t> ScaleOutPlan::slots_by_zone(const JobRequirement& requirement) const {
    const Job& job = *requirement.job;
    std::vector<std::uint32_t> slots(cluster_.zones().size());
    for (const PlannedMachine& machine : machines_) {
        if (machine.kind.spot && !job.spec.spot) continue;
        slots[machine.kind.zone] +=
            machine.free.tasks_that_fit(requirement.need, requirement.tasks);
    }
    for (const Machine* machine : rules_.fitting_machines(job, requirement.need, now_)) {
        slots[machine->zone] +=
            FreeResources::of(*machine).tasks_that_fit(requirement.need, requirement.tasks);
    }
    return slots;
}

// Assigns as many of the tasks to the machine as fit and are allowed there.
void ScaleOutPlan::pack(JobRequirement& requirement, PlannedMachine& machine) const {
    const Job& job = *requirement.job;
    const MachineKind& kind = machine.kind;
    if (job.allowed_type.size() <= kind.type || job.allowed_type[kind.type] == 0) return;
    if (requirement.zone != kNone && kind.zone != requirement.zone) return;
    if (kind.spot && !job.spec.spot) return;
    if (rules_.reserved_for_other_work(job, kind.type)) return;
    const std::uint32_t tasks = requirement.zone_tasks.allowed_in(
        kind.zone, machine.free.tasks_that_fit(requirement.need, requirement.tasks));
    if (tasks == 0) return;
    machine.free.subtract(requirement.need, tasks);
    requirement.zone_tasks.add(kind.zone, tasks);
    if (job.spec.one_zone) requirement.zone = kind.zone;
    requirement.tasks -= tasks;
}

void ScaleOutPlan::remove_full_machines() {
    std::erase_if(machines_, [this](const PlannedMachine& machine) {
        const bool has_gpus = cluster_.types()[machine.kind.type].gpus > 0;
        return machine.free.cpus <= placement::kFitTolerance ||
               (has_gpus && machine.free.gpus <= placement::kFitTolerance);
    });
}

// Plans whole machines for expected tasks that cannot wait for a machine to boot.
void ScaleOutPlan::plan_whole_machines() {
    const std::vector<TypeDemand>& demand = forecast_.demand();
    for (Index type = 0; type < demand.size(); ++type) {
        auto missing = static_cast<std::size_t>(forecast_.wanted_urgent_machines(type, now_));
        missing -= std::min(missing, demand[type].available_for_whole_machine_tasks);
        missing -= set_aside_unassigned(type, missing);
        for (; missing > 0; --missing) {
            const std::optional<MachineKind> kind = kind_in_emptiest_zone(type, false);
            if (!kind) break;
            request(*kind);
        }
    }
}

// Removes up to `wanted` on-demand machines without assigned tasks from the plan and returns how
// many were removed.
std::size_t ScaleOutPlan::set_aside_unassigned(Index type, std::size_t wanted) {
    const wire::MachineType& machine_type = cluster_.types()[type];
    std::size_t taken = 0;
    std::erase_if(machines_, [&](const PlannedMachine& machine) {
        const bool unassigned = machine.kind.type == type && !machine.kind.spot &&
                                machine.free.gpus >= machine_type.gpus &&
                                machine.free.cpus >= machine_type.cpus;
        if (!unassigned || taken == wanted) return false;
        ++taken;
        return true;
    });
    return taken;
}

void ScaleOutPlan::plan_replica_headroom() {
    const ReplicaHeadroom& headroom = forecast_.replica_headroom();
    if (headroom.type == kNone) return;
    double missing = forecast_.wanted_replica_slots(now_) - headroom.free_slots;
    missing = set_aside_replica_slots(missing);
    const std::uint32_t slots_per_machine = FreeResources::of(cluster_.types()[headroom.type])
                                                .tasks_that_fit(headroom.need, kMaxReplicaSlots);
    for (; missing > 0 && !limit_reached(); missing -= slots_per_machine) {
        const std::optional<MachineKind> kind = kind_in_emptiest_zone(headroom.type, false);
        if (!kind) break;
        request_limited(*kind);
    }
}

// Sets aside slots for replicas on planned on-demand machines that are not expensive. Returns how
// many of the wanted slots are still missing.
double ScaleOutPlan::set_aside_replica_slots(double wanted_slots) {
    const ReplicaHeadroom& headroom = forecast_.replica_headroom();
    for (PlannedMachine& machine : machines_) {
        if (wanted_slots <= 0) break;
        const MachineKind& kind = machine.kind;
        if (kind.spot || kind.type >= headroom.relative_cost.size() ||
            headroom.relative_cost[kind.type].on_demand > placement::kExpensiveFactor)
            continue;
        const std::uint32_t slots = machine.free.tasks_that_fit(headroom.need, kMaxReplicaSlots);
        wanted_slots -= slots;
        machine.free.subtract(headroom.need, slots);
    }
    return wanted_slots;
}

// Plans expensive machines for arrays, up to the shortage in the job queue's forecast.
void ScaleOutPlan::plan_expensive_machines(const scheduling::JobQueue::CapacityShortage& shortage) {
    if (shortage.job == kNone || cluster_.job_by_index(shortage.job) == nullptr) return;
    const Job& job = *cluster_.job_by_index(shortage.job);
    double cpus = shortage.cpus;
    for (const auto& [name, request] : provisioning_.requests()) {
        if (rules_.is_expensive(job, request.kind.type, request.kind.spot))
            cpus -= request.count * cluster_.types()[request.kind.type].cpus;
    }
    const JobRequirement requirement{
        &job, placement::need_of(job), job.spec.tasks, job.zone,
        ZoneTaskCounts(job, std::vector<std::uint32_t>(cluster_.zones().size()))};
    while (cpus > 0 && !limit_reached()) {
        const std::optional<MachineKind> kind =
            cheapest_kind(requirement, requirement.zone, PriceLimit::any);
        if (!kind) break;
        request_limited(*kind);
        cpus -= std::max(1.0, cluster_.types()[kind->type].cpus);
    }
}

// Plans spot machines for expected tasks ahead of need, since they are cheap.
void ScaleOutPlan::plan_spot_machines() {
    if (term_.options().use_spot == 0) return;
    const std::vector<TypeDemand>& demand = forecast_.demand();
    for (Index type = 0; type < demand.size(); ++type) {
        double missing =
            forecast_.wanted_spot_machines(type, now_) - demand[type].free_spot_machines;
        for (const PlannedMachine& machine : machines_) {
            if (machine.kind.spot && machine.kind.type == type)
                missing -= machine.free.cpus / std::max(1.0, cluster_.types()[type].cpus);
        }
        for (; missing >= 1 && !limit_reached(); missing -= 1) {
            const std::optional<MachineKind> kind = kind_in_emptiest_zone(type, true);
            if (!kind) break;
            request_limited(*kind);
        }
    }
}

// Returns the kind with the lowest cost per task of the job, without kinds that are backing off.
std::optional<MachineKind> ScaleOutPlan::cheapest_kind(const JobRequirement& requirement,
                                                       Index required_zone,
                                                       PriceLimit limit) const {
    const Job& job = *requirement.job;
    double least_price = 0;
    std::optional<MachineKind> cheapest;
    for (Index index = 0; index < cluster_.types().size() && index < job.allowed_type.size();
         ++index) {
        const wire::MachineType& type = cluster_.types()[index];
        const double slots =
            FreeResources::of(type).tasks_that_fit(requirement.need, kMaxSlotsPriced);
        if (job.allowed_type[index] == 0 || slots == 0) continue;
        for (const std::string& zone_name : type.zones) {
            const Index zone = cluster_.zones().find(zone_name);
            if (required_zone != kNone && zone != required_zone) continue;
            if (!requirement.zone_tasks.allows_more_in(zone)) continue;
            for (const bool spot : {true, false}) {
                const MachineKind kind{index, zone, spot};
                if (!may_request(job, kind, limit)) continue;
                double price = (spot ? type.spot_price : type.price) / slots;
                price *= 1.0 + kZoneBalanceWeight * machines_by_zone_[zone];
                if (cheapest && price >= least_price) continue;
                cheapest = kind;
                least_price = price;
            }
        }
    }
    return cheapest;
}

bool ScaleOutPlan::may_request(const Job& job, const MachineKind& kind, PriceLimit limit) const {
    if (failure_detector_.is_lost(kind.zone)) return false;
    if (kind.spot && (!job.spec.spot || term_.options().use_spot == 0)) return false;
    if (limit == PriceLimit::not_expensive && rules_.is_expensive(job, kind.type, kind.spot))
        return false;
    if (rules_.reserved_for_other_work(job, kind.type)) return false;
    return !provisioning_.is_backing_off(kind, now_);
}

// Returns the kind in the zone with the fewest machines. Zones that are lost or where the kind is
// backing off are skipped. Returns std::nullopt if no zone remains.
std::optional<MachineKind> ScaleOutPlan::kind_in_emptiest_zone(Index type, bool spot) const {
    std::optional<MachineKind> emptiest;
    for (const std::string& zone_name : cluster_.types()[type].zones) {
        const MachineKind kind{type, cluster_.zones().find(zone_name), spot};
        if (provisioning_.is_backing_off(kind, now_)) continue;
        if (failure_detector_.is_lost(kind.zone)) continue;
        if (!emptiest || machines_by_zone_[kind.zone] < machines_by_zone_[emptiest->zone])
            emptiest = kind;
    }
    return emptiest;
}

void ScaleOutPlan::request(const MachineKind& kind) {
    auto it = std::find_if(requests_.begin(), requests_.end(),
                           [&kind](const MachineDemand& demand) { return demand.kind == kind; });
    if (it == requests_.end()) it = requests_.insert(it, {kind, 0});
    ++it->count;
    ++machines_by_zone_[kind.zone];
}

// Checked before searching for a kind, which costs far more.
bool ScaleOutPlan::limit_reached() const { return limited_request_count_ >= kMaxLimitedRequests; }

// Requests a machine that counts towards the limit of one round.
void ScaleOutPlan::request_limited(const MachineKind& kind) {
    ++limited_request_count_;
    request(kind);
}

}  // namespace nickelramp::autoscaling
