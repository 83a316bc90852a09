/// @file
/// A set of paths, at most one of each automaton, with an index of the decisions in it.
#pragma once
#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

#include "dependencies/path.h"

namespace nickelramp::dependencies {

/// The paths that a search has chosen, in the order in which they were added. All paths decide an
/// event in the same way. Every operation takes the same time whatever the number of paths, except
/// that `is_order_consistent` follows the required orders.
class Pathset {
  public:
    /// Position of a path; stays valid when other paths are removed.
    using Position = std::size_t;

    /// Adds a path, which must be compatible and order-consistent with the set.
    void add(Path path);
    /// Undoes the latest `add()` that has not been undone.
    void undo_add();
    /// Takes out the path of an automaton. The path must not require an order.
    void hide(Position position);
    /// Undoes `hide()`.
    void restore(Position position);

    [[nodiscard]] std::optional<Position> position_of(Automaton automaton) const;
    /// Returns whether the set contains a path of the automaton that decides the event.
    [[nodiscard]] bool covers(Automaton automaton, Event event) const;
    /// Returns how the set decides the event.
    [[nodiscard]] std::optional<Action> decision(Event event) const;
    /// Returns whether the orders that the set and the path require are consistent: no event
    /// precedes itself, directly or through other events.
    [[nodiscard]] bool is_order_consistent(const Path& path) const;

    /// Returns the events in an order that the paths allow. Events between which they require none
    /// keep their order as far as possible: each next event is the first that need not follow
    /// another one that is left.
    [[nodiscard]] std::vector<Event> in_required_order(const std::vector<Event>& events) const;

    /// One more than the last position.
    [[nodiscard]] Position end() const { return slots_.size(); }
    [[nodiscard]] const Path& path_at(Position position) const { return slots_[position].path; }
    [[nodiscard]] bool is_hidden(Position position) const { return slots_[position].hidden; }

  private:
    struct Slot {
        Path path;
        bool hidden = false;
    };
    struct Decision {
        Action action = Action::accept;
        std::size_t paths = 0;  // number of paths that decide the event
    };
    // Adds the path at the position to the index, or removes it.
    void index(Position position);
    void remove_from_index(Position position);
    // Returns the events that are required to occur later than this one.
    [[nodiscard]] const std::vector<Event>& followers_of(Event event) const;

    std::vector<Slot> slots_;
    std::unordered_map<Automaton, Position> positions_;
    std::unordered_map<Event, Decision> decisions_;
    std::unordered_map<Event, std::vector<Event>> followers_;
};

}  // namespace nickelramp::dependencies
