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

/// A job's status as its record in the key-value store has it.
struct RecordedStatus {
    /// The revision at which the record was written.
    std::uint64_t version = 0;
    /// The number of the job's tasks.
    std::uint64_t tasks = 0;
    /// `done` or `cancelled`, once it is one of them.
    std::optional<wire::JobStatus> final;
};
/// Nothing if the record is no map.
std::optional<RecordedStatus> decode_recorded_status(const wire::Json& record,
                                                     std::uint64_t version);

/// idle:     no read is needed
/// pausing:  readers wait; the next read is not due yet
/// reading:  a read of changes is under way; new readers wait for the next one
/// starting: the revision from which changes can be read is being asked for
enum class ReadBatchState { idle, pausing, reading, starting };

/// Reads the status of jobs so that every result is true of a moment after its read was asked for:
/// no controller can give an older status than another has given before. All readers of a time
/// share one read of the changes to all jobs' records, so that the load on the store does not grow
/// with their number; a record that has not changed since this controller follows the changes is
/// read by itself. Has no clock and no sockets: a ConfirmedReadsDriver or a simulation calls it.
class ConfirmedReads {
  public:
    /// `unknown`: the store did not reply in time, or refuses.
    enum class Lookup { found, missing, unknown };
    using Done = std::function<void(Lookup, const RecordedStatus&)>;

    /// The store must outlive this. `min_read_interval` (milliseconds) is kept between the
    /// beginnings of two reads of changes. `wake` asks for a call of run_due_work() at a time. The
    /// cache holds up to twice `cache_generation_size` records.
    ConfirmedReads(JobStore& store, Millis min_read_interval, std::function<void(Millis)> wake,
                   std::size_t cache_generation_size = 10'000);

    /// `done` is called once, by the first run_due_work() after `timeout` (milliseconds) at the
    /// latest. The status is set with Lookup::found only.
    void read(const std::string& id, Millis timeout, Done done, Millis now);
    /// True if a record of the job is cached; it says nothing of the job's present status.
    bool has_record(const std::string& id) const { return find_cached(id) != nullptr; }
    /// Ends reads that are late and begins the next read if it is due.
    void run_due_work(Millis now);

  private:
    struct PendingRead {
        std::string id;
        Millis deadline;
        Done done;
    };
    // One read of a record, for all its readers. Those that came while it was under way need
    // another one after it.
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
    std::uint64_t revision_ = 0;  // of which the cache is true; 0: of none
    const std::size_t cache_generation_size_;
    std::uint64_t generation_ = 0;  // grows whenever records are dropped from the cache
    Millis last_read_at_ = 0;
    std::vector<PendingRead> waiting_for_next_read_;
    std::vector<PendingRead> waiting_for_current_read_;
    std::unordered_map<std::string, RecordRead> record_reads_;
    std::unordered_map<std::string, RecordedStatus> recent_cache_, previous_cache_;
};

}  // namespace nickelramp::api
