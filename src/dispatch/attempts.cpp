// The life of an attempt: placed, sent, seen, over. Every start and every end passes the links.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/dispatcher.h"

namespace nickelramp::dispatch {

using jobs::JobState;
using wire::ExitCause;

namespace {
constexpr Millis kBackOffFirst = 10'000;
constexpr Millis kBackOffMost = 120'000;
constexpr Millis kProbation = 30'000;
constexpr std::size_t kJobAtFault = 3;      // machines a job has failed on
constexpr std::size_t kMachineAtFault = 2;  // jobs that have failed on a machine
}  // namespace

void Dispatcher::set_attempt_state(Attempt& a, AttemptState s, Millis now) {
    if (a.state == s) return;
    Job& j = job_of(a);
    spdlog::debug("task {}/{} try {}: {} -> {}", j.spec.id, a.task, a.number, name(a.state),
                  name(s));
    auto runs = [](AttemptState x) {
        return x == AttemptState::running || x == AttemptState::saving;
    };
    if (runs(a.state) != runs(s)) {
        j.running += runs(s) ? 1 : -1;
        if (!j.service()) {
            learned_[j.job_class].running += runs(s) ? 1 : -1;
            learned_[j.job_class].share += runs(s) ? j.share : -j.share;
        }
    }
    if (a.state == AttemptState::recording) {
        --j.recording;
        if (a.in_commit == 0) --j.unrecorded;
    }
    a.set_state(s);
    if (s != AttemptState::running || a.running_since != 0) return;
    a.running_since = now;
    if (metrics_ != nullptr && a.number == 1) {
        metrics_->started(j.spec.job_class, static_cast<double>(now - j.accepted_at) / 1000.0);
    }
}

void Dispatcher::occupy(Attempt& a, Job& j, Machine& m) {
    m.cpus_free -= j.spec.cpus;
    m.gpus_free -= j.spec.gpus;
    m.memory_free -= j.spec.memory_gb;
    m.attempts.push_back(&a);
    ++m.live;
    if (j.spec.shape != wire::Shape::array) {
        ++m.firm;
        if (j.gang()) ++m.gangs;
        m.firm_cpus += j.spec.cpus;
    }
    refresh(m);
    teams_[j.team].cpus += j.spec.cpus;
    teams_[j.team].gpus += j.spec.gpus;
    ++j.live;
}

void Dispatcher::release(Attempt& a, Job& j) {
    if (Machine* m = machine_of(a)) {
        m->cpus_free += j.spec.cpus;
        m->gpus_free += j.spec.gpus;
        m->memory_free += j.spec.memory_gb;
        --m->live;
        if (j.spec.shape != wire::Shape::array) {
            --m->firm;
            if (j.gang()) --m->gangs;
            m->firm_cpus -= j.spec.cpus;
        }
        refresh(*m);
    }
    teams_[j.team].cpus -= j.spec.cpus;
    teams_[j.team].gpus -= j.spec.gpus;
    --j.live;
    dirty_ = true;
}

// After any change of a machine's state or room: what is found and summed up without a look at
// every machine.
void Dispatcher::refresh(Machine& m) {
    if (m.open() && m.type != kNone && m.cpus_free > placing::kSlack)
        openings_.put(m.index, {m.type, m.zone, m.spot}, m.cpus_free, m.gpus_free);
    else
        openings_.remove(m.index);
    bool up = m.up_at != 0 && m.zone != kNone && m.state != MachineState::booting &&
              m.state != MachineState::lent && m.state != MachineState::gone;
    if (!up) set_silent(m, false);
    if (up != m.up) domains_.count(m.zone, up ? 1 : -1, 0);
    m.up = up;
    if (m.type == kNone) return;  // of no type's sums yet
    Demand& demand = demand_of(m.type);
    bool blank = m.open() && !m.spot && m.live == 0;
    if (blank != m.blank) demand.blank += blank ? 1 : -1;
    m.blank = blank;
    double room = 0;
    if (m.open() && m.spot) {
        const wire::MachineType& t = types_[m.type];
        room = std::max(0.0, m.cpus_free / std::max(1.0, t.cpus));
        if (t.gpus > 0) room = std::min(room, std::max(0.0, m.gpus_free / t.gpus));
    }
    demand.spot_room += room - m.room;
    m.room = room;
    bool here = m.open() || m.state == MachineState::booting || m.state == MachineState::joining;
    double flexible =
        here ? std::max(0.0, 1 - m.firm_cpus / std::max(1.0, types_[m.type].cpus)) : 0;
    demand.flexible[m.spot ? 1 : 0] += flexible - m.flexible;
    m.flexible = flexible;
    double places = 0;
    m.counts_for_replicas = standing_.type != kNone && m.open() && !m.spot &&
                            m.type < standing_.dearness.size() &&
                            standing_.dearness[m.type].first <= placing::kDear;
    if (m.counts_for_replicas) {
        places = placing::how_many(m.cpus_free, m.gpus_free, m.memory_free, standing_.need, 1024);
    }
    standing_.places += places - m.places;
    m.places = places;
    bool spare = m.open() && !m.spot && m.firm == 0;
    if (spare != m.spare) demand.spare += spare ? 1 : -1;
    m.spare = spare;
}

void Dispatcher::reserve(Machine& m, Job& j, Millis until) {
    drop_reservation(m);
    m.reserved_for = j.index;
    m.reserved_until = until;
    j.reserved.push_back(m.index);
}

void Dispatcher::drop_reservation(Machine& m) {
    if (m.reserved_for == kNone) return;
    std::erase(slots_[m.reserved_for]->reserved, m.index);
    m.reserved_for = kNone;
    dirty_ = true;
}

// start(t,n) asks the automata: after acceptance, never after a cancel, and only once every earlier
// attempt of the same task (of the whole gang, for a gang) is gone.
bool Dispatcher::link_start(Job& j, Attempt& a) {
    using links::Links;
    auto& l = j.links;
    a.start_event = l.add_event({.rejectable = true, .delayable = true});
    a.gone_event = l.add_event({});
    l.add(Links::Kind::order, j.accepted_event, a.start_event);
    l.add(Links::Kind::existence, a.start_event, j.accepted_event);
    l.add(Links::Kind::order, a.start_event, j.cancelled_event);
    // A first attempt has none before it.
    for (const auto& other : j.attempts) {
        if (a.number == 1) break;
        if (other.get() == &a || other->gone_event == kNone) continue;
        bool earlier = j.gang() ? other->number != a.number : other->task == a.task;
        if (!earlier) continue;
        l.add(Links::Kind::existence, a.start_event, other->gone_event);
        l.add(Links::Kind::order, other->gone_event, a.start_event);
    }
    return l.submit(a.start_event).answer == links::Answer::accepted;
}

Dispatcher::Attempt* Dispatcher::place(Job& j, std::uint32_t task, std::uint32_t number, Machine& m,
                                       Millis now) {
    auto owned = std::make_unique<Attempt>();
    Attempt& a = *owned;
    a.job = j.index;
    a.task = task;
    a.number = number;
    a.machine = m.index;
    a.placed_at = now;
    if (!link_start(j, a)) {
        spdlog::error("task {}/{} try {}: not released by its links", j.spec.id, task, number);
        j.links.remove_event(a.start_event);
        j.links.remove_event(a.gone_event);
        return nullptr;
    }
    spdlog::debug("task {}/{} try {}: placed on {}", j.spec.id, task, number, m.name);
    occupy(a, j, m);
    a.place = static_cast<std::uint32_t>(j.attempts.size());
    j.attempts.push_back(std::move(owned));
    ++j.recording;
    ++j.unrecorded;
    j.chunks[task / jobs::kChunkTasks].dirty = true;
    if (m.reserved_for == j.index) drop_reservation(m);
    placing::touch_image(m, types_[m.type], j.image, j.spec.image_gb, false, now);
    return &a;
}

// Takes back an attempt whose start was never sent.
void Dispatcher::unplace(Attempt& a, Millis now) { proven_gone(a, now); }

void Dispatcher::proven_gone(Attempt& a, Millis now) {
    Job& j = job_of(a);
    if (a.live()) {
        spdlog::debug("task {}/{} try {}: gone ({})", j.spec.id, a.task, a.number, name(a.state));
        release(a, j);
        set_attempt_state(a, AttemptState::exited, now);
        over(j, a, now);
    }
    std::string id = j.spec.id;
    erase(a);
    maybe_drop(id);
}

// The worker says that it has ended. It stays listed until the worker has forgotten it.
void Dispatcher::exited(Attempt& a, ExitCause cause, Millis now) {
    if (!a.live()) return;
    Job& j = job_of(a);
    Machine* m = machine_of(a);
    spdlog::debug("task {}/{} try {}: exited, {}", j.spec.id, a.task, a.number, wire::name(cause));
    release(a, j);
    a.cause = cause;
    set_attempt_state(a, AttemptState::exited, now);
    if (cause == ExitCause::done) {
        if (m != nullptr) m->failed_jobs.clear();
        learn_run(j, a, now);
        if (j.done_dirty_since == 0) j.done_dirty_since = now;
        if (j.gang()) {
            // They complete together: if one is done, all are.
            for (std::uint32_t t = 0; t < j.spec.tasks; ++t) j.mark_done(t);
        } else {
            j.mark_done(a.task);
        }
    } else if (cause == ExitCause::error && m != nullptr) {
        note_error(j, *m, now);
    } else if (cause == ExitCause::unknown) {
        j.hold_until = now + kBackOffFirst / 2;
    } else if ((cause == ExitCause::no_room || cause == ExitCause::busy) && m != nullptr) {
        // The books and the machine differ; the next report settles it.
        m->probation_until = std::max(m->probation_until, now + 3000);
    }
    over(j, a, now);
}

// The attempt holds nothing any more: gone(t,n).
void Dispatcher::over(Job& j, Attempt& a, Millis now) {
    if (a.gone_event != kNone) {
        j.links.submit(a.gone_event);
        j.links.remove_event(a.start_event);
        j.links.remove_event(a.gone_event);
        a.start_event = a.gone_event = kNone;
    }
    requeue(j, a);
    if (j.gang()) {
        if (j.state == JobState::open && j.done == 0 && !j.gang_broken && j.live > 0)
            break_gang(j, now);
        if (j.live == 0) j.gang_broken = false;
    }
    want_places(j);
    maybe_finish(j, now);
    attend(j, now);
}

void Dispatcher::requeue(Job& j, const Attempt& a) {
    if (j.gang() || j.state != JobState::open || j.is_done(a.task)) return;
    j.waiting.push_back({a.task, a.number});
}

void Dispatcher::erase(Attempt& a) {
    if (Machine* m = machine_of(a)) {
        std::erase(m->attempts, &a);
    }
    auto& list = job_of(a).attempts;
    const std::uint32_t place = a.place;
    std::swap(list[place], list.back());
    list[place]->place = place;
    list.pop_back();
}

void Dispatcher::want_gone(Attempt& a, double grace_s, Millis now) {
    if (!a.live()) return;
    if (a.state == AttemptState::recording || a.state == AttemptState::recorded) {
        unplace(a, now);
        return;
    }
    if (a.must_go && a.grace_s <= grace_s) return;
    a.must_go = true;
    a.grace_s = grace_s;
    a.told_stop = false;
    if (Machine* m = machine_of(a)) poke(*m);
}

void Dispatcher::stop_all(Job& j, Millis now) {
    // Taking back what was never sent changes the list.
    std::vector<Attempt*> list;
    for (const auto& a : j.attempts) list.push_back(a.get());
    for (Attempt* a : list) want_gone(*a, 0, now);
}

void Dispatcher::stop_saving(Attempt& a, Millis now) {
    Job& j = job_of(a);
    double grace = j.spec.checkpoint_s > 0 ? j.spec.save_s + 1.0 : 0;
    if (!j.gang()) {
        want_gone(a, grace, now);
        return;
    }
    std::vector<Attempt*> list;
    for (const auto& member : j.attempts) list.push_back(member.get());
    j.gang_broken = true;
    for (Attempt* member : list) want_gone(*member, grace, now);
}

void Dispatcher::drain_attempt(Attempt& a, Millis now) {
    Job& j = job_of(a);
    if (!a.live() || j.state != JobState::open) return;
    // Replicas move at once; whoever can save saves; the rest runs on as long as it can.
    if (j.service() || j.gang() || j.spec.checkpoint_s > 0) stop_saving(a, now);
}

// A member is gone: the others cannot complete, so the attempt ends as a whole. Those that are
// saving in an orderly stop go on.
void Dispatcher::break_gang(Job& j, Millis now) {
    j.gang_broken = true;
    std::vector<Attempt*> list;
    for (const auto& a : j.attempts) {
        if (a->live() && !(a->must_go && a->grace_s > 0)) list.push_back(a.get());
    }
    for (Attempt* a : list) want_gone(*a, 0, now);
}

// Which is at fault, the machine or the job? A machine that fails several jobs is; a job that fails
// on several machines is.
void Dispatcher::note_error(Job& j, Machine& m, Millis now) {
    auto add = [](std::vector<Index>& list, Index i) {
        if (std::find(list.begin(), list.end(), i) == list.end()) list.push_back(i);
    };
    add(j.failed_on, m.index);
    add(m.failed_jobs, j.index);
    spdlog::info("task of {} failed on {} ({} machines failed it, {} jobs failed there)", j.spec.id,
                 m.name, j.failed_on.size(), m.failed_jobs.size());
    if (j.failed_on.size() >= kJobAtFault) {
        j.hold_until = now + std::min(kBackOffMost, kBackOffFirst << std::min(j.back_offs, 6u));
        ++j.back_offs;
        // Its failures say nothing about the machines.
        for (Index i : j.failed_on) {
            Machine* other = roster_.at(i);
            if (other == nullptr) continue;
            std::erase(other->failed_jobs, j.index);
            if (other->failed_jobs.empty()) other->probation_until = 0;
        }
        return;
    }
    m.probation_until = now + kProbation;
    if (m.failed_jobs.size() >= kMachineAtFault) return_machine(m, "fails every task");
}

}  // namespace nickelramp::dispatch
