/// @file
/// Runs the shard that the leader has leased to this controller.
#pragma once
#include <cstdint>
#include <string>

#include "control/shard_holder.h"
#include "controller/live_service_gateway.h"
#include "controller/loop_clock.h"
#include "lease/lease_guard.h"
#include "net/timer.h"
#include "wire/settings.h"

namespace nickelramp::controller {

/// Owns the ShardHolder, its gateway, the lease guards that limit until when it may act, and the
/// timer that destroys ended control loops when none of their functions is on the stack. Runs on
/// the loop's thread; used by Controller and PeerCoordinator.
class ShardHolderRunner {
  public:
    /// All references must outlive the runner. `incarnation` identifies this process; never 0.
    ShardHolderRunner(const wire::Settings& settings, const LoopClock& clock,
                      LiveServiceGateway::Services services, std::uint64_t incarnation);

    /// Starts or renews the lease of a shard.
    void on_grant(const peers::ShardGrant& grant, const std::vector<wire::MachineType>& types);
    /// Does the periodic work. Called once per tick of the controller.
    void tick();
    /// Releases the shard, if one is held. `reason` is logged.
    void end(const std::string& reason);

    [[nodiscard]] control::ShardHolder& holder() { return holder_; }
    [[nodiscard]] const control::ShardHolder& holder() const { return holder_; }

  private:
    const LoopClock& clock_;
    lease::LeaseGuard<lease::Scheduling> scheduling_guard_;
    lease::LeaseGuard<lease::Responding> responding_guard_;
    LiveServiceGateway gateway_;
    control::ShardHolder holder_;
    net::Timer dispose_timer_;
};

}  // namespace nickelramp::controller
