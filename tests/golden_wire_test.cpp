// Tests the recorded bytes of messages to users, workers and the cloud, the decoding of their
// messages and of the settings file, and the errors for invalid input.
#include <stdexcept>

#include "emulator/worker_messages.h"
#include "tests/golden.h"
#include "tests/golden_samples.h"
#include "wire/messages.h"
#include "wire/settings.h"

namespace {

using namespace nickelramp;
using test::golden::abbreviated;
using test::golden::full_job;
using test::golden::full_worker_heartbeat;
using test::golden::minimal_job;
using test::golden::minimal_worker_heartbeat;
using test::golden::mostly_invalid_values;
using test::golden::shown_bytes;
using test::golden::shown_job;
using test::golden::shown_worker_heartbeat;
using test::golden::with;
using test::golden::without;
using wire::Json;

using GoldenWire = test::golden::Recorded;

std::vector<wire::Command> all_commands() {
    using Op = wire::Command::Op;
    return {{Op::start, "job-000412", 99'999, 1, 4.5},
            {Op::stop, "job-000412", 3, 4'294'967'295u, 4.5},
            {Op::stop, "job-1", 0, 2, 0},
            {Op::forget, "job-1", 0, 2, 4.5}};
}

// Returns the result of `judge` for the map with each field in turn left out and replaced by each
// of mostly_invalid_values().
template <typename Judge>
std::string mutations(const Json& good, const std::vector<std::string>& paths, Judge judge) {
    std::string out;
    for (const std::string& path : paths) {
        out += path + " left out: " + judge(without(good, path)) + "\n";
        for (const Json& value : mostly_invalid_values())
            out += path + " = " + abbreviated(value) + ": " + judge(with(good, path, value)) + "\n";
    }
    return out;
}

std::vector<std::string> fields_of(const Json& map) {
    std::vector<std::string> out;
    for (const auto& [name, value] : map.items()) out.push_back(name);
    return out;
}

TEST_F(GoldenWire, AnswersToWorkersKeepTheirBytes) {
    bytes("report answered with all commands",
          wire::encode_heartbeat_reply(18446744073709551615u, all_commands()));
    bytes("report answered without commands", wire::encode_heartbeat_reply(0, {}));
    bytes("direct commands", wire::encode_direct_commands(30064775168u, 3, all_commands()));
    bytes("direct commands, none", wire::encode_direct_commands(0, 0, {}));
    bytes("redirected", wire::encode_redirect("ramper-1"));
    bytes("redirected to nobody", wire::encode_redirect(""));
    std::string decoded;
    for (const wire::Command& command : all_commands())
        decoded += wire::decode_map(wire::encode_heartbeat_reply(1, {command}))->dump() + "\n";
    text("one command each, decoded", decoded);
}

TEST_F(GoldenWire, HeartbeatsAreReadAsTheyWere) {
    auto read = [](const Json& body) {
        const auto report = wire::decode_heartbeat(body);
        return report ? shown_worker_heartbeat(*report) : std::string("refused");
    };
    text("full", read(full_worker_heartbeat()));
    text("minimal", read(minimal_worker_heartbeat()));
    Json odd = full_worker_heartbeat();
    for (const char* name : {"address", "rig", "yard", "standby", "warning_s"}) odd[name] = 5;
    text("wrong types of optional fields", read(odd));
    // The same heartbeat, decoded from its CBOR bytes.
    const auto body = wire::decode_map(bytes("full, bytes", wire::encode(full_worker_heartbeat())));
    ASSERT_TRUE(body);
    EXPECT_EQ(read(*body), read(full_worker_heartbeat()));
    text("bytes of the workers' stand-in",
         shown_bytes(emulator::encode_heartbeat(*wire::decode_heartbeat(full_worker_heartbeat()))));
}

TEST_F(GoldenWire, MalformedHeartbeatsAreRejected) {
    auto judge = [](const Json& body) {
        return std::string(wire::decode_heartbeat(body) ? "read" : "refused");
    };
    Json good = minimal_worker_heartbeat();
    good["legs"] = {{{"leg", "job-1/0"}, {"try", 1}, {"status", "exited"}, {"cause", "done"}}};
    std::vector<std::string> paths = fields_of(full_worker_heartbeat());
    for (const char* name : {"leg", "try", "status", "cause", "kept"})
        paths.push_back(std::string("legs/0/") + name);
    std::string out;
    for (const std::string& path : paths) {
        for (const Json& value : mostly_invalid_values())
            out += path + " = " + abbreviated(value) + ": " + judge(with(good, path, value)) + "\n";
    }
    text("one field wrong", out);
    std::string names;
    for (const char* task : {"job-1/0", "job-1/4294967295", "job-1/4294967296", "job-1/-1",
                             "job-1/", "job-1", "/0", "job-1/0x", "task-1/0", "job-1/2/3"})
        names += std::string(task) + ": " + judge(with(good, "legs/0/leg", task)) + "\n";
    text("names of tasks", names);
    std::string words;
    for (const char* word : {"fetching", "gathering", "running", "saving", "exited", "waiting", ""})
        words += std::string(word) + ": " + judge(with(good, "legs/0/status", word)) + "\n";
    text("phases", words);
}

TEST_F(GoldenWire, JobsAreReadAsTheyWere) {
    auto read = [](const Json& body) {
        const auto job = wire::parse_job(body);
        return job ? shown_job(*job) : "refused: " + job.error().field;
    };
    text("full", read(full_job()));
    text("minimal", read(minimal_job()));
    std::string shapes, urgencies;
    for (const char* word : {"sweep", "ensemble", "standing", "array", "gang", "service"}) {
        const auto job = wire::parse_job(with(full_job(), "shape", word));
        shapes += std::string(word) + ": " +
                  (job ? std::to_string(static_cast<int>(job->shape)) : job.error().field) + "\n";
    }
    for (const char* word : {"best_effort", "normal", "urgent", "prod", "low", "high"}) {
        const auto job = wire::parse_job(with(full_job(), "urgency", word));
        urgencies += std::string(word) + ": " +
                     (job ? std::to_string(static_cast<int>(job->priority)) : job.error().field) +
                     "\n";
    }
    text("shapes", shapes);
    text("urgencies", urgencies);
    std::string ids;
    for (const char* id : {"job-1", "job-", "job-0000000000000000000000000000000000000",
                           "job-000000000000000000000000000000000001", "job-x", "Job-1", "job-1 "})
        ids += std::string(id) + ": " + (wire::valid_job_id(id) ? "valid" : "invalid") + "\n";
    text("ids", ids);
    text("bytes of the users' stand-in",
         shown_bytes(wire::encode(emulator::job_body(*wire::parse_job(full_job())))));
}

TEST_F(GoldenWire, InvalidJobsNameTheFieldAtFault) {
    auto judge = [](const Json& body) {
        const auto job = wire::parse_job(body);
        return job ? std::string("read") : "refused: " + job.error().field;
    };
    text("one field wrong", mutations(full_job(), fields_of(full_job()), judge));
    std::string others;
    for (const Json& body : {Json(), Json::array(), Json("x"), Json::object()})
        others += body.dump() + ": " + judge(body) + "\n";
    Json two = without(without(full_job(), "legs"), "crew");
    text("others", others + "two fields left out: " + judge(two));
}

TEST_F(GoldenWire, AnswersToUsersKeepTheirBytes) {
    using wire::JobStatus;
    std::string names;
    for (JobStatus status :
         {JobStatus::pending, JobStatus::running, JobStatus::done, JobStatus::cancelled}) {
        value(std::string("status ") + wire::status_name(status),
              wire::encode_job_answer("job-000412", status));
        value(std::string("counts ") + wire::status_name(status),
              wire::encode_job_answer("job-000412", status, {{100'000, 3}}));
    }
    using wire::ExitCause;
    for (ExitCause cause :
         {ExitCause::none, ExitCause::done, ExitCause::stopped, ExitCause::peers, ExitCause::alone,
          ExitCause::error, ExitCause::no_room, ExitCause::busy, ExitCause::unknown})
        names += std::string(wire::name(cause)) + "\n";
    text("causes", names);
}

TEST_F(GoldenWire, RequestsToTheCloudKeepTheirBytes) {
    bytes("rental", wire::encode_provision_request("t7f9-1", "g8", "a", true, 50));
    bytes("rental, ordinary", wire::encode_provision_request("", "", "", false, 0));
    bytes("return", wire::encode_release_request({"i-000231", "i-000232"}));
    bytes("return of none", wire::encode_release_request({}));
}

TEST_F(GoldenWire, AnswersOfTheCloudAreReadAsTheyWere) {
    const Json types =
        wire::encode_machine_types({{"g8", 96, 8, 768, 500, 1.25, 24.5, 8.25, 90, {"a", "b"}}});
    auto read_types = [](const Json& body) {
        const auto read = wire::decode_machine_types(body);
        return read ? wire::encode_machine_types(*read).dump() : std::string("refused");
    };
    std::vector<std::string> paths{"rigs"};
    for (const std::string& name : fields_of(types["rigs"][0])) paths.push_back("rigs/0/" + name);
    text("types", read_types(types));
    text("types, one field wrong", mutations(types, paths, read_types));
    const Json host = {
        {"id", "i-1"},     {"address", "10.1.0.1:9000"}, {"rig", "g8"},   {"yard", "a"},
        {"standby", true}, {"status", "running"},        {"age_s", 12.5}, {"later", 1}};
    const Json hosts = {{"hosts", {host}}, {"truncated", true}};
    auto read_hosts = [](const Json& body) {
        const auto page = wire::decode_instance_page(body);
        if (!page) return std::string("refused");
        std::string out = page->more ? "more" : "all";
        for (const wire::CloudInstance& instance : page->instances)
            out += " [" + instance.id + "|" + instance.address + "|" + instance.type + "|" +
                   instance.zone + "|" + (instance.spot ? "spot" : "ordinary") + "|" +
                   std::to_string(static_cast<int>(instance.status)) + "|" +
                   test::golden::shown_number(instance.age_s) + "]";
        return out;
    };
    paths = {"hosts", "truncated"};
    for (const std::string& name : fields_of(host)) paths.push_back("hosts/0/" + name);
    text("machines", read_hosts(hosts));
    text("machines, one field wrong", mutations(hosts, paths, read_hosts));
    std::string states;
    for (const char* word : {"booting", "running", "failed", "gone"})
        states += read_hosts(with(hosts, "hosts/0/status", word)) + "\n";
    text("machines, states", states);
    auto read_hired = [](const Json& body) {
        const auto names = wire::decode_provision_reply(body);
        return names ? Json(*names).dump() : std::string("refused");
    };
    const Json hired = {{"hosts", {"i-1", "i-2"}}};
    text("rental", read_hired(hired));
    text("rental, one field wrong", mutations(hired, {"hosts", "hosts/1"}, read_hired));
}

TEST_F(GoldenWire, BodiesThatAreNoPlainMapsAreRejected) {
    std::string out;
    auto classify = [&](const std::string& name, const std::string& body) {
        const auto map = wire::decode_map(body);
        out += name + ": " + (!map ? "refused" : wire::is_plain_json(*map) ? "plain" : "not plain");
        if (map) {
            const auto size = wire::json_size(*map);
            out += size ? ", " + std::to_string(*size) + " bytes as JSON" : ", no UTF-8";
        }
        out += "\n";
    };
    const std::string good = wire::encode(full_job());
    classify("a job", good);
    classify("empty map", "\xa0");
    classify("nothing", "");
    classify("text", "plain text");
    classify("list", wire::encode(Json::array({1, 2})));
    classify("cut", good.substr(0, good.size() - 1));
    classify("bytes after it", good + "x");
    classify("deep", std::string(4096, '\x81'));
    classify("binary", wire::encode({{"a", Json::binary({1, 2})}}));
    classify("integer below -2^63", std::string("\xa1\x61") + "a\x3b" + std::string(8, '\xff'));
    classify("least integer", std::string("\xa1\x61") + "a\x3b\x7f" + std::string(7, '\xff'));
    classify("no UTF-8", std::string("\xa1\x61") + "a\x61\xff");
    classify("endless length", std::string("\xa1\x61") + "a\x7b" + std::string(8, '\xff'));
    text("bodies", out);
}

Json full_settings() {
    return Json::parse(R"({"host_name": "ramper-0", "site": "a", "serve_on": "10.0.0.1:8080",
        "back": "10.0.0.1:8081",
        "peers": [{"host_name": "ramper-1", "site": "b", "addr": "10.0.0.2:8081"}],
        "external": {"cloud": "10.2.0.2:8443", "state": "10.2.0.1:2379"},
        "facts": {"zones": ["a", "b"],
          "teams": [{"name": "vision", "cpus": 1.5, "cpus_max": 2.5, "gpus": 8, "gpus_max": 24}],
          "objectives": [{"kind": "wait", "class": "train", "within_s": 4.5, "times": 2, "share": 0.88}],
          "workers": {"report_s": 3, "lease_s": 31, "gang_wait_s": 30.5, "gang_peer_s": 4, "cancel_s": 51},
          "state": {"rps": 250, "write_rps": 40, "value_kb": 8, "txn_ops": 12},
          "cloud": {"rps": 5, "list_lag_s": 3},
          "limits": {"cpu": 0.12, "mem_mb": 104, "fd_limit": 1800}, "time_bound_ms": 1000},
        "later": 1})");
}

std::string shown_settings(const wire::Settings& settings) {
    Json out = {{"name", settings.name},     {"zone", settings.zone},
                {"listen", settings.listen}, {"peer_listen", settings.peer_listen},
                {"cloud", settings.cloud},   {"state", settings.state_service},
                {"zones", settings.zones}};
    for (const wire::Peer& peer : settings.peers)
        out["peers"].push_back({peer.name, peer.zone, peer.address});
    for (const wire::Team& team : settings.teams)
        out["teams"].push_back({team.name, team.cpus, team.cpus_max, team.gpus, team.gpus_max});
    for (const wire::Objective& objective : settings.objectives)
        out["objectives"].push_back({static_cast<int>(objective.kind), objective.job_class,
                                     objective.within_s, objective.times, objective.share});
    out["workers"] = {settings.heartbeat_interval_s, settings.lease_s, settings.gang_wait_s,
                      settings.gang_peer_s, settings.cancel_s};
    out["state limits"] = {settings.state_requests_per_s, settings.state_writes_per_s,
                           settings.state_value_kb, settings.state_txn_ops};
    out["cloud limits"] = {settings.cloud_requests_per_s, settings.cloud_list_lag_s};
    out["limits"] = {settings.cpu_share, settings.memory_mb, settings.max_sockets,
                     settings.time_bound_ms};
    return out.dump(1);
}

std::string read_settings(const std::string& text) {
    const auto settings = wire::parse_settings(text);
    return settings ? shown_settings(*settings) : "refused: " + settings.error().message();
}

TEST_F(GoldenWire, SettingsAreReadAsTheyWere) {
    text("full", read_settings(full_settings().dump()));
    Json least = full_settings();
    least["peers"] = Json::array();
    least["facts"]["teams"] = {{{"name", "t"}}};
    for (const char* name : {"objectives", "time_bound_ms"}) least["facts"].erase(name);
    least["facts"]["cloud"].erase("list_lag_s");
    text("least", read_settings(least.dump()));
    Json kinds = full_settings();
    kinds["facts"]["objectives"] = Json::array();
    for (const char* kind : {"wait", "finished", "deadline", "guarantee", "later"})
        kinds["facts"]["objectives"].push_back({{"kind", kind}});
    text("kinds of objectives", read_settings(kinds.dump()));
}

TEST_F(GoldenWire, InvalidSettingsNameTheFieldAtFault) {
    auto judge = [](const Json& settings) {
        const std::string read = read_settings(settings.dump());
        return read.rfind("refused", 0) == 0 ? read : std::string("read");
    };
    std::vector<std::string> paths;
    const Json flat = full_settings().flatten();
    for (const auto& [path, leaf] : flat.items()) paths.push_back(path.substr(1));
    for (const char* section :
         {"peers", "peers/0", "external", "facts", "facts/zones", "facts/teams", "facts/teams/0",
          "facts/objectives", "facts/objectives/0", "facts/workers", "facts/state", "facts/cloud",
          "facts/limits"})
        paths.push_back(section);
    text("one field wrong", mutations(full_settings(), paths, judge));
    std::string others;
    for (const char* file : {"", "no json", "[]", "{}", "{\"host_name\": \"a\"", "5"})
        others += std::string(file) + ": " + read_settings(file) + "\n";
    others += "a peer of the same name: " +
              judge(with(full_settings(), "peers/0/host_name", "ramper-0")) + "\n";
    for (double n : {3.0, 4.0})
        others += judge(with(full_settings(), "facts/state/txn_ops", n)) + "\n";
    for (double n : {63.0, 64.0})
        others += judge(with(full_settings(), "facts/limits/fd_limit", n)) + "\n";
    for (double n : {31.0, 31.5})
        others += judge(with(full_settings(), "facts/workers/cancel_s", n)) + "\n";
    text("others", others);
}

}  // namespace
