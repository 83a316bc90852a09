// Checkpoints: what the state service must know before a start goes out.
#include <spdlog/spdlog.h>

#include <algorithm>

#include "dispatch/dispatcher.h"

namespace nickelramp::dispatch {

using jobs::JobState;

namespace {
constexpr Millis kRetry = 250;
constexpr Millis kDoneDelay = 10'000;  // completions wait this long for company
// Places that come free one by one are recorded together: a record each would be more than the
// state service takes.
constexpr Millis kCommitGap = 300;
constexpr Millis kBlockGap = 100;
constexpr std::size_t kMostNamed = 1200;  // machines in one transaction, for its size
}  // namespace

// When the job's next checkpoint is to be written; kNever if there is nothing to write.
Millis Dispatcher::commit_due(const Job& j) const {
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
void Dispatcher::commit_job(Job& j, Millis now) {
    state::Txn txn;
    txn.pressing = j.spec.priority == wire::Priority::production;
    txn.conditions = conditions();
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
        if (written.size() >= settings_.state_txn_ops || named >= kMostNamed) {
            more = true;
            break;
        }
        jobs::RunRecord record;
        record.done = c.done;
        std::uint32_t first = n * jobs::kChunkTasks;
        for (const auto& a : j.attempts) {
            if (a->task / jobs::kChunkTasks != n || !a->live() || j.is_done(a->task)) continue;
            Machine* m = machine_of(*a);
            record.entries.push_back({a->task, a->number, true, m == nullptr ? "" : m->name});
            if (a->state == AttemptState::recording) {
                if (a->in_commit == 0) --j.unrecorded;
                a->in_commit = serial;
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
    outbox_.commit(std::move(txn), guarded([this, id = j.spec.id, serial, written](
                                               Millis t, const state::CommitReply& reply) {
                       on_job_commit(id, serial, written, reply, t);
                   }));
}

void Dispatcher::on_job_commit(const std::string& id, std::uint64_t serial,
                               const std::vector<std::uint32_t>& chunks,
                               const state::CommitReply& reply, Millis now) {
    Job* found = find_job(id);
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
            set_attempt_state(*a, AttemptState::recorded, now);
            if (Machine* m = machine_of(*a)) poke(*m);
        }
        if (j.gang() && gang_recorded(j)) {
            for (const auto& a : j.attempts) {
                if (Machine* m = machine_of(*a)) poke(*m);
            }
        }
        maybe_finish(j, now);
        attend(j, now);
        flush_poked(now);
        return;
    }
    for (std::uint32_t n : chunks) j.chunks[n].dirty = true;
    if (j.done_dirty_since == 0) j.done_dirty_since = now;
    for (const auto& a : j.attempts) {
        if (a->in_commit != serial) continue;
        a->in_commit = 0;
        if (a->state == AttemptState::recording) ++j.unrecorded;
    }
    j.retry_commit_at = now + kRetry;
    if (reply.outcome == state::Outcome::unknown) {
        // It may have been applied, or may be later: the next write must know what it builds on.
        for (std::uint32_t n : chunks) j.chunks[n].uncertain = true;
    } else if (reply.outcome == state::Outcome::conflict) {
        if (superseded(reply)) return;
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
    maybe_finish(j, now);
    attend(j, now);
}

void Dispatcher::reread_chunk(Job& j, std::uint32_t chunk) {
    j.commit_in_flight = true;
    outbox_.read(jobs::run_key(j.spec.id, chunk),
                 guarded([this, id = j.spec.id, chunk](Millis t, const state::GetReply& reply) {
                     Job* found = find_job(id);
                     if (found == nullptr) return;
                     found->commit_in_flight = false;
                     jobs::Chunk& c = found->chunks[chunk];
                     if (reply.outcome == state::Outcome::ok) {
                         c.version = reply.item.version;
                         c.uncertain = false;
                     } else if (reply.outcome == state::Outcome::missing) {
                         c.version = 0;
                         c.uncertain = false;
                     } else {
                         found->retry_commit_at = t + kRetry;
                     }
                     if (t >= commit_due(*found)) commit_job(*found, t);
                     maybe_finish(*found, t);
                     attend(*found, t);
                 }));
}

// Grants are on record before their machines are used.
void Dispatcher::commit_blocks(Millis now) {
    if (blocks_in_flight_ || !confirmed_ || now < std::max(retry_blocks_at_, next_blocks_at_)) {
        return;
    }
    if (!ledger_.dirty()) return;
    state::Txn txn;
    txn.conditions = conditions();
    const std::size_t most = settings_.state_txn_ops / 2;
    auto numbers = ledger_.to_write(most);
    // Machines that join one by one are recorded together; a new leader's many grants do not wait.
    if (numbers.size() < most) next_blocks_at_ = now + kBlockGap;
    std::vector<std::string> members;
    for (std::uint32_t n : numbers) {
        blocks::Block& b = ledger_.block(n);
        if (b.uncertain) {
            blocks_in_flight_ = true;
            outbox_.read(blocks::block_key(n),
                         guarded([this, n](Millis t, const state::GetReply& r) {
                             blocks_in_flight_ = false;
                             blocks::Block& again = ledger_.block(n);
                             if (r.outcome == state::Outcome::ok)
                                 again.version = r.item.version;
                             else if (r.outcome == state::Outcome::missing)
                                 again.version = 0;
                             else {
                                 retry_blocks_at_ = t + kRetry;
                                 return;
                             }
                             again.uncertain = false;
                             commit_blocks(t);
                         }));
            return;
        }
        txn.conditions.push_back({blocks::block_key(n), b.version});
        txn.writes.push_back({blocks::block_key(n), blocks::block_record(b)});
        b.dirty = false;
        for (const blocks::Member& m : b.members) members.push_back(m.name);
    }
    blocks_in_flight_ = true;
    outbox_.commit(std::move(txn),
                   guarded([this, numbers, members](Millis t, const state::CommitReply& reply) {
                       blocks_in_flight_ = false;
                       if (reply.outcome == state::Outcome::ok) {
                           for (std::uint32_t n : numbers)
                               ledger_.block(n).version = reply.revision;
                           for (const std::string& name : members) {
                               Machine* m = roster_.find(name);
                               if (m == nullptr) continue;
                               m->granted = true;
                               join(*m, t);
                           }
                           for (std::uint32_t n : numbers) block_committed(n, t);
                           flush_poked(t);
                           commit_blocks(t);
                           if (dirty_ && t >= next_pass_) schedule(t);
                           return;
                       }
                       for (std::uint32_t n : numbers) {
                           blocks::Block& b = ledger_.block(n);
                           b.dirty = true;
                           if (reply.outcome != state::Outcome::refused) b.uncertain = true;
                       }
                       retry_blocks_at_ = t + kRetry;
                       if (reply.outcome == state::Outcome::conflict) superseded(reply);
                   }));
}

// Records of jobs that are over, beyond what their last transaction could take.
void Dispatcher::drop_leftovers(Millis now) {
    if (leftovers_.empty() || !confirmed_ || now < retry_leftovers_at_) return;
    state::Txn txn;
    txn.conditions = conditions();
    while (!leftovers_.empty() && txn.writes.size() < settings_.state_txn_ops / 2) {
        txn.writes.push_back({leftovers_.back(), std::nullopt});
        leftovers_.pop_back();
    }
    outbox_.commit(
        txn, guarded([this, txn](Millis t, const state::CommitReply& reply) {
            if (reply.outcome == state::Outcome::ok || reply.outcome == state::Outcome::conflict)
                return;
            for (const state::Write& w : txn.writes) leftovers_.push_back(w.key);
            retry_leftovers_at_ = t + 4 * kRetry;
        }));
}

}  // namespace nickelramp::dispatch
