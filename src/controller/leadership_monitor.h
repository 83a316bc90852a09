/// @file
/// Decides when a leader should step down because another controller may serve the cluster better.
#pragma once
#include <optional>

#include "base/time.h"
#include "control/control_loop.h"
#include "election/election.h"
#include "readiness/readiness.h"
#include "wire/settings.h"

namespace nickelramp::controller {

/// Why a leader steps down.
enum class StepDownReason {
    machines_unreachable,  ///< Most machines of every zone have been unresponsive for some time.
    commands_lost,         ///< Heartbeats arrive through peers, but no command reaches a machine.
    rejected_by_store,     ///< The key-value store rejects this controller but serves others.
};

/// Returns a description of the reason for the log.
[[nodiscard]] const char* name(StepDownReason reason);

/// Checks whether the leader reaches its machines and the key-value store. Called with the current
/// time by the controller's tick while a term runs. It only recommends stepping down; the caller
/// acts on it.
class LeadershipMonitor {
  public:
    explicit LeadershipMonitor(const wire::Settings& settings) : settings_(settings) {}

    /// Returns a reason to step down if the leader does not reach its machines. Returns nothing
    /// while its lease is uncertain, as the fault may then be in the path to the key-value store.
    [[nodiscard]] std::optional<StepDownReason> check_machines(
        const control::ControlLoop& control_loop, election::ElectionState state, Millis now);

    /// Returns a reason to step down if the key-value store rejects this leader alone, so that its
    /// lease cannot be renewed.
    [[nodiscard]] static std::optional<StepDownReason> check_store(
        const readiness::Readiness& readiness, election::ElectionState state);

  private:
    const wire::Settings& settings_;
    Millis unresponsive_since_ = 0;  // 0 while machines respond
};

}  // namespace nickelramp::controller
