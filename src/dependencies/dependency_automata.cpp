#include "dependencies/dependency_automata.h"

#include <algorithm>
#include <tuple>

namespace nickelramp::dependencies {

Event DependencyAutomata::add_event(Attributes attributes) {
    Event event;
    if (free_events_.empty()) {
        event = static_cast<Event>(events_.size());
        events_.emplace_back();
    } else {
        event = free_events_.back();
        free_events_.pop_back();
    }
    events_[event] = EventState{};
    events_[event].attributes = attributes;
    events_[event].live = true;
    return event;
}

void DependencyAutomata::remove_event(Event event) {
    auto mentioned = events_[event].mentioned_by;
    for (Automaton automaton : mentioned) remove(automaton);
    std::erase(pending_, event);
    events_[event] = EventState{};
    free_events_.push_back(event);
}

Automaton DependencyAutomata::add(Kind kind, Event e1, Event e2, bool* violated) {
    Automaton automaton;
    if (free_automata_.empty()) {
        automaton = static_cast<Automaton>(automaton_states_.size());
        automaton_states_.emplace_back();
    } else {
        automaton = free_automata_.back();
        free_automata_.pop_back();
    }
    automaton_states_[automaton] =
        AutomatonState{kind, e1, e2, events_[e1].status, events_[e2].status, true};
    events_[e1].mentioned_by.push_back(automaton);
    events_[e2].mentioned_by.push_back(automaton);
    ++live_automaton_count_;
    if (violated != nullptr) {
        const AutomatonState& machine = automaton_states_[automaton];
        // Added too late: for an order the sequence of past events is unknown, and taken as right.
        *violated = kind == Kind::existence && machine.status1 == EventStatus::occurred &&
                    machine.status2 == EventStatus::excluded;
    }
    return automaton;
}

void DependencyAutomata::remove(Automaton automaton) {
    AutomatonState& machine = automaton_states_[automaton];
    if (!machine.live) return;
    std::erase(events_[machine.e1].mentioned_by, automaton);
    std::erase(events_[machine.e2].mentioned_by, automaton);
    machine.live = false;
    free_automata_.push_back(automaton);
    --live_automaton_count_;
}

// The one place where an event is decided and the automata that mention it move on.
void DependencyAutomata::set_status(Event event, EventStatus status,
                                    std::vector<Automaton>* violated) {
    events_[event].status = status;
    std::erase(pending_, event);
    for (Automaton automaton : events_[event].mentioned_by) {
        AutomatonState& m = automaton_state(automaton);
        bool broken = false;
        if (m.kind == Kind::order) {
            broken = m.e1 == event && status == EventStatus::occurred &&
                     m.status2 == EventStatus::occurred;
        } else {
            broken = m.e2 == event && status == EventStatus::excluded &&
                     m.status1 == EventStatus::occurred;
            broken = broken || (m.e1 == event && status == EventStatus::occurred &&
                                m.status2 == EventStatus::excluded);
        }
        (m.e1 == event ? m.status1 : m.status2) = status;
        if (broken && violated != nullptr) violated->push_back(automaton);
    }
}

// Accepted events have been submitted or are forcible; rejected ones have been submitted.
bool DependencyAutomata::executable(const Step& s, Event submitted) const {
    const EventState& e = events_[s.event];
    if (e.status != EventStatus::open) return false;
    bool arrived = e.arrival_order != 0 || s.event == submitted;
    if (s.action == Action::accept) return arrived || e.attributes.forcible;
    return arrived && e.attributes.rejectable && s.event != submitted;
}

// Every path from the automaton's state that decides one or two events. The paper leaves the order
// open; here nothing is forced or turned down that need not be, and then what accepts most comes
// first.
void DependencyAutomata::candidates(Automaton automaton, Event submitted,
                                    std::vector<Path>& out) const {
    const AutomatonState& machine = automaton_states_[automaton];
    auto offer = [&](std::vector<Step> steps, bool ordered) {
        for (const Step& s : steps) {
            if (!executable(s, submitted)) return;
        }
        out.push_back({automaton, std::move(steps), ordered});
    };
    const Step a1{machine.e1, Action::accept}, a2{machine.e2, Action::accept};
    const Step r1{machine.e1, Action::reject}, r2{machine.e2, Action::reject};
    const bool open1 = machine.status1 == EventStatus::open,
               open2 = machine.status2 == EventStatus::open;
    const bool rejectable1 = events_[machine.e1].attributes.rejectable;
    if (machine.kind == Kind::order) {
        if (open1 && open2) offer({a1, a2}, true);
        if (open1 && machine.status2 != EventStatus::occurred) offer({a1}, true);
        // Once e2 has happened, e1 must stay away: only a rejectable one, or one known to be off.
        if (open2 && (machine.status1 != EventStatus::open || rejectable1)) {
            if (open1 && events_[machine.e1].arrival_order != 0)
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
        if (open1 && machine.status2 == EventStatus::occurred) offer({a1}, true);
        if (open2) offer({a2}, true);
        if (open1 && open2) offer({r1, a2}, false);
        if (open1) offer({r1}, true);
        if (open2 && machine.status1 != EventStatus::occurred) offer({r2}, true);
        if (open1 && open2) offer({r1, r2}, false);
    }
    auto dislike = [&](const Path& p) {
        int forced = 0, rejected = 0;
        for (const Step& s : p.steps) {
            if (s.action == Action::reject)
                ++rejected;
            else if (s.event != submitted && events_[s.event].arrival_order == 0)
                ++forced;
        }
        return std::tuple(forced, rejected, 2 - static_cast<int>(p.steps.size()));
    };
    std::stable_sort(out.begin(), out.end(),
                     [&](const Path& a, const Path& b) { return dislike(a) < dislike(b); });
}

const DependencyAutomata::Step* DependencyAutomata::step_of(const Path& p, Event event) {
    for (const Step& s : p.steps) {
        if (s.event == event) return &s;
    }
    return nullptr;
}

const DependencyAutomata::Step* DependencyAutomata::decided(const Pathset& set, Event event) {
    for (const Path& p : set) {
        if (const Step* s = step_of(p, event)) return s;
    }
    return nullptr;
}

// a-closed and r-closed as far as this path goes: it decides what the set decides of its events,
// the same way.
bool DependencyAutomata::is_compatible(const Pathset& set, const Path& p) const {
    const AutomatonState& machine = automaton_states_[p.automaton];
    for (Event event : {machine.e1, machine.e2}) {
        const Step* theirs = decided(set, event);
        const Step* ours = step_of(p, event);
        if (theirs != nullptr && (ours == nullptr || ours->action != theirs->action)) return false;
    }
    return true;
}

// The accepts of all paths together leave an order: no event comes, over others, before itself.
bool DependencyAutomata::order_consistent(const Pathset& set, const Path& p) {
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
bool DependencyAutomata::search(Pathset& set, Event submitted) const {
    Automaton open = kNone;
    auto needs = [&](Event event) {
        for (Automaton automaton : events_[event].mentioned_by) {
            bool covered = std::any_of(set.begin(), set.end(), [&](const Path& p) {
                return p.automaton == automaton && step_of(p, event) != nullptr;
            });
            if (!covered) return automaton;
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
        if (s != nullptr && s->action != Action::accept) continue;
        const AutomatonState& machine = automaton_states_[open];
        if (s == nullptr && (machine.e1 == submitted || machine.e2 == submitted)) continue;
        if (!is_compatible(rest, p) || !order_consistent(rest, p)) continue;
        if (earlier != nullptr) {
            bool extends =
                std::all_of(earlier->steps.begin(), earlier->steps.end(), [&](const Step& q) {
                    const Step* mine = step_of(p, q.event);
                    return mine != nullptr && mine->action == q.action;
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

void DependencyAutomata::execute(const Pathset& set, Event submitted, SubmitOutcome& out) {
    std::vector<Event> accepts{submitted};
    std::vector<Event> rejects;
    for (const Path& p : set) {
        for (const Step& s : p.steps) {
            auto& list = s.action == Action::accept ? accepts : rejects;
            if (std::find(list.begin(), list.end(), s.event) == list.end()) list.push_back(s.event);
        }
    }
    // Where the paths leave the order open, events happen as they arrived, forced ones last.
    std::sort(accepts.begin(), accepts.end(), [&](Event a, Event b) {
        return events_[a].arrival_order - 1 < events_[b].arrival_order - 1;
    });
    auto follows = [&](Event later, Event earlier) {
        return std::any_of(set.begin(), set.end(), [&](const Path& p) {
            return p.ordered && p.steps.size() == 2 && p.steps[0].event == earlier &&
                   p.steps[1].event == later;
        });
    };
    while (!accepts.empty()) {
        auto next = std::find_if(accepts.begin(), accepts.end(), [&](Event event) {
            return std::none_of(accepts.begin(), accepts.end(), [&](Event other) {
                return other != event && follows(event, other);
            });
        });
        Event event = next == accepts.end() ? accepts.front() : *next;
        std::erase(accepts, event);
        if (events_[event].arrival_order == 0) events_[event].arrival_order = ++last_arrival_;
        set_status(event, EventStatus::occurred, &out.violated);
        out.accepted.push_back(event);
    }
    for (Event event : rejects) {
        set_status(event, EventStatus::excluded, &out.violated);
        out.rejected.push_back(event);
    }
}

bool DependencyAutomata::attempt(Event event, SubmitOutcome& out) {
    Pathset set;
    if (!search(set, event)) return false;
    execute(set, event, out);
    return true;
}

void DependencyAutomata::retry_pending(SubmitOutcome& out) {
    for (bool moved = true; moved;) {
        moved = false;
        auto waiting = pending_;
        for (Event event : waiting) {
            if (events_[event].status == EventStatus::open && attempt(event, out)) {
                moved = true;
                break;
            }
        }
        if (moved) continue;
        // What can never be accepted any more is turned down, so that its sender learns of it.
        for (Event event : waiting) {
            if (events_[event].status != EventStatus::open || !events_[event].attributes.rejectable)
                continue;
            bool hopeless = false;
            for (Automaton automaton : events_[event].mentioned_by) {
                const AutomatonState& machine = automaton_states_[automaton];
                bool late = machine.kind == Kind::order && machine.e1 == event &&
                            machine.status2 == EventStatus::occurred;
                bool orphan = machine.kind == Kind::existence && machine.e1 == event &&
                              machine.status2 == EventStatus::excluded;
                hopeless = hopeless || late || orphan;
            }
            if (!hopeless) continue;
            set_status(event, EventStatus::excluded, &out.violated);
            out.rejected.push_back(event);
            moved = true;
            break;
        }
    }
}

SubmitOutcome DependencyAutomata::submit(Event event) {
    SubmitOutcome out;
    EventState& state = events_[event];
    if (state.status != EventStatus::open) {
        out.result =
            state.status == EventStatus::occurred ? SubmitResult::accepted : SubmitResult::rejected;
        return out;
    }
    if (state.arrival_order == 0) state.arrival_order = ++last_arrival_;
    if (!attempt(event, out)) {
        const Attributes& a = state.attributes;
        if (!a.delayable && !a.rejectable) {
            // A fact: it has happened, whatever the automata say.
            set_status(event, EventStatus::occurred, &out.violated);
            out.accepted.push_back(event);
        } else if (std::find(pending_.begin(), pending_.end(), event) == pending_.end()) {
            pending_.push_back(event);
        }
    }
    retry_pending(out);
    EventStatus status = events_[event].status;
    out.result = status == EventStatus::occurred   ? SubmitResult::accepted
                 : status == EventStatus::excluded ? SubmitResult::rejected
                                                   : SubmitResult::pending;
    return out;
}

SubmitOutcome DependencyAutomata::terminate(Event event) {
    SubmitOutcome out;
    if (events_[event].status == EventStatus::open)
        set_status(event, EventStatus::excluded, &out.violated);
    retry_pending(out);
    out.result = events_[event].status == EventStatus::occurred ? SubmitResult::accepted
                                                                : SubmitResult::rejected;
    return out;
}

}  // namespace nickelramp::dependencies
