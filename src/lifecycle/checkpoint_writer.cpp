#include "lifecycle/checkpoint_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::lifecycle {

using jobs::Attempt;
using jobs::AttemptState;
using jobs::Job;
using jobs::JobState;
using machines::Machine;

namespace {
constexpr Millis kRetryDelay = 250;
constexpr Millis kProtocolErrorRetryDelay = 4 * kRetryDelay;
// Delay of a checkpoint after the first unsaved completion, so that several are written together.
constexpr Millis kCompletionDelay = 10'000;
// Minimum interval between checkpoints of an array job that still has tasks to place. Attempts
// that are placed one by one as slots become free are recorded together, because a transaction for
// each of them would exceed the state service's rate limit.
constexpr Millis kMinCommitInterval = 300;
// A transaction with this many entries gets no further chunks, which bounds its size in bytes.
constexpr std::size_t kMaxEntriesPerCommit = 1200;

std::uint32_t chunk_of(std::uint32_t task) { return task / jobs::kChunkTasks; }

std::optional<std::uint32_t> first_dirty_chunk_of_uncertain_version(const Job& job) {
    for (const auto& [number, chunk] : job.chunks) {
        if (chunk.dirty && chunk.uncertain) return number;
    }
    return std::nullopt;
}

// Adds attempts that have ended, so that their numbers are not reused.
void add_ended_attempts(const Job& job, std::uint32_t chunk_number, jobs::RunRecord& record) {
    for (const jobs::RetryTask& retry : job.retry_tasks) {
        if (chunk_of(retry.task) == chunk_number && retry.last_attempt > 0)
            record.entries.push_back({retry.task, retry.last_attempt, false, ""});
    }
    if (job.is_gang() && job.live_attempts == 0 && job.gang_attempt > 0) {
        const std::uint32_t first_task = chunk_number * jobs::kChunkTasks;
        record.entries.push_back({first_task, job.gang_attempt, false, ""});
    }
}
}  // namespace

Millis CheckpointWriter::next_write_at(const Job& job) const {
    if (job.commit_in_flight || job.delegated_shard != kNone) return kNever;
    // The transaction that ends a job deletes its checkpoints.
    if (job.state != JobState::open) return kNever;
    Millis due = kNever;
    if (job.unsaved_completions_since != 0) due = job.unsaved_completions_since + kCompletionDelay;
    if (job.uncommitted_attempts > 0) {
        const bool more_to_place = job.spec.shape == wire::Shape::array && job.unplaced_tasks() > 0;
        due = std::min(due, more_to_place ? job.committed_at + kMinCommitInterval : 0);
    }
    return due == kNever ? kNever : std::max(due, job.retry_commit_at);
}

void CheckpointWriter::write(Job& job, Millis now) {
    Commit commit{job.spec.id, ++job.last_commit_number, {}};
    // This check precedes the loop that marks chunks as clean. Chunks that were marked as clean
    // without sending the transaction would never be recorded.
    if (const auto uncertain = first_dirty_chunk_of_uncertain_version(job)) {
        reread_chunk(job, *uncertain);
        return;
    }
    kvstore::Transaction transaction;
    if (job.spec.priority == wire::Priority::production)
        transaction.request_class = kvstore::RequestClass::background_urgent;
    transaction.conditions = term_.conditions();
    transaction.conditions.push_back({jobs::open_key(job.spec.id), job.version});
    std::size_t entries = 0;
    bool more_chunks = false;
    for (auto& [number, chunk] : job.chunks) {
        if (!chunk.dirty) continue;
        if (commit.chunks.size() >= term_.settings().state_txn_ops ||
            entries >= kMaxEntriesPerCommit) {
            more_chunks = true;
            break;
        }
        const jobs::RunRecord record = record_chunk(job, number, commit.number, now);
        entries += record.entries.size();
        const std::string key = jobs::run_key(job.spec.id, number);
        transaction.conditions.push_back({key, chunk.version});
        transaction.writes.push_back({key, jobs::encode_run_record(record)});
        chunk.dirty = false;
        chunk.done_in_commit = chunk.done;
        commit.chunks.push_back(number);
    }
    if (commit.chunks.empty()) {
        job.unsaved_completions_since = 0;
        return;
    }
    job.unsaved_completions_since = more_chunks ? now : 0;
    job.commit_in_flight = true;
    term_.gateway().commit(std::move(transaction),
                           term_.guarded([this, commit = std::move(commit)](
                                             Millis replied_at, const kvstore::CommitReply& reply) {
                               on_written(commit, reply, replied_at);
                           }));
}

jobs::RunRecord CheckpointWriter::record_chunk(Job& job, std::uint32_t chunk_number,
                                               std::uint64_t commit_number, Millis now) {
    jobs::RunRecord record;
    record.done = job.chunks.at(chunk_number).done;
    add_live_attempts(job, chunk_number, commit_number, now, record);
    add_ended_attempts(job, chunk_number, record);
    return record;
}

void CheckpointWriter::add_live_attempts(Job& job, std::uint32_t chunk_number,
                                         std::uint64_t commit_number, Millis now,
                                         jobs::RunRecord& record) {
    for (const auto& attempt : job.attempts) {
        if (chunk_of(attempt->task) != chunk_number || !attempt->live() ||
            job.is_done(attempt->task))
            continue;
        const Machine* machine = cluster_.machine_of(*attempt);
        record.entries.push_back(
            {attempt->task, attempt->number, true, machine == nullptr ? "" : machine->name});
        if (attempt->state != AttemptState::recording) continue;
        cluster_.attempt_in_commit(*attempt, commit_number);
        job.committed_at = now;
    }
}

void CheckpointWriter::on_written(const Commit& commit, const kvstore::CommitReply& reply,
                                  Millis now) {
    Job* job = cluster_.job(commit.job_id);
    if (job == nullptr) return;
    job->commit_in_flight = false;
    if (reply.status == kvstore::Status::ok)
        on_commit_applied(*job, commit, reply.revision, now);
    else
        on_commit_failed(*job, commit, reply, now);
}

void CheckpointWriter::on_commit_applied(Job& job, const Commit& commit, std::uint64_t revision,
                                         Millis now) {
    for (const std::uint32_t number : commit.chunks) {
        jobs::Chunk& chunk = job.chunks[number];
        chunk.version = revision;
        chunk.done_recorded = chunk.done_in_commit;
    }
    for (const auto& attempt : job.attempts) {
        if (attempt->commit_number == commit.number && attempt->state == AttemptState::recording)
            cluster_.attempt_recorded(*attempt, now);
    }
    // A gang starts only when all of its attempts are recorded. Only then are commands queued for
    // the machines of its members.
    if (job.is_gang() && job.all_attempts_recorded()) {
        for (const auto& attempt : job.attempts) {
            if (Machine* machine = cluster_.machine_of(*attempt)) actions_.queue_commands(*machine);
        }
    }
    actions_.advance_job(job, now);
    actions_.send_queued_commands(now);
}

void CheckpointWriter::on_commit_failed(Job& job, const Commit& commit,
                                        const kvstore::CommitReply& reply, Millis now) {
    for (const std::uint32_t number : commit.chunks) job.chunks[number].dirty = true;
    if (job.unsaved_completions_since == 0) job.unsaved_completions_since = now;
    for (const auto& attempt : job.attempts) {
        if (attempt->commit_number == commit.number) cluster_.attempt_not_committed(*attempt);
    }
    job.retry_commit_at = now + kRetryDelay;
    if (reply.status == kvstore::Status::conflict && term_.check_superseded(reply)) return;
    if (reply.status == kvstore::Status::protocol_error) {
        spdlog::error("checkpoint rejected as malformed by the state service job={}", job.spec.id);
        job.retry_commit_at = now + kProtocolErrorRetryDelay;
    }
    mark_uncertain_chunks(job, commit, reply);
    actions_.advance_job(job, now);
}

void CheckpointWriter::mark_uncertain_chunks(Job& job, const Commit& commit,
                                             const kvstore::CommitReply& reply) {
    if (reply.status == kvstore::Status::unknown) {
        // The transaction may have been applied, or may still be applied later.
        for (const std::uint32_t number : commit.chunks) job.chunks[number].uncertain = true;
        return;
    }
    if (reply.status != kvstore::Status::conflict) return;
    // If the open record has changed, the watch delivers the new version. Until then, retries fail
    // on the same condition.
    for (const std::string& key : reply.failed_conditions) {
        if (const auto run_key = jobs::parse_run_key(key))
            job.chunks[run_key->chunk].uncertain = true;
    }
}

void CheckpointWriter::reread_chunk(Job& job, std::uint32_t chunk_number) {
    job.commit_in_flight = true;
    term_.gateway().read(jobs::run_key(job.spec.id, chunk_number),
                         term_.guarded([this, id = job.spec.id, chunk_number](
                                           Millis replied_at, const kvstore::GetReply& reply) {
                             on_chunk_reread(id, chunk_number, reply, replied_at);
                         }));
}

void CheckpointWriter::on_chunk_reread(const std::string& job_id, std::uint32_t chunk_number,
                                       const kvstore::GetReply& reply, Millis now) {
    Job* job = cluster_.job(job_id);
    if (job == nullptr) return;
    job->commit_in_flight = false;
    jobs::Chunk& chunk = job->chunks[chunk_number];
    if (const auto version = kvstore::version_of(reply)) {
        chunk.version = *version;
        chunk.uncertain = false;
    } else {
        job->retry_commit_at = now + kRetryDelay;
    }
    if (now >= next_write_at(*job)) write(*job, now);
    actions_.advance_job(*job, now);
}

}  // namespace nickelramp::lifecycle
