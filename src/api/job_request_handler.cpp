#include "api/job_request_handler.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "api/job_admission.h"
#include "base/result.h"

namespace nickelramp::api {

using net::Response;
using wire::JobStatus;
using wire::Json;

namespace {

constexpr const char* kCollectionPath = "/work";
constexpr const char* kJobPathPrefix = "/work/";
constexpr const char* kCancelSuffix = "/abort";

// Users wait up to 5 s for a submission or a cancellation, and up to 2 s for a status.
constexpr Millis kChangeTimeout = 3500;
constexpr Millis kStatusTimeout = 1500;
constexpr std::size_t kMaxPendingRequests = 1000;
// How long a cancel request waits for the job to end, which usually takes a twentieth of this time.
// Only a few requests wait at a time; the others are answered with 503.
constexpr Millis kJobEndTimeout = 800;
constexpr std::size_t kMaxPendingCancellations = 2;

constexpr int kOk = 200, kCreated = 201, kBadRequest = 400, kNotFound = 404,
              kMethodNotAllowed = 405, kUnprocessable = 422, kUnavailable = 503;
constexpr const char* kCbor = "application/cbor";
constexpr int kRetryAfterSeconds = 1;

Response success(int status, const Json& body) { return {status, wire::encode(body), 0, kCbor}; }
Response failure(int status, const std::string& reason) {
    return {status, wire::encode({{"error", reason}}), 0, kCbor};
}
Response try_again() {
    return {kUnavailable, wire::encode({{"error", "try again"}}), kRetryAfterSeconds, kCbor};
}
Response no_such_job() { return failure(kNotFound, "no such job"); }

// A valid submission.
struct Submission {
    wire::JobSpec spec;
    Json open_record;
};

// Parses a submission. The error is the response to an invalid one. Unknown fields are ignored:
// they are not stored and do not count towards the size limit.
Result<Submission, Response> read_submission(const std::string& body, std::int64_t wall_ms,
                                             double max_value_bytes) {
    const auto map = wire::decode_map(body);
    if (!map || !wire::is_plain_json(*map))
        return failure(kBadRequest, "the body is no CBOR map of plain values");
    auto spec = wire::parse_job(*map);
    if (!spec) return failure(kBadRequest, spec.error().message());
    if (!wire::json_size(*map)) return failure(kBadRequest, "text is to be UTF-8");
    Json open_record = jobs::encode_open_record(wire::known_job_fields(*map), wall_ms);
    const auto size = static_cast<double>(wire::json_size(open_record).value());
    if (size > max_value_bytes) return failure(kBadRequest, "the description is too long");
    return Submission{std::move(*spec), std::move(open_record)};
}

// Returns the job's final status if the changes contain it.
std::optional<RecordedStatus> find_final_status(const std::vector<kvstore::Entry>& entries,
                                                const std::string& job_id) {
    for (const kvstore::Entry& entry : entries) {
        if (entry.deleted || entry.key != jobs::job_key(job_id)) continue;
        const auto status = decode_recorded_status(entry.value, entry.version);
        if (status && status->final) return status;
    }
    return std::nullopt;
}

}  // namespace

JobRequestHandler::JobRequestHandler(const wire::Settings& settings, JobStore& store,
                                     ConfirmedReads& reads, Hooks hooks)
    : settings_(settings), store_(store), reads_(reads), hooks_(std::move(hooks)) {}

bool JobRequestHandler::handle(const net::Request& request, Respond respond) {
    if (request.path == kCollectionPath) {
        handle_submission(request, std::move(respond));
        return true;
    }
    if (request.path.rfind(kJobPathPrefix, 0) != 0) return false;
    handle_job_request(request, std::move(respond));
    return true;
}

bool JobRequestHandler::is_overloaded() const { return pending_count_ >= kMaxPendingRequests; }

void JobRequestHandler::handle_job_request(const net::Request& request, Respond respond) {
    const std::string_view suffix = kCancelSuffix;
    std::string id = request.path.substr(std::string_view(kJobPathPrefix).size());
    const bool is_cancel = id.size() > suffix.size() && id.ends_with(suffix);
    if (is_cancel) id.resize(id.size() - suffix.size());
    if (!wire::valid_job_id(id)) {
        const bool is_one_segment = id.find('/') == std::string::npos;
        respond(failure(is_one_segment ? kBadRequest : kNotFound, "id"));
    } else if (is_overloaded()) {
        respond(try_again());
    } else if (is_cancel && request.method == "POST") {
        cancel(make_request(id, kChangeTimeout, std::move(respond)));
    } else if (!is_cancel && request.method == "GET") {
        respond_with_status(make_request(id, kStatusTimeout, std::move(respond)), no_such_job());
    } else {
        respond(failure(kMethodNotAllowed, is_cancel ? "use POST" : "use GET"));
    }
}

JobRequestHandler::PendingRequest JobRequestHandler::make_request(const std::string& id,
                                                                  Millis timeout,
                                                                  Respond respond) const {
    const Millis now = hooks_.now();
    return {id, now, now + timeout, std::move(respond)};
}

void JobRequestHandler::request_started() {
    if (pending_count_++ == 0) pending_since_ = hooks_.now();
}

void JobRequestHandler::request_finished() { --pending_count_; }

void JobRequestHandler::respond_to_submission(const PendingRequest& request,
                                              const Response& response) {
    hooks_.on_answered("submit", response.status, hooks_.now() - request.received_at);
    request.respond(response);
}

void JobRequestHandler::respond_with_recorded_status(const RecordedStatus& status,
                                                     const PendingRequest& request) {
    wire::TaskCounts counts;
    JobStatus job_status = JobStatus::pending;
    if (status.final) {
        job_status = *status.final;
        if (job_status == JobStatus::done) counts.done = status.tasks;
    } else {
        counts = hooks_.progress(request.job_id);
        if (counts.running > 0) job_status = JobStatus::running;
    }
    request.respond(success(kOk, wire::encode_job_answer(request.job_id, job_status, counts)));
}

void JobRequestHandler::handle_submission(const net::Request& request, Respond respond) {
    if (request.method != "POST") return respond(failure(kMethodNotAllowed, "use POST"));
    if (is_overloaded()) return respond(try_again());
    auto submission = read_submission(request.body, hooks_.wall_ms(), settings_.max_value_bytes());
    if (!submission) return respond(submission.error());
    if (!has_machine_types()) return respond(try_again());  // cannot be validated yet
    submit(submission->spec, std::move(submission->open_record),
           make_request(submission->spec.id, kChangeTimeout, std::move(respond)));
}

void JobRequestHandler::submit(const wire::JobSpec& spec, Json open_record,
                               const PendingRequest& request) {
    // A job that was accepted earlier must not be rejected now, so its status is read first.
    if (const auto reason = unschedulable_reason(spec, settings_, machine_types_))
        return respond_with_status(request, failure(kUnprocessable, message(*reason)));
    // A repeated submission is answered without a write.
    if (reads_.has_record(spec.id)) return respond_with_status(request, no_such_job());
    kvstore::Transaction transaction;
    transaction.conditions = {{jobs::job_key(spec.id), 0}};
    transaction.writes = {{jobs::job_key(spec.id), Json{{"final", nullptr}, {"tasks", spec.tasks}}},
                          {jobs::open_key(spec.id), std::move(open_record)}};
    write_new_job(transaction, request);
}

void JobRequestHandler::write_new_job(const kvstore::Transaction& transaction,
                                      const PendingRequest& request) {
    request_started();
    store_.commit(transaction, time_left(request),
                  [this, request](Millis, const kvstore::CommitReply& reply) {
                      request_finished();
                      spdlog::debug("job submitted: job={} status={}", request.job_id,
                                    kvstore::name(reply.status));
                      if (reply.status == kvstore::Status::ok)
                          respond_to_submission(
                              request, success(kCreated, wire::encode_job_answer(
                                                             request.job_id, JobStatus::pending)));
                      else if (reply.status == kvstore::Status::conflict)
                          respond_with_status(request, no_such_job());  // submitted before
                      else
                          respond_to_submission(request, try_again());
                  });
}

void JobRequestHandler::respond_with_status(const PendingRequest& request, Response if_missing) {
    request_started();
    const Millis timeout = time_left(request);
    reads_.read(
        request.job_id, timeout,
        [this, request, if_missing = std::move(if_missing)](ConfirmedReads::Lookup lookup,
                                                            const RecordedStatus& status) {
            request_finished();
            if (lookup == ConfirmedReads::Lookup::found)
                respond_with_recorded_status(status, request);
            else if (lookup == ConfirmedReads::Lookup::missing)
                request.respond(if_missing);
            else
                request.respond(try_again());
        },
        hooks_.now());
}

// Writes the cancel request to the job's open record. The leader stops the tasks and records the
// final status once no task is left. Until then the response is 503, because a status that a user
// has received must never be contradicted by a controller that does not know of it.
void JobRequestHandler::cancel(const PendingRequest& request) {
    request_started();
    const Millis timeout = time_left(request);
    reads_.read(
        request.job_id, timeout,
        [this, request](ConfirmedReads::Lookup lookup, const RecordedStatus& status) {
            request_finished();
            if (lookup == ConfirmedReads::Lookup::missing)
                request.respond(no_such_job());
            else if (lookup == ConfirmedReads::Lookup::found && status.final)
                respond_with_recorded_status(status, request);
            else if (lookup == ConfirmedReads::Lookup::unknown || time_left(request) <= 0)
                request.respond(try_again());
            else
                read_open_for_cancel(request);
        },
        hooks_.now());
}

void JobRequestHandler::read_open_for_cancel(const PendingRequest& request) {
    request_started();
    store_.get(jobs::open_key(request.job_id), time_left(request),
               [this, request](Millis, const kvstore::GetReply& open) {
                   request_finished();
                   if (open.status == kvstore::Status::missing)
                       cancel(request);  // the job has just ended
                   else if (open.status != kvstore::Status::ok || time_left(request) <= 0)
                       request.respond(try_again());
                   else
                       request_cancel(open.entry, request);
               });
}

void JobRequestHandler::request_cancel(const kvstore::Entry& open, const PendingRequest& request) {
    if (jobs::is_cancel_requested(open.value)) {
        request.respond(try_again());
        return;
    }
    Json record = open.value;
    jobs::request_cancel(record);
    kvstore::Transaction transaction;
    transaction.conditions = {{jobs::open_key(request.job_id), open.version}};
    transaction.writes = {{jobs::open_key(request.job_id), std::move(record)}};
    request_started();
    store_.commit(transaction, time_left(request),
                  [this, request](Millis, const kvstore::CommitReply& reply) {
                      request_finished();
                      if (reply.status == kvstore::Status::conflict)
                          cancel(request);
                      else if (reply.status != kvstore::Status::ok ||
                               pending_cancellations_ >= kMaxPendingCancellations ||
                               time_left(request) <= 0)
                          request.respond(try_again());
                      else
                          await_job_end(reply.revision, request);
                  });
}

// Waits for the job to end, which usually takes only a few messages.
void JobRequestHandler::await_job_end(std::uint64_t revision, const PendingRequest& request) {
    ++pending_cancellations_;
    store_.watch(jobs::job_key(request.job_id), revision,
                 std::min(kJobEndTimeout, time_left(request)),
                 [this, request](Millis, const kvstore::ListReply& reply) {
                     --pending_cancellations_;
                     if (const auto status = find_final_status(reply.entries, request.job_id))
                         respond_with_recorded_status(*status, request);
                     else
                         request.respond(try_again());
                 });
}

}  // namespace nickelramp::api
