#include "autoscaling/rebalancer.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <tuple>

namespace nickelramp::autoscaling {

using jobs::Attempt;
using jobs::AttemptState;
using jobs::Job;
using machines::Machine;
using placement::Need;

namespace {
constexpr Millis kSettled = 31'000;  // replicas that have run so long may be moved
constexpr Millis kClosed = 30'000;   // a machine that is being emptied takes nothing new
constexpr Millis kEvery = 1'000;
constexpr double kWorthAMove = 1.5;       // so much cheaper is worth the interruption of a replica
constexpr std::size_t kMostEmptied = 40;  // machines looked at for emptying in one go
}  // namespace

// Is the other machine a better place to stay for a replica? Cheaper by a good part, or fuller.
Rebalancer::Improvement Rebalancer::improvement_for(const Job& job, const Machine& from,
                                                    const Machine& to) {
    const double here = job.relative_cost_of(from.type, from.spot);
    const double there = job.relative_cost_of(to.type, to.spot);
    if (there * kWorthAMove <= here) return Improvement::cheaper_machine;
    if (to.empty() || here * kWorthAMove <= there) return Improvement::none;
    // Only to fuller ones, or two machines would be emptied onto each other.
    const bool fuller = job.spec.gpus > 0
                            ? to.gpus_free <= from.gpus_free + placement::kFitTolerance
                            : to.cpus_free <= from.cpus_free + placement::kFitTolerance;
    return fuller ? Improvement::fuller_machine : Improvement::none;
}

// Can all replicas on this machine go on elsewhere at once? Then they do: with the image there, a
// move takes no longer than a few messages. From a dear machine to a cheap one each goes by itself,
// and may fetch its image for as long as its users wait for a start.
bool Rebalancer::move_replicas(Machine& from, std::map<Machine*, Need>& planned, Millis now) {
    std::vector<std::pair<Attempt*, Machine*>> moves;
    std::map<Machine*, Need> taken = planned;
    bool all = true;
    for (Attempt* attempt : from.attempts) {
        if (!attempt->live()) continue;
        Job& job = cluster_.job_of(*attempt);
        if (!job.is_service() || attempt->state != AttemptState::running || attempt->stop_wanted ||
            job.spec.one_zone || now - attempt->running_since < kSettled) {
            all = false;
            continue;
        }
        Machine* best = nullptr;
        std::tuple<bool, double, double> best_rank;
        for (Machine* machine : rules_.fitting_machines(job, placement::need_of(job), now)) {
            if (machine == &from || machine->reserved_for != kNone) continue;
            if (now < machine->cordoned_until) continue;  // it is being emptied itself
            if (job.spec.spread && job.spec.tasks > 1 && machine->zone != from.zone) continue;
            const Improvement better = improvement_for(job, from, *machine);
            if (better == Improvement::none) continue;
            Need& t = taken[machine];
            if (!placement::fits_within(machine->cpus_free - t.cpus, machine->gpus_free - t.gpus,
                                        machine->memory_free - t.memory_gb,
                                        placement::need_of(job))) {
                continue;
            }
            const double fetch =
                placement::image_wait_s(job, *machine, cluster_.types()[machine->type]);
            const bool cheaper = better == Improvement::cheaper_machine;
            if (fetch > (cheaper ? start_within_s(job) : 0)) continue;
            const double room = job.spec.gpus > 0 ? machine->gpus_free : machine->cpus_free;
            const std::tuple rank{!cheaper, fetch, room};
            if (best == nullptr || rank < best_rank) {
                best = machine;
                best_rank = rank;
            }
        }
        if (best == nullptr) {
            all = false;
            continue;
        }
        taken[best].cpus += job.spec.cpus;
        taken[best].gpus += job.spec.gpus;
        taken[best].memory_gb += job.spec.memory_gb;
        moves.push_back({attempt, best});
    }
    if (!all) {
        std::erase_if(moves, [&](const auto& move) {
            return improvement_for(cluster_.job_of(*move.first), from, *move.second) !=
                   Improvement::cheaper_machine;
        });
    }
    if (moves.empty()) return false;
    spdlog::info("moving {} replicas away from {} ({})", moves.size(), from.name,
                 cluster_.describe_kind(from));
    from.cordoned_until = now + kClosed;
    planned = std::move(taken);
    for (auto& [a, m] : moves) cluster_.request_stop(*a, 0, now);
    return true;
}

// How long the users of its class may wait for a start at the most, by the operators' objectives.
double Rebalancer::start_within_s(const Job& job) const {
    double most = 0;
    for (const wire::Objective& objective : term_.settings().objectives) {
        if (objective.kind == wire::Objective::Kind::wait &&
            objective.job_class == job.spec.job_class) {
            most = std::max(most, objective.within_s);
        }
    }
    return most;
}

void Rebalancer::consolidate(Millis now) {
    if (now < next_run_at_ || !term_.lease_confirmed(now)) return;
    next_run_at_ = now + kEvery;
    for (Index i : cluster_.pending_jobs()) {
        if (cluster_.job_by_index(i)->is_service() &&
            cluster_.job_by_index(i)->unplaced_tasks() > 0)
            return;
    }
    std::vector<Machine*> list;
    cluster_.free_capacity().for_each_candidate(
        {}, [](const auto& kind) { return !kind.spot; },
        [&](Index i) {
            Machine* machine = cluster_.machine_by_index(i);
            if (machine->live_gang_and_service_attempts > 0 && machine->reserved_for == kNone &&
                now >= machine->cordoned_until) {
                list.push_back(machine);
            }
            return true;
        });
    auto price = [&](const Machine* machine) { return cluster_.types()[machine->type].price; };
    std::sort(list.begin(), list.end(), [&](const Machine* a, const Machine* b) {
        return std::tuple(price(a), a->gpus_free, a->cpus_free) >
               std::tuple(price(b), b->gpus_free, b->cpus_free);
    });
    if (list.size() > kMostEmptied) list.resize(kMostEmptied);
    std::vector<char> done(cluster_.zones().size());
    // Two machines must not be emptied onto the same places: replicas of the second had none left
    // and waited for a boot.
    std::map<Machine*, Need> planned;
    for (Machine* machine : list) {
        // One at a time in each zone.
        if (done[machine->zone] == 0 && move_replicas(*machine, planned, now))
            done[machine->zone] = 1;
    }
}

}  // namespace nickelramp::autoscaling
