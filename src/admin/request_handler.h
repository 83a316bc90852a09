/// \file
/// The administration API, on the users' address under `/admin/`. Bodies are JSON.
///
/// - `GET /admin/status`: who leads; on the leader also machines, shards, waiting and late jobs
/// - `GET /admin/metrics`: Prometheus text
/// - `GET /admin/settings`: the operators' settings
/// - `GET /admin/settings/{name}`: the value of one
/// - `PUT /admin/settings/{name}` with `{"value": ...}`: stored, and in force at all controllers
///
/// Drain plans, where they are enabled, have a request handler of their own
/// (drain/request_handler.h).
#pragma once
#include <cstdint>
#include <string>

#include "admin/metrics.h"
#include "admin/options.h"
#include "kvstore/client.h"
#include "net/http_server.h"
#include "net/timer.h"

namespace nickelramp::admin {

/// The key of the stored settings.
inline constexpr const char* kOptionsKey = "admin/settings";

/// Answers operators' requests, and follows the stored settings. A failed read of the settings is
/// repeated after a pause; those that were last read stay in force meanwhile. A failed write is
/// answered with 503. Runs on the loop's thread.
class AdminRequestHandler {
  public:
    /// What the handler needs of the controller. Implemented by controller::Controller.
    class Backend {
      public:
        virtual ~Backend() = default;
        /// The status page.
        [[nodiscard]] virtual wire::Json status() const = 0;
        /// Brings the gauges of the metrics up to date.
        virtual void update_gauges() = 0;
        /// The settings were read, or changed through this controller; they may be the same.
        virtual void on_options_changed(const Options& options) = 0;
    };

    /// All references must outlive the handler.
    AdminRequestHandler(uv_loop_t* loop, kvstore::Client& store_client, Metrics& metrics,
                        Backend& backend);

    /// Follows the stored settings from now on. Called once.
    void start();
    /// Answers the request, now or later. False if its path is not of this API.
    [[nodiscard]] bool handle(const net::Request& request, const net::Responder& responder);
    /// The settings in force; the defaults until they have been read.
    [[nodiscard]] const Options& options() const { return options_; }

  private:
    void handle_page(const net::Request& request, const net::Responder& responder);
    void handle_option(const std::string& name, const net::Request& request,
                       const net::Responder& responder);
    void handle_option_change(const Option& option, const net::Request& request,
                              const net::Responder& responder);

    void read_options_record();
    void watch_options_record();
    void apply_options(const Options& options);
    void write_option(const Option& option, const wire::Json& value, int attempts_left,
                      const net::Responder& responder);
    void commit_option(const kvstore::GetReply& stored, const Option& option,
                       const wire::Json& value, int attempts_left, const net::Responder& responder);

    kvstore::Client& store_client_;
    Metrics& metrics_;
    Backend& backend_;
    net::Timer retry_timer_;
    Options options_;
    std::uint64_t revision_ = 0;  // up to which changes of the record have been read
};

}  // namespace nickelramp::admin
