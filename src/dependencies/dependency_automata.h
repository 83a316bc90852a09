/// @file
/// Dependencies between events, after "Specifying and Enforcing Intertask Dependencies" (sections 3
/// to 5): every dependency is a small automaton; an event happens when a viable pathset accepts it.
///
///     order      e1 < e2   if both occur, e1 comes first
///     existence  e1 -> e2  if e1 occurs, e2 occurs too
///
/// Events and automata come and go at run time; an event occurs at most once, so an attempt's
/// number is part of what its events stand for.
#pragma once
#include <compare>
#include <cstdint>
#include <vector>

#include "base/names.h"

namespace nickelramp::dependencies {

using Event = Index;
using Automaton = Index;

/// What may be done about an event. One with no attribute is a fact: it has happened when it is
/// submitted.
struct Attributes {
    bool forcible = false;    ///< may be made to happen
    bool rejectable = false;  ///< may be prevented
    bool delayable = false;   ///< may be put off
};

/// What has become of an event.
enum class EventStatus : std::uint8_t { open, occurred, excluded };

enum class SubmitResult : std::uint8_t { accepted, pending, rejected };

/// What one submission led to, in the order of execution. Events that were pending may be among
/// them.
struct SubmitOutcome {
    SubmitResult result = SubmitResult::pending;  ///< of the event that was submitted
    std::vector<Event> accepted;
    std::vector<Event> rejected;
    std::vector<Automaton> violated;  ///< dependencies that facts broke
};

/// The dependencies among one job's events. Each job has its own; the cluster state and the job
/// lifecycle submit events on the loop thread. It does no I/O and knows no time. Indices of events
/// and automata are valid from their creation to their removal, and are used again afterwards.
class DependencyAutomata {
  public:
    enum class Kind : std::uint8_t { order, existence };

    [[nodiscard]] Event add_event(Attributes attributes);
    /// Removes the event and every automaton that mentions it.
    void remove_event(Event event);

    /// Adds a dependency; its automaton starts from what has happened already.
    /// @param violated if given, set to whether the dependency is broken already. The order of past
    /// events is unknown, and taken as right.
    Automaton add(Kind kind, Event e1, Event e2, bool* violated = nullptr);
    void remove(Automaton automaton);

    /// The event was submitted: it occurs, waits as pending, or is rejected. Pending events are
    /// retried in the order of their arrival.
    SubmitOutcome submit(Event event);
    /// The event can no longer be submitted (the paper's termination event).
    SubmitOutcome terminate(Event event);

    [[nodiscard]] EventStatus status(Event event) const { return events_[event].status; }
    [[nodiscard]] std::size_t automaton_count() const { return live_automaton_count_; }

  private:
    enum class Action : std::uint8_t { accept, reject };
    struct Step {
        Event event;
        Action action;
    };
    /// One way through an automaton from its current state.
    struct Path {
        Automaton automaton;
        std::vector<Step> steps;  // one or two
        bool ordered;             // they happen as listed; otherwise they interleave freely
    };
    using Pathset = std::vector<Path>;
    /// What speaks against a path, the worst first; lower is better.
    struct PathPenalty {
        int forced = 0, rejected = 0, undecided = 0;
        auto operator<=>(const PathPenalty&) const = default;
    };

    struct EventState {
        Attributes attributes;
        EventStatus status = EventStatus::open;
        std::uint64_t arrival_order = 0;  // when submitted; 0: not yet
        std::vector<Automaton> mentioned_by;
        bool live = false;
    };
    /// The local state of an automaton: what has become of its two events.
    struct AutomatonState {
        Kind kind = Kind::order;
        Event e1 = kNone, e2 = kNone;
        EventStatus status1 = EventStatus::open, status2 = EventStatus::open;
        bool live = false;
    };

    void set_status(Event event, EventStatus status, std::vector<Automaton>* violated);
    [[nodiscard]] static bool breaks(const AutomatonState& state, Event event, EventStatus status);
    [[nodiscard]] bool can_never_occur(Event event) const;

    // Paths.
    [[nodiscard]] bool executable(const Step& step, Event submitted) const;
    [[nodiscard]] std::vector<Path> order_paths(Automaton automaton) const;
    [[nodiscard]] static std::vector<Path> existence_paths(Automaton automaton,
                                                           const AutomatonState& state);
    [[nodiscard]] PathPenalty penalty(const Path& path, Event submitted) const;
    [[nodiscard]] std::vector<Path> candidates(Automaton automaton, Event submitted) const;

    // Pathsets.
    [[nodiscard]] static const Step* step_of(const Path& path, Event event);
    [[nodiscard]] static const Step* decided(const Pathset& set, Event event);
    [[nodiscard]] static bool extends(const Path& path, const Path& shorter);
    [[nodiscard]] bool accepts_submitted(const Path& path, Event submitted) const;
    [[nodiscard]] bool is_compatible(const Pathset& set, const Path& path) const;
    [[nodiscard]] static bool order_consistent(const Pathset& set, const Path& path);
    [[nodiscard]] Automaton uncovered_automaton(const Pathset& set, Event event) const;
    [[nodiscard]] Automaton open_automaton(const Pathset& set, Event submitted) const;
    [[nodiscard]] bool search(Pathset& set, Event submitted) const;

    // Execution.
    void execute(const Pathset& set, Event submitted, SubmitOutcome& out);
    [[nodiscard]] static Event first_to_occur(const Pathset& set, const std::vector<Event>& events);
    [[nodiscard]] bool attempt(Event event, SubmitOutcome& out);
    [[nodiscard]] bool accept_one_of(const std::vector<Event>& waiting, SubmitOutcome& out);
    [[nodiscard]] bool reject_one_of(const std::vector<Event>& waiting, SubmitOutcome& out);
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
