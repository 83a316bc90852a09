/// @file
/// Linearizable reads of the status of jobs.
#pragma once
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "api/job_store.h"
#include "base/time.h"
#include "wire/messages.h"

namespace nickelramp::api {

/// A job's status according to its record in the key-value store.
struct RecordedStatus {
    /// The revision at which the record was written.
    std::uint64_t version = 0;
    /// The number of the job's tasks.
    std::uint64_t tasks = 0;
    /// `done` or `cancelled`. Not set while the job is open.
    std::optional<wire::JobStatus> final;
};
/// Decodes a job's record. Returns nothing if the record is not a map.
std::optional<RecordedStatus> decode_recorded_status(const wire::Json& record,
                                                     std::uint64_t version);

/// State of the batched reads of changes.
/// - idle:     no read is needed
/// - pausing:  the next read is not due yet
/// - reading:  a read of changes is in progress; new readers wait for the next one
/// - starting: the revision from which changes can be read is being requested
enum class ReadBatchState { idle, pausing, reading, starting };

/// Linearizable reads of the status of jobs: every result was current at some time after its read
/// was requested, so no controller returns an older status than another has returned before.
/// Concurrent readers share one read of the changes to all jobs' records, so the load on the store
/// does not grow with their number. A record that has not changed since this controller began to
/// follow the changes is read individually. The class uses no clock and no sockets. It is driven by
/// a ConfirmedReadsDriver or a simulation.
class ConfirmedReads {
  public:
    /// `unknown`: the store did not reply in time or rejected the request.
    enum class Lookup { found, missing, unknown };
    using Done = std::function<void(Lookup, const RecordedStatus&)>;

    /// The store must outlive this object. `min_read_interval` is the minimum time between the
    /// starts of two reads of changes. `wake` schedules a call of run_due_work() at the given time.
    /// The cache holds up to twice `cache_generation_size` records.
    ConfirmedReads(JobStore& store, Millis min_read_interval, std::function<void(Millis)> wake,
                   std::size_t cache_generation_size = 10'000);

    /// Reads the status of a job. `done` is called once, at the latest by the first run_due_work()
    /// after `timeout`. The status is only set with Lookup::found.
    void read(const std::string& id, Millis timeout, Done done, Millis now);
    /// Returns whether a record of the job is cached. The cached status may be outdated.
    bool has_record(const std::string& id) const { return find_cached(id) != nullptr; }
    /// Ends reads whose timeout has expired and starts the next read of changes if it is due.
    void run_due_work(Millis now);

  private:
    struct PendingRead {
        std::string id;
        Millis deadline;
        Done done;
    };
    // One read of a record, shared by all its readers. `later_readers` arrived while it was in
    // progress and need another read after it.
    struct RecordRead {
        std::vector<PendingRead> readers, later_readers;
    };
    void set_state(ReadBatchState state);
    void advance(Millis now);
    void read_changes();
    void read_initial_revision();
    void on_changes(const kvstore::ListReply& reply, Millis now);
    void on_changes_failed(std::vector<PendingRead> reads, kvstore::Status status, Millis now);
    void cache_changes(const std::vector<kvstore::Entry>& entries);
    void read_records(std::vector<PendingRead> reads);
    void read_record(const std::string& id, std::vector<PendingRead> reads);
    void on_record_read(const std::string& id, bool may_cache, const kvstore::GetReply& reply);
    void cache(const std::string& id, const RecordedStatus& status);
    const RecordedStatus* find_cached(const std::string& id) const;

    JobStore& store_;
    const Millis min_read_interval_;
    std::function<void(Millis)> wake_;
    ReadBatchState state_ = ReadBatchState::idle;
    std::uint64_t revision_ = 0;  // revision to which the cache is up to date; 0: none
    const std::size_t cache_generation_size_;
    std::uint64_t generation_ = 0;  // incremented whenever records are evicted from the cache
    Millis last_read_at_ = 0;
    std::vector<PendingRead> waiting_for_next_read_;
    std::vector<PendingRead> waiting_for_current_read_;
    std::unordered_map<std::string, RecordRead> record_reads_;
    std::unordered_map<std::string, RecordedStatus> recent_cache_, previous_cache_;
};

}  // namespace nickelramp::api
