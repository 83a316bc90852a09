#include "lifecycle/job_lifecycle.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::lifecycle {

using jobs::Job;
using jobs::JobState;

namespace {
constexpr Millis kRetryDelay = 300;

// Returns whether no task of the job runs or will start, so that its final status may be written.
bool is_over(const Job& job) {
    return job.state == JobState::finishing ||
           (job.state == JobState::cancelled && job.live_attempts == 0);
}
}  // namespace

// --- open records

void JobLifecycle::on_open_record(const jobs::OpenRecord& record, std::uint64_t version,
                                  std::int64_t wall_ms, Millis now) {
    const bool cancelled = record.cancelled || record.cancel_requested;
    Job* job = cluster_.job(record.spec.id);
    if (job == nullptr) {
        job = &cluster_.add_job(record, version, wall_ms, now);
        cluster_.enqueue_job(*job);
        spdlog::debug(
            "job added job={} team={} tasks={} class={} image={} image_gb={} guaranteed={}",
            job->spec.id, job->spec.team, job->spec.tasks, job->spec.job_class, job->spec.image,
            job->spec.image_gb, job->within_guaranteed_quota);
        if (cancelled) finish_if_complete(*job, now);
        return;
    }
    if (version <= job->version) return;
    job->version = version;
    // All tasks have completed, so the job ends as done, unless its user was already told that it
    // is cancelled.
    if (record.cancel_requested && !record.cancelled && job->state == JobState::finishing) return;
    if (cancelled) cancel(*job, now);
}

void JobLifecycle::on_open_record_deleted(const std::string& id, Millis now) {
    Job* job = cluster_.job(id);
    if (job == nullptr || job->delegated_shard != kNone || job->state == JobState::finished) return;
    const bool was_open = job->state == JobState::open;
    cluster_.set_job_state(*job, JobState::finished);
    // No attempt is started without an open record. Attempts that were only placed are dropped.
    if (was_open) cluster_.stop_all_attempts(*job, now);
    cluster_.remove_job(id);
    cluster_.request_scheduling();
}

// --- loading checkpoints

void JobLifecycle::load_checkpoint(const std::string& id, std::uint32_t chunk,
                                   const jobs::RunRecord& record, std::uint64_t version,
                                   std::uint64_t token, Millis now) {
    if (Job* job = cluster_.job(id))
        cluster_.load_checkpoint(*job, chunk, record, version, token, now);
}

void JobLifecycle::load_checkpoints(const kvstore::ListReply& runs, std::uint64_t token,
                                    Millis now) {
    for (const kvstore::Entry& entry : runs.entries) {
        const auto run_key = jobs::parse_run_key(entry.key);
        const auto record = jobs::decode_run_record(entry.value);
        if (record && run_key)
            load_checkpoint(run_key->job_id, run_key->chunk, *record, entry.version, token, now);
    }
}

void JobLifecycle::complete_load(Job& job, Millis now) {
    cluster_.finish_loading(job);
    if (job.state == JobState::cancelled) cluster_.stop_all_attempts(job, now);
    cluster_.enqueue_job(job);
    advance_job(job, now);
}

// --- cancellation and scheduled work of open jobs

void JobLifecycle::cancel(Job& job, Millis now) {
    if (job.state == JobState::cancelled || job.state == JobState::finished) return;
    cluster_.cancel_job(job, now);
    advance_job(job, now);
    cluster_.request_scheduling();
}

void JobLifecycle::advance_job(Job& job, Millis now) {
    finish_if_complete(job, now);
    schedule_next_wake_up(job, now);
}

void JobLifecycle::schedule_next_wake_up(Job& job, Millis now) {
    Millis due = checkpoint_writer_.next_write_at(job);
    if (job.backoff_until != 0) due = std::min(due, job.backoff_until);
    if (is_over(job) && !job.commit_in_flight && job.delegated_shard == kNone)
        due = std::min(due, job.retry_commit_at);
    // Later than `now` in any case, so that processing the due jobs terminates.
    if (due < kNever) cluster_.schedule_check(job, std::max(due, now + 1));
}

void JobLifecycle::run_due_jobs(Millis now) {
    for (const Index index : cluster_.take_due_jobs(now)) {
        if (Job* job = cluster_.job_by_index(index)) run_due_job(*job, now);
    }
}

void JobLifecycle::run_due_job(Job& job, Millis now) {
    if (!term_.lease_confirmed(now)) {
        cluster_.schedule_check(job, now + kRetryDelay);
        return;
    }
    if (job.backoff_until != 0 && now >= job.backoff_until) {
        job.backoff_until = 0;
        cluster_.request_scheduling();
    }
    if (now >= checkpoint_writer_.next_write_at(job))
        checkpoint_writer_.write(job, now);
    else
        finish_if_complete(job, now);
    schedule_next_wake_up(job, now);
}

// --- final transactions of complete jobs

void JobLifecycle::finish_if_complete(Job& job, Millis now) {
    if (job.state == JobState::open && !job.is_service() && job.completed_tasks == job.spec.tasks)
        cluster_.set_job_state(job, JobState::finishing);
    if (job.delegated_shard != kNone) return;  // the shard holder finishes it
    if (is_over(job) && !job.commit_in_flight && now >= job.retry_commit_at) finish(job, now);
}

void JobLifecycle::finish(Job& job, Millis now) {
    if (!term_.lease_confirmed(now)) {
        job.retry_commit_at = now + kRetryDelay;
        schedule_next_wake_up(job, now);
        return;
    }
    FinalTransaction last = final_transaction(job);
    job.commit_in_flight = true;
    term_.gateway().commit(
        std::move(last.transaction),
        term_.guarded([this, id = job.spec.id, leftover_keys = std::move(last.leftover_keys)](
                          Millis replied_at, const kvstore::CommitReply& reply) {
            on_finish_written(id, leftover_keys, reply, replied_at);
        }));
}

JobLifecycle::FinalTransaction JobLifecycle::final_transaction(const Job& job) const {
    FinalTransaction last;
    kvstore::Transaction& transaction = last.transaction;
    transaction.conditions = term_.conditions();
    transaction.conditions.push_back({jobs::open_key(job.spec.id), job.version});
    // A cancellation is confirmed only here, when no attempt of the job is left. Until then, a
    // controller that has not received the cancellation may still reply to the job's machines.
    const auto status =
        job.state == JobState::finishing ? wire::JobStatus::done : wire::JobStatus::cancelled;
    transaction.writes.push_back(
        {jobs::job_key(job.spec.id),
         wire::Json{{"final", wire::status_name(status)}, {"tasks", job.spec.tasks}}});
    transaction.writes.push_back({jobs::open_key(job.spec.id), std::nullopt});
    for (const auto& [number, chunk] : job.chunks) {
        if (chunk.version == 0 && !chunk.uncertain) continue;  // no record exists
        std::string key = jobs::run_key(job.spec.id, number);
        if (transaction.writes.size() < term_.settings().state_txn_ops)
            transaction.writes.push_back({std::move(key), std::nullopt});
        else
            last.leftover_keys.push_back(std::move(key));
    }
    return last;
}

void JobLifecycle::on_finish_written(const std::string& id,
                                     const std::vector<std::string>& leftover_keys,
                                     const kvstore::CommitReply& reply, Millis now) {
    const bool applied = reply.status == kvstore::Status::ok;
    if (applied) leftover_records_.add(leftover_keys);
    Job* job = cluster_.job(id);
    if (job == nullptr) return;
    job->commit_in_flight = false;
    if (applied) {
        remove_finished_job(*job);
        cluster_.request_scheduling();
        return;
    }
    job->retry_commit_at = now + kRetryDelay;
    schedule_next_wake_up(*job, now);
    if (reply.status != kvstore::Status::conflict || term_.check_superseded(reply)) return;
    // The job was cancelled in the meantime, an earlier transaction was applied after all, or
    // another leader has finished the job. The open record shows which.
    term_.gateway().read(
        jobs::open_key(id),
        term_.guarded([this, id](Millis replied_at, const kvstore::GetReply& open_record) {
            on_open_record_reread(id, open_record, replied_at);
        }));
}

void JobLifecycle::on_open_record_reread(const std::string& id, const kvstore::GetReply& reply,
                                         Millis now) {
    Job* job = cluster_.job(id);
    if (job == nullptr) return;
    if (reply.status == kvstore::Status::missing) {
        remove_finished_job(*job);
    } else if (reply.status == kvstore::Status::ok) {
        // The wall-clock time is used only when a job is added, and this job is known already.
        const std::int64_t unused_wall_ms = 0;
        if (const auto record = jobs::decode_open_record(reply.entry.value))
            on_open_record(*record, reply.entry.version, unused_wall_ms, now);
    }
}

void JobLifecycle::remove_finished_job(Job& job) {
    const std::string id = job.spec.id;  // the job may be destroyed
    cluster_.set_job_state(job, JobState::finished);
    cluster_.remove_job(id);
}

}  // namespace nickelramp::lifecycle
