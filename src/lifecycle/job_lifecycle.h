/// @file
/// Manages jobs from their open records to their final status. Applies the records of the state
/// service to the cluster state and writes the transaction that ends a job.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "cluster/cluster_state.h"
#include "lifecycle/checkpoint_writer.h"
#include "lifecycle/leftover_records.h"

namespace nickelramp::lifecycle {

/// Adds, loads, cancels and finishes jobs, and runs the work of each job when it is due.
///
/// Guarantees:
/// - A job's final status is written once, in the transaction that deletes its open record; users
///   see "cancelled" only when nothing of the job is left on any machine.
/// - A failed final transaction is retried after 300 ms; if a condition failed, the open record is
///   read first.
/// - While the leader's lease is not confirmed, nothing is written and due jobs are postponed by
///   300 ms.
/// - A job delegated to a shard holder is finished by the holder, never by this class.
///
/// Called by ControlLoop (records, ticks, user cancellations) and by ShardAllocator, which loads
/// the checkpoints of jobs that it reclaims. Runs on the loop thread. Times are milliseconds of the
/// steady clock unless named `wall_ms`. Lives as long as its term.
class JobLifecycle {
  public:
    JobLifecycle(cluster::TermContext& term, cluster::ClusterState& cluster,
                 CheckpointWriter& checkpoint_writer)
        : term_(term),
          cluster_(cluster),
          checkpoint_writer_(checkpoint_writer),
          leftover_records_(term) {}

    // --- open records

    /// Handles an open record that was written or read. Adds the job if it is unknown, otherwise
    /// adopts the record's version and cancellation. Ignores versions older than the known one.
    /// @param wall_ms wall-clock time of `now`, used to convert the record's time of acceptance.
    void on_open_record(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                        Millis now);
    /// Handles the deletion of an open record, as reported by the watch or found by a list. Removes
    /// the job even if it is still waiting in the cluster state. A deleted open record is never
    /// written again, so a removed job cannot reappear. Ignores jobs delegated to a shard holder.
    void on_open_record_deleted(const std::string& id, Millis now);

    // --- loading checkpoints

    /// Loads one checkpoint record. Records of unknown jobs are ignored; the garbage collector
    /// deletes them.
    /// @param token highest fencing token under which an earlier owner may have started attempts.
    void load_checkpoint(const std::string& id, std::uint32_t chunk, const jobs::RunRecord& record,
                         std::uint64_t version, std::uint64_t token, Millis now);
    /// Loads all checkpoint records of a list reply; entries that cannot be decoded are skipped.
    void load_checkpoints(const kvstore::ListReply& runs, std::uint64_t token, Millis now);
    /// To be called when all of the job's checkpoint records are loaded. The job takes part in
    /// scheduling from then on.
    void complete_load(jobs::Job& job, Millis now);

    // --- cancellation and scheduled work of open jobs

    /// Cancels the job and stops its attempts. Does nothing if it is already cancelled or finished.
    void cancel(jobs::Job& job, Millis now);
    /// Finishes the job if it is complete, and schedules its next wake-up. To be called after any
    /// change to the job that may complete it.
    void advance_job(jobs::Job& job, Millis now);
    /// Schedules a wake-up for when the job's next checkpoint, retry or final transaction is due.
    void schedule_next_wake_up(jobs::Job& job, Millis now);
    /// Runs the due work of all jobs whose wake-up time is reached.
    void run_due_jobs(Millis now);
    /// Deletes checkpoint records of finished jobs that did not fit into their final transactions.
    void delete_leftover_records(Millis now) { leftover_records_.delete_batch(now); }

  private:
    /// The transaction that ends a job.
    struct FinalTransaction {
        kvstore::Transaction transaction;
        std::vector<std::string> leftover_keys;  ///< checkpoint records that do not fit into it
    };

    void run_due_job(jobs::Job& job, Millis now);
    void finish_if_complete(jobs::Job& job, Millis now);
    void finish(jobs::Job& job, Millis now);
    [[nodiscard]] FinalTransaction final_transaction(const jobs::Job& job) const;
    void on_finish_written(const std::string& id, const std::vector<std::string>& leftover_keys,
                           const kvstore::CommitReply& reply, Millis now);
    void on_open_record_reread(const std::string& id, const kvstore::GetReply& reply, Millis now);
    void remove_finished_job(jobs::Job& job);

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    CheckpointWriter& checkpoint_writer_;
    LeftoverRecords leftover_records_;
};

}  // namespace nickelramp::lifecycle
