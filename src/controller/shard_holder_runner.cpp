#include "controller/shard_holder_runner.h"

#include "election/election.h"

namespace nickelramp::controller {

ShardHolderRunner::ShardHolderRunner(const wire::Settings& settings, const LoopClock& clock,
                                     LiveServiceGateway::Services services,
                                     std::uint64_t incarnation)
    : clock_(clock),
      scheduling_guard_(LoopClock::steady_now,
                        [this] {
                            return lease::Lease{holder_.token(), holder_.lease_until()};
                        }),
      responding_guard_(LoopClock::steady_now,
                        [this] {
                            return lease::Lease{holder_.token(), holder_.may_respond_until()};
                        }),
      gateway_(services, scheduling_guard_, responding_guard_,
               [this](const std::string& reason) { end(reason); }),
      holder_(settings, election::kTermKey, gateway_, incarnation),
      dispose_timer_(clock.loop(), [this] { holder_.dispose_ended(); }) {}

void ShardHolderRunner::on_grant(const peers::ShardGrant& grant,
                                 const std::vector<wire::MachineType>& types) {
    holder_.on_grant(grant, types, LoopClock::wall_ms(), clock_.now());
    tick();
}

void ShardHolderRunner::tick() {
    holder_.tick(clock_.now());
    if (holder_.has_ended()) dispose_timer_.after(0);
}

void ShardHolderRunner::end(const std::string& reason) {
    holder_.end(reason);
    dispose_timer_.after(0);
}

}  // namespace nickelramp::controller
