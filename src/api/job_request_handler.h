/// @file
/// The HTTP interface for users' jobs: POST /work (submission), GET /work/ID (status) and
/// POST /work/ID/abort (cancellation).
#pragma once
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "api/confirmed_reads.h"
#include "api/job_store.h"
#include "jobs/job.h"
#include "net/http_server.h"
#include "readiness/readiness.h"
#include "wire/messages.h"
#include "wire/settings.h"

namespace nickelramp::api {

/// Handles the requests of users. All controllers handle them in the same way, whether they lead or
/// not. Submissions and cancel requests are written to the key-value store. Every status comes from
/// a confirmed read, so no controller returns an older status than another has returned before. The
/// response is 503 if the store does not reply in time, and 4xx if the request is invalid; an
/// invalid request changes nothing. The controller owns the handler. To be used on the loop's
/// thread only.
class JobRequestHandler {
  public:
    /// The functions of the controller that the handler uses.
    struct Hooks {
        /// Returns the wall-clock time in milliseconds since the Unix epoch.
        std::function<std::int64_t()> wall_ms;
        /// Returns the loop's time.
        std::function<Millis()> now;
        /// Called for each response to a new submission, to update the metrics.
        std::function<void(const char* request, int status, Millis duration)> on_answered;
        /// Returns the task counts of an open job for display. They are zero if unknown.
        std::function<wire::TaskCounts(const std::string& id)> progress;
    };
    /// Sends the response. Called once per request.
    using Respond = std::function<void(const net::Response&)>;

    /// All references must outlive the handler.
    JobRequestHandler(const wire::Settings& settings, JobStore& store, ConfirmedReads& reads,
                      Hooks hooks);

    /// Sets the known machine types. Submissions are answered with 503 until they are known.
    void set_machine_types(const std::vector<wire::MachineType>& types) { machine_types_ = types; }
    bool has_machine_types() const { return !machine_types_.empty(); }

    /// Returns the number of requests that wait for the key-value store, and a time before which
    /// none of them was waiting.
    readiness::PendingRequests pending_requests() const { return {pending_count_, pending_since_}; }

    /// Handles the request. Returns false without calling `respond` if the path is not one of this
    /// interface.
    [[nodiscard]] bool handle(const net::Request& request, Respond respond);

  private:
    /// A valid request in progress. The deadline applies to all its calls of the store together.
    struct PendingRequest {
        std::string job_id;
        Millis received_at, deadline;
        Respond respond;
    };
    void handle_submission(const net::Request& request, Respond respond);
    void handle_job_request(const net::Request& request, Respond respond);
    void submit(const wire::JobSpec& spec, wire::Json open_record, const PendingRequest& request);
    void write_new_job(const kvstore::Transaction& transaction, const PendingRequest& request);
    /// Responds with the job's status, or with `if_missing` if the job has no record.
    void respond_with_status(const PendingRequest& request, net::Response if_missing);
    void respond_with_recorded_status(const RecordedStatus& status, const PendingRequest& request);
    /// Responds to a submission and updates the metrics.
    void respond_to_submission(const PendingRequest& request, const net::Response& response);
    void cancel(const PendingRequest& request);
    void read_open_for_cancel(const PendingRequest& request);
    void request_cancel(const kvstore::Entry& open, const PendingRequest& request);
    void await_job_end(std::uint64_t revision, const PendingRequest& request);

    PendingRequest make_request(const std::string& id, Millis timeout, Respond respond) const;
    Millis time_left(const PendingRequest& request) const {
        return request.deadline - hooks_.now();
    }
    bool is_overloaded() const;
    void request_started();
    void request_finished();

    const wire::Settings& settings_;
    JobStore& store_;
    ConfirmedReads& reads_;
    Hooks hooks_;
    std::vector<wire::MachineType> machine_types_;
    std::size_t pending_count_ = 0;          // requests waiting for the store
    Millis pending_since_ = 0;               // when `pending_count_` last became positive
    std::size_t pending_cancellations_ = 0;  // requests waiting for a cancelled job to end
};

}  // namespace nickelramp::api
