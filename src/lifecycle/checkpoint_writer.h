/// @file
/// Writes checkpoints of jobs to the state service (`run/<job>/<chunk>`, see jobs/job.h). A
/// checkpoint records which tasks are done and on which machine each attempt may run. The start of
/// an attempt is sent to a machine only after the checkpoint that names the attempt is committed,
/// so that the next leader finds all attempts that may be running.
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
/// - A transaction succeeds only while this term lasts, the job's open record is unchanged (so that
///   nothing starts after a cancellation) and no other write has changed the chunks it replaces.
/// - A chunk whose last write has an unknown outcome is read before it is written again.
/// - After a failed write the chunks are dirty again, their attempts are again not committed, and
///   the next write is due after a fixed delay (Job::retry_commit_at). If the failure shows that
///   the term is superseded, the term ends.
///
/// Called by JobLifecycle when a job is due, and by the control loop's scheduling pass. Runs on the
/// loop thread and reads no clock (`now` is steady time in milliseconds). Lives as long as its
/// term. TermContext::guarded drops replies that arrive after the end of the term.
class CheckpointWriter {
  public:
    CheckpointWriter(cluster::TermContext& term, cluster::ClusterState& cluster,
                     cluster::ControlActions& actions)
        : term_(term), cluster_(cluster), actions_(actions) {}

    /// Returns when the job's next checkpoint is due, in milliseconds of the steady clock. Returns
    /// kNever if there is nothing to write, a commit is in flight, or a shard holder writes the
    /// job's checkpoints.
    [[nodiscard]] Millis next_write_at(const jobs::Job& job) const;

    /// Sends one transaction with as many dirty chunks as fit. If the version of a dirty chunk is
    /// uncertain, reads that chunk instead. The caller checks that next_write_at() is reached.
    void write(jobs::Job& job, Millis now);

  private:
    /// A checkpoint transaction in flight.
    struct Commit {
        std::string job_id;
        std::uint64_t number = 0;  ///< Attempt::commit_number of the attempts it records
        std::vector<std::uint32_t> chunks;
    };

    /// Returns the record of the chunk's current state, and assigns the attempts that are not
    /// recorded yet to the commit.
    jobs::RunRecord record_chunk(jobs::Job& job, std::uint32_t chunk_number,
                                 std::uint64_t commit_number, Millis now);
    void add_live_attempts(jobs::Job& job, std::uint32_t chunk_number, std::uint64_t commit_number,
                           Millis now, jobs::RunRecord& record);
    /// Marks chunks as uncertain if their condition failed or their write may have been applied.
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
