// Shard holders and the messages between them and the leader.
#include <algorithm>

#include "tests/cluster_simulation_controller.h"

namespace nickelramp::test {

namespace {
constexpr Millis kTickInterval = 100, kStatusInterval = 1'000;
constexpr Millis kMessageDelay = 20, kLateGrantDelay = 6'000;
// The delay of the leader's messages after those of the holders, and the age of the leader's view
// of the store when it sends them.
constexpr Millis kLeaderSendDelay = 50, kLeaderViewAge = 200;
}  // namespace

// Starts a shard holder's process, possibly in place of an earlier one. It has a new incarnation
// and no state.
void ClusterSimulation::start_holder(std::size_t index) {
    Controller& holder = *controllers_[index];
    const std::uint64_t incarnation = ++holder_incarnations_;
    cluster::ServiceGateway& gateway = holder;
    holder.shard_holder = std::make_unique<control::ShardHolder>(holder_settings_[index],
                                                                 "lead/term", gateway, incarnation);
    holder.partition_responder =
        std::make_unique<partition::PartitionResponder>(holder_settings_[index]);
    context_.after(kTickInterval, [this, index, incarnation] { tick_holder(index, incarnation); });
}

void ClusterSimulation::restart_holders() {
    for (std::size_t i = 0; i < 2; ++i) start_holder(i);
}

void ClusterSimulation::tick_holder(std::size_t index, std::uint64_t incarnation) {
    control::ShardHolder& holder = *controllers_[index]->shard_holder;
    if (holder.incarnation() != incarnation) return;
    holder.tick(now());
    holder.dispose_ended();
    context_.after(kTickInterval, [this, index, incarnation] { tick_holder(index, incarnation); });
}

std::size_t ClusterSimulation::holder_index(const std::string& name) const {
    return name == holder_settings_[0].name ? 0 : 1;
}

void ClusterSimulation::exchange_peer_messages() {
    context_.after(kStatusInterval, [this] { exchange_peer_messages(); });
    for (std::size_t i = 0; i < 2; ++i) {
        if (context_.chance(context_.faults.holder_failures_per_s)) start_holder(i);
        if (context_.chance(context_.faults.lost_peer_messages) || network_.holder_partitioned(i))
            continue;
        send_holder_status(i);
    }
    context_.after(kLeaderSendDelay, [this] {
        if (leader() == nullptr) return;
        send_heartbeat_delegations();
        send_shard_grants();
    });
}

void ClusterSimulation::send_holder_status(std::size_t index) {
    Controller& holder = *controllers_[index];
    peers::Status status;
    status.from = holder_settings_[index].name;
    status.incarnation = holder.shard_holder->incarnation();
    status.clock_ms = static_cast<std::uint64_t>(now());
    holder.partition_responder->fill_status(status, now());
    const auto shard_status = holder.shard_holder->status();
    holder.trace("peer-message", traced(peers::encode(status)));
    if (shard_status) holder.trace("peer-message", traced(peers::encode(*shard_status)));
    auto deliver = [this, status, shard_status] {
        if (leader() == nullptr) return;
        leader()->on_peer_status(status, now());
        if (shard_status) leader()->on_shard_status(*shard_status, now());
    };
    context_.after(context_.delay(kMessageDelay), deliver);
    repeater_.on_answered("peer messages", deliver);
}

bool ClusterSimulation::loses_message_to_holder(std::size_t index) {
    return context_.chance(context_.faults.lost_peer_messages) ||
           network_.holder_partitioned(index) || context_.faults.holder_one_way_partition;
}

void ClusterSimulation::send_heartbeat_delegations() {
    for (const auto& [name, delegation] :
         leader()->heartbeat_delegations(now() - kLeaderViewAge, now())) {
        leading_controller()->trace("peer-message", name, traced(peers::encode(delegation)));
        const std::size_t index = holder_index(name);
        if (loses_message_to_holder(index)) continue;
        auto deliver = [this, index, delegation = delegation] {
            Controller& holder = *controllers_[index];
            holder.last_leader_status_at = now();
            holder.partition_responder->on_delegation(delegation,
                                                      holder.shard_holder->incarnation(), now());
        };
        context_.after(context_.delay(kMessageDelay), deliver);
        repeater_.on_answered("peer messages", deliver);
    }
}

void ClusterSimulation::send_shard_grants() {
    const Faults& faults = context_.faults;
    for (const auto& [name, grant] : leader()->shard_renewals(now() - kLeaderViewAge, now())) {
        leading_controller()->trace("peer-message", name, traced(peers::encode(grant)));
        const std::size_t index = holder_index(name);
        if (loses_message_to_holder(index)) continue;
        if (faults.lost_shard_grants > 0 && context_.chance(faults.lost_shard_grants)) continue;
        const bool late = context_.chance(faults.lost_peer_messages);
        const Millis wait = context_.delay(late ? kLateGrantDelay : kMessageDelay);
        auto deliver = [this, index, grant = grant] {
            control::ShardHolder& holder = *controllers_[index]->shard_holder;
            holder.on_grant(grant, types_, now(), now());
            if (holder.state() != control::ShardHolderState::empty) ++accepted_shard_grants_;
        };
        context_.after(wait, deliver);
        repeater_.on_answered("peer messages", deliver);
    }
}

void ClusterSimulation::Controller::on_deposed(const std::string& why) {
    trace("deposed");
    if (shard_holder)
        shard_holder->end(why);
    else
        leads = false;
}

}  // namespace nickelramp::test
