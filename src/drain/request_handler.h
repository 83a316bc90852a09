// The administration API's part for drain plans, under /admin/plans. Only the leader can answer:
// `planner` is null on the others.
#pragma once
#include "drain/planner.h"
#include "net/http_server.h"

namespace nickelramp::drain {

bool handles_request(const net::Request& request);
net::Response answer_request(const net::Request& request, Planner* planner);

}  // namespace nickelramp::drain
