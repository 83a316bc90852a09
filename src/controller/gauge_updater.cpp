#include "controller/gauge_updater.h"

#include <iterator>

namespace nickelramp::controller {

namespace {

void update_heartbeat_gauges(admin::Metrics& metrics, const HeartbeatHandler& heartbeats) {
    const auto set = [&metrics](const char* label, std::uint64_t count) {
        metrics.set_gauge("reports", label, static_cast<double>(count));
    };
    const relay::HeartbeatForwarder::Counters& counters = heartbeats.forwarder().counters();
    set("forwarded", counters.forwarded);
    set("answered", counters.replied);
    set("expired", counters.expired);
    set("unmatched", counters.unmatched);
    set("shed", counters.shed);
    set("moved", heartbeats.balancer().redirected_count());
    set("admitted", heartbeats.admission().admitted());
    for (std::size_t i = 0; i < relay::kRejectionCount; ++i) {
        const auto rejection = static_cast<relay::Rejection>(i);
        set(relay::name(rejection), heartbeats.admission().rejected(rejection));
    }
}

void update_cluster_gauges(admin::Metrics& metrics, const control::ControlLoop& leader) {
    const auto summary = leader.summary();
    metrics.set_gauge("jobs", "open", static_cast<double>(summary.open_jobs));
    metrics.set_gauge("tasks", "waiting", static_cast<double>(summary.waiting_tasks));
    metrics.set_gauge("attempts", "live", static_cast<double>(summary.live_attempts));
    for (std::size_t i = 0; i < std::size(summary.machines); ++i) {
        metrics.set_gauge("machines", machines::name(static_cast<machines::MachineState>(i)),
                          static_cast<double>(summary.machines[i]));
    }
}

}  // namespace

void update_gauges(admin::Metrics& metrics, const HeartbeatHandler& heartbeats,
                   const control::ControlLoop* leader) {
    update_heartbeat_gauges(metrics, heartbeats);
    if (leader != nullptr) update_cluster_gauges(metrics, *leader);
}

}  // namespace nickelramp::controller
