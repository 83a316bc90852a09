#include "controller/request_router.h"

#include "drain/request_handler.h"
#include "wire/cbor.h"

namespace nickelramp::controller {

namespace {
constexpr const char* kCbor = "application/cbor";
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;
}  // namespace

void RequestRouter::handle(const net::Request& request, const net::Responder& responder) {
    if (request.path == "/checkin") {
        handle_heartbeat(request, responder);
    } else if (request.path == "/ready") {
        handle_health_check(responder);
    } else if (handlers_.serves_drain_plans && drain::handles_request(request)) {
        handle_drain_request(request, responder);
    } else if (!handlers_.job_requests.handle(request, responder) &&
               !handlers_.admin_requests.handle(request, responder)) {
        responder.send({kNotFound, wire::encode({{"error", "no such path"}}), 0, kCbor});
    }
}

void RequestRouter::handle_heartbeat(const net::Request& request, const net::Responder& responder) {
    if (request.method != "POST") {
        responder.send({kMethodNotAllowed, "", 0, kCbor});
        return;
    }
    handlers_.heartbeat_handler.on_heartbeat_request(request, responder);
}

void RequestRouter::handle_health_check(const net::Responder& responder) {
    // The request may have waited while the process was suspended, in which case the cached time is
    // outdated.
    uv_update_time(handlers_.clock.loop());
    handlers_.readiness.update();
    handlers_.store_client.ping();
    const bool ready = handlers_.readiness.readiness().ready();
    responder.send({ready ? kOk : kUnavailable, wire::encode({{"ready", ready}}), 0, kCbor});
}

void RequestRouter::handle_drain_request(const net::Request& request,
                                         const net::Responder& responder) {
    control::ControlLoop* leader = handlers_.term.running_control_loop();
    responder.send(
        drain::answer_request(request, leader != nullptr ? &leader->drain_planner() : nullptr));
}

}  // namespace nickelramp::controller
