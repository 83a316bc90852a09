#include "dependencies/path.h"

#include <algorithm>
#include <utility>

namespace nickelramp::dependencies {

namespace {

// Collects the paths of one automaton that decide one or two events.
struct PathList {
    explicit PathList(Automaton owner, const AutomatonState& state)
        : automaton(owner),
          accept1{state.e1, Action::accept},
          accept2{state.e2, Action::accept},
          reject1{state.e1, Action::reject},
          reject2{state.e2, Action::reject},
          open1(state.status1 == EventStatus::open),
          open2(state.status2 == EventStatus::open) {}

    void add(std::vector<Step> steps, bool ordered) {
        paths.push_back({automaton, std::move(steps), ordered});
    }

    Automaton automaton;
    Step accept1, accept2, reject1, reject2;
    bool open1, open2;
    std::vector<Path> paths;
};

}  // namespace

const Step* Path::step_of(Event event) const {
    for (const Step& step : steps) {
        if (step.event == event) return &step;
    }
    return nullptr;
}

bool Path::extends(const Path& shorter) const {
    if (steps.size() <= shorter.steps.size()) return false;
    return std::all_of(shorter.steps.begin(), shorter.steps.end(), [this](const Step& step) {
        const Step* same = step_of(step.event);
        return same != nullptr && same->action == step.action;
    });
}

std::vector<Path> PathFinder::paths_of(Automaton automaton) const {
    const bool is_order = automata_[automaton].kind == Kind::order;
    std::vector<Path> paths = is_order ? order_paths(automaton) : existence_paths(automaton);
    std::erase_if(paths, [this](const Path& path) {
        return !std::all_of(path.steps.begin(), path.steps.end(),
                            [this](const Step& step) { return is_executable(step); });
    });
    std::stable_sort(paths.begin(), paths.end(),
                     [this](const Path& a, const Path& b) { return penalty(a) < penalty(b); });
    return paths;
}

// Returns whether the step can be executed now. An event can be accepted if it was submitted or is
// forcible, and rejected if it was submitted and is rejectable.
bool PathFinder::is_executable(const Step& step) const {
    const EventState& event = events_[step.event];
    if (event.status != EventStatus::open) return false;
    const bool arrived = event.arrival_order != 0 || step.event == submitted_;
    if (step.action == Action::accept) return arrived || event.attributes.forcible;
    return arrived && event.attributes.rejectable && step.event != submitted_;
}

PathFinder::Penalty PathFinder::penalty(const Path& path) const {
    Penalty penalty;
    for (const Step& step : path.steps) {
        if (step.action == Action::reject)
            ++penalty.rejected;
        else if (step.event != submitted_ && events_[step.event].arrival_order == 0)
            ++penalty.forced;
    }
    penalty.undecided = 2 - static_cast<int>(path.steps.size());
    return penalty;
}

std::vector<Path> PathFinder::order_paths(Automaton automaton) const {
    const AutomatonState& state = automata_[automaton];
    const EventState& event1 = events_[state.e1];
    PathList list(automaton, state);
    if (list.open1 && list.open2) list.add({list.accept1, list.accept2}, true);
    if (list.open1 && state.status2 != EventStatus::occurred) list.add({list.accept1}, true);
    // e1 must not occur after e2. So e2 is accepted only if e1 is already decided or rejectable.
    if (list.open2 && (!list.open1 || event1.attributes.rejectable)) {
        if (list.open1 && event1.arrival_order != 0)
            list.add({list.accept2, list.reject1}, true);
        else
            list.add({list.accept2}, true);
    }
    if (list.open1 && list.open2) list.add({list.accept1, list.reject2}, false);
    if (list.open1) list.add({list.reject1}, true);
    if (list.open2) list.add({list.reject2}, true);
    if (list.open1 && list.open2) list.add({list.reject1, list.reject2}, false);
    return std::move(list.paths);
}

std::vector<Path> PathFinder::existence_paths(Automaton automaton) const {
    const AutomatonState& state = automata_[automaton];
    PathList list(automaton, state);
    if (list.open1 && list.open2) list.add({list.accept1, list.accept2}, false);
    if (list.open1 && state.status2 == EventStatus::occurred) list.add({list.accept1}, true);
    if (list.open2) list.add({list.accept2}, true);
    if (list.open1 && list.open2) list.add({list.reject1, list.accept2}, false);
    if (list.open1) list.add({list.reject1}, true);
    if (list.open2 && state.status1 != EventStatus::occurred) list.add({list.reject2}, true);
    if (list.open1 && list.open2) list.add({list.reject1, list.reject2}, false);
    return std::move(list.paths);
}

}  // namespace nickelramp::dependencies
