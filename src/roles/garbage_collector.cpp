#include "roles/garbage_collector.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "jobs/job.h"

namespace nickelramp::roles {

namespace {
constexpr std::size_t kPage = 100;
constexpr Millis kPageGap = 2'000;    // a page of runs and the open records beside it
constexpr Millis kRoundGap = 60'000;  // nothing is in a hurry
constexpr Millis kBusy = 1'000;       // others want the state service
constexpr std::uint32_t kNoteEvery = 16;
}  // namespace

// Answers that were asked for under another fence are dropped.
template <typename F>
auto GarbageCollector::if_current(F f) {
    return [this, fence = fence_, f = std::move(f)](Millis t, const auto& reply) {
        if (fence_ == fence && state_ != State::inactive) f(t, reply);
    };
}

void GarbageCollector::sleep_until(Millis until) {
    next_at_ = until;
    set_state(State::sleeping);
}

void GarbageCollector::run_due_work(
    const std::optional<lease::LeaseProof<lease::GarbageCollection>>& permit, Millis now) {
    const std::uint64_t fence = permit ? permit->fence() : 0;
    if (fence != fence_) {
        fence_ = fence;
        lease_proof_ = permit;
        next_at_ = 0;
        set_state(State::inactive);
    }
    if (!permit || now < next_at_) return;
    if (state_ != State::inactive && state_ != State::sleeping) return;
    if (!hooks_.has_spare_budget()) {
        next_at_ = now + kBusy;
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
    hooks_.list_page(kCursorKey, "", 1,
                     if_current([this](Millis t, const kvstore::ListReply& reply) {
                         if (reply.status != kvstore::Status::ok) {
                             set_state(State::inactive);
                             next_at_ = t + kBusy;
                             return;
                         }
                         last_key_.clear();
                         cursor_version_ = 0;
                         if (!reply.entries.empty()) {
                             const kvstore::Entry& entry = reply.entries.front();
                             cursor_version_ = entry.version;
                             last_key_ = wire::text_field(entry.value, "after").value_or("");
                             rounds_ = wire::count_field(entry.value, "rounds").value_or(0);
                         }
                         sleep_until(t + kPageGap);
                     }));
}

void GarbageCollector::read_page() {
    set_state(State::reading_page);
    ++requests_;
    hooks_.list_page(
        "run/", last_key_, kPage, if_current([this](Millis t, const kvstore::ListReply& reply) {
            if (reply.status != kvstore::Status::ok) return sleep_until(t + kBusy);
            orphan_candidates_.clear();
            open_jobs_.clear();
            for (const kvstore::Entry& entry : reply.entries) {
                // What is no run record stays as it is.
                if (auto run_key = jobs::parse_run_key(entry.key))
                    orphan_candidates_.push_back({entry.key, run_key->job_id, entry.version});
            }
            round_finished_ = !reply.more || reply.entries.empty();
            if (!reply.entries.empty()) last_key_ = reply.entries.back().key;
            if (orphan_candidates_.empty()) {
                write_cursor(t);
                return;
            }
            auto [first, last] =
                std::minmax_element(orphan_candidates_.begin(), orphan_candidates_.end(),
                                    [](const Found& a, const Found& b) { return a.job < b.job; });
            // Lists begin after a key: one that is before the first job's.
            open_scan_after_ = jobs::open_key(first->job);
            open_scan_after_.pop_back();
            open_scan_last_ = jobs::open_key(last->job);
            read_open_jobs();
        }));
}

void GarbageCollector::read_open_jobs() {
    set_state(State::reading_open_jobs);
    ++requests_;
    hooks_.list_page("open/", open_scan_after_, kPage,
                     if_current([this](Millis t, const kvstore::ListReply& reply) {
                         // From the beginning: nothing was dropped of this page.
                         if (reply.status != kvstore::Status::ok) {
                             last_key_.clear();
                             return sleep_until(t + kBusy);
                         }
                         for (const kvstore::Entry& entry : reply.entries)
                             open_jobs_.insert(jobs::job_id_of_open_key(entry.key));
                         if (reply.more && !reply.entries.empty() &&
                             reply.entries.back().key < open_scan_last_) {
                             open_scan_after_ = reply.entries.back().key;
                             read_open_jobs();
                             return;
                         }
                         std::erase_if(orphan_candidates_, [&](const Found& f) {
                             return open_jobs_.count(f.job) != 0;
                         });
                         delete_orphans(t);
                     }));
}

void GarbageCollector::delete_orphans(Millis now) {
    if (orphan_candidates_.empty()) {
        write_cursor(now);
        return;
    }
    set_state(State::deleting);
    kvstore::Transaction transaction;
    transaction.conditions = {{lease::role_key(lease::Role::garbage_collection), fence_}};
    while (!orphan_candidates_.empty() &&
           transaction.writes.size() < std::max<std::size_t>(1, max_writes_ / 2)) {
        transaction.conditions.push_back(
            {orphan_candidates_.back().key, orphan_candidates_.back().version});
        transaction.writes.push_back({orphan_candidates_.back().key, std::nullopt});
        orphan_candidates_.pop_back();
    }
    const std::size_t n = transaction.writes.size();
    ++requests_;
    hooks_.commit(*lease_proof_, std::move(transaction),
                  if_current([this, n](Millis t, const kvstore::CommitReply& reply) {
                      if (reply.status == kvstore::Status::ok) {
                          deleted_records_ += n;
                          spdlog::info("cleaning: {} records of jobs that are over dropped", n);
                      } else if (reply.status != kvstore::Status::conflict) {
                          return sleep_until(t + kBusy);  // the next round finds them
                      }
                      delete_orphans(t);
                  }));
}

// How far it is, now and then and at the end of a round that found something to do.
void GarbageCollector::write_cursor(Millis now) {
    ++pages_since_cursor_write_;
    const bool worth = pages_since_cursor_write_ >= kNoteEvery;
    if (round_finished_) {
        last_key_.clear();
        ++rounds_;
    }
    const Millis gap = round_finished_ ? kRoundGap : kPageGap;
    if (!worth) {
        sleep_until(now + gap);
        return;
    }
    pages_since_cursor_write_ = 0;
    set_state(State::writing_cursor);
    kvstore::Transaction transaction;
    transaction.conditions = {{lease::role_key(lease::Role::garbage_collection), fence_},
                              {kCursorKey, cursor_version_}};
    transaction.writes = {{kCursorKey, wire::Json{{"after", last_key_}, {"rounds", rounds_}}}};
    ++requests_;
    hooks_.commit(*lease_proof_, std::move(transaction),
                  if_current([this, gap](Millis t, const kvstore::CommitReply& reply) {
                      if (reply.status == kvstore::Status::ok)
                          cursor_version_ = reply.revision;
                      else if (reply.status != kvstore::Status::refused) {
                          // Applied after all, or another's: read it again.
                          set_state(State::inactive);
                          next_at_ = t + kBusy;
                          return;
                      }
                      sleep_until(t + gap);
                  }));
}

}  // namespace nickelramp::roles
