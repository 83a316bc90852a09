#include "api/confirmed_reads.h"

#include <algorithm>
#include <utility>

#include "jobs/job.h"

namespace nickelramp::api {

namespace {
constexpr const char* kPrefix = "job/";
constexpr std::size_t kPrefixLength = 4;
constexpr Millis kKeepUp = 5'000;  // read at least so often, or too much has changed
constexpr Millis kLookUp = 1'000;
}  // namespace

std::optional<RecordedStatus> decode_recorded_status(const wire::Json& record,
                                                     std::uint64_t version) {
    if (!record.is_object()) return std::nullopt;
    RecordedStatus status;
    status.version = version;
    status.tasks = wire::count_field(record, "tasks").value_or(0);
    const auto final = wire::text_field(record, "final");
    for (auto s : {wire::JobStatus::done, wire::JobStatus::cancelled}) {
        if (final == wire::final_name(s)) status.final = s;
    }
    return status;
}

const char* name(ReadBatchState state) {
    switch (state) {
        case ReadBatchState::idle:
            return "idle";
        case ReadBatchState::pausing:
            return "pausing";
        case ReadBatchState::reading:
            return "reading";
        case ReadBatchState::starting:
            return "starting";
    }
    return "?";
}

ConfirmedReads::ConfirmedReads(JobStore& records, Millis gap, std::function<void(Millis)> wake,
                               std::size_t half)
    : store_(records),
      min_read_interval_(gap),
      wake_(std::move(wake)),
      cache_generation_size_(half) {}

void ConfirmedReads::set_state(ReadBatchState state) { state_ = state; }

const RecordedStatus* ConfirmedReads::find_cached(const std::string& id) const {
    for (const auto* half : {&recent_cache_, &previous_cache_}) {
        auto it = half->find(id);
        if (it != half->end()) return &it->second;
    }
    return nullptr;
}

void ConfirmedReads::cache(const std::string& id, const RecordedStatus& status) {
    // A lookup may have been faster than the read of the change before it.
    if (const RecordedStatus* known = find_cached(id);
        known != nullptr && known->version > status.version)
        return;
    if (recent_cache_.size() >= cache_generation_size_) {
        ++generation_;  // what a lookup under way has missed may be among what goes
        previous_cache_ = std::move(recent_cache_);
        recent_cache_.clear();
    }
    recent_cache_[id] = status;
}

void ConfirmedReads::read(const std::string& id, Millis patience, Done done, Millis now) {
    waiting_for_next_read_.push_back({id, now + patience, std::move(done)});
    if (state_ == ReadBatchState::idle) advance(now);
}

// Reads for those that wait, when the gap since the last read is over.
void ConfirmedReads::advance(Millis now) {
    if (waiting_for_next_read_.empty() && (revision_ == 0 || now < last_read_at_ + kKeepUp)) {
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
    store_.changes(kPrefix, revision_,
                   [this](Millis t, const kvstore::ListReply& reply) { on_changes(reply, t); });
}

// Nothing that is kept is true of a known revision. What is asked meanwhile is looked up one by
// one.
void ConfirmedReads::read_initial_revision() {
    set_state(ReadBatchState::starting);
    ++generation_;
    recent_cache_.clear();
    previous_cache_.clear();
    read_records(std::exchange(waiting_for_current_read_, {}));
    store_.revision([this](Millis t, const kvstore::ListReply& reply) {
        if (reply.status == kvstore::Status::ok) revision_ = reply.revision;
        advance(t);
    });
}

void ConfirmedReads::on_changes(const kvstore::ListReply& reply, Millis now) {
    auto served = std::exchange(waiting_for_current_read_, {});
    if (reply.status != kvstore::Status::ok) {
        if (reply.status == kvstore::Status::lease_or_revision_expired) revision_ = 0;
        // They came before this read and may be served by the next.
        for (Question& q : served) {
            if (now < q.deadline)
                waiting_for_next_read_.push_back(std::move(q));
            else
                q.on_result(Lookup::unknown, {});
        }
        advance(now);
        return;
    }
    for (const kvstore::Entry& entry : reply.entries) {
        if (entry.deleted || entry.key.size() <= kPrefixLength) continue;
        if (auto status = decode_recorded_status(entry.value, entry.version))
            cache(entry.key.substr(kPrefixLength), *status);
    }
    revision_ = std::max(revision_, reply.revision);
    std::vector<Question> unknown;
    for (Question& q : served) {
        if (const RecordedStatus* status = find_cached(q.id))
            q.on_result(Lookup::found, RecordedStatus(*status));
        else
            unknown.push_back(std::move(q));
    }
    read_records(std::move(unknown));
    advance(now);
}

void ConfirmedReads::read_records(std::vector<Question> questions) {
    std::unordered_map<std::string, std::vector<Question>> by_id;
    for (Question& q : questions) by_id[q.id].push_back(std::move(q));
    for (auto& [id, same] : by_id) read_record(id, std::move(same));
}

// A job whose record has not changed since this node follows them.
void ConfirmedReads::read_record(const std::string& id, std::vector<Question> questions) {
    auto [it, fresh] = record_reads_.try_emplace(id);
    // One that is under way may have been executed before these came; it is asked again after it.
    std::vector<Question>& list = fresh ? it->second.readers : it->second.later_readers;
    std::move(questions.begin(), questions.end(), std::back_inserter(list));
    if (!fresh) return;
    store_.get(jobs::job_key(id), kLookUp,
               [this, id, based = revision_ != 0, g = generation_](Millis,
                                                                   const kvstore::GetReply& reply) {
                   on_record_read(id, based && g == generation_, reply);
               });
}

// Whatever has changed the record since it was asked for is known by now, if changes were followed
// by then and nothing kept was let go since: `may_keep`.
void ConfirmedReads::on_record_read(const std::string& id, bool may_keep,
                                    const kvstore::GetReply& reply) {
    auto node = record_reads_.extract(id);
    const auto status = reply.status == kvstore::Status::ok
                            ? decode_recorded_status(reply.entry.value, reply.entry.version)
                            : std::nullopt;
    if (status && may_keep && find_cached(id) == nullptr) cache(id, *status);
    if (!node.mapped().later_readers.empty())
        read_record(id, std::move(node.mapped().later_readers));
    for (Question& q : node.mapped().readers) {
        if (status)
            q.on_result(Lookup::found, *status);
        else
            q.on_result(
                reply.status == kvstore::Status::missing ? Lookup::missing : Lookup::unknown, {});
    }
}

void ConfirmedReads::run_due_work(Millis now) {
    std::vector<Done> late;
    auto expire = [&](std::vector<Question>& list) {
        std::erase_if(list, [&](Question& q) {
            if (now < q.deadline) return false;
            late.push_back(std::move(q.on_result));
            return true;
        });
    };
    expire(waiting_for_next_read_);
    expire(waiting_for_current_read_);
    for (auto& [id, l] : record_reads_) {
        expire(l.readers);
        expire(l.later_readers);
    }
    for (Done& done : late) done(Lookup::unknown, {});
    if (state_ == ReadBatchState::idle || state_ == ReadBatchState::pausing) advance(now);
}

}  // namespace nickelramp::api
