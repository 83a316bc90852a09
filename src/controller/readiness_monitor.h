/// @file
/// Collects the inputs that determine the readiness of this controller.
#pragma once
#include <map>
#include <string>

#include "api/job_request_handler.h"
#include "controller/loop_clock.h"
#include "kvstore/client.h"
#include "peers/messages.h"
#include "readiness/readiness.h"
#include "wire/settings.h"

namespace nickelramp::controller {

/// Keeps the last status of every peer and determines the readiness from it, the machine types, the
/// health of the key-value store and the pending requests. Runs on the loop's thread; updated by
/// the controller's tick and by each health check.
class ReadinessMonitor {
  public:
    ReadinessMonitor(const wire::Settings& settings, const LoopClock& clock,
                     const kvstore::Client& store_client, const api::JobRequestHandler& requests);

    void on_peer_status(const peers::Status& status);
    void update();

    [[nodiscard]] const readiness::Readiness& readiness() const { return readiness_; }

  private:
    const LoopClock& clock_;
    const kvstore::Client& store_client_;
    const api::JobRequestHandler& job_requests_;
    readiness::Readiness readiness_;
    std::map<std::string, readiness::PeerHealth> peer_health_;  // by peer name
};

}  // namespace nickelramp::controller
