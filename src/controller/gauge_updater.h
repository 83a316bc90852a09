/// \file
/// Brings the gauges of the metrics page up to date.
#pragma once
#include "admin/metrics.h"
#include "control/control_loop.h"
#include "controller/heartbeat_handler.h"

namespace nickelramp::controller {

/// Sets the heartbeat gauges and, where `leader` is not null, those of the cluster: jobs, tasks,
/// attempts and machines by state. Called for each request of the metrics page, on the loop's
/// thread.
void update_gauges(admin::Metrics& metrics, const HeartbeatHandler& heartbeats,
                   const control::ControlLoop* leader);

}  // namespace nickelramp::controller
