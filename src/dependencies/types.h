/// @file
/// Events, dependencies and their states, as described in "Specifying and Enforcing Intertask
/// Dependencies" (sections 3 and 4).
#pragma once
#include <cstdint>
#include <vector>

#include "base/names.h"

namespace nickelramp::dependencies {

using Event = Index;
using Automaton = Index;

/// What DependencyAutomata may do with an event. An event without attributes is a fact: it has
/// already happened when it is submitted.
struct Attributes {
    bool forcible = false;    ///< may be made to occur without being submitted
    bool rejectable = false;  ///< may be rejected
    bool delayable = false;   ///< may stay pending after it was submitted
};

/// State of an event. An excluded event was rejected or terminated and cannot occur any more.
enum class EventStatus : std::uint8_t { open, occurred, excluded };

/// Kind of a dependency between the events e1 and e2.
enum class Kind : std::uint8_t {
    order,     ///< e1 < e2: if both occur, e1 occurs first
    existence  ///< e1 -> e2: if e1 occurs, e2 occurs too
};

struct EventState {
    Attributes attributes;
    EventStatus status = EventStatus::open;
    std::uint64_t arrival_order = 0;  ///< order of submission; 0: not submitted yet
    std::vector<Automaton> mentioned_by;
    bool live = false;
};

/// The local state of an automaton: its two events and their states.
struct AutomatonState {
    Kind kind = Kind::order;
    Event e1 = kNone, e2 = kNone;
    EventStatus status1 = EventStatus::open, status2 = EventStatus::open;
    bool live = false;
};

}  // namespace nickelramp::dependencies
