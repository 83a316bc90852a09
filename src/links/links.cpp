#include "links/links.h"

#include <algorithm>
#include <tuple>

namespace nickelramp::links {

Event Links::add_event(Attributes attributes) {
    Event e;
    if (free_events_.empty()) {
        e = static_cast<Event>(events_.size());
        events_.emplace_back();
    } else {
        e = free_events_.back();
        free_events_.pop_back();
    }
    events_[e] = EventState{};
    events_[e].attributes = attributes;
    events_[e].live = true;
    return e;
}

void Links::remove_event(Event e) {
    auto mentioned = events_[e].mentioned_by;
    for (Automaton a : mentioned) remove(a);
    std::erase(pending_, e);
    events_[e] = EventState{};
    free_events_.push_back(e);
}

Automaton Links::add(Kind kind, Event e1, Event e2, bool* violated) {
    Automaton a;
    if (free_machines_.empty()) {
        a = static_cast<Automaton>(machines_.size());
        machines_.emplace_back();
    } else {
        a = free_machines_.back();
        free_machines_.pop_back();
    }
    machines_[a] = Machine{kind, e1, e2, events_[e1].fate, events_[e2].fate, true};
    events_[e1].mentioned_by.push_back(a);
    events_[e2].mentioned_by.push_back(a);
    ++live_automata_;
    if (violated != nullptr) {
        const Machine& m = machines_[a];
        // Added too late: for an order the sequence of past events is unknown, and taken as right.
        *violated = kind == Kind::existence && m.f1 == Fate::occurred && m.f2 == Fate::never;
    }
    return a;
}

void Links::remove(Automaton a) {
    Machine& m = machines_[a];
    if (!m.live) return;
    std::erase(events_[m.e1].mentioned_by, a);
    std::erase(events_[m.e2].mentioned_by, a);
    m.live = false;
    free_machines_.push_back(a);
    --live_automata_;
}

// The one place where an event is decided and the automata that mention it move on.
void Links::set_fate(Event e, Fate fate, std::vector<Automaton>* violated) {
    events_[e].fate = fate;
    std::erase(pending_, e);
    for (Automaton a : events_[e].mentioned_by) {
        Machine& m = machine(a);
        bool broken = false;
        if (m.kind == Kind::order) {
            broken = m.e1 == e && fate == Fate::occurred && m.f2 == Fate::occurred;
        } else {
            broken = m.e2 == e && fate == Fate::never && m.f1 == Fate::occurred;
            broken = broken || (m.e1 == e && fate == Fate::occurred && m.f2 == Fate::never);
        }
        (m.e1 == e ? m.f1 : m.f2) = fate;
        if (broken && violated != nullptr) violated->push_back(a);
    }
}

// Accepted events have been submitted or are forcible; rejected ones have been submitted.
bool Links::executable(const Step& s, Event submitted) const {
    const EventState& e = events_[s.event];
    if (e.fate != Fate::open) return false;
    bool arrived = e.arrival != 0 || s.event == submitted;
    if (s.act == Act::accept) return arrived || e.attributes.forcible;
    return arrived && e.attributes.rejectable && s.event != submitted;
}

// Every path from the automaton's state that decides one or two events. The paper leaves the order
// open; here nothing is forced or turned down that need not be, and then what accepts most comes
// first.
void Links::candidates(Automaton a, Event submitted, std::vector<Path>& out) const {
    const Machine& m = machines_[a];
    auto offer = [&](std::vector<Step> steps, bool ordered) {
        for (const Step& s : steps) {
            if (!executable(s, submitted)) return;
        }
        out.push_back({a, std::move(steps), ordered});
    };
    const Step a1{m.e1, Act::accept}, a2{m.e2, Act::accept};
    const Step r1{m.e1, Act::reject}, r2{m.e2, Act::reject};
    const bool open1 = m.f1 == Fate::open, open2 = m.f2 == Fate::open;
    const bool rejectable1 = events_[m.e1].attributes.rejectable;
    if (m.kind == Kind::order) {
        if (open1 && open2) offer({a1, a2}, true);
        if (open1 && m.f2 != Fate::occurred) offer({a1}, true);
        // Once e2 has happened, e1 must stay away: only a rejectable one, or one known to be off.
        if (open2 && (m.f1 != Fate::open || rejectable1)) {
            if (open1 && events_[m.e1].arrival != 0)
                offer({a2, r1}, true);
            else
                offer({a2}, true);
        }
        if (open1 && open2) offer({a1, r2}, false);
        if (open1) offer({r1}, true);
        if (open2) offer({r2}, true);
        if (open1 && open2) offer({r1, r2}, false);
    } else {
        if (open1 && open2) offer({a1, a2}, false);
        if (open1 && m.f2 == Fate::occurred) offer({a1}, true);
        if (open2) offer({a2}, true);
        if (open1 && open2) offer({r1, a2}, false);
        if (open1) offer({r1}, true);
        if (open2 && m.f1 != Fate::occurred) offer({r2}, true);
        if (open1 && open2) offer({r1, r2}, false);
    }
    auto dislike = [&](const Path& p) {
        int forced = 0, rejected = 0;
        for (const Step& s : p.steps) {
            if (s.act == Act::reject)
                ++rejected;
            else if (s.event != submitted && events_[s.event].arrival == 0)
                ++forced;
        }
        return std::tuple(forced, rejected, 2 - static_cast<int>(p.steps.size()));
    };
    std::stable_sort(out.begin(), out.end(),
                     [&](const Path& a, const Path& b) { return dislike(a) < dislike(b); });
}

const Links::Step* Links::step_of(const Path& p, Event e) {
    for (const Step& s : p.steps) {
        if (s.event == e) return &s;
    }
    return nullptr;
}

const Links::Step* Links::decided(const Pathset& set, Event e) {
    for (const Path& p : set) {
        if (const Step* s = step_of(p, e)) return s;
    }
    return nullptr;
}

// a-closed and r-closed as far as this path goes: it decides what the set decides of its events,
// the same way.
bool Links::agrees(const Pathset& set, const Path& p) const {
    const Machine& m = machines_[p.automaton];
    for (Event e : {m.e1, m.e2}) {
        const Step* theirs = decided(set, e);
        const Step* ours = step_of(p, e);
        if (theirs != nullptr && (ours == nullptr || ours->act != theirs->act)) return false;
    }
    return true;
}

// The accepts of all paths together leave an order: no event comes, over others, before itself.
bool Links::order_consistent(const Pathset& set, const Path& p) {
    if (!p.ordered || p.steps.size() < 2) return true;
    std::vector<Event> reach{p.steps[1].event};
    for (std::size_t i = 0; i < reach.size(); ++i) {
        if (reach[i] == p.steps[0].event) return false;
        for (const Path& q : set) {
            if (!q.ordered || q.steps.size() < 2 || q.steps[0].event != reach[i]) continue;
            if (std::find(reach.begin(), reach.end(), q.steps[1].event) == reach.end()) {
                reach.push_back(q.steps[1].event);
            }
        }
    }
    return true;
}

// The paper's search (its figure 7): close the set off, automaton by automaton.
bool Links::search(Pathset& set, Event submitted) const {
    Automaton open = kNone;
    auto needs = [&](Event e) {
        for (Automaton a : events_[e].mentioned_by) {
            bool covered = std::any_of(set.begin(), set.end(), [&](const Path& p) {
                return p.automaton == a && step_of(p, e) != nullptr;
            });
            if (!covered) return a;
        }
        return kNone;
    };
    open = needs(submitted);
    for (std::size_t i = 0; open == kNone && i < set.size(); ++i) {
        for (const Step& s : set[i].steps) {
            open = needs(s.event);
            if (open != kNone) break;
        }
    }
    if (open == kNone) return true;

    // An automaton that already gave a path may have to give a longer one.
    Pathset rest = set;
    std::erase_if(rest, [&](const Path& p) { return p.automaton == open; });
    const Path* earlier = nullptr;
    for (const Path& p : set) {
        if (p.automaton == open) earlier = &p;
    }
    std::vector<Path> paths;
    candidates(open, submitted, paths);
    for (Path& p : paths) {
        const Step* s = step_of(p, submitted);
        if (s != nullptr && s->act != Act::accept) continue;
        const Machine& m = machines_[open];
        if (s == nullptr && (m.e1 == submitted || m.e2 == submitted)) continue;
        if (!agrees(rest, p) || !order_consistent(rest, p)) continue;
        if (earlier != nullptr) {
            bool extends =
                std::all_of(earlier->steps.begin(), earlier->steps.end(), [&](const Step& q) {
                    const Step* mine = step_of(p, q.event);
                    return mine != nullptr && mine->act == q.act;
                });
            if (!extends || p.steps.size() <= earlier->steps.size()) continue;
        }
        Pathset next = rest;
        next.push_back(p);
        if (search(next, submitted)) {
            set = std::move(next);
            return true;
        }
    }
    return false;
}

void Links::execute(const Pathset& set, Event submitted, Outcome& out) {
    std::vector<Event> accepts{submitted};
    std::vector<Event> rejects;
    for (const Path& p : set) {
        for (const Step& s : p.steps) {
            auto& list = s.act == Act::accept ? accepts : rejects;
            if (std::find(list.begin(), list.end(), s.event) == list.end()) list.push_back(s.event);
        }
    }
    // Where the paths leave the order open, events happen as they arrived, forced ones last.
    std::sort(accepts.begin(), accepts.end(),
              [&](Event a, Event b) { return events_[a].arrival - 1 < events_[b].arrival - 1; });
    auto follows = [&](Event later, Event earlier) {
        return std::any_of(set.begin(), set.end(), [&](const Path& p) {
            return p.ordered && p.steps.size() == 2 && p.steps[0].event == earlier &&
                   p.steps[1].event == later;
        });
    };
    while (!accepts.empty()) {
        auto next = std::find_if(accepts.begin(), accepts.end(), [&](Event e) {
            return std::none_of(accepts.begin(), accepts.end(),
                                [&](Event other) { return other != e && follows(e, other); });
        });
        Event e = next == accepts.end() ? accepts.front() : *next;
        std::erase(accepts, e);
        if (events_[e].arrival == 0) events_[e].arrival = ++arrivals_;
        set_fate(e, Fate::occurred, &out.violated);
        out.accepted.push_back(e);
    }
    for (Event e : rejects) {
        set_fate(e, Fate::never, &out.violated);
        out.rejected.push_back(e);
    }
}

bool Links::attempt(Event e, Outcome& out) {
    Pathset set;
    if (!search(set, e)) return false;
    execute(set, e, out);
    return true;
}

void Links::retry_pending(Outcome& out) {
    for (bool moved = true; moved;) {
        moved = false;
        auto waiting = pending_;
        for (Event e : waiting) {
            if (events_[e].fate == Fate::open && attempt(e, out)) {
                moved = true;
                break;
            }
        }
        if (moved) continue;
        // What can never be accepted any more is turned down, so that its sender learns of it.
        for (Event e : waiting) {
            if (events_[e].fate != Fate::open || !events_[e].attributes.rejectable) continue;
            bool hopeless = false;
            for (Automaton a : events_[e].mentioned_by) {
                const Machine& m = machines_[a];
                bool late = m.kind == Kind::order && m.e1 == e && m.f2 == Fate::occurred;
                bool orphan = m.kind == Kind::existence && m.e1 == e && m.f2 == Fate::never;
                hopeless = hopeless || late || orphan;
            }
            if (!hopeless) continue;
            set_fate(e, Fate::never, &out.violated);
            out.rejected.push_back(e);
            moved = true;
            break;
        }
    }
}

Outcome Links::submit(Event e) {
    Outcome out;
    EventState& state = events_[e];
    if (state.fate != Fate::open) {
        out.answer = state.fate == Fate::occurred ? Answer::accepted : Answer::rejected;
        return out;
    }
    if (state.arrival == 0) state.arrival = ++arrivals_;
    if (!attempt(e, out)) {
        const Attributes& a = state.attributes;
        if (!a.delayable && !a.rejectable) {
            // A fact: it has happened, whatever the automata say.
            set_fate(e, Fate::occurred, &out.violated);
            out.accepted.push_back(e);
        } else if (std::find(pending_.begin(), pending_.end(), e) == pending_.end()) {
            pending_.push_back(e);
        }
    }
    retry_pending(out);
    Fate fate = events_[e].fate;
    out.answer = fate == Fate::occurred ? Answer::accepted
                 : fate == Fate::never  ? Answer::rejected
                                        : Answer::pending;
    return out;
}

Outcome Links::terminate(Event e) {
    Outcome out;
    if (events_[e].fate == Fate::open) set_fate(e, Fate::never, &out.violated);
    retry_pending(out);
    out.answer = events_[e].fate == Fate::occurred ? Answer::accepted : Answer::rejected;
    return out;
}

}  // namespace nickelramp::links
