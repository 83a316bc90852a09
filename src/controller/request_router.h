/// @file
/// Passes each HTTP request of workers, users, operators and health checks to its handler.
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

/// Routes requests by path: `/checkin` for heartbeats, `/ready` for health checks, `/admin/plans`
/// for drain plans if they are enabled, and all other paths for requests of users and operators.
/// The reply is 404 if no handler accepts the request. Called by the HTTP server on the loop's
/// thread.
class RequestRouter {
  public:
    /// The handlers and what they need. All must outlive the router.
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

    /// Replies to the request, at once or later.
    void handle(const net::Request& request, const net::Responder& responder);

  private:
    void handle_heartbeat(const net::Request& request, const net::Responder& responder);
    void handle_health_check(const net::Responder& responder);
    void handle_drain_request(const net::Request& request, const net::Responder& responder);

    const Dependencies handlers_;
};

}  // namespace nickelramp::controller
