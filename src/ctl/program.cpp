#include "ctl/program.h"

#include <CLI/CLI.hpp>
#include <fstream>
#include <functional>
#include <istream>
#include <optional>
#include <ostream>
#include <random>
#include <sstream>

#include "ctl/controller_client.h"
#include "ctl/show.h"
#include "drain/plan.h"
#include "wire/json_text.h"
#include "wire/messages.h"

namespace nickelramp::ctl {

using wire::Json;

namespace {

constexpr double kMinWatchIntervalS = 0.1;
constexpr Millis kPlanPollInterval = 300;
constexpr const char* kSettings = "/admin/settings";

struct Command {
    std::string config;
    std::vector<std::string> controllers;
    bool json = false;
    double watch_s = 0;  // interval of --watch; 0: no repetition
    double give_up_s = 0;
    std::string file = "-", id, setting, value;
    // For drain plans.
    std::vector<std::string> machines;
    std::string zone, type;
    bool all = false, moves = false;
    std::uint32_t at_once = 0;
};

using Formatter = std::string (*)(const Json&);  // formats an answer as text

class Program {
  public:
    Program(uv_loop_t* loop, const Config& config, const Command& command, std::ostream& out,
            std::ostream& err)
        : client_(loop, config, std::random_device{}()),
          command_(command),
          repeat_timer_(loop, [this] { begin(); }),
          out_(out),
          err_(err) {}

    void submit(const Json& job) {
        send_repeatable("POST", "/work", wire::encode(job), job_answer());
    }
    void show() { send_repeatable("GET", "/work/" + command_.id, "", job_answer()); }
    void abort() { send_repeatable("POST", "/work/" + command_.id + "/abort", "", job_answer()); }
    // Only the leader has the full status: asks one controller after the other until the leader
    // answers.
    void status(Formatter text) {
        send_repeatable("GET", "/admin/status", "", [this, text](const ControllerReply& a) {
            on_status(a, text, client_.controllers());
        });
    }
    void settings() { send_repeatable("GET", kSettings, "", text_answer(settings_text)); }
    void set(const Json& value) {
        send_repeatable("PUT", std::string(kSettings) + "/" + command_.setting,
                        Json{{"value", value}}.dump(), text_answer(settings_text));
    }
    // Requests a plan and polls until it is complete.
    void make_plan(const Json& request) {
        send_repeatable("POST", drain::kPlansPath, request.dump(),
                        [this](const ControllerReply& a) {
                            if (check_reply(a)) show_plan();
                        });
    }
    void show_plan() {
        send_repeatable("GET", plan_path(), "", [this](const ControllerReply& a) { on_plan(a); });
    }
    void list_plans() { send_repeatable("GET", drain::kPlansPath, "", text_answer(plans_text)); }
    bool busy() const { return repeat_pending_ || !client_.idle(); }
    int code() const { return exit_code_; }

  private:
    // Sends the request now, and again each time `repeat_timer_` fires.
    void send_repeatable(std::string method, std::string target, std::string body,
                         ControllerClient::Done done) {
        send_request_ = [this, method, target, body, done] {
            client_.request(method, target, body, done);
        };
        begin();
    }
    void begin() {
        repeat_pending_ = false;
        send_request_();
    }
    void repeat_after(Millis pause) {
        repeat_pending_ = true;
        repeat_timer_.after(pause);
    }
    std::string plan_path() const { return std::string(drain::kPlansPath) + "/" + command_.id; }
    ControllerClient::Done job_answer() {
        return [this](const ControllerReply& a) { on_job(a); };
    }
    ControllerClient::Done text_answer(Formatter text) {
        return [this, text](const ControllerReply& a) {
            const auto body = read(a);
            if (!body) return;
            print(*body, text(*body));
            watch();
        };
    }
    // Returns whether the reply is a success. Otherwise prints the error and sets the exit code.
    bool check_reply(const ControllerReply& a) {
        if (!a.answered) {
            err_ << "no controller has answered (" << a.attempts << " tries)";
            if (a.reached_controller)
                err_ << "; what was asked for may have been done all the same";
            err_ << "\n";
            exit_code_ = kExitNoAnswer;
            return false;
        }
        if (a.status >= 400) {
            err_ << error_text(a.status, a.body);
            exit_code_ = kExitRejected;
            return false;
        }
        return true;
    }
    void print(const Json& answer, const std::string& text) {
        if (command_.json)
            out_ << answer.dump(2, ' ', false, Json::error_handler_t::replace) << "\n";
        else
            out_ << text;
        out_.flush();
    }
    // Returns the map in the body, CBOR from the user API or JSON from the administration API.
    // Otherwise prints the error, sets the exit code and returns nothing.
    std::optional<Json> read(const ControllerReply& a) {
        if (!check_reply(a)) return std::nullopt;
        if (auto map = wire::decode_reply_map(a.body)) return map;
        auto body = wire::decode_json(a.body);
        if (body && body->is_object()) return body;
        err_ << "the answer cannot be read\n";
        exit_code_ = kExitNoAnswer;
        return std::nullopt;
    }
    void watch() {
        if (command_.watch_s > 0) repeat_after(seconds(command_.watch_s));
    }
    void on_job(const ControllerReply& a) {
        const auto job = read(a);
        if (!job) return;
        print(*job, job_text(*job));
        const auto status = wire::text_field(*job, "status");
        const bool over = status == wire::status_name(wire::JobStatus::done) ||
                          status == wire::status_name(wire::JobStatus::cancelled);
        if (!over) watch();
    }
    // `left`: number of controllers left to ask, counting the one that gave this reply.
    void on_status(const ControllerReply& a, Formatter text, std::size_t left) {
        const auto status = read(a);
        if (!status) return;
        auto show = [this, text, status] {
            print(*status, text(*status));
            watch();
        };
        if (wire::field(*status, "book") != nullptr || left == 1) {
            show();
            return;
        }
        // This controller is not the leader. Asks the next one.
        client_.request(
            "GET", "/admin/status", "",
            [this, text, left, show](const ControllerReply& other) {
                if (other.answered && other.status < 400)
                    on_status(other, text, left - 1);
                else
                    show();
            },
            (a.controller + 1) % client_.controllers());
    }
    void on_plan(const ControllerReply& a) {
        auto page = read(a);
        if (!page) return;
        const auto state = wire::text_field(*page, "state");
        if (state == "planning") {
            repeat_after(kPlanPollInterval);
            return;
        }
        const auto next = wire::count_field(*page, "next");
        // Large plans are sent in pages.
        if (plan_.is_null()) {
            plan_ = std::move(*page);
        } else {
            for (Json& step : (*page)["steps"]) plan_["steps"].push_back(std::move(step));
        }
        if (next) {
            client_.request("GET", plan_path() + "?from=" + std::to_string(*next), "",
                            [this](const ControllerReply& more) { on_plan(more); });
            return;
        }
        plan_.erase("next");
        print(plan_, plan_text(plan_, command_.moves));
        if (state == "refused") exit_code_ = kExitRejected;
    }
    ControllerClient client_;
    const Command& command_;
    net::Timer repeat_timer_;
    std::ostream& out_;
    std::ostream& err_;
    std::function<void()> send_request_;
    Json plan_;                    // the pages received so far
    bool repeat_pending_ = false;  // whether `repeat_timer_` is set
    int exit_code_ = kExitOk;
};

// Reads a job as JSON and checks it as a controller would, so that errors are reported before
// anything is sent.
std::optional<Json> read_job(const std::string& file, std::istream& in, std::ostream& err) {
    std::stringstream text;
    if (file == "-") {
        text << in.rdbuf();
    } else {
        std::ifstream f(file);
        if (!f) {
            err << "cannot read " << file << "\n";
            return std::nullopt;
        }
        text << f.rdbuf();
    }
    Json job;
    try {
        job = Json::parse(text.str());
    } catch (const Json::parse_error& e) {
        err << file << ": " << e.what() << "\n";
        return std::nullopt;
    }
    if (!job.is_object()) {
        err << file << ": missing or invalid: a map\n";
        return std::nullopt;
    }
    if (const auto spec = wire::parse_job(job); !spec) {
        err << file << ": " << spec.error().message() << "\n";
        return std::nullopt;
    }
    return job;
}

void close_loop(uv_loop_t* loop) {
    // Open keep-alive connections must not keep the loop running. Runs it until all handles that
    // are being closed are closed.
    uv_walk(
        loop,
        [](uv_handle_t* h, void*) {
            if (uv_is_closing(h) == 0) uv_unref(h);
        },
        nullptr);
    uv_run(loop, UV_RUN_DEFAULT);
}

}  // namespace

int run(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out,
        std::ostream& err) {
    CLI::App cli{"nickelrampctl: talks to a nickelramp service", "nickelrampctl"};
    Command c;
    cli.set_version_flag("--version", NICKELRAMP_VERSION);
    cli.require_subcommand(1);
    cli.fallthrough();
    cli.add_option("--config", c.config, "TOML file that names the controllers");
    cli.add_option("--controller", c.controllers, "a controller, HOST:PORT, instead of the file's")
        ->allow_extra_args(false);
    cli.add_option("--give-up", c.give_up_s, "seconds to try for, in all")
        ->check(CLI::Range(1.0, 3600.0));
    cli.add_flag("--json", c.json, "print answers as JSON");
    auto watched = [&](CLI::App* sub, const char* what) {
        sub->add_option("--watch", c.watch_s, what)->check(CLI::Range(kMinWatchIntervalS, 3600.0));
        return sub;
    };
    const char* until = "ask again every so many seconds until the job is over";
    const char* always = "ask again every so many seconds";
    CLI::App* submit = cli.add_subcommand("submit", "submit a job, as JSON");
    submit->add_option("file", c.file, "the job; - is standard input")->required();
    CLI::App* show = watched(cli.add_subcommand("show", "what has become of a job"), until);
    show->add_option("id", c.id, "its id")->required();
    CLI::App* abort = cli.add_subcommand("abort", "cancel a job");
    abort->add_option("id", c.id, "its id")->required();
    CLI::App* status =
        watched(cli.add_subcommand("status", "who leads, machines, and what waits"), always);
    CLI::App* late =
        watched(cli.add_subcommand("late", "jobs past an objective, or about to be"), always);
    CLI::App* settings = cli.add_subcommand("settings", "the operators' settings");
    settings->add_option("name", c.setting, "one to be changed");
    settings->add_option("value", c.value, "its new value")->needs("name");
    CLI::App* plan = cli.add_subcommand("plan", "drain plans: what emptying machines would mean");
    plan->require_subcommand(1);
    plan->fallthrough();
    CLI::App* make = plan->add_subcommand("make", "make one; nothing is moved");
    make->add_option("id", c.id, "its name, of your choice")->required();
    make->add_option("--machine", c.machines, "a machine to be emptied")->allow_extra_args(false);
    make->add_option("--zone", c.zone, "all machines of the zone");
    make->add_option("--type", c.type, "all machines of the type");
    make->add_flag("--all", c.all, "all machines");
    make->add_option("--at-once", c.at_once, "so many in one wave");
    make->add_flag("--moves", c.moves, "print task by task");
    CLI::App* shown = plan->add_subcommand("show", "one that was made");
    shown->add_option("id", c.id, "its name")->required();
    shown->add_flag("--moves", c.moves, "print task by task");
    CLI::App* plans = plan->add_subcommand("list", "those that the leader remembers");
    Config config;
    std::optional<Json> job;
    Json request;
    Json value;
    try {
        std::vector<std::string> reversed(arguments.rbegin(), arguments.rend());
        cli.parse(reversed);
        if (c.controllers.empty()) {
            config = read_config(c.config);
        } else {
            Json list = c.controllers;
            config = parse_config("controllers = " + list.dump(), "--controller");
        }
        if (c.give_up_s > 0) config.give_up_s = c.give_up_s;
        if (submit->parsed()) {
            job = read_job(c.file, in, err);
            if (!job) return kExitUsage;
        }
        if ((show->parsed() || abort->parsed()) && !wire::valid_job_id(c.id)) {
            throw std::runtime_error("'" + c.id + "' is no job's id");
        }
        if (make->parsed()) {
            request = {{"id", c.id}};
            if (!c.machines.empty()) request["machines"] = c.machines;
            if (!c.zone.empty()) request["zone"] = c.zone;
            if (!c.type.empty()) request["type"] = c.type;
            if (c.all) request["all"] = true;
            if (make->count("--at-once") > 0) request["at_once"] = c.at_once;
            std::string field;
            if (!drain::parse_request(request, field)) {
                throw std::runtime_error("plan make: missing or invalid: " + field);
            }
        }
        if (settings->parsed() && !c.setting.empty()) {
            if (c.value.empty()) throw std::runtime_error("settings: a name needs a value");
            const auto decoded = wire::decode_json(c.value);
            if (!decoded) throw std::runtime_error("'" + c.value + "' is no value");
            value = *decoded;
        }
    } catch (const CLI::ParseError& e) {
        return cli.exit(e, out, err) == 0 ? kExitOk : kExitUsage;
    } catch (const std::exception& e) {
        err << e.what() << "\n";
        return kExitUsage;
    }
    uv_loop_t loop;
    uv_loop_init(&loop);
    int code = kExitOk;
    {
        Program program(&loop, config, c, out, err);
        if (submit->parsed()) program.submit(*job);
        if (show->parsed()) program.show();
        if (abort->parsed()) program.abort();
        if (status->parsed()) program.status(status_text);
        if (late->parsed()) program.status(late_text);
        if (settings->parsed()) c.setting.empty() ? program.settings() : program.set(value);
        if (make->parsed()) program.make_plan(request);
        if (shown->parsed()) program.show_plan();
        if (plans->parsed()) program.list_plans();
        while (program.busy()) uv_run(&loop, UV_RUN_ONCE);
        code = program.code();
    }
    close_loop(&loop);
    uv_loop_close(&loop);
    return code;
}

}  // namespace nickelramp::ctl
