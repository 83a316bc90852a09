#include "admin/request_handler.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "admin/json_response.h"
#include "wire/json_text.h"

namespace nickelramp::admin {

using wire::Json;

namespace {

constexpr Millis kWatchDuration = 20'000;
constexpr Millis kRetryInterval = 2'000;
constexpr Millis kCallTimeout = 2'000;
constexpr int kMaxWriteAttempts = 3;
constexpr int kRetryAfterSeconds = 1;

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kMethodNotAllowed = 405;
constexpr int kUnavailable = 503;

constexpr const char* kKeyPrefix = "admin/";
constexpr const char* kPathPrefix = "/admin/";
constexpr const char* kStatusPath = "/admin/status";
constexpr const char* kMetricsPath = "/admin/metrics";
constexpr const char* kSettingsPath = "/admin/settings";
constexpr const char* kSettingPrefix = "/admin/settings/";
constexpr const char* kMetricsType = "text/plain; version=0.0.4";

bool starts_with(const std::string& text, const std::string& prefix) {
    return text.rfind(prefix, 0) == 0;
}

net::Response store_unavailable() { return {kUnavailable, "", kRetryAfterSeconds, kJsonType}; }

net::Response invalid_value(const Option& option, const std::string& message) {
    return json(
        kBadRequest,
        {{"error", message}, {"field", "value"}, {"least", option.min}, {"most", option.max}});
}

}  // namespace

AdminRequestHandler::AdminRequestHandler(uv_loop_t* loop, kvstore::Client& store_client,
                                         Metrics& metrics, Backend& backend)
    : store_client_(store_client),
      metrics_(metrics),
      backend_(backend),
      retry_timer_(loop, [this] { read_options_record(); }) {}

void AdminRequestHandler::start() { read_options_record(); }

bool AdminRequestHandler::handle(const net::Request& request, const net::Responder& responder) {
    if (!starts_with(request.path, kPathPrefix)) return false;
    if (starts_with(request.path, kSettingPrefix)) {
        handle_option(request.path.substr(std::string(kSettingPrefix).size()), request, responder);
    } else {
        handle_page(request, responder);
    }
    return true;
}

void AdminRequestHandler::handle_page(const net::Request& request,
                                      const net::Responder& responder) {
    const std::string& path = request.path;
    if (path != kStatusPath && path != kMetricsPath && path != kSettingsPath) {
        responder.send(json(kNotFound, {{"error", "no such path"}}));
    } else if (request.method != "GET") {
        responder.send(json(kMethodNotAllowed, {{"error", "use GET"}}));
    } else if (path == kStatusPath) {
        responder.send(json(kOk, backend_.status()));
    } else if (path == kMetricsPath) {
        backend_.update_gauges();
        responder.send({kOk, metrics_.text(), 0, kMetricsType});
    } else {
        responder.send(json(kOk, options_json(options_)));
    }
}

void AdminRequestHandler::handle_option(const std::string& name, const net::Request& request,
                                        const net::Responder& responder) {
    const Option* option = find_option(name);
    if (option == nullptr) {
        responder.send(json(kNotFound, {{"error", "no such setting"}, {"setting", name}}));
    } else if (request.method == "GET") {
        responder.send(json(kOk, {{"value", options_.*option->member}}));
    } else if (request.method == "PUT") {
        handle_option_change(*option, request, responder);
    } else {
        responder.send(json(kMethodNotAllowed, {{"error", "use GET or PUT"}}));
    }
}

void AdminRequestHandler::handle_option_change(const Option& option, const net::Request& request,
                                               const net::Responder& responder) {
    const auto body = wire::decode_json(request.body);
    const Json* value = body ? wire::field(*body, "value") : nullptr;
    if (value == nullptr) {
        responder.send(invalid_value(option, "value is missing"));
        return;
    }
    Options trial;
    if (const auto error = set_option(trial, option, *value)) {
        responder.send(invalid_value(option, error->message()));
        return;
    }
    write_option(option, *value, kMaxWriteAttempts, responder);
}

void AdminRequestHandler::apply_options(const Options& options) {
    options_ = options;
    backend_.on_options_changed(options_);
}

void AdminRequestHandler::read_options_record() {
    store_client_.list(kKeyPrefix, kvstore::RequestClass::background,
                       [this](const kvstore::ListReply& reply) {
                           if (reply.status != kvstore::Status::ok) {
                               retry_timer_.after(kRetryInterval);
                               return;
                           }
                           Options found;
                           for (const kvstore::Entry& entry : reply.entries) {
                               if (entry.key == kOptionsKey) found = read_options(entry.value);
                           }
                           revision_ = reply.revision;
                           apply_options(found);
                           watch_options_record();
                       });
}

void AdminRequestHandler::watch_options_record() {
    store_client_.watch(
        kKeyPrefix, revision_, kWatchDuration, [this](const kvstore::ListReply& reply) {
            if (reply.status != kvstore::Status::ok) {
                retry_timer_.after(kRetryInterval);
                return;
            }
            revision_ = std::max(revision_, reply.revision);
            for (const kvstore::Entry& entry : reply.entries) {
                if (entry.key == kOptionsKey)
                    apply_options(entry.deleted ? Options{} : read_options(entry.value));
            }
            watch_options_record();
        });
}

// Changes one setting in the stored record by a compare-and-swap: reads the record, then writes it
// on condition that it has not changed since.
void AdminRequestHandler::write_option(const Option& option, const Json& value, int attempts_left,
                                       const net::Responder& responder) {
    store_client_.get(
        kOptionsKey, kvstore::RequestClass::user, kCallTimeout,
        [this, &option, value, attempts_left, responder](const kvstore::GetReply& stored) {
            if (stored.status == kvstore::Status::ok || stored.status == kvstore::Status::missing) {
                commit_option(stored, option, value, attempts_left, responder);
            } else {
                responder.send(store_unavailable());
            }
        });
}

void AdminRequestHandler::commit_option(const kvstore::GetReply& stored, const Option& option,
                                        const Json& value, int attempts_left,
                                        const net::Responder& responder) {
    const bool exists = stored.status == kvstore::Status::ok;
    Options options = exists ? read_options(stored.entry.value) : Options{};
    // The value was validated when the request was received.
    static_cast<void>(set_option(options, option, value));
    kvstore::Transaction transaction;
    transaction.conditions = {{kOptionsKey, exists ? stored.entry.version : 0}};
    transaction.writes = {{kOptionsKey, options_json(options), 0}};
    store_client_.commit(
        transaction, kvstore::RequestClass::user, kCallTimeout,
        [this, &option, value, attempts_left, responder,
         options](const kvstore::CommitReply& reply) {
            if (reply.status == kvstore::Status::ok) {
                spdlog::info("setting changed: name={} value={}", option.name,
                             options.*option.member);
                apply_options(options);
                responder.send(json(kOk, options_json(options)));
            } else if (reply.status == kvstore::Status::conflict && attempts_left > 1) {
                write_option(option, value, attempts_left - 1, responder);
            } else {
                responder.send(store_unavailable());
            }
        });
}

}  // namespace nickelramp::admin
