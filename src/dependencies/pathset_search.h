/// @file
/// Searches for a viable pathset, which accepts an event (paper, figure 7).
#pragma once
#include <cstddef>
#include <optional>
#include <unordered_set>
#include <vector>

#include "dependencies/path.h"
#include "dependencies/pathset.h"
#include "dependencies/types.h"

namespace nickelramp::dependencies {

/// One search. Adds paths until the set is closed: until every automaton that mentions a decided
/// event has a path that decides it. Tries the paths of one automaton at a time and goes back if
/// none fits. Without going back, the time grows in proportion to the automata that mention decided
/// events. Does not recurse.
class PathsetSearch {
  public:
    /// The states must outlive the object and not change during the search.
    PathsetSearch(const std::vector<EventState>& events,
                  const std::vector<AutomatonState>& automata, Event submitted)
        : events_(events),
          automata_(automata),
          paths_(events, automata, submitted),
          submitted_(submitted) {}

    /// Searches once. Returns whether there is a viable pathset; `pathset()` is then that set.
    [[nodiscard]] bool run();
    [[nodiscard]] const Pathset& pathset() const { return set_; }

  private:
    // Where the scan for automata without a path stands: at a mention of an event of a step of a
    // path. Everything before has a path that decides its event. The mentions of the submitted
    // event come first.
    struct ScanPosition {
        bool at_submitted = true;
        Pathset::Position path = 0;
        std::size_t step = 0;
        std::size_t mention = 0;
    };
    // An automaton whose paths are tried.
    struct Choice {
        std::vector<Path> paths;
        std::size_t next = 0;                      // of `paths`
        std::optional<Pathset::Position> shorter;  // earlier path, which is to be extended
        // The state of the scan before a path was added.
        ScanPosition scan;
        std::size_t closed_events = 0;
    };

    // Returns the next automaton for which the set needs a path, or kNone if the set is closed.
    [[nodiscard]] Automaton find_open_automaton();
    // Returns an automaton that mentions the event and needs a path, or kNone.
    [[nodiscard]] Automaton find_uncovered(Event event);
    void begin_choice(Automaton automaton);
    // Adds the next path of the latest choice that fits. Returns false if there is none.
    [[nodiscard]] bool try_next_path();
    // Restores the set as it was before the latest choice, and removes that choice.
    void abandon_choice();
    void restore_scan(const Choice& choice);
    [[nodiscard]] bool fits(const Path& path, const Choice& choice) const;
    // Returns whether the path accepts the submitted event, if its automaton mentions it.
    [[nodiscard]] bool accepts_submitted(const Path& path) const;
    // Returns whether the set with the path is a-closed and r-closed with respect to the path: the
    // path decides each event of its automaton that the set decides, in the same way.
    [[nodiscard]] bool is_compatible(const Path& path) const;

    const std::vector<EventState>& events_;
    const std::vector<AutomatonState>& automata_;
    const PathFinder paths_;
    const Event submitted_;
    Pathset set_;
    std::vector<Choice> choices_;
    ScanPosition scan_;
    std::unordered_set<Event> closed_;    // events whose automata all have a path
    std::vector<Event> closed_in_order_;  // the same, in the order in which they were closed
};

}  // namespace nickelramp::dependencies
