/// @file
/// Paths through automata from their current states (paper, section 5.2).
#pragma once
#include <compare>
#include <cstdint>
#include <vector>

#include "dependencies/types.h"

namespace nickelramp::dependencies {

enum class Action : std::uint8_t { accept, reject };

/// A decision about one event.
struct Step {
    Event event = kNone;
    Action action = Action::accept;
};

/// One path through an automaton from its current state.
struct Path {
    Automaton automaton = kNone;
    std::vector<Step> steps;  ///< one or two
    bool ordered = false;     ///< the steps occur as listed; otherwise in any order

    /// Returns the step that decides the event, or nullptr.
    [[nodiscard]] const Step* step_of(Event event) const;
    /// Returns whether the path requires its first event to occur before its second.
    [[nodiscard]] bool requires_order() const { return ordered && steps.size() == 2; }
    /// Returns whether the path decides all events of the shorter path in the same way, and more.
    [[nodiscard]] bool extends(const Path& shorter) const;
};

/// Finds the paths that can be executed while one event is being submitted. The states must outlive
/// the object.
class PathFinder {
  public:
    PathFinder(const std::vector<EventState>& events, const std::vector<AutomatonState>& automata,
               Event submitted)
        : events_(events), automata_(automata), submitted_(submitted) {}

    /// Returns the paths of the automaton that can be executed, best first. The paper does not
    /// define this order. Here, paths that force the fewest events come first, then those that
    /// reject the fewest, then those that decide the most.
    [[nodiscard]] std::vector<Path> paths_of(Automaton automaton) const;

  private:
    /// Sort key of a path, by decreasing importance; lower is better.
    struct Penalty {
        int forced = 0, rejected = 0, undecided = 0;
        auto operator<=>(const Penalty&) const = default;
    };
    [[nodiscard]] bool is_executable(const Step& step) const;
    [[nodiscard]] Penalty penalty(const Path& path) const;
    [[nodiscard]] std::vector<Path> order_paths(Automaton automaton) const;
    [[nodiscard]] std::vector<Path> existence_paths(Automaton automaton) const;

    const std::vector<EventState>& events_;
    const std::vector<AutomatonState>& automata_;
    Event submitted_;
};

}  // namespace nickelramp::dependencies
