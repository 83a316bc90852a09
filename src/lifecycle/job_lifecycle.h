// Jobs enter, are cancelled, finish and leave: what a job's own date brings, and the transaction
// that tells its user of its end.
#pragma once
#include <string>
#include <vector>

#include "cluster/cluster_state.h"
#include "lifecycle/checkpoint_writer.h"

namespace nickelramp::lifecycle {

class JobLifecycle {
  public:
    JobLifecycle(cluster::TermContext& term, cluster::ClusterState& cluster,
                 lifecycle::CheckpointWriter& checkpoint_writer)
        : term_(term), cluster_(cluster), checkpoint_writer_(checkpoint_writer) {}

    void on_open_record(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                        Millis now);
    // The job is over, as the watch tells: also where this book took its records for those of one
    // that waits. An open record is written anew for no id, so what is dropped never comes back.
    void on_open_record_deleted(const std::string& id, Millis now);
    // A job's run record, found in the state service.
    void load_checkpoint(const std::string& id, std::uint32_t chunk, const jobs::RunRecord& record,
                         std::uint64_t version, std::uint64_t token, Millis now);
    void load_checkpoints(const kvstore::ListReply& runs, std::uint64_t token, Millis now);
    void complete_load(jobs::Job& job, Millis now);
    void cancel(jobs::Job& job, Millis now);
    // Is it over, and what does it do next by itself?
    void advance_job(jobs::Job& job, Millis now);
    // Sets the date by which the job has something to do by itself.
    void schedule_next_wake_up(jobs::Job& job, Millis now);
    void run_due_jobs(Millis now);
    void delete_leftover_records(Millis now);

  private:
    void run_due_job(jobs::Job& job, Millis now);
    void finish_if_complete(jobs::Job& job, Millis now);
    void finish(jobs::Job& job, Millis now);
    void on_finish_written(const std::string& id, const std::vector<std::string>& rest,
                           const kvstore::CommitReply& reply, Millis now);

    cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    lifecycle::CheckpointWriter& checkpoint_writer_;
    std::vector<std::string> leftover_keys_;  // run records of finished jobs to delete
    Millis retry_leftovers_at_ = 0;
};

}  // namespace nickelramp::lifecycle
