/// @file
/// Polls the cloud's list of instances for the leader while its term runs.
#pragma once
#include <cstdint>

#include "cloud/cloud_client.h"
#include "control/control_loop.h"
#include "controller/loop_clock.h"
#include "net/timer.h"
#include "wire/settings.h"

namespace nickelramp::controller {

/// Passes each complete list of instances to the control loop of the running term. The interval
/// grows with the number of instances, so that most of the cloud's request budget is left to
/// provisioning. A failed request is retried after the shortest interval. Replies that arrive after
/// `stop` are dropped. Runs on the loop's thread.
class InstancePoller {
  public:
    InstancePoller(const wire::Settings& settings, const LoopClock& clock,
                   cloud::CloudClient& cloud_client);

    /// Starts polling at once. `control_loop` must live until `stop`.
    void start(control::ControlLoop& control_loop);
    /// Stops polling. Called when the term ends, before its control loop is destroyed.
    void stop();

  private:
    void poll();
    [[nodiscard]] Millis interval_after(std::size_t instances) const;

    const wire::Settings& settings_;
    const LoopClock& clock_;
    cloud::CloudClient& cloud_client_;
    net::Timer timer_;
    control::ControlLoop* control_loop_ = nullptr;  // null if stopped
    std::uint64_t generation_ = 0;  // incremented by start and stop to drop late replies
};

}  // namespace nickelramp::controller
