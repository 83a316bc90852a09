/// @file
/// The HTTP interface for users' jobs: POST /work, GET /work/ID and POST /work/ID/abort.
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

/// Handles the requests of users. Every controller does so in the same way, leader or not:
/// submissions and cancel requests are written to the key-value store, one record a job, and every
/// status is a confirmed read, so that no controller gives an older one than another did. A user is
/// asked to try again (503) if the store does not reply in time; bad input is answered with 4xx and
/// changes nothing. The controller owns it. To be used on the loop's thread only.
class JobRequestHandler {
  public:
    /// What it needs of the controller.
    struct Hooks {
        /// The time of day, in milliseconds since 1970.
        std::function<std::int64_t()> wall_ms;
        /// The loop's time.
        std::function<Millis()> now;
        /// Called with each response to a new submission, for the metrics.
        std::function<void(const char* request, int status, Millis duration)> on_answered;
        /// Numbers of tasks of an open job, for display; zero if they are not known.
        std::function<wire::TaskCounts(const std::string& id)> progress;
    };
    /// To be called once.
    using Respond = std::function<void(const net::Response&)>;

    /// All references must outlive the handler.
    JobRequestHandler(const wire::Settings& settings, JobStore& store, ConfirmedReads& reads,
                      Hooks hooks);

    /// Until the types are known, submissions are answered with 503.
    void set_machine_types(const std::vector<wire::MachineType>& types) { machine_types_ = types; }
    bool has_machine_types() const { return !machine_types_.empty(); }

    /// Requests that wait for the key-value store, and since when at the most.
    readiness::PendingRequests pending_requests() const { return {pending_count_, idle_since_}; }

    /// False, and `respond` will not be called, if the path is not one of the above.
    [[nodiscard]] bool handle(const net::Request& request, Respond respond);

  private:
    /// A valid request under way. However many calls of the store it takes, all of them end by the
    /// deadline.
    struct PendingRequest {
        std::string job_id;
        Millis received_at, deadline;
        Respond respond;
    };
    void handle_submission(const net::Request& request, Respond respond);
    void handle_job_request(const net::Request& request, Respond respond);
    void submit(const wire::JobSpec& spec, wire::Json open_record, const PendingRequest& request);
    void write_new_job(const kvstore::Transaction& transaction, const PendingRequest& request);
    /// Responds with the job's status, or with `if_missing` if there is no record of it.
    void respond_with_status(const PendingRequest& request, net::Response if_missing);
    void respond_with_recorded_status(const RecordedStatus& status, const PendingRequest& request);
    /// Responds to a submission, and reports it to the metrics.
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
    Millis idle_since_ = 0;                  // when the first of them came, or one before it
    std::size_t pending_cancellations_ = 0;  // requests waiting for a cancelled job to end
};

}  // namespace nickelramp::api
