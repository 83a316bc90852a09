#include "drain/planner.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace nickelramp::drain {

using jobs::AttemptState;
using machines::MachineState;
using placement::Need;

namespace {
constexpr std::size_t kMaxPlans = 16;
constexpr std::size_t kTasksPerTurn = 100;
constexpr std::size_t kMaxViolations = 200;
constexpr double kStopOverheadS = scheduling::kStopOverhead / 1000.0;
// A task is assumed to need at least this share of its forecast run time, also past the forecast.
constexpr double kMinRemainingFraction = 0.1;

double seconds_since(Millis then, Millis now) { return static_cast<double>(now - then) / 1000.0; }
}  // namespace

Planner::RequestResult Planner::request_plan(const Request& request) {
    if (const Plan* known = find(request.id)) {
        return known->request == request ? RequestResult::already_known
                                         : RequestResult::id_conflict;
    }
    if (drafts_.size() >= kMaxPlans) {
        auto done = std::find_if(drafts_.begin(), drafts_.end(), [](const auto& d) {
            return d->plan.state != PlanState::planning;
        });
        if (done == drafts_.end()) return RequestResult::too_many;
        drafts_.erase(done);
    }
    drafts_.push_back(std::make_unique<Draft>());
    Draft& draft = *drafts_.back();
    draft.plan.request = request;
    choose_machines(draft);
    return RequestResult::accepted;
}

const Plan* Planner::find(const std::string& id) const {
    for (const auto& draft : drafts_) {
        if (draft->plan.request.id == id) return &draft->plan;
    }
    return nullptr;
}

std::vector<const Plan*> Planner::all() const {
    std::vector<const Plan*> out;
    for (const auto& draft : drafts_) out.push_back(&draft->plan);
    return out;
}

// Orders the machines by their number of tasks, those of gangs and services first. Machines with
// the fewest are drained first, so that their capacity is available to the rest of the cluster
// soonest.
void Planner::choose_machines(Draft& draft) {
    const Request& r = draft.plan.request;
    std::vector<Machine*> chosen;
    if (!r.machines.empty()) {
        for (const std::string& name : r.machines) {
            if (Machine* machine = cluster_.machine(name))
                chosen.push_back(machine);
            else
                draft.plan.skipped_machines.push_back(name + ": there is no such machine");
        }
    } else {
        const Index zone = cluster_.zones().find(r.zone), type = cluster_.type_names().find(r.type);
        for (Machine* machine : cluster_.machines()) {
            if (machine->type == kNone) continue;
            if (!r.zone.empty() && machine->zone != zone) continue;
            if (!r.type.empty() && machine->type != type) continue;
            chosen.push_back(machine);
        }
    }
    std::sort(chosen.begin(), chosen.end(), [](const Machine* a, const Machine* b) {
        return std::tuple(a->live_gang_attempts.get(), a->live_gang_and_service_attempts.get(),
                          a->live_attempts.get(), a->index) <
               std::tuple(b->live_gang_attempts.get(), b->live_gang_and_service_attempts.get(),
                          b->live_attempts.get(), b->index);
    });
    for (Machine* machine : chosen) {
        draft.leaving.insert(machine->index);
        if (machine->state == MachineState::leased_out)
            draft.plan.skipped_machines.push_back(machine->name +
                                                  ": it is lent to another controller");
        else if (machine->state == MachineState::releasing)
            draft.plan.skipped_machines.push_back(machine->name +
                                                  ": it goes back to the cloud already");
        else
            draft.queue.emplace_back(machine->index, machine->name);
    }
    if (draft.queue.empty()) finish(draft);
}

std::size_t Planner::advance(Millis now) {
    auto it = std::find_if(drafts_.begin(), drafts_.end(),
                           [](const auto& d) { return d->plan.state == PlanState::planning; });
    if (it == drafts_.end()) return 0;
    Draft& draft = **it;
    std::size_t examined = 0;
    while (examined < kTasksPerTurn && draft.next < draft.queue.size()) {
        const auto& [index, name] = draft.queue[draft.next++];
        ++examined;
        if (Machine* machine = cluster_.machine_by_index(index))
            examined += plan_machine(draft, *machine, now);
        else
            draft.plan.skipped_machines.push_back(name + ": it has gone meanwhile");
    }
    if (draft.next == draft.queue.size()) finish(draft);
    return examined;
}

std::size_t Planner::plan_machine(Draft& draft, Machine& machine, Millis now) {
    const std::uint32_t most = draft.plan.request.at_once;
    if (most > 0 && draft.machines_in_wave == most) {
        draft.wave_from_s.push_back(draft.wave_empty_s.back());
        draft.wave_empty_s.push_back(draft.wave_empty_s.back());
        draft.machines_in_wave = 0;
    }
    ++draft.machines_in_wave;
    Step step;
    step.machine = machine.name;
    if (machine.type != kNone) {
        step.type = cluster_.types()[machine.type].name;
        step.zone = cluster_.zones().name(machine.zone);
    }
    step.wave = static_cast<std::uint32_t>(draft.wave_from_s.size() - 1);
    step.from_s = step.empty_s = draft.wave_from_s.back();
    for (Attempt* attempt : machine.attempts) {
        if (!attempt->live()) continue;
        step.moves.push_back(plan_move(draft, step, *attempt, machine, now));
        step.empty_s = std::max(step.empty_s, step.moves.back().stops_s);
    }
    draft.wave_empty_s.back() = std::max(draft.wave_empty_s.back(), step.empty_s);
    const std::size_t tasks = step.moves.size();
    draft.plan.steps.push_back(std::move(step));
    return tasks;
}

Move Planner::plan_move(Draft& draft, const Step& step, Attempt& attempt, const Machine& machine,
                        Millis now) {
    const Job& job = cluster_.job_of(attempt);
    Move move;
    move.job = job.spec.id;
    move.task = attempt.task;
    move.observed_completions = forecast_.observed_completions(job);
    if (attempt.stop_requested || job.state != jobs::JobState::open) {
        move.kind = MoveKind::already_stopping;
        move.stops_s = move.restarts_s = attempt.stop_grace_s + kStopOverheadS;
        return move;
    }
    double left_s = 0;  // remaining run time when the plan begins
    if (!job.is_service()) {
        const double run_s = forecast_.expected_run_s(job);
        const double ran_s =
            attempt.running_since == 0 ? 0 : seconds_since(attempt.running_since, now);
        left_s = std::max(run_s - ran_s, kMinRemainingFraction * run_s);
    }
    const bool by_itself =
        !job.is_service() && (job.spec.checkpoint_interval_s <= 0 || left_s <= step.from_s);
    if (by_itself) {
        move.kind = MoveKind::runs_to_end;
        move.stops_s = move.restarts_s = left_s;
        move.ends_s = left_s;
        return move;
    }
    move.kind = job.is_service() ? MoveKind::moves_elsewhere : MoveKind::checkpoints_and_moves;
    move.stops_s =
        step.from_s + kStopOverheadS + (job.is_service() ? 0 : job.spec.checkpoint_duration_s);
    ZoneSpread& spread = spread_of(draft, job);
    if (machine.zone != kNone && spread.by_zone[machine.zone] > 0) --spread.by_zone[machine.zone];
    const Placement place = find_placement(draft, job, move.stops_s, now);
    if (!place.found) {
        if (machine.zone != kNone) ++spread.by_zone[machine.zone];
        move.restarts_s = move.stops_s;
        add_violation(draft, {move.job,
                              move.task,
                              machine.name,
                              "no other machine that it may use fits, and none can be hired",
                              "fewer machines at once, or another zone or type",
                              {},
                              {}});
        return move;
    }
    occupy(draft, job, place);
    move.restarts_s = place.ready_s;
    move.provisioned = place.machine == nullptr;
    if (place.machine != nullptr) {
        move.to = place.machine->name;
    } else {
        const cloud::MachineKind& k = draft.virtual_machines[place.virtual_machine].kind;
        move.to = fmt::format("{}{} in {}", k.spot ? "spot " : "", cluster_.types()[k.type].name,
                              cluster_.zones().name(k.zone));
    }
    if (!job.is_service()) move.ends_s = move.restarts_s + left_s - step.from_s;
    check_objectives(draft, move, place, job, machine, left_s, now);
    return move;
}

Planner::ZoneSpread& Planner::spread_of(Draft& draft, const Job& job) {
    auto [it, fresh] = draft.spread.try_emplace(job.spec.id);
    ZoneSpread& s = it->second;
    if (!fresh) return s;
    s.by_zone.resize(cluster_.zones().size());
    if (!job.spec.spread && !job.spec.one_zone) return s;
    s.by_zone = cluster_.live_tasks_by_zone(job);
    for (const auto& attempt : job.attempts) {
        const Machine* machine = cluster_.machine_of(*attempt);
        if (attempt->live() && machine != nullptr && draft.leaving.count(machine->index) == 0)
            s.staying_zone = machine->zone;
    }
    return s;
}

bool Planner::zone_allowed(Draft& draft, const Job& job, Index zone) {
    if (job.zone != kNone && zone != job.zone) return false;
    const ZoneSpread& s = spread_of(draft, job);
    if (job.spec.one_zone && s.staying_zone != kNone && zone != s.staying_zone) return false;
    if (!job.spec.spread || job.spec.tasks < 2) return true;
    return s.by_zone[zone] < (job.spec.tasks + 1) / 2;
}

// Returns the placement with the lowest placement cost on a remaining machine. If there is none,
// returns the earliest on a machine that the plan already provisions, or else one on a new machine.
Planner::Placement Planner::find_placement(Draft& draft, const Job& job, double at_s, Millis now) {
    const Need need = placement::need_of(job);
    Placement best;
    double least = 0;
    for (Machine* machine : rules_.fitting_machines(job, need, now)) {
        if (draft.leaving.count(machine->index) != 0 || now < machine->cordoned_until) continue;
        if (rules_.should_avoid(job, *machine) || !zone_allowed(draft, job, machine->zone))
            continue;
        if (auto t = draft.occupied.find(machine->index); t != draft.occupied.end()) {
            const Need& gone = t->second;
            if (!placement::fits_within(machine->cpus_free - gone.cpus,
                                        machine->gpus_free - gone.gpus,
                                        machine->memory_free - gone.memory_gb, need)) {
                continue;
            }
        }
        const double cost =
            placement::placement_cost(job, *machine, cluster_.types()[machine->type]);
        if (best.found && cost >= least) continue;
        best = {true, machine, 0,
                at_s + placement::image_wait_s(job, *machine, cluster_.types()[machine->type]), 0};
        least = cost;
    }
    if (best.found) return best;
    for (std::size_t i = 0; i < draft.virtual_machines.size(); ++i) {
        const VirtualMachine& b = draft.virtual_machines[i];
        if (b.kind.type >= job.allowed_type.size() || job.allowed_type[b.kind.type] == 0) continue;
        if ((b.kind.spot && !job.spec.spot) || !zone_allowed(draft, job, b.kind.zone)) continue;
        if (!placement::fits_within(b.free.cpus, b.free.gpus, b.free.memory_gb, need)) continue;
        const Placement place = placement_on_virtual_machine(draft, job, i, at_s);
        if (!best.found || place.ready_s < best.ready_s) best = place;
    }
    return best.found ? best : provision_for(draft, job, at_s);
}

// Provisions the cheapest machine that fits. It is requested one boot time before the wave begins,
// or when the plan begins if that is later.
Planner::Placement Planner::provision_for(Draft& draft, const Job& job, double at_s) {
    const Need need = placement::need_of(job);
    double least = std::numeric_limits<double>::infinity();
    VirtualMachine vm;
    for (Index t = 0; t < cluster_.types().size() && t < job.allowed_type.size(); ++t) {
        if (job.allowed_type[t] == 0 || rules_.reserved_for_other_work(job, t)) continue;
        for (const std::string& zone : cluster_.types()[t].zones) {
            const Index z = cluster_.zones().find(zone);
            if (failure_detector_.is_lost(z) || !zone_allowed(draft, job, z)) continue;
            for (const bool spot : {false, true}) {
                if (spot && (!job.spec.spot || term_.options().use_spot == 0)) continue;
                const double price =
                    placement::hourly_cost_per_task(cluster_.types()[t], spot, need);
                if (price >= least) continue;
                least = price;
                vm.kind = {t, z, spot};
            }
        }
    }
    if (vm.kind.type == kNone) return {};
    const wire::MachineType& type = cluster_.types()[vm.kind.type];
    vm.free = {type.cpus, type.gpus, type.memory_gb};
    vm.wave = static_cast<std::uint32_t>(draft.wave_from_s.size() - 1);
    vm.booted_at_s = std::max(type.boot_s, draft.wave_from_s.back());
    draft.virtual_machines.push_back(std::move(vm));
    return placement_on_virtual_machine(draft, job, draft.virtual_machines.size() - 1, at_s);
}

Planner::Placement Planner::placement_on_virtual_machine(const Draft& draft, const Job& job,
                                                         std::size_t vm, double at_s) const {
    const VirtualMachine& b = draft.virtual_machines[vm];
    const bool there = std::find(b.images.begin(), b.images.end(), job.image) != b.images.end();
    const double boot_s = std::max(0.0, b.booted_at_s - at_s);
    const double fetch_s = there ? 0 : placement::image_fetch_s(job, cluster_.types()[b.kind.type]);
    return {true, nullptr, vm, at_s + boot_s + fetch_s, boot_s};
}

void Planner::occupy(Draft& draft, const Job& job, const Placement& placement) {
    const Need need = placement::need_of(job);
    Index zone = kNone;
    if (placement.machine != nullptr) {
        Need& t = draft.occupied[placement.machine->index];
        t = {t.cpus + need.cpus, t.gpus + need.gpus, t.memory_gb + need.memory_gb};
        zone = placement.machine->zone;
    } else {
        VirtualMachine& b = draft.virtual_machines[placement.virtual_machine];
        b.free = {b.free.cpus - need.cpus, b.free.gpus - need.gpus,
                  b.free.memory_gb - need.memory_gb};
        if (std::find(b.images.begin(), b.images.end(), job.image) == b.images.end()) {
            b.images.push_back(job.image);
        }
        zone = b.kind.zone;
    }
    ZoneSpread& s = spread_of(draft, job);
    ++s.by_zone[zone];
    if (job.spec.one_zone) s.staying_zone = zone;
}

void Planner::add_violation(Draft& draft, Violation r) {
    if (draft.plan.violations.size() < kMaxViolations)
        draft.plan.violations.push_back(std::move(r));
}

// Records a violation if the plan breaks a deadline or objective that would be met without it.
void Planner::check_objectives(Draft& draft, const Move& move, const Placement& place,
                               const Job& job, const Machine& machine, double undisturbed_s,
                               Millis now) {
    using Kind = wire::Objective::Kind;
    std::string instead;
    if (place.boot_s > 0)
        instead = fmt::format("more machines: {} hired {:.0f} s before", move.to, place.boot_s);
    else if (job.is_service())
        instead = "later, when its image is on more machines";
    else
        instead = fmt::format("later: its task ends by itself in about {:.0f} s", undisturbed_s);
    auto add = [&](std::string why, std::optional<double> due_s) {
        add_violation(draft, {move.job, move.task, machine.name, std::move(why), instead, due_s,
                              move.ends_s});
    };
    if (job.is_service()) {
        double objective_s = 0;
        for (const wire::Objective& objective : term_.settings().objectives) {
            if (objective.kind == Kind::wait && objective.job_class == job.spec.job_class) {
                objective_s = std::max(objective_s, objective.within_s);
            }
        }
        const double away_s = move.restarts_s - move.stops_s + kStopOverheadS;
        if (objective_s > 0 && away_s > objective_s) {
            add(fmt::format("a replica would be away for {:.0f} s, its class is promised a start "
                            "within {:.0f} s",
                            away_s, objective_s),
                {});
        }
        return;
    }
    const double age_s = seconds_since(job.accepted_at, now);
    auto late = [&](double due_s) { return undisturbed_s <= due_s && *move.ends_s > due_s; };
    if (job.spec.deadline_s && late(*job.spec.deadline_s - age_s)) {
        add("it would miss its deadline", *job.spec.deadline_s - age_s);
        return;
    }
    for (const wire::Objective& objective : term_.settings().objectives) {
        if (objective.kind != Kind::finished || objective.job_class != job.spec.job_class) continue;
        if (!late(objective.within_s - age_s)) continue;
        add(fmt::format("its class is promised an end within {:.0f} s", objective.within_s),
            objective.within_s - age_s);
        return;
    }
}

void Planner::finish(Draft& draft) {
    Plan& p = draft.plan;
    p.state = p.violations.empty() ? PlanState::ready : PlanState::refused;
    p.empty_s = draft.wave_empty_s.back();
    for (const VirtualMachine& b : draft.virtual_machines) {
        const wire::MachineType& type = cluster_.types()[b.kind.type];
        const std::string& zone = cluster_.zones().name(b.kind.zone);
        const std::string named = (b.kind.spot ? "spot " : "") + type.name;
        const double price = b.kind.spot ? type.spot_price : type.price;
        auto it = std::find_if(p.provisioned_machines.begin(), p.provisioned_machines.end(),
                               [&](const PlannedMachines& request) {
                                   return request.type == named && request.zone == zone;
                               });
        if (it == p.provisioned_machines.end())
            it = p.provisioned_machines.insert(it, {named, zone, 0, price});
        ++it->count;
        const double both_s = type.boot_s + draft.wave_empty_s[b.wave] - draft.wave_from_s[b.wave];
        p.cost += price * both_s / 3600;
    }
    // Keeps the plan only and frees the rest of the draft.
    Plan keep = std::move(p);
    draft = Draft{};
    draft.plan = std::move(keep);
}

}  // namespace nickelramp::drain
