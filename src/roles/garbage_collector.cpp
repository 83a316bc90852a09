#include "roles/garbage_collector.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "jobs/job.h"

namespace nickelramp::roles {

namespace {
constexpr std::size_t kPageSize = 100;
constexpr Millis kPageInterval = 2'000;    // between pages of run records
constexpr Millis kRoundInterval = 60'000;  // between rounds; garbage is not urgent
constexpr Millis kRetry = 1'000;           // after a failure, or without spare budget
constexpr std::uint32_t kPagesPerCursorWrite = 16;
}  // namespace

// Wraps a reply handler so that replies to requests made under another fence are dropped.
template <typename OnReply>
auto GarbageCollector::if_current(OnReply on_reply) {
    return [this, fence = fence_, on_reply = std::move(on_reply)](Millis now, const auto& reply) {
        if (fence_ == fence && state_ != State::inactive) on_reply(now, reply);
    };
}

void GarbageCollector::sleep_until(Millis until) {
    next_at_ = until;
    set_state(State::sleeping);
}

// Goes back to `inactive`; the cursor is read again at the given time.
void GarbageCollector::restart_at(Millis at) {
    next_at_ = at;
    set_state(State::inactive);
}

void GarbageCollector::run_due_work(const std::optional<Proof>& proof, Millis now) {
    const std::uint64_t fence = proof ? proof->fence() : 0;
    if (fence != fence_) {
        fence_ = fence;
        proof_ = proof;
        restart_at(0);
    }
    if (!proof || now < next_at_) return;
    if (state_ != State::inactive && state_ != State::sleeping) return;
    if (!store_.has_spare_budget()) {
        next_at_ = now + kRetry;
        return;
    }
    if (state_ == State::inactive)
        read_cursor();
    else
        read_page();
}

void GarbageCollector::read_cursor() {
    set_state(State::reading_cursor);
    ++requests_;
    store_.list_page(kCursorKey, "", 1,
                     if_current([this](Millis now, const kvstore::ListReply& reply) {
                         on_cursor_read(reply, now);
                     }));
}

void GarbageCollector::on_cursor_read(const kvstore::ListReply& reply, Millis now) {
    if (reply.status != kvstore::Status::ok) return restart_at(now + kRetry);
    last_key_.clear();
    cursor_version_ = 0;
    if (!reply.entries.empty()) {
        const kvstore::Entry& cursor = reply.entries.front();
        cursor_version_ = cursor.version;
        last_key_ = wire::text_field(cursor.value, "after").value_or("");
        rounds_ = wire::count_field(cursor.value, "rounds").value_or(0);
    }
    sleep_until(now + kPageInterval);
}

void GarbageCollector::read_page() {
    set_state(State::reading_page);
    ++requests_;
    store_.list_page("run/", last_key_, kPageSize,
                     if_current([this](Millis now, const kvstore::ListReply& reply) {
                         on_page_read(reply, now);
                     }));
}

void GarbageCollector::on_page_read(const kvstore::ListReply& reply, Millis now) {
    if (reply.status != kvstore::Status::ok) return sleep_until(now + kRetry);
    candidates_.clear();
    open_jobs_.clear();
    for (const kvstore::Entry& entry : reply.entries) {
        // Keys that are not run keys are left alone.
        if (const auto run_key = jobs::parse_run_key(entry.key))
            candidates_.push_back({entry.key, run_key->job_id, entry.version});
    }
    round_finished_ = !reply.more || reply.entries.empty();
    if (!reply.entries.empty()) last_key_ = reply.entries.back().key;
    if (candidates_.empty()) return finish_page(now);

    const auto [first, last] = std::minmax_element(
        candidates_.begin(), candidates_.end(),
        [](const Candidate& one, const Candidate& other) { return one.job < other.job; });
    // A list begins after a given key, so this key has to sort before the first job's key.
    open_scan_after_ = jobs::open_key(first->job);
    open_scan_after_.pop_back();
    open_scan_last_ = jobs::open_key(last->job);
    read_open_jobs();
}

void GarbageCollector::read_open_jobs() {
    set_state(State::reading_open_jobs);
    ++requests_;
    store_.list_page("open/", open_scan_after_, kPageSize,
                     if_current([this](Millis now, const kvstore::ListReply& reply) {
                         on_open_jobs_read(reply, now);
                     }));
}

void GarbageCollector::on_open_jobs_read(const kvstore::ListReply& reply, Millis now) {
    if (reply.status != kvstore::Status::ok) {
        // Restart the round, because nothing of this page was deleted.
        last_key_.clear();
        return sleep_until(now + kRetry);
    }
    for (const kvstore::Entry& entry : reply.entries)
        open_jobs_.insert(jobs::job_id_of_open_key(entry.key));
    if (reply.more && !reply.entries.empty() && reply.entries.back().key < open_scan_last_) {
        open_scan_after_ = reply.entries.back().key;
        return read_open_jobs();
    }
    std::erase_if(candidates_, [this](const Candidate& candidate) {
        return open_jobs_.contains(candidate.job);
    });
    delete_orphans(now);
}

void GarbageCollector::delete_orphans(Millis now) {
    if (candidates_.empty()) return finish_page(now);
    set_state(State::deleting);
    kvstore::Transaction transaction;
    transaction.conditions = {{lease::role_key(lease::Role::garbage_collection), fence_}};
    const std::size_t max_writes = std::max<std::size_t>(1, max_operations_ / 2);
    while (!candidates_.empty() && transaction.writes.size() < max_writes) {
        const Candidate& orphan = candidates_.back();
        transaction.conditions.push_back({orphan.key, orphan.version});
        transaction.writes.push_back({orphan.key, std::nullopt});
        candidates_.pop_back();
    }
    const std::size_t count = transaction.writes.size();
    ++requests_;
    store_.commit_garbage_collection(
        *proof_, std::move(transaction),
        if_current([this, count](Millis now, const kvstore::CommitReply& reply) {
            on_orphans_deleted(count, reply, now);
        }));
}

void GarbageCollector::on_orphans_deleted(std::size_t count, const kvstore::CommitReply& reply,
                                          Millis now) {
    if (reply.status == kvstore::Status::ok) {
        deleted_records_ += count;
        spdlog::info("garbage collection: deleted run records of ended jobs: count={}", count);
    } else if (reply.status != kvstore::Status::conflict) {
        return sleep_until(now + kRetry);  // the next round retries them
    }
    delete_orphans(now);
}

void GarbageCollector::finish_page(Millis now) {
    if (round_finished_) {
        last_key_.clear();
        ++rounds_;
    }
    const Millis next_page_in = round_finished_ ? kRoundInterval : kPageInterval;
    if (++pages_since_cursor_write_ < kPagesPerCursorWrite) return sleep_until(now + next_page_in);
    pages_since_cursor_write_ = 0;
    write_cursor(next_page_in);
}

void GarbageCollector::write_cursor(Millis next_page_in) {
    set_state(State::writing_cursor);
    kvstore::Transaction transaction;
    transaction.conditions = {{lease::role_key(lease::Role::garbage_collection), fence_},
                              {kCursorKey, cursor_version_}};
    transaction.writes = {{kCursorKey, wire::Json{{"after", last_key_}, {"rounds", rounds_}}}};
    ++requests_;
    store_.commit_garbage_collection(
        *proof_, std::move(transaction),
        if_current([this, next_page_in](Millis now, const kvstore::CommitReply& reply) {
            on_cursor_written(next_page_in, reply, now);
        }));
}

void GarbageCollector::on_cursor_written(Millis next_page_in, const kvstore::CommitReply& reply,
                                         Millis now) {
    if (reply.status == kvstore::Status::ok) {
        cursor_version_ = reply.revision;
    } else if (reply.status != kvstore::Status::refused) {
        // The write may have been applied, or the cursor was written by another controller.
        return restart_at(now + kRetry);
    }
    sleep_until(now + next_page_in);
}

}  // namespace nickelramp::roles
