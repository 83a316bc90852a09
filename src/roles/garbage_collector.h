// The duty of cleaning: a slow walk over the records of runs, a page at a time and only while the
// state service's budget is idle, that drops those of jobs that are over. Such are left where a
// leader ended between a job's last transaction and the deletion of what did not fit into it.
//
//   clean/cursor  {after, rounds}   how far the walk is, for whoever has the duty next
//
// A record is dropped on condition of its stamp and of the duty's fence. That its job is over was
// read after the record was: an open record never comes back once it is gone (its id stays taken),
// and runs are only written on condition of it.
#pragma once
#include <functional>
#include <set>
#include <string>
#include <vector>

#include "lease/lease_guard.h"
#include "lease/role.h"

namespace nickelramp::roles {

inline constexpr const char* kCursorKey = "clean/cursor";

class GarbageCollector {
  public:
    struct Hooks {
        std::function<void(const std::string& prefix, const std::string& after, std::size_t most,
                           std::function<void(Millis, const kvstore::ListReply&)>)>
            list_page;
        // Sent only while the permit lasts.
        std::function<void(const lease::LeaseProof<lease::GarbageCollection>&, kvstore::Transaction,
                           std::function<void(Millis, const kvstore::CommitReply&)>)>
            commit;
        std::function<bool()> has_spare_budget;  // does nothing else want the state service?
    };
    GarbageCollector(std::size_t most_writes, Hooks hooks)
        : max_writes_(most_writes), hooks_(std::move(hooks)) {}

    // Moves on if it is time to; under another permit than before it begins where the record says.
    void run_due_work(const std::optional<lease::LeaseProof<lease::GarbageCollection>>& permit,
                      Millis now);
    std::uint64_t deleted_records() const { return deleted_records_; }
    std::uint64_t rounds() const { return rounds_; }
    std::uint64_t requests() const { return requests_; }

  private:
    // off:      no duty
    // finding:  reading how far the walk is
    // resting:  until the next page, or the next round
    // reading:  a page of runs
    // matching: the open records of its jobs
    // dropping: what belongs to none of them
    // noting:   how far it is
    enum class State {
        inactive,
        reading_cursor,
        sleeping,
        reading_page,
        reading_open_jobs,
        deleting,
        writing_cursor
    };
    void set_state(State state) { state_ = state; }
    void read_cursor();
    void read_page();
    void read_open_jobs();
    void delete_orphans(Millis now);
    void write_cursor(Millis now);
    void sleep_until(Millis until);
    template <typename F>
    auto if_current(F f);

    std::size_t max_writes_;
    Hooks hooks_;
    State state_ = State::inactive;
    std::uint64_t fence_ = 0;
    std::optional<lease::LeaseProof<lease::GarbageCollection>> lease_proof_;
    Millis next_at_ = 0;
    std::string last_key_;  // the last key that was looked at
    std::uint64_t cursor_version_ = 0;
    std::uint64_t rounds_ = 0, deleted_records_ = 0, requests_ = 0;
    std::uint32_t pages_since_cursor_write_ = 0;  // pages
    bool round_finished_ = false;
    struct Found {
        std::string key, job;
        std::uint64_t version = 0;
    };
    std::vector<Found> orphan_candidates_;
    std::set<std::string> open_jobs_;  // jobs of the page that are not over
    std::string open_scan_after_, open_scan_last_;
};

}  // namespace nickelramp::roles
