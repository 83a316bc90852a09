#include "lifecycle/checkpoint_writer.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::lifecycle {

using jobs::AttemptState;
using jobs::Job;
using jobs::JobState;
using machines::Machine;

namespace {
constexpr Millis kRetry = 250;
constexpr Millis kDoneDelay = 10'000;  // completions wait this long for company
// Places that come free one by one are recorded together: a record each would be more than the
// state service takes.
constexpr Millis kCommitGap = 300;
constexpr std::size_t kMostNamed = 1200;  // machines in one transaction, for its size
}  // namespace

// When the job's next checkpoint is to be written; kNever if there is nothing to write.
Millis CheckpointWriter::next_write_at(const Job& job) const {
    if (job.commit_in_flight || job.delegated_shard != kNone) return kNever;
    if (job.state != JobState::open) return kNever;  // its last transaction says it all
    Millis due = kNever;
    if (job.unsaved_completions_since != 0) due = job.unsaved_completions_since + kDoneDelay;
    if (job.uncommitted_attempts > 0) {
        bool piecemeal = job.spec.shape == wire::Shape::array && job.unplaced_tasks() > 0;
        due = std::min(due, piecemeal ? job.committed_at + kCommitGap : 0);
    }
    return due == kNever ? kNever : std::max(due, job.retry_commit_at);
}

// One conditional transaction for one pipeline: its chunks, on condition that this term lasts, that
// the job is as known (no start after a cancel) and that no late write has touched the records.
void CheckpointWriter::write(Job& job, Millis now) {
    kvstore::Transaction transaction;
    if (job.spec.priority == wire::Priority::production)
        transaction.request_class = kvstore::RequestClass::background_urgent;
    transaction.conditions = term_.conditions();
    transaction.conditions.push_back({jobs::open_key(job.spec.id), job.version});
    std::vector<std::uint32_t> written;
    std::uint64_t serial = ++job.last_commit_number;
    for (auto& [n, c] : job.chunks) {
        // Before any chunk is marked as written: those of a transaction that is not sent would stay
        // unrecorded for good.
        if (c.dirty && c.uncertain) {
            reread_chunk(job, n);
            return;
        }
    }
    std::size_t named = 0;
    bool more = false;
    for (auto& [n, c] : job.chunks) {
        if (!c.dirty) continue;
        if (written.size() >= term_.settings().state_txn_ops || named >= kMostNamed) {
            more = true;
            break;
        }
        jobs::RunRecord record;
        record.done = c.done;
        std::uint32_t first = n * jobs::kChunkTasks;
        for (const auto& attempt : job.attempts) {
            if (attempt->task / jobs::kChunkTasks != n || !attempt->live() ||
                job.is_done(attempt->task))
                continue;
            Machine* machine = cluster_.machine_of(*attempt);
            record.entries.push_back(
                {attempt->task, attempt->number, true, machine == nullptr ? "" : machine->name});
            if (attempt->state == AttemptState::recording) {
                cluster_.attempt_in_commit(*attempt, serial);
                job.committed_at = now;
            }
        }
        for (const jobs::RetryTask& w : job.retry_tasks) {
            if (w.task / jobs::kChunkTasks == n && w.last_attempt > 0) {
                record.entries.push_back({w.task, w.last_attempt, false, ""});
            }
        }
        if (job.is_gang() && job.live_attempts == 0 && job.gang_attempt > 0) {
            record.entries.push_back({first, job.gang_attempt, false, ""});
        }
        named += record.entries.size();
        transaction.conditions.push_back({jobs::run_key(job.spec.id, n), c.version});
        transaction.writes.push_back(
            {jobs::run_key(job.spec.id, n), jobs::encode_run_record(record)});
        c.dirty = false;
        c.done_in_commit = c.done;
        written.push_back(n);
    }
    if (written.empty()) {
        job.unsaved_completions_since = 0;
        return;
    }
    job.commit_in_flight = true;
    job.unsaved_completions_since = more ? now : 0;
    term_.gateway().commit(std::move(transaction),
                           term_.guarded([this, id = job.spec.id, serial, written](
                                             Millis t, const kvstore::CommitReply& reply) {
                               on_written(id, serial, written, reply, t);
                           }));
}

void CheckpointWriter::on_written(const std::string& id, std::uint64_t serial,
                                  const std::vector<std::uint32_t>& chunks,
                                  const kvstore::CommitReply& reply, Millis now) {
    Job* found = cluster_.job(id);
    if (found == nullptr) return;
    Job& job = *found;
    job.commit_in_flight = false;
    if (reply.status == kvstore::Status::ok) {
        for (std::uint32_t n : chunks) {
            job.chunks[n].version = reply.revision;
            job.chunks[n].done_recorded = job.chunks[n].done_in_commit;
        }
        for (const auto& attempt : job.attempts) {
            if (attempt->commit_number != serial || attempt->state != AttemptState::recording)
                continue;
            cluster_.attempt_recorded(*attempt, now);
        }
        if (job.is_gang() && job.all_attempts_recorded()) {
            for (const auto& attempt : job.attempts) {
                if (Machine* machine = cluster_.machine_of(*attempt))
                    actions_.queue_commands(*machine);
            }
        }
        actions_.advance_job(job, now);
        actions_.send_queued_commands(now);
        return;
    }
    for (std::uint32_t n : chunks) job.chunks[n].dirty = true;
    if (job.unsaved_completions_since == 0) job.unsaved_completions_since = now;
    for (const auto& attempt : job.attempts) {
        if (attempt->commit_number == serial) cluster_.attempt_not_committed(*attempt);
    }
    job.retry_commit_at = now + kRetry;
    if (reply.status == kvstore::Status::unknown) {
        // It may have been applied, or may be later: the next write must know what it builds on.
        for (std::uint32_t n : chunks) job.chunks[n].uncertain = true;
    } else if (reply.status == kvstore::Status::conflict) {
        if (term_.check_superseded(reply)) return;
        for (const std::string& key : reply.failed_conditions) {
            if (auto run_key = jobs::parse_run_key(key))
                job.chunks[run_key->chunk].uncertain = true;
        }
        // A changed description arrives with the watch; until then the retry finds the same.
    } else if (reply.status == kvstore::Status::protocol_error) {
        spdlog::error("checkpoint of {} was not understood by the state service", id);
        job.retry_commit_at = now + 4 * kRetry;
    }
    actions_.advance_job(job, now);
}

void CheckpointWriter::reread_chunk(Job& job, std::uint32_t chunk) {
    job.commit_in_flight = true;
    term_.gateway().read(
        jobs::run_key(job.spec.id, chunk),
        term_.guarded([this, id = job.spec.id, chunk](Millis t, const kvstore::GetReply& reply) {
            Job* found = cluster_.job(id);
            if (found == nullptr) return;
            found->commit_in_flight = false;
            jobs::Chunk& c = found->chunks[chunk];
            if (auto stamp = kvstore::version_of(reply)) {
                c.version = *stamp;
                c.uncertain = false;
            } else {
                found->retry_commit_at = t + kRetry;
            }
            if (t >= next_write_at(*found)) write(*found, t);
            actions_.advance_job(*found, t);
        }));
}

}  // namespace nickelramp::lifecycle
