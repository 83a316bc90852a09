/// @file
/// Handles requests for drain plans on the administration API, under /admin/plans.
#pragma once
#include "drain/planner.h"
#include "net/http_server.h"

namespace nickelramp::drain {

/// Returns whether the path belongs to the drain plans.
[[nodiscard]] bool handles_request(const net::Request& request);

/// Answers a request for a path of the drain plans, on the loop thread:
///
///     POST /admin/plans              201 or 200 with the plan's state; 400, 409, 503
///     GET  /admin/plans              200 with all plans, without steps
///     GET  /admin/plans/<id>[?from=] 200 with a page of the plan; 400, 404
///
/// @param planner the planner of the leader; null on other controllers, which answer 503
[[nodiscard]] net::Response answer_request(const net::Request& request, Planner* planner);

}  // namespace nickelramp::drain
