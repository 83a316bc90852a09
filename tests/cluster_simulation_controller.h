/// @file
/// A controller of ClusterSimulation. Only the source files of ClusterSimulation include this
/// header.
#pragma once
#include "tests/cluster_simulation.h"

namespace nickelramp::test {

/// A controller: the leader of a term or a shard holder. Its calls to the key-value store, the
/// cloud and workers are simulated.
struct ClusterSimulation::Controller : cluster::ServiceGateway {
    Controller(ClusterSimulation& owner, std::size_t number) : simulation(owner), index(number) {}

    ClusterSimulation& simulation;
    std::size_t index;  ///< in controllers_
    std::unique_ptr<control::ControlLoop> control_loop;
    /// Null except in the two shard holders, which never lead.
    std::unique_ptr<control::ShardHolder> shard_holder;
    std::unique_ptr<partition::PartitionResponder> partition_responder;
    Millis last_leader_status_at = 0;
    std::uint64_t term = 0;
    bool leads = false;
    bool instances_listed = false;  ///< whether it has read the cloud's list
    Millis responds_until = 0;      ///< end of its responses after it was deposed; without leases
    /// With leases: the time until which it certainly leads by its own clock, the time of its
    /// latest view of the store, the time when its lease expires in the store, and the times until
    /// which the store refuses it and until which it is frozen.
    Millis leads_until = kNever, state_seen_at = 0, lease_end = 0, rejected_until = 0,
           frozen_until = 0;

    void commit(kvstore::Transaction,
                std::function<void(Millis, const kvstore::CommitReply&)>) override;
    void read(const std::string&, std::function<void(Millis, const kvstore::GetReply&)>) override;
    void list(const std::string&, std::function<void(Millis, const kvstore::ListReply&)>) override;
    void send_commands(const std::string&, const std::string&, std::uint64_t, std::uint64_t,
                       const std::vector<wire::Command>&,
                       std::function<void(Millis, const cluster::CommandReply&)>) override;
    void provision_machines(const std::string&, const std::string&, const std::string&, bool,
                            std::uint32_t,
                            std::function<void(Millis, const cloud::ProvisionReply&)>) override;
    void release_machines(const std::vector<std::string>&,
                          std::function<void(Millis, bool)>) override;
    void on_role_fence_rejected(lease::Role role) override {
        trace("refuted", static_cast<int>(role));
    }
    void on_deposed(const std::string& why) override;
    template <typename... Fields>
    void trace(const char* kind, const Fields&... fields) {
        simulation.context_.trace.add(simulation.now(), kind, index, fields...);
    }
};

}  // namespace nickelramp::test
