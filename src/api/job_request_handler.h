// The users' desk, the same at every controller: submission and cancel go straight to the state
// service, one key a job, and every answer is confirmed by it (answers.h), so that no node can
// answer older than another did.
#pragma once
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

// Why the job can never run, or empty.
std::string unschedulable_reason(const wire::JobSpec& spec, const wire::Settings& settings,
                                 const std::vector<wire::MachineType>& types);

class JobRequestHandler {
  public:
    struct Hooks {
        std::function<std::int64_t()> wall_ms;
        std::function<Millis()> now;
        std::function<void(const char* request, int status, Millis took)> on_answered;
        // Counts for display, when this node knows them.
        std::function<bool(const std::string& id, std::uint64_t& done, std::uint64_t& running)>
            progress;
    };
    using Respond = std::function<void(const net::Response&)>;  // to be called once
    JobRequestHandler(const wire::Settings& settings, JobStore& records, ConfirmedReads& answers,
                      Hooks hooks);

    void set_machine_types(const std::vector<wire::MachineType>& types) { machine_types_ = types; }
    bool has_machine_types() const { return !machine_types_.empty(); }

    // What waits for the state service here, and since when at the most.
    readiness::PendingRequests pending_requests() const { return {pending_count_, idle_since_}; }

    // Takes the request if its path is the desk's.
    bool handle(const net::Request& request, Respond respond);

  private:
    // A request on its way. However many steps it takes, their waits end with its user's.
    struct PendingRequest {
        std::string job_id;
        Millis received_at, deadline;
        Respond respond;
    };
    void submit(const net::Request& request, Respond respond);
    void write_new_job(const kvstore::Transaction& transaction, PendingRequest request);
    // Answers with what is known of the job; `missing`: where there is no record of it.
    void answer_with_status(PendingRequest request, net::Response missing);
    void cancel(PendingRequest request);
    void read_open_for_cancel(PendingRequest request);
    void request_cancel(const kvstore::Entry& open, PendingRequest a);
    void await_job_end(std::uint64_t revision, PendingRequest a);
    // Sends and counts.
    void respond(const char* request, const PendingRequest& a, const net::Response& response);
    void respond_with_recorded_status(const RecordedStatus& status, const PendingRequest& request);
    PendingRequest make_request(const std::string& id, Millis wait, Respond respond) const;
    Millis time_left(const PendingRequest& request) const {
        return request.deadline - hooks_.now();
    }
    void request_started();
    void request_finished();

    const wire::Settings& settings_;
    JobStore& store_;
    ConfirmedReads& reads_;
    Hooks hooks_;
    std::vector<wire::MachineType> machine_types_;
    std::size_t pending_count_ = 0;          // requests waiting for the state service
    Millis idle_since_ = 0;                  // none waited then
    std::size_t pending_cancellations_ = 0;  // cancellations that may be over at once
};

}  // namespace nickelramp::api
