/// @file
/// The garbage collection role: a slow walk over the records of runs, a page at a time and only
/// while the key-value store's budget is idle, that deletes those of jobs that are over. Such
/// records are left behind where a leader ended between a job's last transaction and the deletion
/// of what did not fit into it.
///
///   clean/cursor  {after, rounds}   how far the walk is, for whoever holds the role next
///
/// A record is deleted on condition of its version and of the role's fence. That its job is over
/// was read after the record was: an open record never comes back once it is gone (its id stays
/// taken), and runs are only written on condition of it.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kvstore/types.h"
#include "lease/lease_guard.h"
#include "lease/role.h"

namespace nickelramp::roles {

inline constexpr const char* kCursorKey = "clean/cursor";

/// What garbage collection asks of the key-value store. `done` is called once, later.
class GarbageCollectionStore {
  public:
    using CommitDone = std::function<void(Millis now, const kvstore::CommitReply&)>;
    using ListDone = std::function<void(Millis now, const kvstore::ListReply&)>;
    using Proof = lease::LeaseProof<lease::GarbageCollection>;

    virtual ~GarbageCollectionStore() = default;
    /// One page of at most `limit` keys with the prefix, beginning after `after`.
    virtual void list_page(const std::string& prefix, const std::string& after, std::size_t limit,
                           ListDone done) = 0;
    /// Sent only while the proof is valid.
    virtual void commit_garbage_collection(const Proof& proof, kvstore::Transaction transaction,
                                           CommitDone done) = 0;
    /// Nothing else wants the store.
    [[nodiscard]] virtual bool has_spare_budget() const = 0;
};

/// Owned by RoleManager on the loop's thread; handed the time. What fails is tried again later, at
/// the latest in the next round.
class GarbageCollector {
  public:
    using Proof = GarbageCollectionStore::Proof;

    /// `max_operations` is of one transaction: each deletion takes a write and a condition. `store`
    /// must outlive the collector.
    GarbageCollector(std::size_t max_operations, GarbageCollectionStore& store)
        : max_operations_(max_operations), store_(store) {}

    /// Moves on if it is time to. Called at every turn with the proof of the role, or with none.
    /// With another proof than before it begins where the cursor's record says.
    void run_due_work(const std::optional<Proof>& proof, Millis now);

    [[nodiscard]] std::uint64_t deleted_records() const { return deleted_records_; }
    [[nodiscard]] std::uint64_t rounds() const { return rounds_; }
    [[nodiscard]] std::uint64_t requests() const { return requests_; }

  private:
    enum class State {
        inactive,           // no role, or the cursor has to be read
        reading_cursor,     // how far the walk is
        sleeping,           // until the next page, or the next round
        reading_page,       // of runs
        reading_open_jobs,  // the open records of the page's jobs
        deleting,           // what belongs to none of them
        writing_cursor
    };
    struct Candidate {
        std::string key;
        std::string job;
        std::uint64_t version = 0;
    };
    void set_state(State state) { state_ = state; }
    void read_cursor();
    void on_cursor_read(const kvstore::ListReply& reply, Millis now);
    void read_page();
    void on_page_read(const kvstore::ListReply& reply, Millis now);
    void read_open_jobs();
    void on_open_jobs_read(const kvstore::ListReply& reply, Millis now);
    void delete_orphans(Millis now);
    void on_orphans_deleted(std::size_t count, const kvstore::CommitReply& reply, Millis now);
    void finish_page(Millis now);
    void write_cursor(Millis next_page_in);
    void on_cursor_written(Millis next_page_in, const kvstore::CommitReply& reply, Millis now);
    void sleep_until(Millis until);
    void restart_at(Millis at);
    template <typename OnReply>
    auto if_current(OnReply on_reply);

    std::size_t max_operations_;
    GarbageCollectionStore& store_;
    State state_ = State::inactive;
    std::uint64_t fence_ = 0;  // 0: this controller does not hold the role
    std::optional<Proof> proof_;
    Millis next_at_ = 0;

    std::string last_key_;  // that was looked at; empty: the beginning
    std::uint64_t cursor_version_ = 0;
    std::uint32_t pages_since_cursor_write_ = 0;
    bool round_finished_ = false;

    std::vector<Candidate> candidates_;  // runs of the page; then those without an open job
    std::set<std::string> open_jobs_;    // jobs of the page that are not over
    std::string open_scan_after_;
    std::string open_scan_last_;

    std::uint64_t rounds_ = 0;
    std::uint64_t deleted_records_ = 0;
    std::uint64_t requests_ = 0;
};

}  // namespace nickelramp::roles
