#include "checkpoint/checkpoints.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace nickelramp::checkpoint {

using jobs::AttemptState;
using jobs::Job;
using jobs::JobState;
using workers::Machine;

namespace {
constexpr Millis kRetry = 250;
constexpr Millis kDoneDelay = 10'000;  // completions wait this long for company
// Places that come free one by one are recorded together: a record each would be more than the
// state service takes.
constexpr Millis kCommitGap = 300;
constexpr std::size_t kMostNamed = 1200;  // machines in one transaction, for its size
}  // namespace

// When the job's next checkpoint is to be written; kNever if there is nothing to write.
Millis Checkpoints::due(const Job& j) const {
    if (j.commit_in_flight || j.lent_to != kNone) return kNever;
    if (j.state != JobState::open) return kNever;  // its last transaction says it all
    Millis due = kNever;
    if (j.done_dirty_since != 0) due = j.done_dirty_since + kDoneDelay;
    if (j.unrecorded > 0) {
        bool piecemeal = j.spec.shape == wire::Shape::array && j.unstarted() > 0;
        due = std::min(due, piecemeal ? j.committed_at + kCommitGap : 0);
    }
    return due == kNever ? kNever : std::max(due, j.retry_commit_at);
}

// One conditional transaction for one pipeline: its chunks, on condition that this term lasts, that
// the job is as known (no start after a cancel) and that no late write has touched the records.
void Checkpoints::commit(Job& j, Millis now) {
    state::Txn txn;
    if (j.spec.priority == wire::Priority::production) txn.urgency = state::Urgency::pressing;
    txn.conditions = term_.conditions();
    txn.conditions.push_back({jobs::open_key(j.spec.id), j.version});
    std::vector<std::uint32_t> written;
    std::uint64_t serial = ++j.commits;
    for (auto& [n, c] : j.chunks) {
        // Before any chunk is marked as written: those of a transaction that is not sent would stay
        // unrecorded for good.
        if (c.dirty && c.uncertain) {
            reread_chunk(j, n);
            return;
        }
    }
    std::size_t named = 0;
    bool more = false;
    for (auto& [n, c] : j.chunks) {
        if (!c.dirty) continue;
        if (written.size() >= term_.settings().state_txn_ops || named >= kMostNamed) {
            more = true;
            break;
        }
        jobs::RunRecord record;
        record.done = c.done;
        std::uint32_t first = n * jobs::kChunkTasks;
        for (const auto& a : j.attempts) {
            if (a->task / jobs::kChunkTasks != n || !a->live() || j.is_done(a->task)) continue;
            Machine* m = book_.machine_of(*a);
            record.entries.push_back({a->task, a->number, true, m == nullptr ? "" : m->name});
            if (a->state == AttemptState::recording) {
                book_.carried(*a, serial);
                j.committed_at = now;
            }
        }
        for (const jobs::Waiting& w : j.waiting) {
            if (w.task / jobs::kChunkTasks == n && w.last_attempt > 0) {
                record.entries.push_back({w.task, w.last_attempt, false, ""});
            }
        }
        if (j.gang() && j.live == 0 && j.gang_attempt > 0) {
            record.entries.push_back({first, j.gang_attempt, false, ""});
        }
        named += record.entries.size();
        txn.conditions.push_back({jobs::run_key(j.spec.id, n), c.version});
        txn.writes.push_back({jobs::run_key(j.spec.id, n), jobs::run_record(record)});
        c.dirty = false;
        c.done_in_commit = c.done;
        written.push_back(n);
    }
    if (written.empty()) {
        j.done_dirty_since = 0;
        return;
    }
    j.commit_in_flight = true;
    j.done_dirty_since = more ? now : 0;
    term_.outbox().commit(std::move(txn),
                          term_.guarded([this, id = j.spec.id, serial, written](
                                            Millis t, const state::CommitReply& reply) {
                              on_commit(id, serial, written, reply, t);
                          }));
}

void Checkpoints::on_commit(const std::string& id, std::uint64_t serial,
                            const std::vector<std::uint32_t>& chunks,
                            const state::CommitReply& reply, Millis now) {
    Job* found = book_.job(id);
    if (found == nullptr) return;
    Job& j = *found;
    j.commit_in_flight = false;
    if (reply.outcome == state::Outcome::ok) {
        for (std::uint32_t n : chunks) {
            j.chunks[n].version = reply.revision;
            j.chunks[n].done_recorded = j.chunks[n].done_in_commit;
        }
        for (const auto& a : j.attempts) {
            if (a->in_commit != serial || a->state != AttemptState::recording) continue;
            book_.recorded(*a, now);
        }
        if (j.gang() && j.recorded_whole()) {
            for (const auto& a : j.attempts) {
                if (Machine* m = book_.machine_of(*a)) turn_.has_commands(*m);
            }
        }
        turn_.job_moved(j, now);
        turn_.flush(now);
        return;
    }
    for (std::uint32_t n : chunks) j.chunks[n].dirty = true;
    if (j.done_dirty_since == 0) j.done_dirty_since = now;
    for (const auto& a : j.attempts) {
        if (a->in_commit == serial) book_.not_carried(*a);
    }
    j.retry_commit_at = now + kRetry;
    if (reply.outcome == state::Outcome::unknown) {
        // It may have been applied, or may be later: the next write must know what it builds on.
        for (std::uint32_t n : chunks) j.chunks[n].uncertain = true;
    } else if (reply.outcome == state::Outcome::conflict) {
        if (term_.superseded(reply)) return;
        for (const std::string& key : reply.failed) {
            std::string run_id;
            std::uint32_t n = 0;
            if (jobs::parse_run_key(key, run_id, n)) j.chunks[n].uncertain = true;
        }
        // A changed description arrives with the watch; until then the retry finds the same.
    } else if (reply.outcome == state::Outcome::broken) {
        spdlog::error("checkpoint of {} was not understood by the state service", id);
        j.retry_commit_at = now + 4 * kRetry;
    }
    turn_.job_moved(j, now);
}

void Checkpoints::reread_chunk(Job& j, std::uint32_t chunk) {
    j.commit_in_flight = true;
    term_.outbox().read(
        jobs::run_key(j.spec.id, chunk),
        term_.guarded([this, id = j.spec.id, chunk](Millis t, const state::GetReply& reply) {
            Job* found = book_.job(id);
            if (found == nullptr) return;
            found->commit_in_flight = false;
            jobs::Chunk& c = found->chunks[chunk];
            if (auto stamp = state::stamp(reply)) {
                c.version = *stamp;
                c.uncertain = false;
            } else {
                found->retry_commit_at = t + kRetry;
            }
            if (t >= due(*found)) commit(*found, t);
            turn_.job_moved(*found, t);
        }));
}

}  // namespace nickelramp::checkpoint
