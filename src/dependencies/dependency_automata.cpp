#include "dependencies/dependency_automata.h"

#include <algorithm>
#include <unordered_set>

#include "dependencies/pathset_search.h"

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

void DependencyAutomata::execute(const Pathset& set, Event submitted, SubmitOutcome& out) {
    std::vector<Event> accepts{submitted};
    std::vector<Event> rejects;
    std::unordered_set<Event> seen{submitted};
    for (Pathset::Position position = 0; position < set.end(); ++position) {
        if (set.is_hidden(position)) continue;
        for (const Step& step : set.path_at(position).steps) {
            if (!seen.insert(step.event).second) continue;
            (step.action == Action::accept ? accepts : rejects).push_back(step.event);
        }
    }
    // Where the paths do not define the order, events occur in the order of arrival. Forced events,
    // whose arrival order 0 wraps around to the maximum, come last.
    std::stable_sort(accepts.begin(), accepts.end(), [&](Event a, Event b) {
        return events_[a].arrival_order - 1 < events_[b].arrival_order - 1;
    });
    for (const Event event : set.in_required_order(accepts)) {
        if (events_[event].arrival_order == 0) events_[event].arrival_order = ++last_arrival_;
        set_status(event, EventStatus::occurred, &out.violated);
        out.accepted.push_back(event);
    }
    for (const Event event : rejects) {
        set_status(event, EventStatus::excluded, &out.violated);
        out.rejected.push_back(event);
    }
}

bool DependencyAutomata::attempt(Event event, SubmitOutcome& out) {
    PathsetSearch search(events_, automaton_states_, event);
    if (!search.run()) return false;
    execute(search.pathset(), event, out);
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
