/// @file
/// Enforces dependencies between events as described in "Specifying and Enforcing Intertask
/// Dependencies" (sections 3 to 5). Each dependency is a small automaton. An event occurs when a
/// viable pathset accepts it.
///
///     order      e1 < e2   if both occur, e1 occurs first
///     existence  e1 -> e2  if e1 occurs, e2 occurs too
///
/// Events and automata are added and removed at run time. An event occurs at most once, so each
/// attempt of a task has events of its own.
#pragma once
#include <compare>
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

enum class SubmitResult : std::uint8_t { accepted, pending, rejected };

/// Result of one submission. Lists events in the order of execution, including events that were
/// pending before.
struct SubmitOutcome {
    SubmitResult result = SubmitResult::pending;  ///< of the submitted event
    std::vector<Event> accepted;
    std::vector<Event> rejected;
    std::vector<Automaton> violated;  ///< dependencies that were violated by facts
};

/// The dependencies among one job's events. Each job has its own instance. The cluster state and
/// the job lifecycle submit events on the loop thread. The class does no I/O and does not use time.
/// Indices of events and automata are valid from creation to removal and are reused afterwards.
class DependencyAutomata {
  public:
    enum class Kind : std::uint8_t { order, existence };

    [[nodiscard]] Event add_event(Attributes attributes);
    /// Removes the event and every automaton that mentions it.
    void remove_event(Event event);

    /// Adds a dependency. The initial state of its automaton reflects events that have already been
    /// decided.
    /// @param violated if given, set to whether the dependency is already violated. The order of
    /// past events is unknown and assumed to be correct.
    Automaton add(Kind kind, Event e1, Event e2, bool* violated = nullptr);
    void remove(Automaton automaton);

    /// Submits the event. It is accepted, becomes pending, or is rejected. Pending events are
    /// retried in the order of their arrival.
    SubmitOutcome submit(Event event);
    /// Records that the event can no longer be submitted (the paper's termination event), and
    /// retries pending events.
    SubmitOutcome terminate(Event event);

    [[nodiscard]] EventStatus status(Event event) const { return events_[event].status; }
    [[nodiscard]] std::size_t automaton_count() const { return live_automaton_count_; }

  private:
    enum class Action : std::uint8_t { accept, reject };
    struct Step {
        Event event;
        Action action;
    };
    /// One path through an automaton from its current state.
    struct Path {
        Automaton automaton;
        std::vector<Step> steps;  // one or two
        bool ordered;             // the steps occur as listed; otherwise in any order
    };
    using Pathset = std::vector<Path>;
    /// Sort key of a path, by decreasing importance; lower is better.
    struct PathPenalty {
        int forced = 0, rejected = 0, undecided = 0;
        auto operator<=>(const PathPenalty&) const = default;
    };

    struct EventState {
        Attributes attributes;
        EventStatus status = EventStatus::open;
        std::uint64_t arrival_order = 0;  // order of submission; 0: not submitted yet
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
