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

namespace nickelramp::links {

using Event = Index;
using Automaton = Index;

struct Attributes {
    bool forcible = false;    // may be made to happen
    bool rejectable = false;  // may be prevented
    bool delayable = false;   // may be put off
};

// What an automaton knows of one of its events.
enum class Fate : std::uint8_t { open, occurred, never };

enum class Answer : std::uint8_t { accepted, pending, rejected };

// What one submission led to, in the order of execution. Events that were pending may be among
// them.
struct Outcome {
    Answer answer = Answer::pending;
    std::vector<Event> accepted;
    std::vector<Event> rejected;
    std::vector<Automaton> violated;  // facts that no automaton could prevent
};

class Links {
  public:
    enum class Kind : std::uint8_t { order, existence };

    Event add_event(Attributes attributes);
    // Takes the event and every automaton that mentions it out.
    void remove_event(Event e);

    // Built from what has happened already. `violated` is set when that is too late.
    Automaton add(Kind kind, Event e1, Event e2, bool* violated = nullptr);
    void remove(Automaton a);

    // The event was submitted: it happens, waits as pending, or is turned down. Related pending
    // events are retried in the order of their arrival.
    Outcome submit(Event e);
    // The event can no longer be submitted (the paper's termination event).
    Outcome terminate(Event e);

    Fate fate(Event e) const { return events_[e].fate; }
    bool pending(Event e) const { return events_[e].arrival != 0 && events_[e].fate == Fate::open; }
    std::size_t automata() const { return live_automata_; }

  private:
    enum class Act : std::uint8_t { accept, reject };
    struct Step {
        Event event;
        Act act;
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
        Fate fate = Fate::open;
        std::uint64_t arrival = 0;  // when submitted; 0: not yet
        std::vector<Automaton> mentioned_by;
        bool live = false;
    };
    // The local state: what has become of its two events.
    struct Machine {
        Kind kind = Kind::order;
        Event e1 = kNone, e2 = kNone;
        Fate f1 = Fate::open, f2 = Fate::open;
        bool live = false;
    };

    Machine& machine(Automaton a) { return machines_[a]; }
    void set_fate(Event e, Fate fate, std::vector<Automaton>* violated);
    bool executable(const Step& s, Event submitted) const;
    void candidates(Automaton a, Event submitted, std::vector<Path>& out) const;
    static const Step* step_of(const Path& p, Event e);
    static const Step* decided(const Pathset& set, Event e);
    bool agrees(const Pathset& set, const Path& p) const;
    static bool order_consistent(const Pathset& set, const Path& p);
    bool search(Pathset& set, Event submitted) const;
    void execute(const Pathset& set, Event submitted, Outcome& out);
    bool attempt(Event e, Outcome& out);
    void retry_pending(Outcome& out);

    std::vector<EventState> events_;
    std::vector<Event> free_events_;
    std::vector<Machine> machines_;
    std::vector<Automaton> free_machines_;
    std::vector<Event> pending_;  // in arrival order
    std::uint64_t arrivals_ = 0;
    std::size_t live_automata_ = 0;
};

}  // namespace nickelramp::links
