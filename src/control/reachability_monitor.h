/// @file
/// Determines how reachable a machine is. Used by HeartbeatReconciler and MachineChecker.
#pragma once
#include "base/time.h"
#include "machines/machine_registry.h"
#include "machines/worker_capacity.h"
#include "wire/settings.h"

namespace nickelramp::control {

/// Determines reachability from a machine's WorkerChannel and from whether the controllers have
/// sockets left for its heartbeats. Changes no machine. Owned by ControlLoop. `settings` must
/// outlive it.
class ReachabilityMonitor {
  public:
    explicit ReachabilityMonitor(const wire::Settings& settings) : settings_(settings) {}

    /// Set by ControlLoop before each tick.
    void set_worker_capacity(const machines::WorkerCapacity& capacity) { capacity_ = capacity; }
    /// Returns whether a controller has run out of sockets lately. A missing heartbeat may then be
    /// the fault of the controllers.
    [[nodiscard]] bool sockets_exhausted() const { return capacity_.sockets_exhausted; }

    /// Returns the time after the last message that reached a machine at which the machine counts
    /// as unresponsive.
    [[nodiscard]] Millis unresponsive_timeout() const;
    [[nodiscard]] machines::Reachability reachability(const machines::Machine& machine,
                                                      Millis now) const;

  private:
    const wire::Settings& settings_;
    machines::WorkerCapacity capacity_;
};

}  // namespace nickelramp::control
