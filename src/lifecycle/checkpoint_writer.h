/// @file
/// Checkpoints of jobs: which tasks are done and where each attempt may be, as the state service
/// has it (`run/<job>/<chunk>`, see jobs/job.h). A start is sent to a machine only after the
/// checkpoint that names it is committed, so whoever leads next knows where to look for it.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_state.h"

namespace nickelramp::lifecycle {

/// Writes the checkpoints of jobs, one conditional transaction in flight per job.
///
/// Guarantees:
/// - A transaction succeeds only while this term lasts, the job's open record is as known (so
///   nothing starts after a cancellation) and no other write has touched the chunks it replaces.
/// - A chunk whose last write has an unknown outcome is read before it is written again.
/// - After a failure the chunks stay dirty, their attempts go back to "not committed", and the next
///   write is due after a fixed delay (Job::retry_commit_at). If the term is superseded, it ends.
///
/// Called by JobLifecycle, when a job is due, and by the control loop's scheduling pass. Runs on
/// the one loop thread, reads no clock (`now` is steady time in milliseconds), and lives as long as
/// its term; replies that arrive after the term's end are dropped by TermContext::guarded.
class CheckpointWriter {
  public:
    CheckpointWriter(cluster::TermContext& term, cluster::ClusterState& cluster,
                     cluster::ControlActions& actions)
        : term_(term), cluster_(cluster), actions_(actions) {}

    /// When the job's next checkpoint is to be written, in milliseconds of the steady clock; kNever
    /// if there is nothing to write, a commit is in flight, or a shard holder writes it.
    [[nodiscard]] Millis next_write_at(const jobs::Job& job) const;

    /// Sends one transaction with as many dirty chunks as fit, or reads a chunk of uncertain
    /// version instead. The caller has checked that next_write_at() is reached.
    void write(jobs::Job& job, Millis now);

  private:
    /// A checkpoint transaction in flight.
    struct Commit {
        std::string job_id;
        std::uint64_t number = 0;  ///< Attempt::commit_number of the attempts it makes recorded
        std::vector<std::uint32_t> chunks;
    };

    /// Takes the chunk's state into a record; its attempts belong to the commit from here on.
    jobs::RunRecord record_chunk(jobs::Job& job, std::uint32_t chunk_number,
                                 std::uint64_t commit_number, Millis now);
    void add_live_attempts(jobs::Job& job, std::uint32_t chunk_number, std::uint64_t commit_number,
                           Millis now, jobs::RunRecord& record);
    /// Sets those chunks uncertain whose condition failed or whose write may have been applied.
    void mark_uncertain_chunks(jobs::Job& job, const Commit& commit,
                               const kvstore::CommitReply& reply);
    void on_written(const Commit& commit, const kvstore::CommitReply& reply, Millis now);
    void on_commit_applied(jobs::Job& job, const Commit& commit, std::uint64_t revision,
                           Millis now);
    void on_commit_failed(jobs::Job& job, const Commit& commit, const kvstore::CommitReply& reply,
                          Millis now);
    void reread_chunk(jobs::Job& job, std::uint32_t chunk_number);
    void on_chunk_reread(const std::string& job_id, std::uint32_t chunk_number,
                         const kvstore::GetReply& reply, Millis now);

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    cluster::ControlActions& actions_;
};

}  // namespace nickelramp::lifecycle
