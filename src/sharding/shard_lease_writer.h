/// @file
/// Writes the records of shards (shards/shard_lease_table.h). A machine is used, and a shard
/// granted, only after the corresponding record is committed.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_state.h"
#include "shards/shard_lease_table.h"

namespace nickelramp::sharding {

/// Owns the term's ShardLeaseTable and keeps the records in the state service equal to it.
///
/// Guarantees:
/// - At most one transaction is in flight. It succeeds only while this term lasts and no other
///   write has changed the records it replaces. Records of reclaimed shards also require the fence
///   of the shard reclaim role, and are not written while no controller holds that role.
/// - A record whose last write has an unknown outcome is read before it is written again.
/// - A failed write is retried after 250 ms at the earliest.
///
/// Called by the control loop, which adds and removes machines and calls write() once per tick, and
/// by ShardAllocator. Runs on the loop thread and lives as long as its term. Times are milliseconds
/// of the steady clock.
class ShardLeaseWriter {
  public:
    /// Receives notifications of committed records. Implemented by the control loop.
    class Listener {
      public:
        virtual ~Listener() = default;
        /// Called when the machine's shard record is committed. Commands may be sent to it under
        /// the shard's token.
        virtual void on_machine_granted(machines::Machine& machine, Millis now) = 0;
        /// Called when the shard's record is committed as it was when the write was sent.
        virtual void on_shard_recorded(std::uint32_t shard_number, Millis now) = 0;
    };

    /// Starts the table's term. All arguments must outlive the writer.
    ShardLeaseWriter(cluster::TermContext& term, cluster::ClusterState& cluster,
                     cluster::ControlActions& actions, Listener& listener);

    shards::ShardLeaseTable& table() { return table_; }
    [[nodiscard]] const shards::ShardLeaseTable& table() const { return table_; }

    /// Sends one transaction with as many dirty shards as fit, or reads a record whose last write
    /// has an unknown outcome. Does nothing while a request is in flight, a delay is running or the
    /// leader's lease is not confirmed.
    void write(Millis now);
    [[nodiscard]] bool write_in_flight() const { return write_in_flight_; }

  private:
    /// The content of a transaction in flight.
    struct Commit {
        std::vector<std::uint32_t> shard_numbers;
        std::vector<std::string> machines;  ///< all members of those shards
    };

    /// Returns the shards that may be written now, given the fence of the reclaim role.
    [[nodiscard]] std::vector<std::uint32_t> writable_shards(std::size_t limit,
                                                             std::uint64_t reclaim_fence);
    /// Returns the first of the shards whose last write has an unknown outcome.
    [[nodiscard]] std::optional<std::uint32_t> first_uncertain(
        const std::vector<std::uint32_t>& shard_numbers);
    void send(const std::vector<std::uint32_t>& shard_numbers, std::uint64_t reclaim_fence);
    void reread(std::uint32_t shard_number);
    void on_reread(std::uint32_t shard_number, const kvstore::GetReply& reply, Millis now);
    void on_written(const Commit& commit, const kvstore::CommitReply& reply, Millis now);
    void on_commit_applied(const Commit& commit, std::uint64_t revision, Millis now);
    void on_commit_failed(const Commit& commit, const kvstore::CommitReply& reply, Millis now);

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    cluster::ControlActions& actions_;
    Listener& listener_;
    shards::ShardLeaseTable table_;
    bool write_in_flight_ = false;
    Millis retry_at_ = 0;
    Millis next_write_at_ = 0;
};

}  // namespace nickelramp::sharding
