// Dependencies between events, after "Specifying and Enforcing Intertask Dependencies" (sections 3
// to 5): every dependency is a small automaton; an event happens when a viable pathset accepts it.
//
//   order      e1 < e2   if both occur, e1 comes first
//   existence  e1 -> e2  if e1 occurs, e2 occurs too
//
// Events and automata come and go at run time; an event occurs at most once, so an attempt's number
// is part of what its events stand for.
#pragma once
#include <cstdint>
#include <vector>

#include "base/names.h"

namespace nickelramp::dependencies {

using Event = Index;
using Automaton = Index;

struct Attributes {
    bool forcible = false;    // may be made to happen
    bool rejectable = false;  // may be prevented
    bool delayable = false;   // may be put off
};

// What an automaton knows of one of its events.
enum class EventStatus : std::uint8_t { open, occurred, excluded };

enum class SubmitResult : std::uint8_t { accepted, pending, rejected };

// What one submission led to, in the order of execution. Events that were pending may be among
// them.
struct SubmitOutcome {
    SubmitResult result = SubmitResult::pending;
    std::vector<Event> accepted;
    std::vector<Event> rejected;
    std::vector<Automaton> violated;  // facts that no automaton could prevent
};

class DependencyAutomata {
  public:
    enum class Kind : std::uint8_t { order, existence };

    Event add_event(Attributes attributes);
    // Takes the event and every automaton that mentions it out.
    void remove_event(Event event);

    // Built from what has happened already. `violated` is set when that is too late.
    Automaton add(Kind kind, Event e1, Event e2, bool* violated = nullptr);
    void remove(Automaton automaton);

    // The event was submitted: it happens, waits as pending, or is turned down. Related pending
    // events are retried in the order of their arrival.
    SubmitOutcome submit(Event event);
    // The event can no longer be submitted (the paper's termination event).
    SubmitOutcome terminate(Event event);

    EventStatus status(Event event) const { return events_[event].status; }
    bool pending(Event event) const {
        return events_[event].arrival_order != 0 && events_[event].status == EventStatus::open;
    }
    std::size_t automaton_count() const { return live_automaton_count_; }

  private:
    enum class Action : std::uint8_t { accept, reject };
    struct Step {
        Event event;
        Action action;
    };
    // One way through an automaton from its current state. `ordered`: the steps happen as listed;
    // otherwise they interleave freely.
    struct Path {
        Automaton automaton;
        std::vector<Step> steps;
        bool ordered;
    };
    using Pathset = std::vector<Path>;

    struct EventState {
        Attributes attributes;
        EventStatus status = EventStatus::open;
        std::uint64_t arrival_order = 0;  // when submitted; 0: not yet
        std::vector<Automaton> mentioned_by;
        bool live = false;
    };
    // The local state: what has become of its two events.
    struct AutomatonState {
        Kind kind = Kind::order;
        Event e1 = kNone, e2 = kNone;
        EventStatus status1 = EventStatus::open, status2 = EventStatus::open;
        bool live = false;
    };

    AutomatonState& automaton_state(Automaton automaton) { return automaton_states_[automaton]; }
    void set_status(Event event, EventStatus status, std::vector<Automaton>* violated);
    bool executable(const Step& s, Event submitted) const;
    void candidates(Automaton automaton, Event submitted, std::vector<Path>& out) const;
    static const Step* step_of(const Path& p, Event event);
    static const Step* decided(const Pathset& set, Event event);
    bool is_compatible(const Pathset& set, const Path& p) const;
    static bool order_consistent(const Pathset& set, const Path& p);
    bool search(Pathset& set, Event submitted) const;
    void execute(const Pathset& set, Event submitted, SubmitOutcome& out);
    bool attempt(Event event, SubmitOutcome& out);
    void retry_pending(SubmitOutcome& out);

    std::vector<EventState> events_;
    std::vector<Event> free_events_;
    std::vector<AutomatonState> automaton_states_;
    std::vector<Automaton> free_automata_;
    std::vector<Event> pending_;  // in arrival order
    std::uint64_t last_arrival_ = 0;
    std::size_t live_automaton_count_ = 0;
};

}  // namespace nickelramp::dependencies
