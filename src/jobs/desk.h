// The users' desk, the same at every controller: submission and cancel go straight to the state
// service, one key a job, and every answer is confirmed by it (answers.h), so that no node can
// answer older than another did.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "jobs/confirmed.h"
#include "jobs/job.h"
#include "net/http_server.h"
#include "serving/serving.h"
#include "state/client.h"
#include "wire/messages.h"
#include "wire/settings.h"

namespace nickelramp::jobs {

// Why the job can never run, or empty.
std::string impossible(const wire::JobSpec& spec, const wire::Settings& settings,
                       const std::vector<wire::MachineType>& types);

class Desk {
  public:
    struct Hooks {
        std::function<std::int64_t()> wall_ms;
        std::function<Millis()> now;
        std::function<void(const char* request, int status, Millis took)> answered;
        // Counts for display, when this node knows them.
        std::function<bool(const std::string& id, std::uint64_t& done, std::uint64_t& running)>
            progress;
    };
    Desk(const wire::Settings& settings, state::Client& state, Confirmed& answers, Hooks hooks);

    void set_types(const std::vector<wire::MachineType>& types) { types_ = types; }
    bool has_types() const { return !types_.empty(); }

    // What waits for the state service here, and since when at the most.
    serving::Waiting waiting() const { return {open_, idle_until_}; }

    // Takes the request if its path is the desk's.
    bool handle(const net::Request& request, const net::Responder& responder);

  private:
    void submit(const net::Request& request, net::Responder responder);
    void query(const std::string& id, net::Responder responder);
    void cancel(const std::string& id, int tries, net::Responder responder);
    void read_open_for_cancel(const std::string& id, int tries, net::Responder responder);
    void wish(const std::string& id, const state::Item& open, int tries, net::Responder responder);
    void await_end(const std::string& id, std::uint64_t revision, net::Responder responder);
    // Sends and counts. `since`: when the request came.
    void answer(const char* request, Millis since, const net::Responder& responder,
                const net::Response& response);
    void answer_known(const std::string& id, const Told& told, const net::Responder& r);

    const wire::Settings& settings_;
    state::Client& state_;
    Confirmed& answers_;
    Hooks hooks_;
    std::vector<wire::MachineType> types_;
    void begin();
    void end();
    std::size_t open_ = 0;     // requests waiting for the state service
    Millis idle_until_ = 0;    // none waited then
    std::size_t awaited_ = 0;  // cancellations that may be over at once
};

}  // namespace nickelramp::jobs
