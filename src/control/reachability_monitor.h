/// \file
/// How reachable a machine is, as HeartbeatReconciler and MachineChecker both judge it.
#pragma once
#include "base/time.h"
#include "machines/machine_registry.h"
#include "machines/worker_capacity.h"
#include "wire/settings.h"

namespace nickelramp::control {

/// Judges machines by their WorkerChannel and by whether the controllers have sockets left to hear
/// them. Changes nothing. Owned by ControlLoop; `settings` must outlive it.
class ReachabilityMonitor {
  public:
    explicit ReachabilityMonitor(const wire::Settings& settings) : settings_(settings) {}

    /// Set by ControlLoop before each tick.
    void set_worker_capacity(const machines::WorkerCapacity& capacity) { capacity_ = capacity; }
    /// While true, a missing heartbeat may be the fault of the controllers.
    [[nodiscard]] bool sockets_exhausted() const { return capacity_.sockets_exhausted; }

    /// In milliseconds: a machine that nothing of ours has reached for longer is unresponsive.
    [[nodiscard]] Millis unresponsive_timeout() const;
    [[nodiscard]] machines::Reachability reachability(const machines::Machine& machine,
                                                      Millis now) const;

  private:
    const wire::Settings& settings_;
    machines::WorkerCapacity capacity_;
};

}  // namespace nickelramp::control
