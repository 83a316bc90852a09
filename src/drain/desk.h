// The administration API's part for drain plans, under /admin/plans. Only the leader can answer:
// `planner` is null on the others.
#pragma once
#include "base/time.h"
#include "drain/planner.h"
#include "net/http_server.h"

namespace nickelramp::drain {

inline constexpr const char* kPath = "/admin/plans";

net::Response answer(const net::Request& request, Planner* planner, Millis now);

}  // namespace nickelramp::drain
