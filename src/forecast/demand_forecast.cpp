#include "forecast/demand_forecast.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace nickelramp::forecast {

using jobs::Attempt;
using jobs::Job;
using machines::Machine;
using machines::MachineState;
using placement::Need;

namespace {
// Empty machines are kept for whole-machine tasks that are expected within this time.
constexpr double kWholeMachineLookaheadS = 20;
constexpr std::size_t kEmptyPerTask = 2;          // machines kept for a waiting whole-machine task
constexpr std::size_t kMaxZonesConsidered = 4;    // for a task of a gang bound to one zone
constexpr std::uint32_t kMaxReplicaSlots = 1024;  // per machine
constexpr double kCompletionDecay = 0.97;         // factor applied with each further completion
constexpr double kMinRunS = 1;

// Returns a predicate for the classes whose tasks free whole on-demand machines of the type.
auto frees_whole_machine(Index type) {
    return [type](const ClassStatistics& statistics) {
        return statistics.uses_whole_machine && !statistics.spot && statistics.type == type;
    };
}

double mean_run_s(const ClassStatistics& statistics) {
    return std::max(kMinRunS, statistics.observed_run_s / statistics.weight);
}
}  // namespace

// Returns the number of machines that should be free now so that arriving tasks need not wait for a
// boot. It is the expected arrivals during a boot minus the capacity that is freed by then, plus a
// margin, since both vary.
template <typename FreesMachine>
double DemandForecast::wanted_headroom(ArrivalRate& arrivals, Index type,
                                       FreesMachine frees_machine, double margin, Millis now) {
    const double boot_s = cluster_.types()[type].boot_s;
    double left = 0;
    for (const ClassStatistics& statistics : class_statistics_) {
        if (!frees_machine(statistics) || statistics.weight <= 0) continue;
        left += statistics.machine_share * std::min(1.0, boot_s / mean_run_s(statistics));
    }
    const double expected = arrivals.expected_within(boot_s, now);
    const double deviation = arrivals.deviation_within(boot_s, now);
    return std::max(0.0, expected - left) + margin * std::sqrt(2.0) * deviation;
}

// Computes the cost of the job's slots on each kind of machine, and the cheapest type.
void DemandForecast::update_placement_costs(Job& job) {
    const Need need = placement::need_of(job);
    double least = std::numeric_limits<double>::infinity();
    for (Index index = 0; index < cluster_.types().size() && index < job.allowed_type.size();
         ++index) {
        const wire::MachineType& type = cluster_.types()[index];
        job.slots_by_type.push_back(placement::slots_on(type, need));
        const double ordinary = placement::hourly_cost_per_task(type, false, need);
        job.relative_cost.push_back({ordinary, placement::hourly_cost_per_task(type, true, need)});
        if (job.allowed_type[index] == 0 || ordinary >= least) continue;
        least = ordinary;
        job.cheapest_type = index;
    }
    if (job.cheapest_type == kNone) return;
    for (auto& [ordinary, spot] : job.relative_cost) {
        // Without prices, no type counts as expensive.
        ordinary = least > 0 ? ordinary / least : 1;
        spot = least > 0 ? spot / least : 1;
    }
    mark_required_type(job);
    const wire::MachineType& type = cluster_.types()[job.cheapest_type];
    job.machine_share = job.spec.cpus / std::max(1.0, type.cpus);
    if (type.gpus > 0) job.machine_share = std::max(job.machine_share, job.spec.gpus / type.gpus);
}

// Marks the job's cheapest type as required if the job fits no other type.
void DemandForecast::mark_required_type(const Job& job) {
    std::size_t fitting_types = 0;
    for (Index type = 0; type < job.relative_cost.size(); ++type) {
        const bool fits =
            job.allowed_type[type] != 0 && std::isfinite(job.relative_cost_of(type, false));
        fitting_types += fits ? 1 : 0;
    }
    if (fitting_types == 1) mutable_demand(job.cheapest_type).required_by_some_work = true;
}

void DemandForecast::record_replica_arrival(const Job& job) {
    replica_headroom_.arrivals.record(job.spec.tasks, job.accepted_at);
    Need need = placement::need_of(job);
    need = {std::max(need.cpus, replica_headroom_.need.cpus),
            std::max(need.gpus, replica_headroom_.need.gpus),
            std::max(need.memory_gb, replica_headroom_.need.memory_gb)};
    const bool same = replica_headroom_.type == job.cheapest_type &&
                      need.cpus == replica_headroom_.need.cpus &&
                      need.gpus == replica_headroom_.need.gpus &&
                      need.memory_gb == replica_headroom_.need.memory_gb;
    if (same) return;
    replica_headroom_.need = need;
    replica_headroom_.type = job.cheapest_type;
    replica_headroom_.relative_cost = job.relative_cost;
    for (Machine* machine : cluster_.machines()) {
        if (machine->type != kNone) on_machine_changed(*machine);
    }
}

void DemandForecast::on_job_added(Job& job) {
    class_statistics_.resize(cluster_.classes().size());
    update_placement_costs(job);
    ClassStatistics& statistics = class_statistics_[job.job_class];
    statistics.type = job.cheapest_type;
    statistics.spot = job.spec.spot;
    statistics.priority = job.spec.priority;
    if (job.spec.shape == wire::Shape::array) {
        statistics.array_cpu_arrivals.record(job.spec.cpus * job.spec.tasks, job.accepted_at);
    }
    if (job.cheapest_type != kNone && job.spec.spot && !job.is_service()) {
        mutable_demand(job.cheapest_type)
            .spot_arrivals.record(job.machine_share * job.spec.tasks, job.accepted_at);
    }
    if (job.is_service() && job.cheapest_type != kNone) record_replica_arrival(job);
    const bool whole_machine = uses_whole_machine(job);
    statistics.uses_whole_machine = statistics.uses_whole_machine || whole_machine;
    // Jobs that may use spot machines are counted in spot_arrivals.
    if (job.cheapest_type != kNone && !job.spec.spot && whole_machine)
        record_whole_machine_arrival(job);
}

void DemandForecast::record_whole_machine_arrival(const Job& job) {
    TypeDemand& demand = mutable_demand(job.cheapest_type);
    demand.whole_machine_arrivals.record(job.spec.tasks, job.accepted_at);
    if (must_start_within_boot(job)) demand.urgent_arrivals.record(job.spec.tasks, job.accepted_at);
}

// Returns whether the operators' objectives require the job's class to start within less than a
// machine's boot time.
bool DemandForecast::must_start_within_boot(const Job& job) const {
    const double boot_s = cluster_.types()[job.cheapest_type].boot_s;
    const std::vector<wire::Objective>& objectives = term_.settings().objectives;
    return std::any_of(objectives.begin(), objectives.end(), [&](const wire::Objective& objective) {
        return objective.kind == wire::Objective::Kind::wait &&
               objective.job_class == job.spec.job_class && objective.within_s < boot_s;
    });
}

// Each function replaces the machine's previous contribution to a sum by its present one.
void DemandForecast::on_machine_changed(Machine& machine) {
    update_empty(machine);
    update_spot_share(machine);
    update_array_share(machine);
    update_replica_slots(machine);
    update_whole_machine(machine);
}

void DemandForecast::update_empty(Machine& machine) {
    const bool empty = machine.accepts_tasks() && !machine.spot && machine.live_attempts == 0;
    if (empty != machine.empty_on_demand)
        mutable_demand(machine.type).empty_on_demand += empty ? 1 : -1;
    machine.empty_on_demand = empty;
}

void DemandForecast::update_spot_share(Machine& machine) {
    double share = 0;
    if (machine.accepts_tasks() && machine.spot) {
        const wire::MachineType& type = cluster_.types()[machine.type];
        share = std::max(0.0, machine.cpus_free / std::max(1.0, type.cpus));
        if (type.gpus > 0) share = std::min(share, std::max(0.0, machine.gpus_free / type.gpus));
    }
    mutable_demand(machine.type).free_spot_machines += share - machine.free_spot_share;
    machine.free_spot_share = share;
}

void DemandForecast::update_array_share(Machine& machine) {
    const bool usable_or_provisioning = machine.accepts_tasks() ||
                                        machine.state == MachineState::booting ||
                                        machine.state == MachineState::joining;
    double share = 0;
    if (usable_or_provisioning) {
        const double cpus = std::max(1.0, cluster_.types()[machine.type].cpus);
        share = std::max(0.0, 1 - machine.gang_and_service_cpus / cpus);
    }
    mutable_demand(machine.type).array_capacity[machine.spot ? 1 : 0] +=
        share - machine.array_share;
    machine.array_share = share;
}

void DemandForecast::update_replica_slots(Machine& machine) {
    const ReplicaHeadroom& headroom = replica_headroom_;
    machine.counts_for_replicas =
        headroom.type != kNone && machine.accepts_tasks() && !machine.spot &&
        machine.type < headroom.relative_cost.size() &&
        headroom.relative_cost[machine.type].on_demand <= placement::kExpensiveFactor;
    double slots = 0;
    if (machine.counts_for_replicas) {
        slots = placement::tasks_that_fit(machine.cpus_free, machine.gpus_free, machine.memory_free,
                                          headroom.need, kMaxReplicaSlots);
    }
    replica_headroom_.free_slots += slots - machine.replica_slots;
    machine.replica_slots = slots;
}

void DemandForecast::update_whole_machine(Machine& machine) {
    const bool available =
        machine.accepts_tasks() && !machine.spot && machine.live_gang_and_service_attempts == 0;
    if (available != machine.available_for_whole_machine_task)
        mutable_demand(machine.type).available_for_whole_machine_tasks += available ? 1 : -1;
    machine.available_for_whole_machine_task = available;
}

void DemandForecast::on_task_running_changed(const Job& job, bool begins) {
    if (job.is_service()) return;
    ClassStatistics& statistics = class_statistics_[job.job_class];
    statistics.running += begins ? 1 : -1;
    statistics.machine_share += begins ? job.machine_share : -job.machine_share;
}

void DemandForecast::clear_whole_machines_wanted() {
    for (TypeDemand& demand : demand_) demand.whole_machines_wanted = 0;
}

void DemandForecast::add_whole_machines_wanted(const Job& job) {
    if (job.cheapest_type == kNone || !class_statistics_[job.job_class].uses_whole_machine) return;
    // Some empty machines are reserved for other work. For a gang bound to one zone, it is unknown
    // in which zone all of it will fit.
    const std::size_t zones =
        job.spec.one_zone ? std::min<std::size_t>(cluster_.zones().size(), kMaxZonesConsidered) : 0;
    mutable_demand(job.cheapest_type).whole_machines_wanted +=
        job.placeable_tasks() * std::max(kEmptyPerTask, zones);
}

// A machine provisioned now is usable after its boot. Slots that running array tasks free before
// then are available as early and cost nothing. The slots are counted by type, since an urgent
// array could otherwise wait for slots on machines on which it cannot be placed.
std::vector<std::uint32_t> DemandForecast::slots_freed_soon() const {
    double boot_s = 0;
    for (const wire::MachineType& machine_type : cluster_.types()) {
        if (boot_s == 0 || machine_type.boot_s < boot_s) boot_s = machine_type.boot_s;
    }
    std::vector<double> slots(cluster_.types().size());
    for (const ClassStatistics& statistics : class_statistics_) {
        if (statistics.uses_whole_machine || statistics.weight <= 0 ||
            statistics.type >= slots.size())
            continue;
        slots[statistics.type] +=
            statistics.running * std::min(1.0, boot_s / mean_run_s(statistics));
    }
    return {slots.begin(), slots.end()};
}

double DemandForecast::expected_run_s(const Job& job) const {
    const ClassStatistics& statistics = class_statistics_[job.job_class];
    const double ratio = statistics.estimated_run_s > 0
                             ? statistics.observed_run_s / statistics.estimated_run_s
                             : 1.0;
    return job.spec.estimate_s * ratio;
}

// Owners' estimates are inaccurate, on some days all in the same direction. The statistics record
// by how much, by class.
void DemandForecast::on_task_completed(const Job& job, const Attempt& attempt, Millis now) {
    if (attempt.running_since == 0 || attempt.number != 1 || job.spec.estimate_s <= 0) return;
    ClassStatistics& statistics = class_statistics_[job.job_class];
    statistics.weight = statistics.weight * kCompletionDecay + 1;
    statistics.observed_run_s = statistics.observed_run_s * kCompletionDecay +
                                static_cast<double>(now - attempt.running_since) / 1000.0;
    statistics.estimated_run_s =
        statistics.estimated_run_s * kCompletionDecay + job.spec.estimate_s;
}

// Returns whether the job is not an array and each of its tasks needs more than half of the CPUs or
// GPUs of any machine that it may use.
bool DemandForecast::uses_whole_machine(const Job& job) const {
    if (job.spec.shape == wire::Shape::array) return false;
    for (Index index = 0; index < cluster_.types().size() && index < job.allowed_type.size();
         ++index) {
        const wire::MachineType& type = cluster_.types()[index];
        if (job.allowed_type[index] == 0) continue;
        if (job.spec.cpus * 2 <= type.cpus && job.spec.gpus * 2 <= type.gpus) return false;
    }
    return true;
}

std::size_t DemandForecast::wanted_spare_machines(Index type, Millis now) {
    return static_cast<std::size_t>(std::ceil(
        wanted_headroom(mutable_demand(type).whole_machine_arrivals, type,
                        frees_whole_machine(type), term_.options().idle_retention_margin, now)));
}

double DemandForecast::wanted_replica_slots(Millis now) {
    if (replica_headroom_.type == kNone || replica_headroom_.type >= cluster_.types().size())
        return 0;
    return term_.options().replica_margin *
           replica_headroom_.arrivals.deviation_within(
               cluster_.types()[replica_headroom_.type].boot_s, now);
}

TypeDemand& DemandForecast::mutable_demand(Index type) {
    if (demand_.size() <= type) demand_.resize(type + 1);
    return demand_[type];
}

// Empty machines that gangs need now or within seconds are not given to tasks that can run on spot
// machines, since those tasks would be preempted immediately. The number is limited to what gangs
// can use. Otherwise a single gang waiting for its zone could keep thousands of machines empty.
bool DemandForecast::reserves_empty_machines(Index type, Millis now) {
    TypeDemand& demand = mutable_demand(type);
    const auto soon = static_cast<std::size_t>(
        demand.whole_machine_arrivals.deviation_within(kWholeMachineLookaheadS, now));
    return demand.empty_on_demand <= demand.whole_machines_wanted + soon;
}

double DemandForecast::expected_higher_priority_load(const Job& job, Millis now) {
    double sum = 0;
    for (ClassStatistics& statistics : class_statistics_) {
        if (statistics.weight <= 0 || statistics.priority <= job.spec.priority) continue;
        sum += statistics.array_cpu_arrivals.expected_within(1, now) * statistics.observed_run_s /
               statistics.weight;
    }
    return sum;
}

double DemandForecast::wanted_urgent_machines(Index type, Millis now) {
    return wanted_headroom(mutable_demand(type).urgent_arrivals, type, frees_whole_machine(type),
                           term_.options().provisioning_margin, now);
}

double DemandForecast::wanted_spot_machines(Index type, Millis now) {
    auto frees_machine = [&](const ClassStatistics& statistics) {
        return statistics.spot && statistics.type == type;
    };
    return wanted_headroom(mutable_demand(type).spot_arrivals, type, frees_machine,
                           term_.options().spot_margin, now);
}

}  // namespace nickelramp::forecast
