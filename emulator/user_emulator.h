// Users: submit jobs as they arrive, poll them until they are over, cancel some, and change
// settings. Every answer is held against the rules.
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
#include "net/http_client.h"
#include "net/timer.h"

namespace nickelramp::emulator {

struct Load {
    std::size_t initial_tasks = 0;    // of arrays, submitted within the first seconds
    std::uint32_t array_tasks = 100;  // of one array
    double arrays_per_s = 0, gangs_per_s = 0, services = 0;
    std::uint32_t gang_tasks = 4;
    double run_s = 300;
    double cancelled = 0.02;  // of the arrays
    double settings_changes_per_s = 0;
    double burst_at_s = 0;  // more arrays of burst_tasks in all, at once
    std::size_t burst_tasks = 0;
    std::size_t teams = 1;
};

class UserEmulator {
  public:
    struct Counters {
        std::uint64_t submitted = 0, accepted = 0, retried = 0, polls = 0, failed_polls = 0,
                      cancelled = 0, settings_changed = 0;
    };
    UserEmulator(uv_loop_t* loop, Load load, const std::vector<std::string>& controllers,
                 ProtocolRules& rules, std::uint64_t seed);
    void begin();
    // No more jobs arrive.
    void stop() { arriving_ = false; }

    const Counters& counters() const { return counters_; }
    const Histogram& submit_ms() const { return submit_ms_; }
    const Histogram& start_ms(wire::Shape shape) const {
        return start_ms_[static_cast<std::size_t>(shape)];
    }
    // Until every controller answered with the changed setting.
    const Histogram& settings_ms() const { return settings_ms_; }
    std::size_t open() const { return open_; }

  private:
    using Done = std::function<void(const net::ClientReply&)>;
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }
    void tick();
    bool arrives(double per_s, Millis since);
    void submit_array(std::uint32_t tasks);
    void submit(wire::JobSpec spec);
    void send(const std::string& id, Millis first);
    void poll(const std::string& id);
    void on_poll(const std::string& id, const net::ClientReply& reply);
    void cancel(const std::string& id);
    void change_setting();
    void await_setting(double value, std::size_t controller, Millis since);
    void request(const char* method, const std::string& path, std::string body, Done done);
    void run_later(Millis wait, std::function<void()> act);

    uv_loop_t* loop_;
    const Load load_;
    ProtocolRules& rules_;
    std::mt19937_64 random_;
    net::Timer tick_timer_;
    std::vector<std::unique_ptr<net::HttpClient>> clients_;
    std::multimap<Millis, std::function<void()>> due_;
    Millis began_ = 0, ticked_at_ = 0;
    bool arriving_ = true, burst_ = false;
    std::size_t last_job_ = 0, open_ = 0;
    double setting_ = 0;
    Counters counters_;
    Histogram submit_ms_, settings_ms_, start_ms_[3];
    std::set<std::string> started_;
};

}  // namespace nickelramp::emulator
