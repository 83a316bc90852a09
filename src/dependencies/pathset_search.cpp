#include "dependencies/pathset_search.h"

#include <utility>

namespace nickelramp::dependencies {

bool PathsetSearch::run() {
    while (true) {
        const Automaton open = find_open_automaton();
        if (open == kNone) return true;
        begin_choice(open);
        while (!try_next_path()) {
            abandon_choice();
            if (choices_.empty()) return false;
            set_.undo_add();
            restore_scan(choices_.back());
        }
    }
}

Automaton PathsetSearch::find_open_automaton() {
    if (scan_.at_submitted) {
        const Automaton open = find_uncovered(submitted_);
        if (open != kNone) return open;
        scan_ = {false, 0, 0, 0};
    }
    for (; scan_.path < set_.end(); ++scan_.path, scan_.step = 0) {
        if (set_.is_hidden(scan_.path)) continue;
        const std::vector<Step>& steps = set_.path_at(scan_.path).steps;
        for (; scan_.step < steps.size(); ++scan_.step, scan_.mention = 0) {
            const Automaton open = find_uncovered(steps[scan_.step].event);
            if (open != kNone) return open;
        }
    }
    return kNone;
}

Automaton PathsetSearch::find_uncovered(Event event) {
    if (closed_.count(event) != 0) return kNone;
    const std::vector<Automaton>& mentioned_by = events_[event].mentioned_by;
    for (; scan_.mention < mentioned_by.size(); ++scan_.mention) {
        const Automaton automaton = mentioned_by[scan_.mention];
        if (!set_.covers(automaton, event)) return automaton;
    }
    closed_.insert(event);
    closed_in_order_.push_back(event);
    return kNone;
}

void PathsetSearch::begin_choice(Automaton automaton) {
    Choice choice;
    choice.paths = paths_.paths_of(automaton);
    // The path of an automaton that is already in the set may have to be replaced by a longer one.
    choice.shorter = set_.position_of(automaton);
    choice.scan = scan_;
    choice.closed_events = closed_in_order_.size();
    if (choice.shorter) set_.hide(*choice.shorter);
    choices_.push_back(std::move(choice));
}

bool PathsetSearch::try_next_path() {
    Choice& choice = choices_.back();
    while (choice.next < choice.paths.size()) {
        Path& path = choice.paths[choice.next++];
        if (!fits(path, choice)) continue;
        set_.add(std::move(path));
        return true;
    }
    return false;
}

void PathsetSearch::abandon_choice() {
    if (choices_.back().shorter) set_.restore(*choices_.back().shorter);
    choices_.pop_back();
}

void PathsetSearch::restore_scan(const Choice& choice) {
    scan_ = choice.scan;
    while (closed_in_order_.size() > choice.closed_events) {
        closed_.erase(closed_in_order_.back());
        closed_in_order_.pop_back();
    }
}

bool PathsetSearch::fits(const Path& path, const Choice& choice) const {
    if (!accepts_submitted(path) || !is_compatible(path) || !set_.is_order_consistent(path))
        return false;
    return !choice.shorter || path.extends(set_.path_at(*choice.shorter));
}

bool PathsetSearch::accepts_submitted(const Path& path) const {
    const Step* step = path.step_of(submitted_);
    if (step != nullptr) return step->action == Action::accept;
    const AutomatonState& state = automata_[path.automaton];
    return state.e1 != submitted_ && state.e2 != submitted_;
}

bool PathsetSearch::is_compatible(const Path& path) const {
    const AutomatonState& state = automata_[path.automaton];
    for (const Event event : {state.e1, state.e2}) {
        const auto decision = set_.decision(event);
        if (!decision) continue;
        const Step* step = path.step_of(event);
        if (step == nullptr || step->action != *decision) return false;
    }
    return true;
}

}  // namespace nickelramp::dependencies
