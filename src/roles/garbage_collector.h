/// @file
/// The garbage collection role. It scans the run records slowly, one page at a time and only while
/// the key-value store has spare budget, and deletes those of ended jobs. Such records remain if a
/// leader stops after a job's last transaction and before deleting the records that did not fit
/// into that transaction.
///
///   clean/cursor  {after, rounds}   progress of the scan, for the next holder of the role
///
/// A deletion is conditional on the record's version and on the role's fence. The job's open record
/// is looked up after the run record was read. This is safe because an open record is never created
/// again once it is deleted (the job's id stays in use), and run records are only written on
/// condition that the open record exists.
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

/// Key-value store operations that garbage collection needs. `done` is called exactly once, after
/// the call has returned.
class GarbageCollectionStore {
  public:
    using CommitDone = std::function<void(Millis now, const kvstore::CommitReply&)>;
    using ListDone = std::function<void(Millis now, const kvstore::ListReply&)>;
    using Proof = lease::LeaseProof<lease::GarbageCollection>;

    virtual ~GarbageCollectionStore() = default;
    /// Reads one page of at most `limit` keys with the prefix, beginning after the key `after`.
    virtual void list_page(const std::string& prefix, const std::string& after, std::size_t limit,
                           ListDone done) = 0;
    /// Commits the transaction. It is sent only while the proof is valid.
    virtual void commit_garbage_collection(const Proof& proof, kvstore::Transaction transaction,
                                           CommitDone done) = 0;
    /// Returns whether no other request waits for the store.
    [[nodiscard]] virtual bool has_spare_budget() const = 0;
};

/// Owned by RoleManager; runs on the event loop's thread and reads no clock. Failed requests are
/// retried later, at the latest in the next round.
class GarbageCollector {
  public:
    using Proof = GarbageCollectionStore::Proof;

    /// `max_operations` limits one transaction; each deletion takes a write and a condition.
    /// `store` must outlive the collector.
    GarbageCollector(std::size_t max_operations, GarbageCollectionStore& store)
        : max_operations_(max_operations), store_(store) {}

    /// Performs the next step if it is due. Called at every tick with the proof of the role, or
    /// without one if this controller does not hold the role. If the fence has changed, the scan
    /// resumes from the stored cursor.
    void run_due_work(const std::optional<Proof>& proof, Millis now);

    [[nodiscard]] std::uint64_t deleted_records() const { return deleted_records_; }
    [[nodiscard]] std::uint64_t rounds() const { return rounds_; }
    [[nodiscard]] std::uint64_t requests() const { return requests_; }

  private:
    enum class State {
        inactive,           // the role is not held, or the cursor has to be read
        reading_cursor,     // reading the stored progress of the scan
        sleeping,           // until the next page, or the next round
        reading_page,       // reading run records
        reading_open_jobs,  // reading the open records of the page's jobs
        deleting,           // deleting run records without an open job
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

    std::string last_key_;  // last key scanned; empty: the scan starts at the beginning
    std::uint64_t cursor_version_ = 0;
    std::uint32_t pages_since_cursor_write_ = 0;
    bool round_finished_ = false;

    std::vector<Candidate> candidates_;  // run records of the page, later those without an open job
    std::set<std::string> open_jobs_;    // ids of open jobs in the page's range
    std::string open_scan_after_;
    std::string open_scan_last_;

    std::uint64_t rounds_ = 0;
    std::uint64_t deleted_records_ = 0;
    std::uint64_t requests_ = 0;
};

}  // namespace nickelramp::roles
