#include "admin/request_handler.h"

#include <spdlog/spdlog.h>

#include "admin/json_response.h"

namespace nickelramp::admin {

using wire::Json;

namespace {
constexpr Millis kWait = 20'000;
constexpr Millis kRetry = 2'000;
constexpr Millis kCall = 2'000;
const std::string kSettings = "/admin/settings";
}  // namespace

AdminRequestHandler::AdminRequestHandler(uv_loop_t* loop, kvstore::Client& state, Metrics& metrics,
                                         Hooks hooks, std::function<void(const Options&)> changed)
    : state_(state),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      on_changed_(std::move(changed)),
      retry_timer_(loop, [this] { read(); }) {}

void AdminRequestHandler::start() { read(); }

void AdminRequestHandler::apply_options(const Options& options) {
    options_ = options;
    on_changed_(options_);
}

void AdminRequestHandler::read() {
    state_.list("admin/", kvstore::RequestClass::background,
                [this](const kvstore::ListReply& reply) {
                    if (reply.status != kvstore::Status::ok) {
                        retry_timer_.after(kRetry);
                        return;
                    }
                    Options found;
                    for (const kvstore::Entry& entry : reply.entries) {
                        if (entry.key == kOptionsKey) found = read_options(entry.value);
                    }
                    revision_ = reply.revision;
                    apply_options(found);
                    watch();
                });
}

void AdminRequestHandler::watch() {
    state_.watch("admin/", revision_, kWait, [this](const kvstore::ListReply& reply) {
        if (reply.status != kvstore::Status::ok) {
            retry_timer_.after(kRetry);
            return;
        }
        revision_ = std::max(revision_, reply.revision);
        for (const kvstore::Entry& entry : reply.entries) {
            if (entry.key == kOptionsKey)
                apply_options(entry.deleted ? Options{} : read_options(entry.value));
        }
        watch();
    });
}

bool AdminRequestHandler::handle(const net::Request& request, const net::Responder& responder) {
    const std::string& path = request.path;
    if (path.rfind("/admin/", 0) != 0) return false;
    bool get = request.method == "GET";
    if (path == "/admin/status" && get) {
        responder.send(json(200, hooks_.status()));
    } else if (path == "/admin/metrics" && get) {
        hooks_.update_gauges();
        responder.send({200, metrics_.text(), 0, "text/plain; version=0.0.4"});
    } else if (path == kSettings && get) {
        responder.send(json(200, options_json(options_)));
    } else if (path.rfind(kSettings + "/", 0) == 0) {
        std::string name = path.substr(kSettings.size() + 1);
        const Option* option = find_option(name);
        if (option == nullptr) {
            responder.send(json(404, {{"error", "no such setting"}, {"setting", name}}));
        } else if (get) {
            responder.send(json(200, {{"value", options_.*option->member}}));
        } else if (request.method != "PUT") {
            responder.send(json(405, {{"error", "use GET or PUT"}}));
        } else {
            Json body = Json::parse(request.body, nullptr, false);
            const Json* value = wire::field(body, "value");
            Options trial;
            std::string error = "value is missing";
            if (value == nullptr || !set_option(trial, *option, *value, error)) {
                responder.send(json(400, {{"error", error},
                                          {"field", "value"},
                                          {"least", option->min},
                                          {"most", option->max}}));
            } else {
                write_option(*option, *value, 3, responder);
            }
        }
    } else {
        bool known = path == "/admin/status" || path == "/admin/metrics" || path == kSettings;
        responder.send(json(known ? 405 : 404, {{"error", known ? "use GET" : "no such path"}}));
    }
    return true;
}

// Changes one setting and leaves the others as they are stored.
void AdminRequestHandler::write_option(const Option& option, const Json& value, int tries,
                                       net::Responder responder) {
    state_.get(
        kOptionsKey, kvstore::RequestClass::user, kCall,
        [this, &option, value, tries, responder](const kvstore::GetReply& reply) {
            bool found = reply.status == kvstore::Status::ok;
            if (!found && reply.status != kvstore::Status::missing) {
                responder.send({503, "", 1, "application/json"});
                return;
            }
            Options next = found ? read_options(reply.entry.value) : Options{};
            std::string error;
            set_option(next, option, value, error);
            kvstore::Transaction transaction;
            transaction.conditions = {{kOptionsKey, found ? reply.entry.version : 0}};
            transaction.writes = {{kOptionsKey, options_json(next), 0}};
            state_.commit(
                transaction, kvstore::RequestClass::user, kCall,
                [this, &option, value, tries, responder, next](const kvstore::CommitReply& c) {
                    if (c.status == kvstore::Status::ok) {
                        spdlog::info("setting {} is now {}", option.name, next.*option.member);
                        apply_options(next);
                        responder.send(json(200, options_json(next)));
                    } else if (c.status == kvstore::Status::conflict && tries > 1) {
                        write_option(option, value, tries - 1, responder);
                    } else {
                        responder.send({503, "", 1, "application/json"});
                    }
                });
        });
}

}  // namespace nickelramp::admin
