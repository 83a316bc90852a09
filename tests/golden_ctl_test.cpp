// Tests the recorded requests, output, error messages and exit codes of nickelrampctl.
#include <stdexcept>

#include "ctl/config.h"
#include "ctl/program.h"
#include "ctl/show.h"
#include "tests/ctl_service.h"
#include "tests/golden.h"
#include "tests/golden_samples.h"
#include "tests/reserved_ports.h"

namespace {

using namespace nickelramp;
using wire::Json;

Json full_status() {
    return {{"node", "n1"},
            {"leader", "n1"},
            {"leadership", "leading"},
            {"state_service", "answers"},
            {"book",
             {{"term", 4},
              {"confirmed", true},
              {"open_jobs", 3},
              {"machines", {{"ready", 3}, {"booting", 12}}},
              {"waiting",
               {{{"id", "job-7"},
                 {"class", "train"},
                 {"team", "red"},
                 {"tasks", 100},
                 {"for_s", 1.25},
                 {"why", "allowed machines are full"}}}},
              {"late",
               {{{"id", "job-9"},
                 {"class", "train"},
                 {"objective", "finish"},
                 {"within_s", 60.0},
                 {"left_s", -2.5},
                 {"why", "runs longer than it may"}}}}}}};
}

Json full_plan() {
    return {{"id", "up"},
            {"state", "refused"},
            {"machines", 2},
            {"empty_s", 7.5},
            {"cost", 0.0},
            {"steps",
             {{{"machine", "m-1"},
               {"type", "g4"},
               {"zone", "a"},
               {"wave", 0},
               {"from_s", 0.0},
               {"empty_s", 7.5},
               {"moves",
                {{{"job", "job-1"},
                  {"task", 3},
                  {"how", "saves"},
                  {"to", "m-2"},
                  {"leaves_s", 0.5},
                  {"back_s", 20.0},
                  {"ends_s", nullptr},
                  {"seen", 4}}}}}}},
            {"refusals",
             {{{"job", "job-1"},
               {"task", 3},
               {"machine", "m-1"},
               {"why", "it would miss its deadline"},
               {"instead", "later"},
               {"due_s", 30.0},
               {"ends_s", 40.5}}}},
            {"hires", {{{"type", "g4"}, {"zone", "b"}, {"count", 2}, {"price", 4.5}}}},
            {"passed_over", {"m-9 is not known", 5}}};
}

// Returns the request in its recorded form.
std::string shown(const net::Request& request) {
    std::string line = request.method;
    line.append(" ").append(request.path);
    if (!request.query.empty()) line.append("?").append(request.query);
    if (request.body.empty()) return line;
    const bool printable = request.body.front() == '{' || request.body.front() == '[';
    line.append(" ");
    if (printable) return line.append(request.body);
    return line.append("CBOR ").append(wire::decode_map(request.body).value_or(Json()).dump());
}

class GoldenCtl : public test::golden::Recorded {
  protected:
    // Runs a command against the prepared answers and records its requests, output and exit code.
    void run(const std::string& entry, std::vector<std::string> arguments,
             const std::string& input = "") {
        run_with(service.address(), entry, std::move(arguments), input);
    }
    void run_with(const std::string& controller, const std::string& entry,
                  std::vector<std::string> arguments, const std::string& input = "") {
        arguments.insert(arguments.begin(), {"--controller", controller});
        run_command(entry, arguments, input);
    }
    void run_command(const std::string& entry, const std::vector<std::string>& arguments,
                     const std::string& input = "") {
        service.requests.clear();
        const test::CtlRun run = service.run(arguments, input);
        std::string seen = "exit " + std::to_string(run.exit_code) + "\nasked:\n";
        for (const net::Request& request : service.requests)
            seen.append(shown(request)).append("\n");
        seen.append("out:\n").append(run.out).append("err:\n").append(run.err);
        text(entry, seen);
    }
    void answer_json(int status, const Json& body) {
        answers = {{status, body.dump(), 0, "application/json"}};
    }
    void answer_cbor(int status, const Json& body) {
        answers = {{status, wire::encode(body), 0, "application/cbor"}};
    }
    test::CtlService service;
    const test::ReservedPorts closed_port;
    std::vector<net::Response>& answers = service.answers;
};

TEST_F(GoldenCtl, CommandsOnJobs) {
    const std::string job = test::golden::full_job().dump();
    answer_cbor(201, wire::encode_job_answer("job-000412", wire::JobStatus::pending));
    run("submit", {"submit", "-"}, job);
    run("submit, JSON", {"--json", "submit", "-"}, job);
    answer_cbor(422, {{"error", "unknown team"}});
    run("submit, refused", {"submit", "-"}, job);
    answer_cbor(200, wire::encode_job_answer("job-5", wire::JobStatus::running, {{1, 2}}));
    run("show", {"show", "job-5"});
    run("show, JSON", {"show", "job-5", "--json"});
    answer_cbor(404, {{"error", "no such job"}});
    run("show, unknown", {"show", "job-5"});
    answer_cbor(200, wire::encode_job_answer("job-5", wire::JobStatus::cancelled, {{0, 0}}));
    run("abort", {"abort", "job-5"});
    run("show, watched", {"show", "job-5", "--watch", "0.1"});
    answers = {{200, "neither", 0, "text/plain"}};
    run("an answer that cannot be read", {"show", "job-5"});
}

TEST_F(GoldenCtl, CommandsOnTheService) {
    answer_json(200, full_status());
    run("status", {"status"});
    run("status, JSON", {"status", "--json"});
    run("late", {"late"});
    Json quiet = full_status();
    quiet["book"]["confirmed"] = false;
    quiet["book"]["waiting"] = quiet["book"]["late"] = Json::array();
    quiet["book"]["machines"] = Json::object();
    answer_json(200, quiet);
    run("status, nothing there", {"status"});
    run("late, none", {"late"});
    quiet.erase("book");
    answer_json(200, quiet);
    run("status, no leader", {"status"});
    run("late, no leader", {"late"});
    answer_json(200, {{"keep_margin", 2.0}, {"use_spot", 1.0}});
    run("settings", {"settings"});
    run("settings, one set", {"settings", "keep_margin", "2.5"});
    run("settings, a flag", {"settings", "use_spot", "true"});
    answer_json(400, {{"error", "use_spot must be a whole number from 0 to 1"},
                      {"field", "value"},
                      {"least", 0.0},
                      {"most", 1.0}});
    run("settings, refused", {"settings", "use_spot", "5"});
}

TEST_F(GoldenCtl, CommandsOnDrainPlans) {
    answer_json(200, full_plan());
    run("show", {"plan", "show", "up"});
    run("show, with moves", {"plan", "show", "up", "--moves"});
    run("show, JSON", {"--json", "plan", "show", "up"});
    run("make, machines", {"plan", "make", "--machine", "m-1", "--machine", "m-2", "up"});
    run("make, zone and type", {"plan", "make", "up", "--zone", "a", "--type", "g4", "--moves"});
    run("make, all", {"plan", "make", "up", "--all", "--at-once", "3"});
    answer_json(409, {{"error", "the id stands for another plan"}, {"field", "id"}});
    run("make, refused", {"plan", "make", "up", "--zone", "a"});
    answer_json(200, {{"plans",
                       {{{"id", "up"},
                         {"state", "ready"},
                         {"machines", 2},
                         {"refused", 0},
                         {"empty_s", 7.5},
                         {"cost", 0.25}}}}});
    run("list", {"plan", "list"});
    answer_json(200, {{"plans", Json::array()}});
    run("list, none", {"plan", "list"});
    // A plan in two pages.
    Json first = full_plan(), second = full_plan();
    first["next"] = 1;
    answers = {{200, first.dump(), 0, "application/json"},
               {200, second.dump(), 0, "application/json"}};
    run("show, two pages", {"plan", "show", "up"});
}

TEST_F(GoldenCtl, UsageErrorsKeepTheirText) {
    answer_json(200, Json::object());
    run("no command", {});
    run("unknown command", {"dance"});
    run("unknown option", {"status", "--fast"});
    run("no id", {"show"});
    run("bad id", {"show", "no id"});
    run("bad id to abort", {"abort", "x"});
    run("no file", {"submit", "/nowhere/job.json"});
    run("a job that is no map", {"submit", "-"}, "[]");
    run("a job without fields", {"submit", "-"}, "{\"id\": 5}");
    run("setting without a value", {"settings", "lent_machines"});
    run("setting with a bad value", {"settings", "lent_machines", "many"});
    run("bad watch", {"status", "--watch", "0"});
    run("bad time to give up", {"--give-up", "0", "status"});
    run("plan without machines", {"plan", "make", "up"});
    run("plan of a bad name", {"plan", "make", "a b", "--zone", "a"});
    run("plan at once 0", {"plan", "make", "up", "--zone", "a", "--at-once", "0"});
    run_with("here", "bad controller", {"status"});
    run_command("no settings file", {"--config", "/nowhere.toml", "status"});
    run_with(closed_port.address(), "nobody there", {"--give-up", "1", "show", "job-5"});
    run("version", {"--version"});
}

// Ignores the layout of the help, which the argument parser determines.
TEST_F(GoldenCtl, HelpNamesAllCommandsAndOptions) {
    const std::vector<std::vector<std::string>> commands = {
        {},           {"submit"}, {"show"},         {"abort"},        {"status"},      {"late"},
        {"settings"}, {"plan"},   {"plan", "make"}, {"plan", "show"}, {"plan", "list"}};
    for (std::vector<std::string> words : commands) {
        std::string entry = "help";
        for (const std::string& word : words) entry += " " + word;
        words.push_back("--help");
        std::stringstream in, out, err;
        EXPECT_EQ(ctl::run(words, in, out, err), ctl::kExitOk);
        std::string shown;
        for (std::string word; out >> word;) shown += word + "\n";
        text(entry, shown);
    }
}

TEST_F(GoldenCtl, ConfigurationErrorsKeepTheirText) {
    std::string out;
    for (const char* file :
         {"controllers = [\"10.0.0.1:80\", \"10.0.0.2:80\"]\ngive_up_s = 5.5",
          "controllers = [\"10.0.0.1:80\"]", "controllers = [", "", "controllers = []",
          "\ncontrollers = [\"here\"]", "controllers = [5]", "controllers = \"10.0.0.1:80\"",
          "controllers = [\"10.0.0.1:80\"]\ngive_up_s = 0",
          "controllers = [\"10.0.0.1:80\"]\ngive_up_s = 3601",
          "controllers = [\"10.0.0.1:80\"]\ngive_up_s = \"x\"", "contrlers = []"}) {
        out += std::string("--- ") + file + "\n";
        try {
            const ctl::Config config = ctl::parse_config(file, "f");
            out += Json(config.controllers).dump() + ", gives up after " +
                   test::golden::shown_number(config.give_up_s) + "\n";
        } catch (const std::runtime_error& e) {
            out += std::string(e.what()) + "\n";
        }
    }
    text("files", out);
    text("exit codes", std::to_string(ctl::kExitOk) + " " + std::to_string(ctl::kExitRejected) +
                           " " + std::to_string(ctl::kExitUsage) + " " +
                           std::to_string(ctl::kExitNoAnswer));
}

TEST_F(GoldenCtl, ServiceErrorsKeepTheirText) {
    text("JSON", ctl::error_text(400, R"({"error": "e", "field": "f", "least": 0, "most": 1.5})"));
    text("CBOR", ctl::error_text(404, wire::encode({{"error", "no such job"}})));
    text("nothing", ctl::error_text(503, ""));
    text("numbers", ctl::table({"id", "n"}, {{"job-1", "7"}, {"x", "1000"}, {"-", "-"}}));
}

}  // namespace
