// The administration API, on the users' address under /admin/:
//
// - GET /admin/status: who leads; on the leader also machines, blocks, waiting and late jobs
// - GET /admin/metrics: Prometheus text
// - GET /admin/settings: the operators' settings
// - PUT /admin/settings/{name}, {"value": ...}: stored in the state service, in force everywhere
//
// Drain plans, where they are enabled, have a desk of their own (drain/desk.h).
//
// Bodies are JSON, for people and their tools.
#pragma once
#include <functional>
#include <string>

#include "admin/metrics.h"
#include "admin/options.h"
#include "kvstore/client.h"
#include "net/http_server.h"

namespace nickelramp::admin {

inline constexpr const char* kOptionsKey = "admin/settings";

class AdminRequestHandler {
  public:
    struct Hooks {
        std::function<wire::Json()> status;
        std::function<void()> update_gauges;  // brings the gauges up to date
    };
    AdminRequestHandler(uv_loop_t* loop, kvstore::Client& state, Metrics& metrics, Hooks hooks,
                        std::function<void(const Options&)> changed);

    void start();  // follows the stored settings from now on
    bool handle(const net::Request& request, const net::Responder& responder);
    const Options& options() const { return options_; }

  private:
    void read();
    void watch();
    void write_option(const Option& option, const wire::Json& value, int tries,
                      net::Responder responder);
    void apply_options(const Options& options);

    kvstore::Client& state_;
    Metrics& metrics_;
    Hooks hooks_;
    std::function<void(const Options&)> on_changed_;
    net::Timer retry_timer_;
    Options options_;
    std::uint64_t revision_ = 0;
};

}  // namespace nickelramp::admin
