#include "autoscaling/rebalancer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

#include "scheduling/free_resources.h"

namespace nickelramp::autoscaling {

using jobs::Attempt;
using jobs::AttemptState;
using jobs::Job;
using machines::Machine;
using placement::Need;

namespace {
constexpr Millis kMinRunTime = 31'000;      // after which a replica may be moved
constexpr Millis kCordonDuration = 30'000;  // of a machine whose replicas are being moved
constexpr Millis kRunInterval = 1'000;
constexpr double kMinCostRatioToMove = 1.5;  // that justifies interrupting a replica
constexpr std::size_t kMaxMachinesPerRun = 40;
}  // namespace

void Rebalancer::consolidate(Millis now) {
    if (now < next_run_at_ || !term_.lease_confirmed(now)) return;
    next_run_at_ = now + kRunInterval;
    if (replicas_are_waiting()) return;
    std::vector<char> zone_done(cluster_.zones().size());
    // Two machines must not be emptied onto the same slots. Otherwise the replicas of the second
    // find no slots and wait for a machine to boot.
    PlannedUse planned;
    for (Machine* machine : machines_to_empty(now)) {
        if (zone_done[machine->zone] == 0 && move_replicas(*machine, planned, now))
            zone_done[machine->zone] = 1;
    }
}

bool Rebalancer::replicas_are_waiting() const {
    const std::vector<Index>& pending = cluster_.pending_jobs();
    return std::any_of(pending.begin(), pending.end(), [this](Index index) {
        const Job& job = *cluster_.job_by_index(index);
        return job.is_service() && job.unplaced_tasks() > 0;
    });
}

// Returns the machines whose replicas may be moved, the most expensive and emptiest first.
std::vector<Machine*> Rebalancer::machines_to_empty(Millis now) const {
    std::vector<Machine*> machines;
    cluster_.free_capacity().for_each_candidate(
        {}, [](const auto& kind) { return !kind.spot; },
        [&](Index index) {
            Machine* machine = cluster_.machine_by_index(index);
            if (machine->live_gang_and_service_attempts > 0 && machine->reserved_for == kNone &&
                now >= machine->cordoned_until)
                machines.push_back(machine);
            return true;
        });
    auto price = [&](const Machine* machine) { return cluster_.types()[machine->type].price; };
    std::sort(machines.begin(), machines.end(), [&](const Machine* a, const Machine* b) {
        return std::tuple(price(a), a->gpus_free, a->cpus_free) >
               std::tuple(price(b), b->gpus_free, b->cpus_free);
    });
    if (machines.size() > kMaxMachinesPerRun) machines.resize(kMaxMachinesPerRun);
    return machines;
}

// Stops the replicas to be moved and returns whether there were any. If all replicas on the machine
// can continue elsewhere immediately, all of them move. Where the image is present, a move takes no
// longer than a few messages. From an expensive machine to a cheap one, replicas move individually,
// and fetching the image may take as long as the class's objective allows for a start.
bool Rebalancer::move_replicas(Machine& from, PlannedUse& planned, Millis now) {
    PlannedUse planned_with_moves = planned;
    const std::vector<Move> moves = plan_moves(from, planned_with_moves, now);
    if (moves.empty()) return false;
    spdlog::info("moving replicas: count={} from={} kind={}", moves.size(), from.name,
                 cluster_.describe_kind(from));
    from.cordoned_until = now + kCordonDuration;
    planned = std::move(planned_with_moves);
    for (const Move& move : moves) cluster_.request_stop(*move.attempt, 0, now);
    return true;
}

std::vector<Rebalancer::Move> Rebalancer::plan_moves(const Machine& from, PlannedUse& planned,
                                                     Millis now) const {
    std::vector<Move> moves;
    bool becomes_empty = true;
    for (Attempt* attempt : from.attempts) {
        if (!attempt->live()) continue;
        const Job& job = cluster_.job_of(*attempt);
        std::optional<Target> target;
        if (may_move(*attempt, job, now)) target = best_target(job, from, planned, now);
        if (!target) {
            becomes_empty = false;
            continue;
        }
        Need& use = planned[target->machine];
        use.cpus += job.spec.cpus;
        use.gpus += job.spec.gpus;
        use.memory_gb += job.spec.memory_gb;
        moves.push_back({attempt, target->improvement});
    }
    if (!becomes_empty) {
        std::erase_if(moves, [](const Move& move) {
            return move.improvement != Improvement::cheaper_machine;
        });
    }
    return moves;
}

bool Rebalancer::may_move(const Attempt& attempt, const Job& job, Millis now) {
    return job.is_service() && attempt.state == AttemptState::running && !attempt.stop_requested &&
           !job.spec.one_zone && now - attempt.running_since >= kMinRunTime;
}

std::optional<Rebalancer::Target> Rebalancer::best_target(const Job& job, const Machine& from,
                                                          PlannedUse& planned, Millis now) const {
    std::optional<Target> best;
    for (Machine* machine : rules_.fitting_machines(job, placement::need_of(job), now)) {
        if (machine == &from || machine->reserved_for != kNone) continue;
        if (now < machine->cordoned_until) continue;  // its own replicas are being moved
        if (job.spec.spread && job.spec.tasks > 1 && machine->zone != from.zone) continue;
        const std::optional<Target> target = target_on(*machine, job, from, planned[machine]);
        if (target && (!best || target->rank < best->rank)) best = target;
    }
    return best;
}

// Returns std::nullopt if the machine is no better for the replica than its present one, or cannot
// start it soon enough.
std::optional<Rebalancer::Target> Rebalancer::target_on(Machine& machine, const Job& job,
                                                        const Machine& from,
                                                        const Need& planned_use) const {
    const Improvement improvement = improvement_for(job, from, machine);
    if (improvement == Improvement::none) return std::nullopt;
    scheduling::FreeResources free = scheduling::FreeResources::of(machine);
    free.subtract(planned_use, 1);
    if (free.tasks_that_fit(placement::need_of(job), 1) == 0) return std::nullopt;
    const double fetch_s = placement::image_wait_s(job, machine, cluster_.types()[machine.type]);
    const bool cheaper = improvement == Improvement::cheaper_machine;
    if (fetch_s > (cheaper ? max_start_wait_s(job) : 0)) return std::nullopt;
    const double free_amount = job.spec.gpus > 0 ? machine.gpus_free : machine.cpus_free;
    return Target{&machine, improvement, {!cheaper, fetch_s, free_amount}};
}

// Returns whether and why the other machine is better for a replica: considerably cheaper, or
// fuller at a similar cost.
Rebalancer::Improvement Rebalancer::improvement_for(const Job& job, const Machine& from,
                                                    const Machine& to) {
    const double cost_here = job.relative_cost_of(from.type, from.spot);
    const double cost_there = job.relative_cost_of(to.type, to.spot);
    if (cost_there * kMinCostRatioToMove <= cost_here) return Improvement::cheaper_machine;
    if (to.empty() || cost_here * kMinCostRatioToMove <= cost_there) return Improvement::none;
    // Replicas move to fuller machines only. Otherwise two machines could be emptied onto each
    // other.
    const bool fuller = job.spec.gpus > 0
                            ? to.gpus_free <= from.gpus_free + placement::kFitTolerance
                            : to.cpus_free <= from.cpus_free + placement::kFitTolerance;
    return fuller ? Improvement::fuller_machine : Improvement::none;
}

// Returns the longest time to start that the operators' objectives allow the job's class.
double Rebalancer::max_start_wait_s(const Job& job) const {
    double longest = 0;
    for (const wire::Objective& objective : term_.settings().objectives) {
        if (objective.kind == wire::Objective::Kind::wait &&
            objective.job_class == job.spec.job_class)
            longest = std::max(longest, objective.within_s);
    }
    return longest;
}

}  // namespace nickelramp::autoscaling
