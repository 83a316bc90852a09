// Checkpoints of jobs: what the state service must know before a start goes out. One conditional
// transaction a pipeline; what a failed one leaves open is read before it is written again.
#pragma once
#include <string>
#include <vector>

#include "cluster/cluster_state.h"

namespace nickelramp::lifecycle {

class CheckpointWriter {
  public:
    CheckpointWriter(cluster::TermContext& term, cluster::ClusterState& cluster,
                     cluster::ControlActions& actions)
        : term_(term), cluster_(cluster), actions_(actions) {}

    // When the job's next checkpoint is to be written; kNever if there is nothing to write.
    Millis next_write_at(const jobs::Job& job) const;
    void write(jobs::Job& job, Millis now);

  private:
    void on_written(const std::string& id, std::uint64_t serial,
                    const std::vector<std::uint32_t>& chunks, const kvstore::CommitReply& reply,
                    Millis now);
    void reread_chunk(jobs::Job& job, std::uint32_t chunk);

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    cluster::ControlActions& actions_;
};

}  // namespace nickelramp::lifecycle
