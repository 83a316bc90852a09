/// \file
/// Decides when a leader should give up its term because another controller could do better.
#pragma once
#include <optional>

#include "base/time.h"
#include "control/control_loop.h"
#include "election/election.h"
#include "readiness/readiness.h"
#include "wire/settings.h"

namespace nickelramp::controller {

/// Why a leader gives up its term.
enum class StepDownReason {
    machines_unreachable,  ///< Most machines of every zone have been unresponsive for long.
    commands_lost,         ///< Heartbeats arrive through peers; no command reaches a machine.
    rejected_by_store,     ///< The key-value store rejects this controller and serves others.
};

/// The reason in words, for the log.
[[nodiscard]] const char* name(StepDownReason reason);

/// Watches over the leader's reach. Called from the controller's tick while a term runs; it
/// measures no time itself and changes nothing: the caller steps down.
class LeadershipMonitor {
  public:
    explicit LeadershipMonitor(const wire::Settings& settings) : settings_(settings) {}

    /// Whether the leader reaches its machines. Nothing while its lease is uncertain: then the
    /// trouble may be on the way to the key-value store.
    [[nodiscard]] std::optional<StepDownReason> check_machines(
        const control::ControlLoop& control_loop, election::ElectionState state, Millis now);

    /// Whether the key-value store rejects the leader alone, so that its lease cannot be renewed.
    [[nodiscard]] static std::optional<StepDownReason> check_store(
        const readiness::Readiness& readiness, election::ElectionState state);

  private:
    const wire::Settings& settings_;
    Millis unresponsive_since_ = 0;  // 0: machines respond
};

}  // namespace nickelramp::controller
