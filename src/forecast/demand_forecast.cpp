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
constexpr double kGangsSoonS = 20;
// Blank machines kept for each one that waiting work needs, and zones that a gang may choose from.
constexpr std::size_t kBlankEach = 2, kZones = 4;
// Classes that leave ordinary machines of the type as a whole.
auto whole_of(Index type) {
    return [type](const auto& l) { return l.uses_whole_machine && !l.spot && l.type == type; };
}
}  // namespace

// How many machines' worth should be free now, so that what comes need not wait for a boot: what
// arrives within one beyond what is left by then, and a margin, since both come in lumps.
template <typename Leaves>
double DemandForecast::wanted_ahead_of_need(forecast::ArrivalRate& arrivals, Index type,
                                            Leaves leaves, double margin, Millis now) {
    const double boot_s = cluster_.types()[type].boot_s;
    double left = 0;
    for (const ClassStatistics& statistics : class_statistics_) {
        if (!leaves(statistics) || statistics.weight <= 0) continue;
        left +=
            statistics.machine_share *
            std::min(1.0, boot_s / std::max(1.0, statistics.observed_run_s / statistics.weight));
    }
    return std::max(0.0, arrivals.expected_within(boot_s, now) - left) +
           margin * std::sqrt(2.0) * arrivals.deviation_within(boot_s, now);
}

// What its places cost on each kind of machine, and on which type least.
void DemandForecast::update_placement_costs(Job& job) {
    Need need = placement::need_of(job);
    double least = std::numeric_limits<double>::infinity();
    for (Index t = 0; t < cluster_.types().size() && t < job.allowed_type.size(); ++t) {
        job.slots_by_type.push_back(placement::slots_on(cluster_.types()[t], need));
        double ordinary = placement::hourly_cost_per_task(cluster_.types()[t], false, need);
        job.relative_cost.push_back(
            {ordinary, placement::hourly_cost_per_task(cluster_.types()[t], true, need)});
        if (job.allowed_type[t] == 0 || ordinary >= least) continue;
        least = ordinary;
        job.cheapest_type = t;
    }
    if (job.cheapest_type == kNone) return;
    for (auto& [ordinary, spot] : job.relative_cost) {
        // Without prices nothing is dear.
        ordinary = least > 0 ? ordinary / least : 1;
        spot = least > 0 ? spot / least : 1;
    }
    auto fits = [&](Index t) {
        return job.allowed_type[t] != 0 && std::isfinite(job.relative_cost_of(t, false));
    };
    std::size_t fitting = 0;
    for (Index t = 0; t < job.relative_cost.size(); ++t) fitting += fits(t) ? 1 : 0;
    if (fitting == 1) mutable_demand(job.cheapest_type).required_by_some_work = true;
    const wire::MachineType& type = cluster_.types()[job.cheapest_type];
    job.machine_share = job.spec.cpus / std::max(1.0, type.cpus);
    if (type.gpus > 0) job.machine_share = std::max(job.machine_share, job.spec.gpus / type.gpus);
}

void DemandForecast::record_replica_arrival(const Job& job) {
    replica_headroom_.arrivals.record(job.spec.tasks, job.accepted_at);
    Need need = placement::need_of(job);
    need = {std::max(need.cpus, replica_headroom_.need.cpus),
            std::max(need.gpus, replica_headroom_.need.gpus),
            std::max(need.memory_gb, replica_headroom_.need.memory_gb)};
    bool same = replica_headroom_.type == job.cheapest_type &&
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
    const bool takes_whole = uses_whole_machine(job);
    statistics.uses_whole_machine = statistics.uses_whole_machine || takes_whole;
    // Those that may use spot machines are looked after there.
    if (job.cheapest_type != kNone && !job.spec.spot && takes_whole) {
        TypeDemand& demand = mutable_demand(job.cheapest_type);
        demand.whole_machine_arrivals.record(job.spec.tasks, job.accepted_at);
        bool pressing = std::any_of(
            term_.settings().objectives.begin(), term_.settings().objectives.end(),
            [&](const auto& o) {
                return o.kind == wire::Objective::Kind::wait && o.job_class == job.spec.job_class &&
                       o.within_s < cluster_.types()[job.cheapest_type].boot_s;
            });
        if (pressing) demand.urgent_arrivals.record(job.spec.tasks, job.accepted_at);
    }
}

void DemandForecast::on_machine_changed(Machine& machine) {
    TypeDemand& demand = mutable_demand(machine.type);
    bool blank = machine.accepts_tasks() && !machine.spot && machine.live_attempts == 0;
    if (blank != machine.empty_on_demand) demand.empty_on_demand += blank ? 1 : -1;
    machine.empty_on_demand = blank;
    double room = 0;
    if (machine.accepts_tasks() && machine.spot) {
        const wire::MachineType& machine_type = cluster_.types()[machine.type];
        room = std::max(0.0, machine.cpus_free / std::max(1.0, machine_type.cpus));
        if (machine_type.gpus > 0)
            room = std::min(room, std::max(0.0, machine.gpus_free / machine_type.gpus));
    }
    demand.free_spot_machines += room - machine.free_spot_share;
    machine.free_spot_share = room;
    bool here = machine.accepts_tasks() || machine.state == MachineState::booting ||
                machine.state == MachineState::joining;
    double flexible =
        here ? std::max(0.0, 1 - machine.gang_and_service_cpus /
                                     std::max(1.0, cluster_.types()[machine.type].cpus))
             : 0;
    demand.array_capacity[machine.spot ? 1 : 0] += flexible - machine.array_share;
    machine.array_share = flexible;
    double places = 0;
    machine.counts_for_replicas =
        replica_headroom_.type != kNone && machine.accepts_tasks() && !machine.spot &&
        machine.type < replica_headroom_.relative_cost.size() &&
        replica_headroom_.relative_cost[machine.type].on_demand <= placement::kExpensiveFactor;
    if (machine.counts_for_replicas) {
        places = placement::tasks_that_fit(machine.cpus_free, machine.gpus_free,
                                           machine.memory_free, replica_headroom_.need, 1024);
    }
    replica_headroom_.free_slots += places - machine.replica_slots;
    machine.replica_slots = places;
    bool spare =
        machine.accepts_tasks() && !machine.spot && machine.live_gang_and_service_attempts == 0;
    if (spare != machine.available_for_whole_machine_task)
        demand.available_for_whole_machine_tasks += spare ? 1 : -1;
    machine.available_for_whole_machine_task = spare;
}

void DemandForecast::on_task_running_changed(const Job& job, bool begins) {
    if (job.is_service()) return;
    class_statistics_[job.job_class].running += begins ? 1 : -1;
    class_statistics_[job.job_class].machine_share +=
        begins ? job.machine_share : -job.machine_share;
}

void DemandForecast::clear_whole_machines_wanted() {
    for (TypeDemand& demand : demand_) demand.whole_machines_wanted = 0;
}

void DemandForecast::add_whole_machines_wanted(const Job& job) {
    if (job.cheapest_type == kNone || !class_statistics_[job.job_class].uses_whole_machine) return;
    // Some are set aside for others; of a gang of one zone nobody knows where all of it will fit.
    const std::size_t zones =
        job.spec.one_zone ? std::min<std::size_t>(cluster_.zones().size(), kZones) : 0;
    mutable_demand(job.cheapest_type).whole_machines_wanted +=
        job.placeable_tasks() * std::max(kBlankEach, zones);
}

// A machine hired now is of use after its boot. Places that running array tasks leave before then
// serve the queue as early, and cost nothing. By type: an urgent array once waited for places on
// machines that it is not put on.
std::vector<std::uint32_t> DemandForecast::slots_freed_soon() const {
    double boot_s = 0;
    for (const wire::MachineType& machine_type : cluster_.types()) {
        if (boot_s == 0 || machine_type.boot_s < boot_s) boot_s = machine_type.boot_s;
    }
    std::vector<double> places(cluster_.types().size());
    for (const ClassStatistics& statistics : class_statistics_) {
        if (statistics.uses_whole_machine || statistics.weight <= 0 ||
            statistics.type >= places.size())
            continue;
        double run_s = std::max(1.0, statistics.observed_run_s / statistics.weight);
        places[statistics.type] += statistics.running * std::min(1.0, boot_s / run_s);
    }
    return {places.begin(), places.end()};
}

double DemandForecast::expected_run_s(const Job& job) const {
    const ClassStatistics& statistics = class_statistics_[job.job_class];
    double ratio = statistics.estimated_run_s > 0
                       ? statistics.observed_run_s / statistics.estimated_run_s
                       : 1.0;
    return job.spec.estimate_s * ratio;
}

// Owners' guesses are off, on some days all the same way: remembers how much, class by class.
void DemandForecast::on_task_completed(const Job& job, const Attempt& attempt, Millis now) {
    if (attempt.running_since == 0 || attempt.number != 1 || job.spec.estimate_s <= 0) return;
    ClassStatistics& statistics = class_statistics_[job.job_class];
    statistics.weight = statistics.weight * 0.97 + 1;
    statistics.observed_run_s = statistics.observed_run_s * 0.97 +
                                static_cast<double>(now - attempt.running_since) / 1000.0;
    statistics.estimated_run_s = statistics.estimated_run_s * 0.97 + job.spec.estimate_s;
}

// Does a task of it take most of a machine, and wait for nobody?
bool DemandForecast::uses_whole_machine(const Job& job) const {
    if (job.spec.shape == wire::Shape::array) return false;
    for (Index t = 0; t < cluster_.types().size() && t < job.allowed_type.size(); ++t) {
        const wire::MachineType& type = cluster_.types()[t];
        if (job.allowed_type[t] == 0) continue;
        if (job.spec.cpus * 2 <= type.cpus && job.spec.gpus * 2 <= type.gpus) return false;
    }
    return true;
}

std::size_t DemandForecast::wanted_spare_machines(Index type, Millis now) {
    return static_cast<std::size_t>(std::ceil(
        wanted_ahead_of_need(mutable_demand(type).whole_machine_arrivals, type, whole_of(type),
                             term_.options().idle_retention_margin, now)));
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

// Blank machines that gangs need, or will within seconds, are not for those that spot machines
// serve as well: they would be stopped again at once. No more than they can use: one gang that
// waited for its zone once kept thousands empty.
bool DemandForecast::keeps_empty_machine(Index type, Millis now) {
    TypeDemand& demand = mutable_demand(type);
    const auto soon =
        static_cast<std::size_t>(demand.whole_machine_arrivals.deviation_within(kGangsSoonS, now));
    return demand.empty_on_demand <= demand.whole_machines_wanted + soon;
}

// What arrays of higher priority take on average, in cpus.
double DemandForecast::expected_load_above(const Job& job, Millis now) {
    double sum = 0;
    for (ClassStatistics& statistics : class_statistics_) {
        if (statistics.weight <= 0 || statistics.priority <= job.spec.priority) continue;
        sum += statistics.array_cpu_arrivals.expected_within(1, now) * statistics.observed_run_s /
               statistics.weight;
    }
    return sum;
}

double DemandForecast::wanted_urgent_machines(Index type, Millis now) {
    return wanted_ahead_of_need(mutable_demand(type).urgent_arrivals, type, whole_of(type),
                                term_.options().provisioning_margin, now);
}

double DemandForecast::wanted_spot_machines(Index type, Millis now) {
    auto leaves = [&](const ClassStatistics& statistics) {
        return statistics.spot && statistics.type == type;
    };
    return wanted_ahead_of_need(mutable_demand(type).spot_arrivals, type, leaves,
                                term_.options().spot_margin, now);
}

}  // namespace nickelramp::forecast
