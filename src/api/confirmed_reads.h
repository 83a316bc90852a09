// What users may be told of a job, confirmed by the state service. All who ask at the same time
// share one read: the changes to all jobs' records since the last one, so that the cost does not
// follow the number of questions. An answer is true of a moment after its question had come, so no
// node can give an older one than another has given before.
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

// What a job's own record says.
struct RecordedStatus {
    std::uint64_t version = 0;
    std::uint64_t tasks = 0;
    std::optional<wire::JobStatus> final;  // done or cancelled, once it is
};
std::optional<RecordedStatus> decode_recorded_status(const wire::Json& record,
                                                     std::uint64_t version);

// idle:     nobody waits
// pausing:  somebody waits; the next read is not due yet
// reading:  a read is under way; who comes now waits for the next one
// starting: there is no revision to read on from
enum class ReadBatchState { idle, pausing, reading, starting };
const char* name(ReadBatchState state);

class ConfirmedReads {
  public:
    enum class Lookup { found, missing, unknown };
    using Done = std::function<void(Lookup, const RecordedStatus&)>;

    // `gap`: between two reads. `wake`: come back at that time. `half`: records in each half.
    ConfirmedReads(JobStore& records, Millis gap, std::function<void(Millis)> wake,
                   std::size_t half = 10'000);

    // Answered once, at the first `tend` after `patience` at the latest.
    void read(const std::string& id, Millis patience, Done done, Millis now);
    // Is there a record of the job, as far as is known without a read?
    bool has_record(const std::string& id) const { return find_cached(id) != nullptr; }
    void run_due_work(Millis now);

    std::size_t pending_count() const {
        return waiting_for_next_read_.size() + waiting_for_current_read_.size();
    }
    ReadBatchState state() const { return state_; }

  private:
    struct Question {
        std::string id;
        Millis deadline;
        Done on_result;
    };
    // One get for all of them. Those that came while it was under way are asked for after it.
    struct RecordRead {
        std::vector<Question> readers, later_readers;
    };
    void set_state(ReadBatchState s);
    void advance(Millis now);
    void read_changes();
    void read_initial_revision();
    void on_record_read(const std::string& id, bool may_keep, const kvstore::GetReply& reply);
    void on_changes(const kvstore::ListReply& reply, Millis now);
    void read_records(std::vector<Question> questions);
    void read_record(const std::string& id, std::vector<Question> questions);
    void cache(const std::string& id, const RecordedStatus& status);
    const RecordedStatus* find_cached(const std::string& id) const;

    JobStore& store_;
    const Millis min_read_interval_;
    std::function<void(Millis)> wake_;
    ReadBatchState state_ = ReadBatchState::idle;
    std::uint64_t revision_ = 0;  // what is known is true of it; 0: nothing is
    const std::size_t cache_generation_size_;
    std::uint64_t generation_ = 0;  // grows whenever something kept is let go
    Millis last_read_at_ = 0;
    std::vector<Question> waiting_for_next_read_;     // for the next read
    std::vector<Question> waiting_for_current_read_;  // by the one under way
    std::unordered_map<std::string, RecordRead> record_reads_;
    std::unordered_map<std::string, RecordedStatus> recent_cache_,
        previous_cache_;  // the last that were of interest
};

}  // namespace nickelramp::api
