/// @file
/// The life of a job from its open record to its final status: what the state service's records say
/// of it goes into the cluster state, and the transaction that ends it comes out.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "cluster/cluster_state.h"
#include "lifecycle/checkpoint_writer.h"
#include "lifecycle/leftover_records.h"

namespace nickelramp::lifecycle {

/// Adds, loads, cancels and finishes jobs, and wakes each job when it has something to do.
///
/// Guarantees:
/// - A job's final status is written once, in the transaction that deletes its open record; users
///   see "cancelled" only when nothing of the job is left on any machine.
/// - A failed final transaction is retried after 300 ms; if a condition failed, the open record is
///   read first.
/// - While the leader's lease is not confirmed nothing is written; due jobs are looked at again
///   300 ms later.
/// - A job delegated to a shard holder is finished by the holder, never here.
///
/// Called by ControlLoop (records, ticks, user cancellations) and by ShardAllocator, which loads
/// the checkpoints of jobs that it takes back. Runs on the one loop thread; times are milliseconds
/// of the steady clock unless named `wall_ms`. Lives as long as its term.
class JobLifecycle {
  public:
    JobLifecycle(cluster::TermContext& term, cluster::ClusterState& cluster,
                 CheckpointWriter& checkpoint_writer)
        : term_(term),
          cluster_(cluster),
          checkpoint_writer_(checkpoint_writer),
          leftover_records_(term) {}

    // --- open records

    /// An open record was written or read: adds the job, or takes over the record's version and
    /// cancellation. Older versions than the known one are ignored.
    /// @param wall_ms wall-clock time of `now`, to convert the record's time of acceptance.
    void on_open_record(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                        Millis now);
    /// The open record is gone, as the watch or a list shows: the job is over, even if this cluster
    /// state still has it waiting. A job's open record is never written again after that, so a
    /// dropped job cannot come back. Ignores jobs that a shard holder has.
    void on_open_record_deleted(const std::string& id, Millis now);

    // --- loading checkpoints

    /// Loads one checkpoint record. Records of unknown jobs are ignored; the garbage collector
    /// deletes them.
    /// @param token highest fencing token under which an earlier owner may have started attempts.
    void load_checkpoint(const std::string& id, std::uint32_t chunk, const jobs::RunRecord& record,
                         std::uint64_t version, std::uint64_t token, Millis now);
    /// Loads all checkpoint records of a list reply; entries that cannot be decoded are skipped.
    void load_checkpoints(const kvstore::ListReply& runs, std::uint64_t token, Millis now);
    /// All of the job's checkpoint records are loaded: it takes part in scheduling from here on.
    void complete_load(jobs::Job& job, Millis now);

    // --- progress

    /// Cancels the job and stops its attempts; does nothing if it is cancelled or finished already.
    void cancel(jobs::Job& job, Millis now);
    /// Finishes the job if it is complete, and schedules its next wake-up. To be called after any
    /// change to the job that may complete it.
    void advance_job(jobs::Job& job, Millis now);
    /// Schedules the time at which the job's next checkpoint, retry or final transaction is due.
    void schedule_next_wake_up(jobs::Job& job, Millis now);
    /// Does what is due for all jobs whose wake-up time has come.
    void run_due_jobs(Millis now);
    /// Deletes checkpoint records of finished jobs that their final transactions had no room for.
    void delete_leftover_records(Millis now) { leftover_records_.delete_some(now); }

  private:
    /// The transaction that ends a job.
    struct FinalTransaction {
        kvstore::Transaction transaction;
        std::vector<std::string> leftover_keys;  ///< checkpoint records that it has no room for
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
