// Tests how ReachabilityMonitor determines a machine's reachability from its replies and heartbeats
// and from whether the controllers have sockets left for heartbeats.
#include "control/reachability_monitor.h"

#include <gtest/gtest.h>

#include "tests/cluster_simulation.h"

namespace {

using namespace nickelramp;
using control::ReachabilityMonitor;
using machines::Machine;
using machines::Reachability;
using test::make_heartbeat_without_tasks;

struct ReachabilityMonitorTest : testing::Test {
    ReachabilityMonitorTest() {
        settings.heartbeat_interval_s = 4;
        settings.lease_s = 20;
        machine.channel.take_control(10, 1'000);
    }
    // Lets the machine answer a command every second from `from` to `to`, without any heartbeat.
    void answer_commands(Millis from, Millis to) {
        for (Millis now = from; now <= to; now += 1'000)
            machine.channel.on_command_reply(make_heartbeat_without_tasks(1, ++sequence, 10),
                                             machine.channel.newest_position(), now, now);
    }

    wire::Settings settings;
    ReachabilityMonitor monitor{settings};
    Machine machine;
    std::uint64_t sequence = 0;
};

TEST_F(ReachabilityMonitorTest, AllowsForALateHeartbeatAndTransportDelay) {
    EXPECT_EQ(monitor.unresponsive_timeout(), 5'500);
    EXPECT_EQ(monitor.reachability(machine, 6'500), Reachability::reachable);
    EXPECT_EQ(monitor.reachability(machine, 6'501), Reachability::unresponsive);
}

TEST_F(ReachabilityMonitorTest, IsInboundOnlyAfterHalfALeaseWithoutHeartbeats) {
    answer_commands(2'000, 12'000);
    EXPECT_EQ(monitor.reachability(machine, 12'000), Reachability::reachable);
    EXPECT_EQ(monitor.reachability(machine, 12'001), Reachability::inbound_only);
}

TEST_F(ReachabilityMonitorTest, IsNotInboundOnlyWhileControllersHaveNoSockets) {
    answer_commands(2'000, 20'000);
    monitor.set_worker_capacity({100, true});
    EXPECT_TRUE(monitor.sockets_exhausted());
    EXPECT_EQ(monitor.reachability(machine, 20'000), Reachability::reachable);
    monitor.set_worker_capacity({100, false});
    EXPECT_EQ(monitor.reachability(machine, 20'000), Reachability::inbound_only);
}

TEST_F(ReachabilityMonitorTest, AnUnresponsiveMachineIsNotInboundOnly) {
    answer_commands(2'000, 3'000);
    EXPECT_EQ(monitor.reachability(machine, 20'000), Reachability::unresponsive);
}

}  // namespace
