// The users' desk, the same at every controller: submission and cancel go straight to the state
// service, one key a job, and every answer is confirmed by it (answers.h), so that no node can
// answer older than another did.
#pragma once
#include <functional>
#include <string>
#include <vector>

#include "jobs/answers.h"
#include "jobs/job.h"
#include "jobs/records.h"
#include "net/http_server.h"
#include "serving/serving.h"
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
    using Respond = std::function<void(const net::Response&)>;  // to be called once
    Desk(const wire::Settings& settings, Records& records, Answers& answers, Hooks hooks);

    void set_types(const std::vector<wire::MachineType>& types) { types_ = types; }
    bool has_types() const { return !types_.empty(); }

    // What waits for the state service here, and since when at the most.
    serving::Waiting waiting() const { return {open_, idle_until_}; }

    // Takes the request if its path is the desk's.
    bool handle(const net::Request& request, Respond respond);

  private:
    // A request on its way. However many steps it takes, their waits end with its user's.
    struct Asked {
        std::string id;
        Millis since, until;
        Respond respond;
    };
    void submit(const net::Request& request, Respond respond);
    void accept(const state::Txn& txn, Asked a);
    // Answers with what is known of the job; `missing`: where there is no record of it.
    void query(Asked a, net::Response missing);
    void cancel(Asked a);
    void read_open_for_cancel(Asked a);
    void wish(const state::Item& open, Asked a);
    void await_end(std::uint64_t revision, Asked a);
    // Sends and counts.
    void answer(const char* request, const Asked& a, const net::Response& response);
    void answer_known(const Told& told, const Asked& a);
    Asked asked(const std::string& id, Millis wait, Respond respond) const;
    Millis left(const Asked& a) const { return a.until - hooks_.now(); }
    void begin();
    void end();

    const wire::Settings& settings_;
    Records& records_;
    Answers& answers_;
    Hooks hooks_;
    std::vector<wire::MachineType> types_;
    std::size_t open_ = 0;     // requests waiting for the state service
    Millis idle_until_ = 0;    // none waited then
    std::size_t awaited_ = 0;  // cancellations that may be over at once
};

}  // namespace nickelramp::jobs
