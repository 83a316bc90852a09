#include "api/confirmed_reads.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "jobs/job.h"

namespace nickelramp::api {

namespace {
constexpr std::size_t kJobPrefixLength = 4;
// Changes are read at least this often, even without readers, because the store retains them for a
// limited time only.
constexpr Millis kMaxReadInterval = 5'000;
constexpr Millis kRecordReadTimeout = 1'000;
}  // namespace

std::optional<RecordedStatus> decode_recorded_status(const wire::Json& record,
                                                     std::uint64_t version) {
    if (!record.is_object()) return std::nullopt;
    RecordedStatus status;
    status.version = version;
    status.tasks = wire::count_field(record, "tasks").value_or(0);
    const auto final = wire::text_field(record, "final");
    for (auto candidate : {wire::JobStatus::done, wire::JobStatus::cancelled}) {
        if (final == wire::status_name(candidate)) status.final = candidate;
    }
    return status;
}

ConfirmedReads::ConfirmedReads(JobStore& store, Millis min_read_interval,
                               std::function<void(Millis)> wake, std::size_t cache_generation_size)
    : store_(store),
      min_read_interval_(min_read_interval),
      wake_(std::move(wake)),
      cache_generation_size_(cache_generation_size) {}

void ConfirmedReads::set_state(ReadBatchState state) { state_ = state; }

const RecordedStatus* ConfirmedReads::find_cached(const std::string& id) const {
    for (const auto* cache : {&recent_cache_, &previous_cache_}) {
        const auto found = cache->find(id);
        if (found != cache->end()) return &found->second;
    }
    return nullptr;
}

void ConfirmedReads::cache(const std::string& id, const RecordedStatus& status) {
    // A read of the record may return before the read of an earlier change to the same record.
    if (const RecordedStatus* known = find_cached(id);
        known != nullptr && known->version > status.version)
        return;
    if (recent_cache_.size() >= cache_generation_size_) {
        ++generation_;  // may evict a change that a record read in progress has missed
        previous_cache_ = std::move(recent_cache_);
        recent_cache_.clear();
    }
    recent_cache_[id] = status;
}

void ConfirmedReads::read(const std::string& id, Millis timeout, Done done, Millis now) {
    waiting_for_next_read_.push_back({id, now + timeout, std::move(done)});
    if (state_ == ReadBatchState::idle) advance(now);
}

// Starts the next read if readers are waiting or the cache must be updated, unless the last read
// started less than the minimum interval ago.
void ConfirmedReads::advance(Millis now) {
    if (waiting_for_next_read_.empty() &&
        (revision_ == 0 || now < last_read_at_ + kMaxReadInterval)) {
        set_state(ReadBatchState::idle);
        return;
    }
    if (now < last_read_at_ + min_read_interval_) {
        set_state(ReadBatchState::pausing);
        wake_(last_read_at_ + min_read_interval_);
        return;
    }
    last_read_at_ = now;
    std::move(waiting_for_next_read_.begin(), waiting_for_next_read_.end(),
              std::back_inserter(waiting_for_current_read_));
    waiting_for_next_read_.clear();
    if (revision_ == 0)
        read_initial_revision();
    else
        read_changes();
}

void ConfirmedReads::read_changes() {
    set_state(ReadBatchState::reading);
    store_.changes(kJobPrefix, revision_,
                   [this](Millis now, const kvstore::ListReply& reply) { on_changes(reply, now); });
}

// The cache is cleared because the revision that it corresponds to is not known. Waiting reads are
// served by reads of individual records.
void ConfirmedReads::read_initial_revision() {
    set_state(ReadBatchState::starting);
    ++generation_;
    recent_cache_.clear();
    previous_cache_.clear();
    read_records(std::exchange(waiting_for_current_read_, {}));
    store_.revision([this](Millis now, const kvstore::ListReply& reply) {
        if (reply.status == kvstore::Status::ok) revision_ = reply.revision;
        advance(now);
    });
}

void ConfirmedReads::on_changes(const kvstore::ListReply& reply, Millis now) {
    auto reads = std::exchange(waiting_for_current_read_, {});
    if (reply.status != kvstore::Status::ok) {
        on_changes_failed(std::move(reads), reply.status, now);
        advance(now);
        return;
    }
    cache_changes(reply.entries);
    revision_ = std::max(revision_, reply.revision);
    std::vector<PendingRead> not_cached;
    for (PendingRead& read : reads) {
        if (const RecordedStatus* status = find_cached(read.id))
            read.done(Lookup::found, RecordedStatus(*status));
        else
            not_cached.push_back(std::move(read));
    }
    read_records(std::move(not_cached));
    advance(now);
}

// The readers arrived before this read started, so the next read can serve them as well.
void ConfirmedReads::on_changes_failed(std::vector<PendingRead> reads, kvstore::Status status,
                                       Millis now) {
    if (status == kvstore::Status::lease_or_revision_expired) revision_ = 0;
    for (PendingRead& read : reads) {
        if (now < read.deadline)
            waiting_for_next_read_.push_back(std::move(read));
        else
            read.done(Lookup::unknown, {});
    }
}

void ConfirmedReads::cache_changes(const std::vector<kvstore::Entry>& entries) {
    for (const kvstore::Entry& entry : entries) {
        if (entry.deleted || entry.key.size() <= kJobPrefixLength) continue;
        if (const auto status = decode_recorded_status(entry.value, entry.version))
            cache(entry.key.substr(kJobPrefixLength), *status);
    }
}

void ConfirmedReads::read_records(std::vector<PendingRead> reads) {
    std::unordered_map<std::string, std::vector<PendingRead>> by_id;
    for (PendingRead& read : reads) by_id[read.id].push_back(std::move(read));
    for (auto& [id, job_reads] : by_id) read_record(id, std::move(job_reads));
}

// Reads the record of a job that is not in the cache.
void ConfirmedReads::read_record(const std::string& id, std::vector<PendingRead> reads) {
    auto [found, inserted] = record_reads_.try_emplace(id);
    // A read in progress may have been executed before these readers arrived, so they are served by
    // another read after it.
    std::vector<PendingRead>& readers =
        inserted ? found->second.readers : found->second.later_readers;
    std::move(reads.begin(), reads.end(), std::back_inserter(readers));
    if (!inserted) return;
    const bool follows_changes = revision_ != 0;
    store_.get(jobs::job_key(id), kRecordReadTimeout,
               [this, id, follows_changes, generation = generation_](
                   Millis, const kvstore::GetReply& reply) {
                   on_record_read(id, follows_changes && generation == generation_, reply);
               });
}

// `may_cache` is set if changes were being followed when the read started and nothing has been
// evicted from the cache since. Only then a change to the record since the start of the read is
// certain to be in the cache.
void ConfirmedReads::on_record_read(const std::string& id, bool may_cache,
                                    const kvstore::GetReply& reply) {
    auto record_read = record_reads_.extract(id);
    const auto status = reply.status == kvstore::Status::ok
                            ? decode_recorded_status(reply.entry.value, reply.entry.version)
                            : std::nullopt;
    if (status && may_cache && find_cached(id) == nullptr) cache(id, *status);
    if (!record_read.mapped().later_readers.empty())
        read_record(id, std::move(record_read.mapped().later_readers));
    const Lookup without_status =
        reply.status == kvstore::Status::missing ? Lookup::missing : Lookup::unknown;
    for (PendingRead& read : record_read.mapped().readers) {
        if (status)
            read.done(Lookup::found, *status);
        else
            read.done(without_status, {});
    }
}

void ConfirmedReads::run_due_work(Millis now) {
    std::vector<Done> late;
    auto expire = [&](std::vector<PendingRead>& reads) {
        std::erase_if(reads, [&](PendingRead& read) {
            if (now < read.deadline) return false;
            late.push_back(std::move(read.done));
            return true;
        });
    };
    expire(waiting_for_next_read_);
    expire(waiting_for_current_read_);
    for (auto& [id, record_read] : record_reads_) {
        expire(record_read.readers);
        expire(record_read.later_readers);
    }
    for (Done& done : late) done(Lookup::unknown, {});
    if (state_ == ReadBatchState::idle || state_ == ReadBatchState::pausing) advance(now);
}

}  // namespace nickelramp::api
