// Grants of machines: the records of the blocks, written before their machines are used.
#pragma once
#include <vector>

#include "cluster/cluster_state.h"
#include "shards/shard_lease_table.h"

namespace nickelramp::sharding {

class ShardLeaseWriter {
  public:
    class Listener {
      public:
        virtual ~Listener() = default;
        // The machine's grant, or the block, is on record.
        virtual void on_machine_granted(machines::Machine& machine, Millis now) = 0;
        virtual void on_shard_recorded(std::uint32_t block, Millis now) = 0;
    };

    ShardLeaseWriter(cluster::TermContext& term, cluster::ClusterState& cluster,
                     cluster::ControlActions& actions, Listener& observer);

    shards::ShardLeaseTable& table() { return table_; }
    const shards::ShardLeaseTable& table() const { return table_; }
    void write(Millis now);
    bool write_in_flight() const { return write_in_flight_; }

  private:
    void reread(std::uint32_t block);
    void on_written(const std::vector<std::uint32_t>& numbers,
                    const std::vector<std::string>& members, const kvstore::CommitReply& reply,
                    Millis now);

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    cluster::ControlActions& actions_;
    Listener& listener_;
    shards::ShardLeaseTable table_;
    bool write_in_flight_ = false;
    Millis retry_at_ = 0, next_write_at_ = 0;
};

}  // namespace nickelramp::sharding
