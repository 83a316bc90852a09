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
#include <cstdint>
#include <vector>

#include "dependencies/pathset.h"
#include "dependencies/types.h"

namespace nickelramp::dependencies {

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
    using Kind = dependencies::Kind;

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
    void set_status(Event event, EventStatus status, std::vector<Automaton>* violated);
    [[nodiscard]] static bool breaks(const AutomatonState& state, Event event, EventStatus status);
    [[nodiscard]] bool can_never_occur(Event event) const;

    // Execution.
    void execute(const Pathset& set, Event submitted, SubmitOutcome& out);
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
