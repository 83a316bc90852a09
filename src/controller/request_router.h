/// \file
/// Hands each HTTP request of workers, users, operators and health checks to its handler.
#pragma once
#include "admin/request_handler.h"
#include "api/job_request_handler.h"
#include "controller/heartbeat_handler.h"
#include "controller/loop_clock.h"
#include "controller/readiness_monitor.h"
#include "controller/term_runner.h"
#include "kvstore/client.h"
#include "net/http_server.h"

namespace nickelramp::controller {

/// Routes by path: `/checkin` are heartbeats, `/ready` health checks, `/admin/plans` drain plans if
/// they are enabled, everything else users' and operators' requests. What no handler takes is
/// answered with 404. Called by the HTTP server on the loop's thread.
class RequestRouter {
  public:
    /// The handlers; all must outlive the router.
    struct Dependencies {
        const LoopClock& clock;
        kvstore::Client& store_client;
        const TermRunner& term;
        ReadinessMonitor& readiness;
        HeartbeatHandler& heartbeat_handler;
        api::JobRequestHandler& job_requests;
        admin::AdminRequestHandler& admin_requests;
        bool serves_drain_plans = false;
    };

    explicit RequestRouter(const Dependencies& dependencies) : handlers_(dependencies) {}

    /// Answers the request, now or later.
    void handle(const net::Request& request, const net::Responder& responder);

  private:
    void handle_heartbeat(const net::Request& request, const net::Responder& responder);
    void handle_health_check(const net::Responder& responder);
    void handle_drain_request(const net::Request& request, const net::Responder& responder);

    const Dependencies handlers_;
};

}  // namespace nickelramp::controller
