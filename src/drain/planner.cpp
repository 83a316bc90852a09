#include "drain/planner.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace nickelramp::drain {

using jobs::AttemptState;
using placing::Need;
using workers::MachineState;

namespace {
constexpr std::size_t kMostPlans = 16;
constexpr std::size_t kTasksATurn = 100;
constexpr std::size_t kMostRefusals = 200;
constexpr double kStopS = schedule::kGoneWithin / 1000.0;
constexpr double kOverrun = 0.1;  // of its run time a task may still need that is past its forecast

double since(Millis then, Millis now) { return static_cast<double>(now - then) / 1000.0; }
}  // namespace

Planner::Taken Planner::ask(const Request& request) {
    if (const Plan* known = find(request.id)) {
        return known->request == request ? Taken::known : Taken::different;
    }
    if (drafts_.size() >= kMostPlans) {
        auto done = std::find_if(drafts_.begin(), drafts_.end(), [](const auto& d) {
            return d->plan.state != PlanState::planning;
        });
        if (done == drafts_.end()) return Taken::full;
        drafts_.erase(done);
    }
    drafts_.push_back(std::make_unique<Draft>());
    Draft& d = *drafts_.back();
    d.plan.request = request;
    choose(d);
    return Taken::fresh;
}

const Plan* Planner::find(const std::string& id) const {
    for (const auto& d : drafts_) {
        if (d->plan.request.id == id) return &d->plan;
    }
    return nullptr;
}

std::vector<const Plan*> Planner::all() const {
    std::vector<const Plan*> out;
    for (const auto& d : drafts_) out.push_back(&d->plan);
    return out;
}

// Those with least on them go first: their places are free for the rest of the fleet soonest.
void Planner::choose(Draft& d) {
    const Request& r = d.plan.request;
    std::vector<Machine*> chosen;
    if (!r.machines.empty()) {
        for (const std::string& name : r.machines) {
            if (Machine* m = book_.machine(name))
                chosen.push_back(m);
            else
                d.plan.passed_over.push_back(name + ": there is no such machine");
        }
    } else {
        const Index zone = book_.zones().find(r.zone), type = book_.type_names().find(r.type);
        for (Machine* m : book_.machines()) {
            if (m->type == kNone) continue;
            if (!r.zone.empty() && m->zone != zone) continue;
            if (!r.type.empty() && m->type != type) continue;
            chosen.push_back(m);
        }
    }
    std::sort(chosen.begin(), chosen.end(), [](const Machine* a, const Machine* b) {
        return std::tuple(a->gangs.get(), a->firm.get(), a->live.get(), a->index) <
               std::tuple(b->gangs.get(), b->firm.get(), b->live.get(), b->index);
    });
    for (Machine* m : chosen) {
        d.leaving.insert(m->index);
        if (m->state == MachineState::lent)
            d.plan.passed_over.push_back(m->name + ": it is lent to another controller");
        else if (m->state == MachineState::returning)
            d.plan.passed_over.push_back(m->name + ": it goes back to the cloud already");
        else
            d.queue.emplace_back(m->index, m->name);
    }
    if (d.queue.empty()) finish(d);
}

std::size_t Planner::advance(Millis now) {
    auto it = std::find_if(drafts_.begin(), drafts_.end(),
                           [](const auto& d) { return d->plan.state == PlanState::planning; });
    if (it == drafts_.end()) return 0;
    Draft& d = **it;
    std::size_t looked = 0;
    while (looked < kTasksATurn && d.next < d.queue.size()) {
        const auto& [index, name] = d.queue[d.next++];
        ++looked;
        if (Machine* m = book_.machine_at(index))
            looked += look_at(d, *m, now);
        else
            d.plan.passed_over.push_back(name + ": it has gone meanwhile");
    }
    if (d.next == d.queue.size()) finish(d);
    return looked;
}

std::size_t Planner::look_at(Draft& d, Machine& m, Millis now) {
    const std::uint32_t most = d.plan.request.at_once;
    if (most > 0 && d.in_wave == most) {
        d.wave_from_s.push_back(d.wave_empty_s.back());
        d.wave_empty_s.push_back(d.wave_empty_s.back());
        d.in_wave = 0;
    }
    ++d.in_wave;
    Step step;
    step.machine = m.name;
    if (m.type != kNone) {
        step.type = book_.types()[m.type].name;
        step.zone = book_.zones().name(m.zone);
    }
    step.wave = static_cast<std::uint32_t>(d.wave_from_s.size() - 1);
    step.from_s = step.empty_s = d.wave_from_s.back();
    for (Attempt* a : m.attempts) {
        if (!a->live()) continue;
        step.moves.push_back(leave(d, step, *a, m, now));
        step.empty_s = std::max(step.empty_s, step.moves.back().leaves_s);
    }
    d.wave_empty_s.back() = std::max(d.wave_empty_s.back(), step.empty_s);
    const std::size_t tasks = step.moves.size();
    d.plan.steps.push_back(std::move(step));
    return tasks;
}

Move Planner::leave(Draft& d, const Step& step, Attempt& a, const Machine& m, Millis now) {
    const Job& j = book_.job_of(a);
    Move move;
    move.job = j.spec.id;
    move.task = a.task;
    move.seen = outlook_.seen(j);
    if (a.must_go || j.state != jobs::JobState::open) {
        move.how = How::ending;
        move.leaves_s = move.back_s = a.grace_s + kStopS;
        return move;
    }
    double left_s = 0;  // of its run, at the plan's beginning
    if (!j.service()) {
        const double run_s = outlook_.expected_run_s(j);
        const double ran_s = a.running_since == 0 ? 0 : since(a.running_since, now);
        left_s = std::max(run_s - ran_s, kOverrun * run_s);
    }
    const bool by_itself = !j.service() && (j.spec.checkpoint_s <= 0 || left_s <= step.from_s);
    if (by_itself) {
        move.how = How::runs_out;
        move.leaves_s = move.back_s = left_s;
        move.ends_s = left_s;
        return move;
    }
    move.how = j.service() ? How::moves : How::saves;
    move.leaves_s = step.from_s + kStopS + (j.service() ? 0 : j.spec.save_s);
    Spread& spread = spread_of(d, j);
    if (m.zone != kNone && spread.by_zone[m.zone] > 0) --spread.by_zone[m.zone];
    const Place place = place_for(d, j, move.leaves_s, now);
    if (!place.found) {
        if (m.zone != kNone) ++spread.by_zone[m.zone];
        move.back_s = move.leaves_s;
        refuse(d, {move.job,
                   move.task,
                   m.name,
                   "no other machine that it may use fits, and none can be hired",
                   "fewer machines at once, or another zone or type",
                   {},
                   {}});
        return move;
    }
    take(d, j, place);
    move.back_s = place.ready_s;
    move.hired = place.machine == nullptr;
    if (place.machine != nullptr) {
        move.to = place.machine->name;
    } else {
        const fleet::Kind& k = d.bins[place.bin].kind;
        move.to = fmt::format("{}{} in {}", k.spot ? "spot " : "", book_.types()[k.type].name,
                              book_.zones().name(k.zone));
    }
    if (!j.service()) move.ends_s = move.back_s + left_s - step.from_s;
    check(d, move, place, j, m, left_s, now);
    return move;
}

Planner::Spread& Planner::spread_of(Draft& d, const Job& j) {
    auto [it, fresh] = d.spread.try_emplace(j.spec.id);
    Spread& s = it->second;
    if (!fresh) return s;
    s.by_zone.resize(book_.zones().size());
    if (!j.spec.spread && !j.spec.one_zone) return s;
    s.by_zone = book_.live_by_zone(j);
    for (const auto& a : j.attempts) {
        const Machine* m = book_.machine_of(*a);
        if (a->live() && m != nullptr && d.leaving.count(m->index) == 0) s.stays_in = m->zone;
    }
    return s;
}

bool Planner::zone_ok(Draft& d, const Job& j, Index zone) {
    if (j.zone != kNone && zone != j.zone) return false;
    const Spread& s = spread_of(d, j);
    if (j.spec.one_zone && s.stays_in != kNone && zone != s.stays_in) return false;
    if (!j.spec.spread || j.spec.tasks < 2) return true;
    return s.by_zone[zone] < (j.spec.tasks + 1) / 2;
}

// The place where it would run soonest of what is free, then of what the plan has hired, then on a
// machine more.
Planner::Place Planner::place_for(Draft& d, const Job& j, double at_s, Millis now) {
    const Need need = placing::need_of(j);
    Place best;
    double least = 0;
    for (Machine* m : rules_.fitting(j, need, now)) {
        if (d.leaving.count(m->index) != 0 || now < m->closed_until) continue;
        if (rules_.leaves_alone(j, *m) || !zone_ok(d, j, m->zone)) continue;
        if (auto t = d.taken.find(m->index); t != d.taken.end()) {
            const Need& gone = t->second;
            if (!placing::covers(m->cpus_free - gone.cpus, m->gpus_free - gone.gpus,
                                 m->memory_free - gone.memory_gb, need)) {
                continue;
            }
        }
        const double cost = placing::cost(j, *m, book_.types()[m->type]);
        if (best.found && cost >= least) continue;
        best = {true, m, 0, at_s + placing::fetch_wait_s(j, *m, book_.types()[m->type]), 0};
        least = cost;
    }
    if (best.found) return best;
    for (std::size_t i = 0; i < d.bins.size(); ++i) {
        const Bin& b = d.bins[i];
        if (b.kind.type >= j.allowed_type.size() || j.allowed_type[b.kind.type] == 0) continue;
        if ((b.kind.spot && !j.spec.spot) || !zone_ok(d, j, b.kind.zone)) continue;
        if (!placing::covers(b.free.cpus, b.free.gpus, b.free.memory_gb, need)) continue;
        const Place place = on_bin(d, j, i, at_s);
        if (!best.found || place.ready_s < best.ready_s) best = place;
    }
    return best.found ? best : hire_for(d, j, at_s);
}

// Hired a boot before the wave, or now if that is later.
Planner::Place Planner::hire_for(Draft& d, const Job& j, double at_s) {
    const Need need = placing::need_of(j);
    double least = std::numeric_limits<double>::infinity();
    Bin bin;
    for (Index t = 0; t < book_.types().size() && t < j.allowed_type.size(); ++t) {
        if (j.allowed_type[t] == 0 || rules_.left_to_others(j, t)) continue;
        for (const std::string& zone : book_.types()[t].zones) {
            const Index z = book_.zones().find(zone);
            if (silence_.shut(z) || !zone_ok(d, j, z)) continue;
            for (const bool spot : {false, true}) {
                if (spot && (!j.spec.spot || term_.options().use_spot == 0)) continue;
                const double price = placing::rent(book_.types()[t], spot, need);
                if (price >= least) continue;
                least = price;
                bin.kind = {t, z, spot};
            }
        }
    }
    if (bin.kind.type == kNone) return {};
    const wire::MachineType& type = book_.types()[bin.kind.type];
    bin.free = {type.cpus, type.gpus, type.memory_gb};
    bin.wave = static_cast<std::uint32_t>(d.wave_from_s.size() - 1);
    bin.up_s = std::max(type.boot_s, d.wave_from_s.back());
    d.bins.push_back(std::move(bin));
    return on_bin(d, j, d.bins.size() - 1, at_s);
}

Planner::Place Planner::on_bin(const Draft& d, const Job& j, std::size_t bin, double at_s) const {
    const Bin& b = d.bins[bin];
    const bool there = std::find(b.images.begin(), b.images.end(), j.image) != b.images.end();
    const double boot_s = std::max(0.0, b.up_s - at_s);
    const double fetch_s = there ? 0 : placing::fetch_s(j, book_.types()[b.kind.type]);
    return {true, nullptr, bin, at_s + boot_s + fetch_s, boot_s};
}

void Planner::take(Draft& d, const Job& j, const Place& p) {
    const Need need = placing::need_of(j);
    Index zone = kNone;
    if (p.machine != nullptr) {
        Need& t = d.taken[p.machine->index];
        t = {t.cpus + need.cpus, t.gpus + need.gpus, t.memory_gb + need.memory_gb};
        zone = p.machine->zone;
    } else {
        Bin& b = d.bins[p.bin];
        b.free = {b.free.cpus - need.cpus, b.free.gpus - need.gpus,
                  b.free.memory_gb - need.memory_gb};
        if (std::find(b.images.begin(), b.images.end(), j.image) == b.images.end()) {
            b.images.push_back(j.image);
        }
        zone = b.kind.zone;
    }
    Spread& s = spread_of(d, j);
    ++s.by_zone[zone];
    if (j.spec.one_zone) s.stays_in = zone;
}

void Planner::refuse(Draft& d, Refusal r) {
    if (d.plan.refusals.size() < kMostRefusals) d.plan.refusals.push_back(std::move(r));
}

// Would the plan break a promise that is kept without it?
void Planner::check(Draft& d, const Move& move, const Place& place, const Job& j, const Machine& m,
                    double undisturbed_s, Millis now) {
    using Kind = wire::Objective::Kind;
    std::string instead;
    if (place.boot_s > 0)
        instead = fmt::format("more machines: {} hired {:.0f} s before", move.to, place.boot_s);
    else if (j.service())
        instead = "later, when its image is on more machines";
    else
        instead = fmt::format("later: its task ends by itself in about {:.0f} s", undisturbed_s);
    auto against = [&](std::string why, std::optional<double> due_s) {
        refuse(d, {move.job, move.task, m.name, std::move(why), instead, due_s, move.ends_s});
    };
    if (j.service()) {
        double promised_s = 0;
        for (const wire::Objective& o : term_.settings().objectives) {
            if (o.kind == Kind::wait && o.job_class == j.spec.job_class) {
                promised_s = std::max(promised_s, o.within_s);
            }
        }
        const double away_s = move.back_s - move.leaves_s + kStopS;
        if (promised_s > 0 && away_s > promised_s) {
            against(
                fmt::format("a replica would be away for {:.0f} s, its class is promised a start "
                            "within {:.0f} s",
                            away_s, promised_s),
                {});
        }
        return;
    }
    const double age_s = since(j.accepted_at, now);
    auto late = [&](double due_s) { return undisturbed_s <= due_s && *move.ends_s > due_s; };
    if (j.spec.deadline_s && late(*j.spec.deadline_s - age_s)) {
        against("it would miss its deadline", *j.spec.deadline_s - age_s);
        return;
    }
    for (const wire::Objective& o : term_.settings().objectives) {
        if (o.kind != Kind::finished || o.job_class != j.spec.job_class) continue;
        if (!late(o.within_s - age_s)) continue;
        against(fmt::format("its class is promised an end within {:.0f} s", o.within_s),
                o.within_s - age_s);
        return;
    }
}

void Planner::finish(Draft& d) {
    Plan& p = d.plan;
    p.state = p.refusals.empty() ? PlanState::ready : PlanState::refused;
    p.empty_s = d.wave_empty_s.back();
    for (const Bin& b : d.bins) {
        const wire::MachineType& type = book_.types()[b.kind.type];
        const std::string& zone = book_.zones().name(b.kind.zone);
        const std::string named = (b.kind.spot ? "spot " : "") + type.name;
        const double price = b.kind.spot ? type.spot_price : type.price;
        auto it = std::find_if(p.hires.begin(), p.hires.end(),
                               [&](const Hire& h) { return h.type == named && h.zone == zone; });
        if (it == p.hires.end()) it = p.hires.insert(it, {named, zone, 0, price});
        ++it->count;
        const double both_s = type.boot_s + d.wave_empty_s[b.wave] - d.wave_from_s[b.wave];
        p.cost += price * both_s / 3600;
    }
    // What led to it is not needed any more.
    Plan keep = std::move(p);
    d = Draft{};
    d.plan = std::move(keep);
}

}  // namespace nickelramp::drain
