#include "tests/golden_samples.h"

namespace nickelramp::test::golden {

using wire::Json;

namespace {
constexpr std::size_t kMaxAbbreviatedLength = 60;

Json::json_pointer pointer(const std::string& path) { return Json::json_pointer("/" + path); }

std::string line(const char* name, const std::string& value) {
    return std::string(name) + " = " + value + "\n";
}

std::string line(const char* name, bool value) {
    return line(name, std::string(value ? "1" : "0"));
}

std::string joined(const std::vector<std::string>& words) {
    std::string out;
    for (const std::string& word : words) out += (out.empty() ? "" : ",") + word;
    return out;
}
}  // namespace

Json full_job() {
    return {{"id", "job-000412"},  {"jobclass", "train"}, {"crew", "vision"},
            {"shape", "ensemble"}, {"urgency", "urgent"}, {"legs", 16},
            {"cores", 8.5},        {"cards", 1},          {"mem_gb", 64.25},
            {"bundle", "img-07"},  {"pull_gb", 6.2},      {"rigs", {"g8", "g4"}},
            {"yard", "a"},         {"one_zone", true},    {"scatter", false},
            {"standby", true},     {"guess_s", 240.0},    {"save_every_s", 30.0},
            {"save_cost_s", 4.0},  {"due_s", 900.0},      {"later", "ignored"}};
}

Json minimal_job() {
    return {{"id", "job-1"},       {"jobclass", "c"},  {"crew", "red"}, {"shape", "sweep"},
            {"urgency", "normal"}, {"legs", 1},        {"cores", 0},    {"cards", 0},
            {"mem_gb", 0},         {"bundle", "i"},    {"pull_gb", 0},  {"one_zone", false},
            {"scatter", false},    {"standby", false}, {"guess_s", 0},  {"save_every_s", 0},
            {"save_cost_s", 0}};
}

Json full_worker_heartbeat() {
    auto task = [](const char* name, const char* status) {
        return Json{{"leg", name}, {"try", 1}, {"status", status}};
    };
    Json tasks = {task("job-000412/0", "fetching"), task("job-000412/1", "gathering"),
                  task("job-000412/2", "running"), task("job-000412/99999", "saving")};
    std::uint64_t attempt = 2;
    for (const char* cause :
         {"", "done", "stopped", "mates_gone", "incomplete", "error", "full", "busy", "no_such"}) {
        tasks.push_back({{"leg", "job-000398/7"},
                         {"try", attempt++},
                         {"status", "exited"},
                         {"cause", cause},
                         {"kept", attempt % 2 == 0}});
    }
    return {{"host", "i-000231"}, {"address", "10.1.0.232:9000"},
            {"rig", "g8"},        {"yard", "a"},
            {"standby", true},    {"shift", 3},
            {"tick", 88},         {"baton", 18446744073709551615u},
            {"warning_s", 12.5},  {"legs", tasks},
            {"later", "ignored"}};
}

Json minimal_worker_heartbeat() { return {{"host", "m"}, {"shift", 1}, {"tick", 0}, {"baton", 0}}; }

Json received(const Json& value) { return Json::from_cbor(Json::to_cbor(value)); }

std::string shown_number(double number) { return Json(number).dump(); }

std::string shown_job(const wire::JobSpec& job) {
    std::string out;
    out += line("id", job.id);
    out += line("class", job.job_class);
    out += line("team", job.team);
    out += line("shape", std::to_string(static_cast<int>(job.shape)));
    out += line("priority", std::to_string(static_cast<int>(job.priority)));
    out += line("tasks", std::to_string(job.tasks));
    out += line("cpus", shown_number(job.cpus));
    out += line("gpus", shown_number(job.gpus));
    out += line("memory_gb", shown_number(job.memory_gb));
    out += line("any_type", job.any_type);
    out += line("types", joined(job.types));
    out += line("zone", job.zone.value_or("(none)"));
    out += line("one_zone", job.one_zone);
    out += line("spread", job.spread);
    out += line("spot", job.spot);
    out += line("image", job.image);
    out += line("image_gb", shown_number(job.image_gb));
    out += line("estimate_s", shown_number(job.estimate_s));
    out += line("checkpoint_s", shown_number(job.checkpoint_interval_s));
    out += line("save_s", shown_number(job.checkpoint_duration_s));
    out += line("deadline_s", job.deadline_s ? shown_number(*job.deadline_s) : "(none)");
    return out;
}

std::string shown_worker_heartbeat(const wire::Heartbeat& heartbeat) {
    std::string out;
    out += line("machine", heartbeat.machine);
    out += line("address", heartbeat.address);
    out += line("type", heartbeat.type);
    out += line("zone", heartbeat.zone);
    out += line("spot", heartbeat.spot);
    out += line("session", std::to_string(heartbeat.incarnation));
    out += line("sequence", std::to_string(heartbeat.sequence));
    out += line("token", std::to_string(heartbeat.token));
    out += line("notice_s", heartbeat.preemption_notice_s
                                ? shown_number(*heartbeat.preemption_notice_s)
                                : "(none)");
    for (const wire::TaskReport& task : heartbeat.tasks) {
        out += "task " + task.job + " " + std::to_string(task.task) + " attempt " +
               std::to_string(task.attempt) + " phase " +
               std::to_string(static_cast<int>(task.phase)) + " cause " +
               std::to_string(static_cast<int>(task.cause)) + " saved " + (task.saved ? "1" : "0") +
               "\n";
    }
    return out;
}

const std::vector<Json>& mostly_invalid_values() {
    static const std::vector<Json> values = {nullptr,
                                             "",
                                             "x",
                                             std::string(201, 'n'),
                                             -1,
                                             0,
                                             1.5,
                                             100'000,
                                             100'001,
                                             1e9,
                                             1e10,
                                             true,
                                             false,
                                             Json::array(),
                                             Json::object(),
                                             {5},
                                             {"g8"},
                                             "job-0000001",
                                             "127.0.0.1:80",
                                             "10.0.0.1:0"};
    return values;
}

Json with(const Json& map, const std::string& path, const Json& value) {
    Json out = map;
    out[pointer(path)] = value;
    return out;
}

Json without(const Json& map, const std::string& path) {
    Json out = map;
    const Json::json_pointer all = pointer(path);
    Json& parent = out[all.parent_pointer()];
    if (parent.is_array())
        parent.erase(std::stoul(all.back()));
    else
        parent.erase(all.back());
    return out;
}

std::string abbreviated(const Json& value) {
    const std::string text = value.dump();
    return text.size() <= kMaxAbbreviatedLength
               ? text
               : text.substr(0, kMaxAbbreviatedLength) + "... of " + std::to_string(text.size());
}

}  // namespace nickelramp::test::golden
