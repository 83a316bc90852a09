// Tests the recorded output of the controller program: its command line, and the records and
// answers of a controller that becomes leader with emulated state service and cloud.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>

#include "emulator/controller_processes.h"
#include "net/address.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "tests/emulator.h"
#include "tests/event_loop.h"
#include "tests/golden.h"
#include "tests/golden_samples.h"
#include "tests/reserved_ports.h"

namespace {

using namespace nickelramp;
using wire::Json;

// The leader, the term, the machine types and the four roles.
constexpr std::size_t kFirstRecords = 7;

Json facts() {
    return {{"zones", {"a", "b"}},
            {"teams", {{{"name", "red"}, {"gpus", 8}, {"gpus_max", 24}}}},
            {"workers",
             {{"report_s", 3},
              {"lease_s", 31},
              {"gang_wait_s", 30},
              {"gang_peer_s", 4},
              {"cancel_s", 51}}},
            {"state", {{"rps", 250}, {"write_rps", 40}, {"value_kb", 8}, {"txn_ops", 12}}},
            {"cloud", {{"rps", 50}, {"list_lag_s", 3}}},
            {"limits", {{"cpu", 0.12}, {"mem_mb", 104}, {"fd_limit", 1800}}}};
}

class GoldenProgram : public test::golden::Recorded {
  protected:
    GoldenProgram()
        : folder(std::filesystem::temp_directory_path() /
                 ("nickelramp-golden-" + std::to_string(getpid()))) {
        std::filesystem::create_directories(folder);
    }
    ~GoldenProgram() override { std::filesystem::remove_all(folder); }
    // Runs the program. Returns its exit code, stdout and stderr, with folder paths replaced by
    // names.
    std::string program(const std::string& arguments) const {
        std::FILE* pipe = popen((NICKELRAMP_PROGRAM " " + arguments + " 2>&1").c_str(), "r");
        std::string out;
        for (int c = std::fgetc(pipe); c != EOF; c = std::fgetc(pipe)) out += static_cast<char>(c);
        const int status = pclose(pipe);
        for (const std::string& place : {std::string(NICKELRAMP_PROGRAM), folder.string()}) {
            const std::string name = place == folder.string() ? "FOLDER" : "nickelramp";
            for (auto at = out.find(place); at != std::string::npos; at = out.find(place))
                out.replace(at, place.size(), name);
        }
        return "exit " + std::to_string(WEXITSTATUS(status)) + "\n" + out;
    }
    std::string file(const std::string& name, const std::string& content) const {
        const std::string path = folder / name;
        std::ofstream(path) << content;
        return path;
    }
    const std::filesystem::path folder;
};

// Replaces each run of blanks and line ends by one line end. std::regex would do this too, but g++
// 12 with sanitizers emits warnings about its implementation.
std::string one_word_per_line(const std::string& text) {
    std::string out;
    for (const char c : text) {
        const bool blank = c == ' ' || c == '\n';
        if (!blank)
            out += c;
        else if (out.empty() || out.back() != '\n')
            out += '\n';
    }
    return out;
}

TEST_F(GoldenProgram, CommandLineKeepsItsText) {
    Json settings = {{"host_name", "ramper-0"},
                     {"site", "a"},
                     {"serve_on", "127.0.0.1:1"},
                     {"back", "127.0.0.1:2"},
                     {"peers", Json::array()},
                     {"external", {{"cloud", "127.0.0.1:3"}, {"state", "127.0.0.1:4"}}},
                     {"facts", facts()}};
    const std::string good = file("good.json", settings.dump());
    settings.erase("site");
    const std::string bad = file("bad.json", settings.dump());
    text("version", program("--version"));
    text("no arguments", program(""));
    text("unknown argument", program("--fast"));
    text("no file", program("--config /nowhere.json"));
    text("checked", program("--check --config " + good));
    text("checked, with plans", program("--check --plans --config " + good));
    text("checked, bad", program("--check --config " + bad));
    text("started, bad", program("--config " + bad));
    // Ignores the layout of the help, which the argument parser determines.
    text("help", one_word_per_line(program("--help")));
    text("bad log level", [&] {
        setenv("LOG_LEVEL", "loud", 1);
        const std::string out = program("--check --config " + good);
        unsetenv("LOG_LEVEL");
        return out;
    }());
}

// One controller that becomes leader, with a cloud that has machine types but no machines.
class GoldenController : public test::golden::Recorded, protected test::EventLoop {
  protected:
    GoldenController()
        : folder(std::filesystem::temp_directory_path() /
                 ("nickelramp-golden-" + std::to_string(getpid()))) {
        std::filesystem::create_directories(folder);
        state = std::make_unique<test::StateServiceEmulator>(&loop, state_address);
        cloud = std::make_unique<net::HttpServer>(
            &loop, 8, [this](const net::Request& q, const net::Responder& r) { on_cloud(q, r); });
        EXPECT_EQ(cloud->listen(*net::parse_address(cloud_address)), 0);
        controllers = std::make_unique<emulator::ControllerProcesses>(
            emulator::ControllerSettings{NICKELRAMP_PROGRAM,
                                         folder.string(),
                                         1,
                                         controller_ports.first(),
                                         {"a", "b"},
                                         cloud_address,
                                         state_address,
                                         facts()});
        user = std::make_unique<net::HttpClient>(
            &loop, *net::parse_address(controllers->address(0)), "user", 4, 16);
    }
    ~GoldenController() override {
        controllers.reset();
        std::filesystem::remove_all(folder);
    }
    void on_cloud(const net::Request& q, const net::Responder& r) {
        if (q.path == "/machine_types") {
            const Json types =
                wire::encode_machine_types({{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}}});
            r.send({200, wire::encode(types), 0, "application/cbor"});
        } else if (q.method == "GET") {
            const Json none = {{"hosts", Json::array()}, {"truncated", false}};
            r.send({200, wire::encode(none), 0, "application/cbor"});
        } else {
            r.send({503, wire::encode({{"error", "no capacity"}}), 0, "application/cbor"});
        }
    }
    net::ClientReply ask(const char* method, const std::string& path,
                         const std::string& body = "") {
        net::ClientReply out;
        bool done = false;
        user->request(method, path, body, 5000, [&](const net::ClientReply& reply) {
            out = reply;
            done = true;
        });
        EXPECT_TRUE(test::run_until(&loop, [&] { return done; }));
        return out;
    }
    void answered(const std::string& entry, const net::ClientReply& reply) {
        const auto map = wire::decode_map(reply.body);
        text(entry,
             std::to_string(reply.status) + ", retry after " + std::to_string(reply.retry_after_s) +
                 "\n" +
                 (map ? map->dump() + "\n" + test::golden::shown_bytes(reply.body) : reply.body));
    }
    // Starts the controller and waits until it leads and has written the first records of its term.
    bool start_and_wait_for_leader() {
        EXPECT_EQ(controllers->start_all(), "");
        return test::run_until(&loop, [&] { return state->keys() >= kFirstRecords; });
    }
    std::filesystem::path folder;
    const test::ReservedPorts service_ports{2}, controller_ports{2};
    const std::string state_address = service_ports.address(0),
                      cloud_address = service_ports.address(1);
    std::unique_ptr<test::StateServiceEmulator> state;
    std::unique_ptr<net::HttpServer> cloud;
    std::unique_ptr<emulator::ControllerProcesses> controllers;
    std::unique_ptr<net::HttpClient> user;
};

// Replaces by 0 the numbers of the named fields, which differ between runs.
Json with_zeroed_numbers(Json value, const std::vector<std::string>& names) {
    if (!value.is_structured()) return value;
    for (auto& [name, part] : value.items()) {
        const bool varies = std::find(names.begin(), names.end(), name) != names.end();
        part = varies && part.is_number() ? Json(0) : with_zeroed_numbers(part, names);
    }
    return value;
}

TEST_F(GoldenController, RecordsOfANewLeaderKeepKeysAndBytes) {
    ASSERT_TRUE(start_and_wait_for_leader());
    value("lead/seat", state->value("lead/seat"));
    value("lead/term", state->value("lead/term"));
    value("fleet/types", state->value("fleet/types"));
    for (const char* duty : {"renting", "returning", "reclaiming", "cleaning"}) {
        const std::string key = std::string("duty/") + duty;
        value(key, with_zeroed_numbers(state->value(key), {"incarnation", "hold"}));
    }
    text("number of keys", std::to_string(state->keys()));
    answered("submission", ask("POST", "/work", wire::encode(test::golden::minimal_job())));
    ASSERT_TRUE(state->has("open/job-1"));
    value("open job", with_zeroed_numbers(state->value("open/job-1"), {"at"}));
    value("job", state->value("job/job-1"));
}

TEST_F(GoldenController, PagesOfALeaderKeepTheirText) {
    ASSERT_TRUE(start_and_wait_for_leader());
    ASSERT_TRUE(test::run_until(&loop, [&] { return ask("GET", "/ready").status == 200; }));
    Json status;
    ASSERT_TRUE(test::run_until(&loop, [&] {
        status = Json::parse(ask("GET", "/admin/status").body, nullptr, false);
        return status.contains("book");
    }));
    text("/admin/status",
         with_zeroed_numbers(status, {"fence", "requests", "renting", "returning"}).dump(1));
    std::istringstream metrics(ask("GET", "/admin/metrics").body);
    std::set<std::string> lines;
    for (std::string line; std::getline(metrics, line);)
        lines.insert(line[0] == '#' ? line : line.substr(0, line.rfind(' ')));
    std::string names;
    for (const std::string& line : lines) names += line + "\n";
    text("/admin/metrics without values", names);
    answered("/ready", ask("GET", "/ready"));
    answered("/admin/settings", ask("GET", "/admin/settings"));
    answered("/admin/settings/keep_margin", ask("GET", "/admin/settings/keep_margin"));
    answered("/admin/settings/other", ask("GET", "/admin/settings/other"));
    answered("PUT", ask("PUT", "/admin/settings/keep_margin", "{\"value\": 2.5}"));
    value("admin/settings", state->value("admin/settings"));
    answered("PUT, out of range", ask("PUT", "/admin/settings/keep_margin", "{\"value\": 25}"));
    answered("PUT, no value", ask("PUT", "/admin/settings/keep_margin", "{}"));
    answered("PUT, no JSON", ask("PUT", "/admin/settings/keep_margin", "x"));
    answered("DELETE", ask("DELETE", "/admin/settings/keep_margin"));
    answered("PUT of all", ask("PUT", "/admin/settings"));
    answered("POST of the status", ask("POST", "/admin/status"));
    answered("unknown page", ask("GET", "/admin/other"));
    answered("unknown path", ask("GET", "/other"));
    answered("plans are off", ask("GET", "/admin/plans"));
}

TEST_F(GoldenController, HeartbeatsAreAnswered) {
    ASSERT_TRUE(start_and_wait_for_leader());
    ASSERT_TRUE(test::run_until(&loop, [&] {
        const Json status = Json::parse(ask("GET", "/admin/status").body, nullptr, false);
        return status.contains("book");
    }));
    answered("GET", ask("GET", "/checkin"));
    answered("no CBOR", ask("POST", "/checkin", "x"));
    answered("no machine", ask("POST", "/checkin", wire::encode(Json{{"shift", 1}})));
    answered("of an unknown machine",
             ask("POST", "/checkin", wire::encode(test::golden::minimal_worker_heartbeat())));
}

}  // namespace
