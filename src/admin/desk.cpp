#include "admin/desk.h"

#include <spdlog/spdlog.h>

#include "admin/answer.h"

namespace nickelramp::admin {

using wire::Json;

namespace {
constexpr Millis kWait = 20'000;
constexpr Millis kRetry = 2'000;
constexpr Millis kCall = 2'000;
const std::string kSettings = "/admin/settings";
}  // namespace

Desk::Desk(uv_loop_t* loop, state::Client& state, Metrics& metrics, Hooks hooks,
           std::function<void(const Options&)> changed)
    : state_(state),
      metrics_(metrics),
      hooks_(std::move(hooks)),
      changed_(std::move(changed)),
      retry_(loop, [this] { read(); }) {}

void Desk::start() { read(); }

void Desk::take(const Options& options) {
    options_ = options;
    changed_(options_);
}

void Desk::read() {
    state_.list("admin/", state::Urgency::work, [this](const state::ListReply& r) {
        if (r.outcome != state::Outcome::ok) {
            retry_.after(kRetry);
            return;
        }
        Options found;
        for (const state::Item& i : r.items) {
            if (i.key == kOptionsKey) found = read_options(i.value);
        }
        revision_ = r.revision;
        take(found);
        watch();
    });
}

void Desk::watch() {
    state_.watch("admin/", revision_, kWait, [this](const state::ListReply& r) {
        if (r.outcome != state::Outcome::ok) {
            retry_.after(kRetry);
            return;
        }
        revision_ = std::max(revision_, r.revision);
        for (const state::Item& i : r.items) {
            if (i.key == kOptionsKey) take(i.deleted ? Options{} : read_options(i.value));
        }
        watch();
    });
}

bool Desk::handle(const net::Request& request, const net::Responder& responder) {
    const std::string& path = request.path;
    if (path.rfind("/admin/", 0) != 0) return false;
    bool get = request.method == "GET";
    if (path == "/admin/status" && get) {
        responder.send(json(200, hooks_.status()));
    } else if (path == "/admin/metrics" && get) {
        hooks_.gather();
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
                                          {"least", option->least},
                                          {"most", option->most}}));
            } else {
                put(*option, *value, 3, responder);
            }
        }
    } else {
        bool known = path == "/admin/status" || path == "/admin/metrics" || path == kSettings;
        responder.send(json(known ? 405 : 404, {{"error", known ? "use GET" : "no such path"}}));
    }
    return true;
}

// Changes one setting and leaves the others as they are stored.
void Desk::put(const Option& option, const Json& value, int tries, net::Responder responder) {
    state_.get(kOptionsKey, state::Urgency::user, kCall,
               [this, &option, value, tries, responder](const state::GetReply& r) {
                   bool found = r.outcome == state::Outcome::ok;
                   if (!found && r.outcome != state::Outcome::missing) {
                       responder.send({503, "", 1, "application/json"});
                       return;
                   }
                   Options next = found ? read_options(r.item.value) : Options{};
                   std::string error;
                   set_option(next, option, value, error);
                   state::Txn txn;
                   txn.conditions = {{kOptionsKey, found ? r.item.version : 0}};
                   txn.writes = {{kOptionsKey, options_json(next), 0}};
                   state_.commit(
                       txn, state::Urgency::user, kCall,
                       [this, &option, value, tries, responder, next](const state::CommitReply& c) {
                           if (c.outcome == state::Outcome::ok) {
                               spdlog::info("setting {} is now {}", option.name,
                                            next.*option.member);
                               take(next);
                               responder.send(json(200, options_json(next)));
                           } else if (c.outcome == state::Outcome::conflict && tries > 1) {
                               put(option, value, tries - 1, responder);
                           } else {
                               responder.send({503, "", 1, "application/json"});
                           }
                       });
               });
}

}  // namespace nickelramp::admin
