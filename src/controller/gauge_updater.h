/// @file
/// Updates the gauges of the metrics page.
#pragma once
#include "admin/metrics.h"
#include "control/control_loop.h"
#include "controller/heartbeat_handler.h"

namespace nickelramp::controller {

/// Sets the heartbeat gauges and, if `leader` is not null, the cluster gauges: jobs, tasks,
/// attempts and machines by state. Called for each request for the metrics page, on the loop's
/// thread.
void update_gauges(admin::Metrics& metrics, const HeartbeatHandler& heartbeats,
                   const control::ControlLoop* leader);

}  // namespace nickelramp::controller
