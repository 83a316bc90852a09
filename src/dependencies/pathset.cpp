#include "dependencies/pathset.h"

#include <functional>
#include <queue>
#include <unordered_set>
#include <utility>

namespace nickelramp::dependencies {

void Pathset::add(Path path) {
    if (path.requires_order()) followers_[path.steps[0].event].push_back(path.steps[1].event);
    slots_.push_back({std::move(path)});
    index(slots_.size() - 1);
}

void Pathset::undo_add() {
    remove_from_index(slots_.size() - 1);
    const Path& path = slots_.back().path;
    // Paths are removed in the reverse order, so the last follower is that of this path.
    if (path.requires_order()) followers_[path.steps[0].event].pop_back();
    slots_.pop_back();
}

void Pathset::hide(Position position) {
    remove_from_index(position);
    slots_[position].hidden = true;
}

void Pathset::restore(Position position) {
    slots_[position].hidden = false;
    index(position);
}

void Pathset::index(Position position) {
    const Path& path = slots_[position].path;
    positions_[path.automaton] = position;
    for (const Step& step : path.steps) {
        Decision& decision = decisions_[step.event];
        decision.action = step.action;
        ++decision.paths;
    }
}

void Pathset::remove_from_index(Position position) {
    const Path& path = slots_[position].path;
    positions_.erase(path.automaton);
    for (const Step& step : path.steps) {
        const auto decision = decisions_.find(step.event);
        if (--decision->second.paths == 0) decisions_.erase(decision);
    }
}

std::optional<Pathset::Position> Pathset::position_of(Automaton automaton) const {
    const auto found = positions_.find(automaton);
    if (found == positions_.end()) return std::nullopt;
    return found->second;
}

bool Pathset::covers(Automaton automaton, Event event) const {
    const auto position = position_of(automaton);
    return position && slots_[*position].path.step_of(event) != nullptr;
}

std::optional<Action> Pathset::decision(Event event) const {
    const auto found = decisions_.find(event);
    if (found == decisions_.end()) return std::nullopt;
    return found->second.action;
}

bool Pathset::is_order_consistent(const Path& path) const {
    if (!path.requires_order()) return true;
    const Event first = path.steps[0].event;
    // Events that must occur after the first one.
    std::vector<Event> later{path.steps[1].event};
    std::unordered_set<Event> seen(later.begin(), later.end());
    for (std::size_t next = 0; next < later.size(); ++next) {
        if (later[next] == first) return false;
        for (const Event follower : followers_of(later[next])) {
            if (seen.insert(follower).second) later.push_back(follower);
        }
    }
    return true;
}

const std::vector<Event>& Pathset::followers_of(Event event) const {
    static const std::vector<Event> kNoEvents;
    const auto found = followers_.find(event);
    return found == followers_.end() ? kNoEvents : found->second;
}

std::vector<Event> Pathset::in_required_order(const std::vector<Event>& events) const {
    std::unordered_map<Event, std::size_t> index_of;
    for (std::size_t i = 0; i < events.size(); ++i) index_of[events[i]] = i;
    std::vector<std::vector<std::size_t>> followers(events.size());
    std::vector<std::size_t> predecessors_left(events.size(), 0);
    for (std::size_t i = 0; i < events.size(); ++i) {
        for (const Event follower : followers_of(events[i])) {
            const auto found = index_of.find(follower);
            if (found == index_of.end()) continue;
            followers[i].push_back(found->second);
            ++predecessors_left[found->second];
        }
    }
    std::priority_queue<std::size_t, std::vector<std::size_t>, std::greater<>> ready;
    for (std::size_t i = 0; i < events.size(); ++i) {
        if (predecessors_left[i] == 0) ready.push(i);
    }
    std::vector<Event> ordered;
    while (!ready.empty()) {
        const std::size_t next = ready.top();
        ready.pop();
        ordered.push_back(events[next]);
        for (const std::size_t follower : followers[next]) {
            if (--predecessors_left[follower] == 0) ready.push(follower);
        }
    }
    return ordered;
}

}  // namespace nickelramp::dependencies
