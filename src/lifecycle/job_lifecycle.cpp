#include "lifecycle/job_lifecycle.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::lifecycle {

using jobs::Job;
using jobs::JobState;

namespace {
constexpr Millis kRetryCommit = 300;
constexpr Millis kRetryLeftovers = 1'000;
}  // namespace

// Sets the date by which the job has something to do by itself.
void JobLifecycle::schedule_next_wake_up(Job& job, Millis now) {
    Millis at = checkpoint_writer_.next_write_at(job);
    if (job.backoff_until != 0) at = std::min(at, job.backoff_until);
    bool ending = job.state == JobState::finishing ||
                  (job.state == JobState::cancelled && job.live_attempts == 0);
    if (ending && !job.commit_in_flight && job.delegated_shard == kNone)
        at = std::min(at, job.retry_commit_at);
    // Never again in this turn, whatever it comes to.
    if (at < kNever) cluster_.wake_at(job, std::max(at, now + 1));
}

void JobLifecycle::run_due_job(Job& job, Millis now) {
    if (!term_.lease_confirmed(now)) {
        cluster_.wake_at(job, now + kRetryCommit);
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

void JobLifecycle::run_due_jobs(Millis now) {
    for (Index i : cluster_.take_due_jobs(now)) {
        if (Job* job = cluster_.job_by_index(i)) run_due_job(*job, now);
    }
}

void JobLifecycle::load_checkpoint(const std::string& id, std::uint32_t chunk,
                                   const jobs::RunRecord& record, std::uint64_t version,
                                   std::uint64_t token, Millis now) {
    // Of a job that is over: whoever has the duty of cleaning drops it.
    if (Job* job = cluster_.job(id))
        cluster_.load_checkpoint(*job, chunk, record, version, token, now);
}

void JobLifecycle::load_checkpoints(const kvstore::ListReply& runs, std::uint64_t token,
                                    Millis now) {
    for (const kvstore::Entry& entry : runs.entries) {
        auto run_key = jobs::parse_run_key(entry.key);
        auto r = jobs::decode_run_record(entry.value);
        if (r && run_key) {
            load_checkpoint(run_key->job_id, run_key->chunk, *r, entry.version, token, now);
        }
    }
}

// After the last record of a job.
void JobLifecycle::complete_load(Job& job, Millis now) {
    cluster_.finish_loading(job);
    if (job.state == JobState::cancelled) cluster_.stop_all_attempts(job, now);
    cluster_.enqueue_job(job);
    advance_job(job, now);
}

void JobLifecycle::advance_job(Job& job, Millis now) {
    finish_if_complete(job, now);
    schedule_next_wake_up(job, now);
}

void JobLifecycle::on_open_record(const jobs::OpenRecord& record, std::uint64_t version,
                                  std::int64_t wall_ms, Millis now) {
    Job* job = cluster_.job(record.spec.id);
    if (job == nullptr) {
        job = &cluster_.add_job(record, version, wall_ms, now);
        cluster_.enqueue_job(*job);
        spdlog::debug("job {} of {}: {} tasks of class {}, image {} of {} GB{}", job->spec.id,
                      job->spec.team, job->spec.tasks, job->spec.job_class, job->spec.image,
                      job->spec.image_gb,
                      job->within_guaranteed_quota ? ", within the guarantee" : "");
        if (record.cancelled || record.cancel_requested) finish_if_complete(*job, now);
        return;
    }
    if (version <= job->version) return;
    job->version = version;
    // All of it has completed: it is done, unless its user was told otherwise.
    if (record.cancel_requested && !record.cancelled && job->state == JobState::finishing) return;
    if (record.cancelled || record.cancel_requested) cancel(*job, now);
}

void JobLifecycle::on_open_record_deleted(const std::string& id, Millis now) {
    Job* job = cluster_.job(id);
    if (job == nullptr || job->delegated_shard != kNone || job->state == JobState::finished) return;
    const bool open = job->state == JobState::open;
    cluster_.set_job_state(*job, JobState::finished);
    // Nothing was started without its open record; what was placed is given up.
    if (open) cluster_.stop_all_attempts(*job, now);
    cluster_.remove_job(id);
    cluster_.request_scheduling();
}

void JobLifecycle::cancel(Job& job, Millis now) {
    if (job.state == JobState::cancelled || job.state == JobState::finished) return;
    cluster_.cancel_job(job, now);
    advance_job(job, now);
    cluster_.request_scheduling();
}

void JobLifecycle::finish_if_complete(Job& job, Millis now) {
    if (job.state == JobState::open && !job.is_service() && job.completed_tasks == job.spec.tasks) {
        cluster_.set_job_state(job, JobState::finishing);
    }
    if (job.delegated_shard != kNone) return;  // its holder does that
    bool over = job.state == JobState::finishing ||
                (job.state == JobState::cancelled && job.live_attempts == 0);
    if (over && !job.commit_in_flight && now >= job.retry_commit_at) finish(job, now);
}

// One transaction tells users that the job is done and takes its records away.
void JobLifecycle::finish(Job& job, Millis now) {
    if (!term_.lease_confirmed(now)) {
        job.retry_commit_at = now + kRetryCommit;
        schedule_next_wake_up(job, now);
        return;
    }
    bool done = job.state == JobState::finishing;
    kvstore::Transaction transaction;
    transaction.conditions = term_.conditions();
    transaction.conditions.push_back({jobs::open_key(job.spec.id), job.version});
    // A cancellation is told when nothing of the job is left: until then whoever could not hear of
    // it may have gone on answering its machines.
    const auto end = done ? wire::JobStatus::done : wire::JobStatus::cancelled;
    transaction.writes.push_back(
        {jobs::job_key(job.spec.id),
         wire::Json{{"final", wire::final_name(end)}, {"tasks", job.spec.tasks}}});
    transaction.writes.push_back({jobs::open_key(job.spec.id), std::nullopt});
    std::vector<std::string> rest;
    for (const auto& [n, c] : job.chunks) {
        if (c.version == 0 && !c.uncertain) continue;
        std::string key = jobs::run_key(job.spec.id, n);
        if (transaction.writes.size() < term_.settings().state_txn_ops)
            transaction.writes.push_back({key, std::nullopt});
        else
            rest.push_back(key);
    }
    job.commit_in_flight = true;
    term_.gateway().commit(
        std::move(transaction),
        term_.guarded([this, id = job.spec.id, rest](Millis t, const kvstore::CommitReply& reply) {
            on_finish_written(id, rest, reply, t);
        }));
}

void JobLifecycle::on_finish_written(const std::string& id, const std::vector<std::string>& rest,
                                     const kvstore::CommitReply& reply, Millis now) {
    if (reply.status == kvstore::Status::ok)
        leftover_keys_.insert(leftover_keys_.end(), rest.begin(), rest.end());
    Job* job = cluster_.job(id);
    if (job == nullptr) return;
    job->commit_in_flight = false;
    if (reply.status == kvstore::Status::ok) {
        cluster_.set_job_state(*job, JobState::finished);
        cluster_.remove_job(id);
        cluster_.request_scheduling();
        return;
    }
    job->retry_commit_at = now + kRetryCommit;
    schedule_next_wake_up(*job, now);
    if (reply.status != kvstore::Status::conflict || term_.check_superseded(reply)) return;
    // Cancelled meanwhile, applied after all, or another leader: the record tells.
    term_.gateway().read(jobs::open_key(id),
                         term_.guarded([this, id](Millis t, const kvstore::GetReply& got) {
                             Job* again = cluster_.job(id);
                             if (again == nullptr) return;
                             if (got.status == kvstore::Status::missing) {
                                 cluster_.set_job_state(*again, JobState::finished);
                                 cluster_.remove_job(id);
                             } else if (got.status == kvstore::Status::ok) {
                                 auto record = jobs::decode_open_record(got.entry.value);
                                 if (record) on_open_record(*record, got.entry.version, 0, t);
                             }
                         }));
}

// Records of jobs that are over, beyond what their last transaction could take.
void JobLifecycle::delete_leftover_records(Millis now) {
    if (leftover_keys_.empty() || !term_.lease_confirmed(now) || now < retry_leftovers_at_) return;
    kvstore::Transaction transaction;
    transaction.conditions = term_.conditions();
    while (!leftover_keys_.empty() &&
           transaction.writes.size() < term_.settings().state_txn_ops / 2) {
        transaction.writes.push_back({leftover_keys_.back(), std::nullopt});
        leftover_keys_.pop_back();
    }
    term_.gateway().commit(
        transaction,
        term_.guarded([this, transaction](Millis t, const kvstore::CommitReply& reply) {
            if (reply.status == kvstore::Status::ok || reply.status == kvstore::Status::conflict)
                return;
            for (const kvstore::Write& w : transaction.writes) leftover_keys_.push_back(w.key);
            retry_leftovers_at_ = t + kRetryLeftovers;
        }));
}

}  // namespace nickelramp::lifecycle
