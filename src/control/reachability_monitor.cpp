#include "control/reachability_monitor.h"

namespace nickelramp::control {

using machines::Reachability;

namespace {
// Workers send a heartbeat at most a quarter of an interval late. kTransportSlack is allowed for
// the transport.
constexpr double kLatestHeartbeatIntervals = 1.25;
constexpr Millis kTransportSlack = 500;
}  // namespace

Millis ReachabilityMonitor::unresponsive_timeout() const {
    return seconds(kLatestHeartbeatIntervals * settings_.heartbeat_interval_s) + kTransportSlack;
}

Reachability ReachabilityMonitor::reachability(const machines::Machine& machine, Millis now) const {
    const Reachability by_replies = machine.channel.reachability(unresponsive_timeout(), now);
    const bool replies =
        by_replies == Reachability::reachable || by_replies == Reachability::replies_only;
    if (replies && !sockets_exhausted() &&
        machine.channel.is_inbound_only(seconds(settings_.lease_s), now))
        return Reachability::inbound_only;
    return by_replies;
}

}  // namespace nickelramp::control
