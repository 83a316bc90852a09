#include "dependencies/dependency_automata.h"

#include <algorithm>

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
    const std::vector<Automaton> mentioned_by = events_[event].mentioned_by;
    for (const Automaton automaton : mentioned_by) remove(automaton);
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
    AutomatonState& state = automaton_states_[automaton];
    state = AutomatonState{kind, e1, e2, events_[e1].status, events_[e2].status, true};
    events_[e1].mentioned_by.push_back(automaton);
    events_[e2].mentioned_by.push_back(automaton);
    ++live_automaton_count_;
    if (violated != nullptr) {
        *violated = kind == Kind::existence && state.status1 == EventStatus::occurred &&
                    state.status2 == EventStatus::excluded;
    }
    return automaton;
}

void DependencyAutomata::remove(Automaton automaton) {
    AutomatonState& state = automaton_states_[automaton];
    if (!state.live) return;
    std::erase(events_[state.e1].mentioned_by, automaton);
    std::erase(events_[state.e2].mentioned_by, automaton);
    state.live = false;
    free_automata_.push_back(automaton);
    --live_automaton_count_;
}

// Sets the status of an event and advances the automata that mention it. Every decision is made
// here.
void DependencyAutomata::set_status(Event event, EventStatus status,
                                    std::vector<Automaton>* violated) {
    events_[event].status = status;
    std::erase(pending_, event);
    for (const Automaton automaton : events_[event].mentioned_by) {
        AutomatonState& state = automaton_states_[automaton];
        const bool broken = breaks(state, event, status);
        (state.e1 == event ? state.status1 : state.status2) = status;
        if (broken && violated != nullptr) violated->push_back(automaton);
    }
}

// Returns whether the dependency is violated if its event gets this status now.
bool DependencyAutomata::breaks(const AutomatonState& state, Event event, EventStatus status) {
    const bool first_occurs = state.e1 == event && status == EventStatus::occurred;
    if (state.kind == Kind::order) return first_occurs && state.status2 == EventStatus::occurred;
    const bool second_excluded = state.e2 == event && status == EventStatus::excluded;
    return (second_excluded && state.status1 == EventStatus::occurred) ||
           (first_occurs && state.status2 == EventStatus::excluded);
}

// Returns whether earlier events rule out that the event occurs.
bool DependencyAutomata::can_never_occur(Event event) const {
    const std::vector<Automaton>& automata = events_[event].mentioned_by;
    return std::any_of(automata.begin(), automata.end(), [&](Automaton automaton) {
        const AutomatonState& state = automaton_states_[automaton];
        return breaks(state, event, EventStatus::occurred);
    });
}

// Returns whether the step can be executed now. An event can be accepted if it was submitted or is
// forcible, and rejected if it was submitted and is rejectable.
bool DependencyAutomata::executable(const Step& step, Event submitted) const {
    const EventState& event = events_[step.event];
    if (event.status != EventStatus::open) return false;
    const bool arrived = event.arrival_order != 0 || step.event == submitted;
    if (step.action == Action::accept) return arrived || event.attributes.forcible;
    return arrived && event.attributes.rejectable && step.event != submitted;
}

// Returns all paths of an order automaton, from its current state, that decide one or two events.
std::vector<DependencyAutomata::Path> DependencyAutomata::order_paths(Automaton automaton) const {
    const AutomatonState& state = automaton_states_[automaton];
    const Step accept1{state.e1, Action::accept}, accept2{state.e2, Action::accept};
    const Step reject1{state.e1, Action::reject}, reject2{state.e2, Action::reject};
    const bool open1 = state.status1 == EventStatus::open;
    const bool open2 = state.status2 == EventStatus::open;
    const EventState& event1 = events_[state.e1];
    std::vector<Path> paths;
    auto add = [&](std::vector<Step> steps, bool ordered) {
        paths.push_back({automaton, std::move(steps), ordered});
    };
    if (open1 && open2) add({accept1, accept2}, true);
    if (open1 && state.status2 != EventStatus::occurred) add({accept1}, true);
    // e1 must not occur after e2. So e2 is accepted only if e1 is already decided or rejectable.
    if (open2 && (!open1 || event1.attributes.rejectable)) {
        if (open1 && event1.arrival_order != 0)
            add({accept2, reject1}, true);
        else
            add({accept2}, true);
    }
    if (open1 && open2) add({accept1, reject2}, false);
    if (open1) add({reject1}, true);
    if (open2) add({reject2}, true);
    if (open1 && open2) add({reject1, reject2}, false);
    return paths;
}

// Returns all paths of an existence automaton, from its current state, that decide one or two
// events.
std::vector<DependencyAutomata::Path> DependencyAutomata::existence_paths(
    Automaton automaton, const AutomatonState& state) {
    const Step accept1{state.e1, Action::accept}, accept2{state.e2, Action::accept};
    const Step reject1{state.e1, Action::reject}, reject2{state.e2, Action::reject};
    const bool open1 = state.status1 == EventStatus::open;
    const bool open2 = state.status2 == EventStatus::open;
    std::vector<Path> paths;
    auto add = [&](std::vector<Step> steps, bool ordered) {
        paths.push_back({automaton, std::move(steps), ordered});
    };
    if (open1 && open2) add({accept1, accept2}, false);
    if (open1 && state.status2 == EventStatus::occurred) add({accept1}, true);
    if (open2) add({accept2}, true);
    if (open1 && open2) add({reject1, accept2}, false);
    if (open1) add({reject1}, true);
    if (open2 && state.status1 != EventStatus::occurred) add({reject2}, true);
    if (open1 && open2) add({reject1, reject2}, false);
    return paths;
}

DependencyAutomata::PathPenalty DependencyAutomata::penalty(const Path& path,
                                                            Event submitted) const {
    PathPenalty penalty;
    for (const Step& step : path.steps) {
        if (step.action == Action::reject)
            ++penalty.rejected;
        else if (step.event != submitted && events_[step.event].arrival_order == 0)
            ++penalty.forced;
    }
    penalty.undecided = 2 - static_cast<int>(path.steps.size());
    return penalty;
}

// Returns the paths that can be executed, best first. The paper does not define this order. Here,
// paths that force the fewest events come first, then those that reject the fewest, then those that
// decide the most.
std::vector<DependencyAutomata::Path> DependencyAutomata::candidates(Automaton automaton,
                                                                     Event submitted) const {
    const AutomatonState& state = automaton_states_[automaton];
    std::vector<Path> paths =
        state.kind == Kind::order ? order_paths(automaton) : existence_paths(automaton, state);
    std::erase_if(paths, [&](const Path& path) {
        return !std::all_of(path.steps.begin(), path.steps.end(),
                            [&](const Step& step) { return executable(step, submitted); });
    });
    std::stable_sort(paths.begin(), paths.end(), [&](const Path& a, const Path& b) {
        return penalty(a, submitted) < penalty(b, submitted);
    });
    return paths;
}

const DependencyAutomata::Step* DependencyAutomata::step_of(const Path& path, Event event) {
    for (const Step& step : path.steps) {
        if (step.event == event) return &step;
    }
    return nullptr;
}

const DependencyAutomata::Step* DependencyAutomata::decided(const Pathset& set, Event event) {
    for (const Path& path : set) {
        if (const Step* step = step_of(path, event)) return step;
    }
    return nullptr;
}

// Returns whether the path decides all events of the shorter path in the same way, and more events.
bool DependencyAutomata::extends(const Path& path, const Path& shorter) {
    if (path.steps.size() <= shorter.steps.size()) return false;
    return std::all_of(shorter.steps.begin(), shorter.steps.end(), [&](const Step& step) {
        const Step* same = step_of(path, step.event);
        return same != nullptr && same->action == step.action;
    });
}

// If the path's automaton mentions the submitted event, the path must accept it.
bool DependencyAutomata::accepts_submitted(const Path& path, Event submitted) const {
    const Step* step = step_of(path, submitted);
    if (step != nullptr) return step->action == Action::accept;
    const AutomatonState& state = automaton_states_[path.automaton];
    return state.e1 != submitted && state.e2 != submitted;
}

// Returns whether the pathset with this path is a-closed and r-closed with respect to the path: the
// path decides each event of its automaton that the set decides, in the same way.
bool DependencyAutomata::is_compatible(const Pathset& set, const Path& path) const {
    const AutomatonState& state = automaton_states_[path.automaton];
    for (const Event event : {state.e1, state.e2}) {
        const Step* step_in_set = decided(set, event);
        const Step* step_in_path = step_of(path, event);
        if (step_in_set != nullptr &&
            (step_in_path == nullptr || step_in_path->action != step_in_set->action))
            return false;
    }
    return true;
}

// Returns whether the orders required by all paths are consistent with the path: no event precedes
// itself, directly or through other events.
bool DependencyAutomata::order_consistent(const Pathset& set, const Path& path) {
    if (!path.ordered || path.steps.size() < 2) return true;
    std::vector<Event> later{path.steps[1].event};  // events that must occur after the first step
    for (std::size_t next = 0; next < later.size(); ++next) {
        if (later[next] == path.steps[0].event) return false;
        for (const Path& other : set) {
            if (!other.ordered || other.steps.size() < 2 || other.steps[0].event != later[next])
                continue;
            const Event follower = other.steps[1].event;
            if (std::find(later.begin(), later.end(), follower) == later.end())
                later.push_back(follower);
        }
    }
    return true;
}

// Returns an automaton that mentions the event but has no path in the set that decides it, or
// kNone.
Automaton DependencyAutomata::uncovered_automaton(const Pathset& set, Event event) const {
    for (const Automaton automaton : events_[event].mentioned_by) {
        const bool covered = std::any_of(set.begin(), set.end(), [&](const Path& path) {
            return path.automaton == automaton && step_of(path, event) != nullptr;
        });
        if (!covered) return automaton;
    }
    return kNone;
}

// Returns the next automaton for which the set needs a path, or kNone if the set is closed.
Automaton DependencyAutomata::open_automaton(const Pathset& set, Event submitted) const {
    Automaton open = uncovered_automaton(set, submitted);
    for (const Path& path : set) {
        for (const Step& step : path.steps) {
            if (open != kNone) return open;
            open = uncovered_automaton(set, step.event);
        }
    }
    return open;
}

// The search of the paper (figure 7): adds paths until the set is closed, one automaton at a time.
bool DependencyAutomata::search(Pathset& set, Event submitted) const {
    const Automaton open = open_automaton(set, submitted);
    if (open == kNone) return true;
    // The path of an automaton that is already in the set may have to be replaced by a longer one.
    const auto earlier = std::find_if(set.begin(), set.end(),
                                      [&](const Path& path) { return path.automaton == open; });
    Pathset rest = set;
    std::erase_if(rest, [&](const Path& path) { return path.automaton == open; });
    for (const Path& path : candidates(open, submitted)) {
        if (!accepts_submitted(path, submitted)) continue;
        if (!is_compatible(rest, path) || !order_consistent(rest, path)) continue;
        if (earlier != set.end() && !extends(path, *earlier)) continue;
        Pathset next = rest;
        next.push_back(path);
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
    for (const Path& path : set) {
        for (const Step& step : path.steps) {
            std::vector<Event>& events = step.action == Action::accept ? accepts : rejects;
            if (std::find(events.begin(), events.end(), step.event) == events.end())
                events.push_back(step.event);
        }
    }
    // Where the paths do not define the order, events occur in the order of arrival. Forced events,
    // whose arrival order 0 wraps around to the maximum, come last.
    std::sort(accepts.begin(), accepts.end(), [&](Event a, Event b) {
        return events_[a].arrival_order - 1 < events_[b].arrival_order - 1;
    });
    while (!accepts.empty()) {
        const Event event = first_to_occur(set, accepts);
        std::erase(accepts, event);
        if (events_[event].arrival_order == 0) events_[event].arrival_order = ++last_arrival_;
        set_status(event, EventStatus::occurred, &out.violated);
        out.accepted.push_back(event);
    }
    for (const Event event : rejects) {
        set_status(event, EventStatus::excluded, &out.violated);
        out.rejected.push_back(event);
    }
}

// Returns the first of the events that does not have to follow another of them.
Event DependencyAutomata::first_to_occur(const Pathset& set, const std::vector<Event>& events) {
    auto follows = [&set](Event later, Event earlier) {
        return std::any_of(set.begin(), set.end(), [&](const Path& path) {
            return path.ordered && path.steps.size() == 2 && path.steps[0].event == earlier &&
                   path.steps[1].event == later;
        });
    };
    const auto first = std::find_if(events.begin(), events.end(), [&](Event event) {
        return std::none_of(events.begin(), events.end(),
                            [&](Event other) { return other != event && follows(event, other); });
    });
    return first == events.end() ? events.front() : *first;
}

bool DependencyAutomata::attempt(Event event, SubmitOutcome& out) {
    Pathset set;
    if (!search(set, event)) return false;
    execute(set, event, out);
    return true;
}

bool DependencyAutomata::accept_one_of(const std::vector<Event>& waiting, SubmitOutcome& out) {
    return std::any_of(waiting.begin(), waiting.end(), [&](Event event) {
        return events_[event].status == EventStatus::open && attempt(event, out);
    });
}

// Rejects a pending event that can never be accepted any more, so that its submitter is informed.
bool DependencyAutomata::reject_one_of(const std::vector<Event>& waiting, SubmitOutcome& out) {
    const auto impossible = std::find_if(waiting.begin(), waiting.end(), [&](Event event) {
        const EventState& state = events_[event];
        return state.status == EventStatus::open && state.attributes.rejectable &&
               can_never_occur(event);
    });
    if (impossible == waiting.end()) return false;
    set_status(*impossible, EventStatus::excluded, &out.violated);
    out.rejected.push_back(*impossible);
    return true;
}

void DependencyAutomata::retry_pending(SubmitOutcome& out) {
    bool progressed = true;
    while (progressed) {
        const std::vector<Event> waiting = pending_;  // events leave the list as they are decided
        progressed = accept_one_of(waiting, out) || reject_one_of(waiting, out);
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
        const bool is_fact = !state.attributes.delayable && !state.attributes.rejectable;
        if (is_fact) {
            set_status(event, EventStatus::occurred, &out.violated);
            out.accepted.push_back(event);
        } else if (std::find(pending_.begin(), pending_.end(), event) == pending_.end()) {
            pending_.push_back(event);
        }
    }
    retry_pending(out);
    switch (events_[event].status) {
        case EventStatus::occurred:
            out.result = SubmitResult::accepted;
            break;
        case EventStatus::excluded:
            out.result = SubmitResult::rejected;
            break;
        case EventStatus::open:
            out.result = SubmitResult::pending;
            break;
    }
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
