// The life of an attempt: placed, sent, seen, over. Every start and every end passes the links.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "book/book.h"

namespace nickelramp::book {

using jobs::JobState;
using wire::ExitCause;

namespace {
constexpr Millis kBackOffFirst = 10'000;
constexpr Millis kBackOffMost = jobs::kMostHeld * 3 / 4;  // from one trial's beginning to the next
constexpr Millis kProbation = 30'000;
constexpr Millis kRunsWell = 5'000;
constexpr std::size_t kJobAtFault = 3;      // machines a job has failed on
constexpr std::size_t kMachineAtFault = 2;  // jobs that have failed on a machine
}  // namespace

void Book::set_attempt_state(Attempt& a, AttemptState s, Millis now) {
    if (a.state == s) return;
    Job& j = job_of(a);
    spdlog::debug("task {}/{} try {}: {} -> {}", j.spec.id, a.task, a.number, name(a.state),
                  name(s));
    auto runs = [](AttemptState x) {
        return x == AttemptState::running || x == AttemptState::saving;
    };
    if (runs(a.state) != runs(s)) {
        j.running.own() += runs(s) ? 1 : -1;
        listener_.runs(j, runs(s));
    }
    if (a.state == AttemptState::recording) {
        --j.recording.own();
        if (a.in_commit == 0) --j.unrecorded.own();
    }
    a.state.own() = s;
    if (s != AttemptState::running || a.running_since != 0) return;
    a.running_since = now;
    listener_.first_run(j, a, now);
}

void Book::occupy(Attempt& a, Job& j, Machine& m) {
    m.cpus_free.own() -= j.spec.cpus;
    m.gpus_free.own() -= j.spec.gpus;
    m.memory_free.own() -= j.spec.memory_gb;
    m.attempts.push_back(&a);
    ++m.live.own();
    if (j.spec.shape != wire::Shape::array) {
        ++m.firm.own();
        if (j.gang()) ++m.gangs.own();
        m.firm_cpus.own() += j.spec.cpus;
    }
    refresh(m);
    use(j, 1);
    ++j.live.own();
}

void Book::use(const Job& j, double tasks) {
    TeamUse& u = team_use_[j.team];
    u.cpus += tasks * j.spec.cpus;
    u.gpus += tasks * j.spec.gpus;
    if (j.spec.shape != wire::Shape::array) return;
    u.array_cpus += tasks * j.spec.cpus;
    u.array_gpus += tasks * j.spec.gpus;
}

void Book::release(Attempt& a, Job& j) {
    if (Machine* m = machine_of(a)) {
        m->cpus_free.own() += j.spec.cpus;
        m->gpus_free.own() += j.spec.gpus;
        m->memory_free.own() += j.spec.memory_gb;
        --m->live.own();
        if (j.spec.shape != wire::Shape::array) {
            --m->firm.own();
            if (j.gang()) --m->gangs.own();
            m->firm_cpus.own() -= j.spec.cpus;
        }
        const bool wanted = std::any_of(m->attempts.begin(), m->attempts.end(), [&](auto* other) {
            return other != &a && other->live() && job_of(*other).image == j.image;
        });
        if (!wanted) placing::give_up_fetch(*m, j.image);
        refresh(*m);
    }
    use(j, -1);
    --j.live.own();
    touch();
}

// start(t,n) asks the automata: after acceptance, never after a cancel, and only once every earlier
// attempt of the same task (of the whole gang, for a gang) is gone.
bool Book::link_start(Job& j, Attempt& a) {
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

Attempt* Book::place(Job& j, std::uint32_t task, std::uint32_t number, Machine& m, Millis now) {
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
    ++j.recording.own();
    ++j.unrecorded.own();
    j.chunks[task / jobs::kChunkTasks].dirty = true;
    if (m.reserved_for == j.index) drop_reservation(m);
    j.reserves_since = j.withheld_since = 0;
    placing::touch_image(m, types_[m.type], j.image, j.spec.image_gb, false, now);
    return &a;
}

void Book::carried(Attempt& a, std::uint64_t commit) {
    if (a.in_commit == 0) --job_of(a).unrecorded.own();
    a.in_commit = commit;
}

void Book::not_carried(Attempt& a) {
    a.in_commit = 0;
    if (a.state == AttemptState::recording) ++job_of(a).unrecorded.own();
}

void Book::recorded(Attempt& a, Millis now) {
    set_attempt_state(a, AttemptState::recorded, now);
    if (Machine* m = machine_of(a)) turn_.has_commands(*m);
}

void Book::sent(Attempt& a, const Machine& m, Millis now) {
    set_attempt_state(a, AttemptState::starting, now);
    a.token = m.token;
    a.session = m.contact.session();
    a.answered_seq = 0;
}

void Book::never_arrived(Attempt& a, Millis now) {
    if (a.state == AttemptState::starting) set_attempt_state(a, AttemptState::recorded, now);
}

void Book::proven_gone(Attempt& a, Millis now) {
    Job& j = job_of(a);
    if (a.live()) {
        spdlog::debug("task {}/{} try {}: gone ({})", j.spec.id, a.task, a.number, name(a.state));
        release(a, j);
        set_attempt_state(a, AttemptState::exited, now);
        over(j, a, now);
    }
    std::string id = j.spec.id;
    erase(a);
    drop(id);
}

// The worker says that it has ended. It stays listed until the worker has forgotten it.
void Book::exited(Attempt& a, ExitCause cause, Millis now) {
    if (!a.live()) return;
    Job& j = job_of(a);
    Machine* m = machine_of(a);
    spdlog::debug("task {}/{} try {}: exited, {}", j.spec.id, a.task, a.number, wire::name(cause));
    release(a, j);
    a.cause = cause;
    set_attempt_state(a, AttemptState::exited, now);
    if (cause == ExitCause::done) {
        j.on_trial = false;
        if (m != nullptr) m->failed_jobs.clear();
        listener_.completed(j, a, now);
        if (j.done_dirty_since == 0) j.done_dirty_since = now;
        if (j.gang()) {
            // They complete together: if one is done, all are.
            for (std::uint32_t t = 0; t < j.spec.tasks; ++t) j.mark_done(t);
        } else {
            j.mark_done(a.task);
        }
    } else if (cause == ExitCause::error && m != nullptr) {
        note_error(j, a, *m, now);
    } else if (cause == ExitCause::unknown) {
        j.hold_until = now + kBackOffFirst / 2;
    } else if ((cause == ExitCause::no_room || cause == ExitCause::busy) && m != nullptr) {
        // The books and the machine differ; the next report settles it.
        m->probation_until = std::max(m->probation_until, now + 3000);
    }
    over(j, a, now);
}

void Book::see(Attempt& a, const wire::TaskReport& t, Machine& m, Millis now) {
    Job& j = job_of(a);
    if (t.phase == wire::TaskPhase::exited) {
        exited(a, t.cause, now);
        return;
    }
    if (!a.live()) return;
    switch (t.phase) {
        case wire::TaskPhase::fetching:
            set_attempt_state(a, AttemptState::fetching, now);
            break;
        case wire::TaskPhase::waiting:
            set_attempt_state(a, AttemptState::waiting, now);
            break;
        case wire::TaskPhase::running:
            set_attempt_state(a, AttemptState::running, now);
            break;
        case wire::TaskPhase::saving:
            set_attempt_state(a, AttemptState::saving, now);
            break;
        case wire::TaskPhase::exited:
            break;
    }
    if (m.type != kNone) {
        placing::touch_image(m, types_[m.type], j.image, j.spec.image_gb,
                             t.phase != wire::TaskPhase::fetching, now);
    }
    const bool runs = a.running_since != 0 && now - a.running_since > kRunsWell;
    if (runs && j.on_trial) {
        j.on_trial = false;
        touch();
    }
    if (runs && !m.failed_jobs.empty() && j.failed_on.empty()) {
        m.failed_jobs.clear();  // it runs tasks after all
        m.probation_until = 0;
    }
}

// The attempt holds nothing any more: gone(t,n).
void Book::over(Job& j, Attempt& a, Millis now) {
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
    turn_.job_moved(j, now);
}

void Book::requeue(Job& j, const Attempt& a) {
    if (j.gang() || j.state != JobState::open || j.is_done(a.task)) return;
    j.waiting.push_back({a.task, a.number});
}

void Book::erase(Attempt& a) {
    if (Machine* m = machine_of(a)) {
        std::erase(m->attempts, &a);
    }
    auto& list = job_of(a).attempts;
    const std::uint32_t place = a.place;
    std::swap(list[place], list.back());
    list[place]->place = place;
    list.pop_back();
}

void Book::want_gone(Attempt& a, double grace_s, Millis now) {
    if (!a.live()) return;
    if (a.state == AttemptState::recording || a.state == AttemptState::recorded) {
        proven_gone(a, now);  // it was never sent
        return;
    }
    if (a.must_go && a.grace_s <= grace_s) return;
    a.must_go = true;
    a.grace_s = grace_s;
    a.told_stop = false;
    if (Machine* m = machine_of(a)) turn_.has_commands(*m);
}

void Book::stop_all(Job& j, Millis now) { stop_each(j, 0, now); }

void Book::stop_each(Job& j, double grace_s, Millis now) {
    // A member that was never sent is gone at once. That must not end the others from within, while
    // this goes through them: it once went on with members that were erased.
    if (j.gang() && j.state == JobState::open && j.live > 0) j.gang_broken = true;
    // Taking back what was never sent changes the list.
    std::vector<Attempt*> list;
    for (const auto& a : j.attempts) list.push_back(a.get());
    for (Attempt* a : list) want_gone(*a, grace_s, now);
}

void Book::stop_saving(Attempt& a, Millis now) {
    Job& j = job_of(a);
    const double grace_s = j.spec.checkpoint_s > 0 ? j.spec.save_s + 1.0 : 0;
    if (j.gang())
        stop_each(j, grace_s, now);
    else
        want_gone(a, grace_s, now);
}

void Book::drain_attempt(Attempt& a, Millis now) {
    Job& j = job_of(a);
    if (!a.live() || j.state != JobState::open) return;
    // Replicas move at once; whoever can save saves; the rest runs on as long as it can.
    if (j.service() || j.gang() || j.spec.checkpoint_s > 0) stop_saving(a, now);
}

// A member is gone: the others cannot complete, so the attempt ends as a whole. Those that are
// saving in an orderly stop go on.
void Book::break_gang(Job& j, Millis now) {
    j.gang_broken = true;
    std::vector<Attempt*> list;
    for (const auto& a : j.attempts) {
        if (a->live() && !(a->must_go && a->grace_s > 0)) list.push_back(a.get());
    }
    for (Attempt* a : list) want_gone(*a, 0, now);
}

// Which is at fault, the machine or the job? A machine that fails several jobs is; a job that fails
// on several machines is.
void Book::note_error(Job& j, const Attempt& a, Machine& m, Millis now) {
    auto add = [](std::vector<Index>& list, Index i, bool again) {
        if (again || std::find(list.begin(), list.end(), i) == list.end()) list.push_back(i);
    };
    // One that fails on the same machine each time that it is tried again there counts as at fault
    // too: it once took the only place from others for ever.
    const bool again = j.failed_on.size() < kJobAtFault && now >= m.probation_until;
    add(j.failed_on, m.index, again);
    add(m.failed_jobs, j.index, false);
    spdlog::info("task of {} failed on {} ({} machines failed it, {} jobs failed there)", j.spec.id,
                 m.name, j.failed_on.size(), m.failed_jobs.size());
    if (j.failed_on.size() >= kJobAtFault) {
        // From when the trial began: an image that takes long to fetch makes none of them longer.
        const Millis next =
            a.placed_at + std::min(kBackOffMost, kBackOffFirst << std::min(j.back_offs, 6u));
        j.hold_until = std::max(next, now + kBackOffFirst / 2);
        ++j.back_offs;
        j.on_trial = true;
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
    if (m.failed_jobs.size() >= kMachineAtFault) give_back(m, "fails every task");
}

}  // namespace nickelramp::book
