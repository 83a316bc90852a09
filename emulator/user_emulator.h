/// @file
/// Emulates users: submits jobs at given rates, polls each until it ends, cancels some, and changes
/// settings. All answers about jobs are checked by ProtocolRules.
#pragma once
#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "emulator/histogram.h"
#include "emulator/protocol_rules.h"
#include "emulator/request_repeater.h"
#include "net/http_client.h"
#include "net/timer.h"

namespace nickelramp::emulator {

/// The load that the emulated users generate.
struct Load {
    std::size_t initial_tasks = 0;    ///< submitted as arrays within the first 5 s
    std::uint32_t array_tasks = 100;  ///< in each array
    double arrays_per_s = 0, gangs_per_s = 0, services = 0;  ///< services start within 5 s
    std::uint32_t gang_tasks = 4;
    double run_s = 300;            ///< mean run time of a task
    double cancelled = 0.02;       ///< fraction of the arrays that are cancelled
    double repeated_requests = 0;  ///< share of submissions and cancellations that arrive again
    double settings_changes_per_s = 0;
    double burst_at_s = 0;        ///< when to submit a burst of arrays, from the start
    std::size_t burst_tasks = 0;  ///< total over the arrays of the burst
    std::size_t teams = 1;
};

/// All users, sending each request to a random controller.
class UserEmulator {
  public:
    /// Totals since the start.
    struct Counters {
        std::uint64_t submitted = 0, accepted = 0, retried = 0, polls = 0, failed_polls = 0,
                      cancelled = 0, settings_changed = 0;
    };
    UserEmulator(uv_loop_t* loop, Load load, const std::vector<std::string>& controllers,
                 ProtocolRules& rules, std::uint64_t seed);
    /// Starts to generate the load.
    void begin();
    /// Ends the arrival of jobs; those that were submitted are still polled.
    void stop() { arriving_ = false; }

    const Counters& counters() const { return counters_; }
    [[nodiscard]] std::uint64_t copies() const { return repeater_.delivered(); }
    /// From the first attempt to submit a job to its acceptance.
    const Histogram& submit_ms() const { return submit_ms_; }
    /// From the submission of a job to the start of its first task, by shape.
    const Histogram& start_ms(wire::Shape shape) const {
        return start_ms_[static_cast<std::size_t>(shape)];
    }
    /// From a change of a setting until a controller returns the new value; one entry for each
    /// controller.
    const Histogram& settings_ms() const { return settings_ms_; }
    /// Number of submitted jobs that were not yet reported done or cancelled.
    std::size_t open() const { return open_; }

  private:
    using OnReply = std::function<void(const net::ClientReply&)>;
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }
    void tick();
    // Returns whether an event of the given rate occurs within the last `since` milliseconds.
    bool arrives(double per_s, Millis since);
    void submit_array(std::uint32_t tasks);
    void submit(wire::JobSpec spec);
    void send(const std::string& id, Millis first);
    void poll(const std::string& id);
    void on_poll(const std::string& id, const net::ClientReply& reply);
    void cancel(const std::string& id);
    void change_setting();
    // Polls a controller until it returns the value or the setting has changed again.
    void await_setting(double value, std::size_t controller, Millis since);
    void request(const char* method, const std::string& path, std::string body, OnReply done);
    // Sends the request of a user, and after its answer perhaps copies of it.
    void post(const std::string& path, const std::string& body, OnReply done);
    void run_later(Millis wait, std::function<void()> action);

    uv_loop_t* loop_;
    const Load load_;
    ProtocolRules& rules_;
    std::mt19937_64 random_;
    net::Timer tick_timer_;
    RequestRepeater repeater_;
    std::vector<std::unique_ptr<net::HttpClient>> clients_;
    std::multimap<Millis, std::function<void()>> due_;
    Millis started_at_ = 0, ticked_at_ = 0;
    bool arriving_ = true, burst_ = false;
    std::size_t last_job_ = 0, open_ = 0;
    double setting_ = 0;
    Counters counters_;
    Histogram submit_ms_, settings_ms_, start_ms_[3];
    std::set<std::string> started_;  // jobs whose start delay is recorded
};

}  // namespace nickelramp::emulator
