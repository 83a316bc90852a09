/// @file
/// The administration API. It is served under `/admin/` at the address for users. All bodies are
/// JSON except the metrics.
///
/// - `GET /admin/status`: the current leader; on the leader also machines, shards, waiting and late
///   jobs
/// - `GET /admin/metrics`: metrics in the Prometheus text format
/// - `GET /admin/settings`: the operators' settings
/// - `GET /admin/settings/{name}`: the value of one setting
/// - `PUT /admin/settings/{name}` with `{"value": ...}`: stores a new value, which takes effect at
///   all controllers
///
/// Drain plans, if enabled, have a separate request handler (drain/request_handler.h).
#pragma once
#include <cstdint>
#include <string>

#include "admin/metrics.h"
#include "admin/options.h"
#include "kvstore/client.h"
#include "net/http_server.h"
#include "net/timer.h"

namespace nickelramp::admin {

/// The key of the stored settings in the key-value store.
inline constexpr const char* kOptionsKey = "admin/settings";

/// Handles operators' requests and watches the stored settings. A failed read of the settings is
/// retried after a delay, and until then the settings that were last read stay in force. A failed
/// write is answered with 503. Runs on the loop's thread.
class AdminRequestHandler {
  public:
    /// The part of the controller that the handler uses. Implemented by controller::Controller.
    class Backend {
      public:
        virtual ~Backend() = default;
        /// Returns the status page.
        [[nodiscard]] virtual wire::Json status() const = 0;
        /// Updates the gauges of the metrics.
        virtual void update_gauges() = 0;
        /// Called when the settings have been read or were changed through this controller. Their
        /// values may be the same as before.
        virtual void on_options_changed(const Options& options) = 0;
    };

    /// All references must outlive the handler.
    AdminRequestHandler(uv_loop_t* loop, kvstore::Client& store_client, Metrics& metrics,
                        Backend& backend);

    /// Starts to read and watch the stored settings. Called once.
    void start();
    /// Handles the request. The response may be sent after the call. Returns false if the path does
    /// not belong to this API.
    [[nodiscard]] bool handle(const net::Request& request, const net::Responder& responder);
    /// Returns the settings in force. These are the defaults until the record has been read.
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
    std::uint64_t revision_ = 0;  // the revision up to which changes of the record have been read
};

}  // namespace nickelramp::admin
