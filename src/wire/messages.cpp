#include "wire/messages.h"

#include <array>
#include <charconv>

namespace nickelramp::wire {

namespace {

constexpr std::uint32_t kMaxTasks = 100'000;
constexpr double kMaxAmount = 1e9;
constexpr std::size_t kMaxName = 200;

template <typename E, std::size_t N>
std::optional<E> pick(const std::array<const char*, N>& names, const std::string& word) {
    for (std::size_t i = 0; i < N; ++i) {
        if (word == names[i]) return static_cast<E>(i);
    }
    return std::nullopt;
}

constexpr std::array<const char*, 3> kShapes{"sweep", "ensemble", "standing"};
constexpr std::array<const char*, 4> kPriorities{"best_effort", "normal", "urgent", "prod"};
constexpr std::array<const char*, 4> kStatuses{"pending", "running", "done", "withdrawn"};
constexpr std::array<const char*, 5> kPhases{"fetching", "gathering", "running", "saving",
                                             "exited"};
constexpr std::array<const char*, 9> kCauses{"",      "done", "stopped", "mates_gone", "incomplete",
                                             "error", "full", "busy",    "no_such"};
constexpr std::array<const char*, 3> kHostStatuses{"booting", "running", "failed"};

// "job-000412/3" -> job and task number.
bool split_task(const std::string& name, std::string& job, std::uint32_t& task) {
    auto slash = name.rfind('/');
    if (slash == std::string::npos) return false;
    const char* end = name.data() + name.size();
    auto [ptr, ec] = std::from_chars(name.data() + slash + 1, end, task);
    if (ec != std::errc() || ptr != end) return false;
    job = name.substr(0, slash);
    return valid_job_id(job);
}

// Reads the fields of a submission one by one; the first bad one is remembered.
class FieldReader {
  public:
    FieldReader(const Json& body, std::string& error) : body_(body), error_(error) {}

    std::string name(const char* f) {
        auto v = text(body_, f);
        if (!v || v->empty() || v->size() > kMaxName) return bad(f), std::string();
        return *v;
    }
    double number(const char* f) {
        auto v = amount(body_, f);
        if (!v || *v > kMaxAmount) return bad(f), 0.0;
        return *v;
    }
    bool boolean(const char* f) {
        auto v = flag(body_, f);
        if (!v) return bad(f), false;
        return *v;
    }
    void bad(const char* f) {
        if (error_.empty()) error_ = f;
    }

  private:
    const Json& body_;
    std::string& error_;
};

Json command_list(const std::vector<Command>& commands) {
    Json list = Json::array();
    for (const Command& c : commands) {
        Json item = {{"leg", c.job + "/" + std::to_string(c.task)}, {"try", c.attempt}};
        switch (c.op) {
            case Command::Op::start:
                item["verb"] = "start";
                break;
            case Command::Op::stop:
                item["verb"] = "stop";
                item["wind_down_s"] = c.grace_s;
                break;
            case Command::Op::forget:
                item["verb"] = "forget";
                break;
        }
        list.push_back(std::move(item));
    }
    return list;
}

}  // namespace

bool valid_job_id(const std::string& id) {
    if (id.size() < 5 || id.size() > 40 || id.rfind("job-", 0) != 0) return false;
    return id.find_first_not_of("0123456789", 4) == std::string::npos;
}

std::optional<JobSpec> parse_job(const Json& body, std::string& error) {
    error.clear();
    FieldReader in(body, error);
    JobSpec j;
    j.id = in.name("id");
    if (!valid_job_id(j.id)) in.bad("id");
    j.job_class = in.name("jobclass");
    j.team = in.name("crew");
    auto shape = pick<Shape>(kShapes, text(body, "shape").value_or(""));
    if (shape)
        j.shape = *shape;
    else
        in.bad("shape");
    auto priority = pick<Priority>(kPriorities, text(body, "urgency").value_or(""));
    if (priority)
        j.priority = *priority;
    else
        in.bad("urgency");
    auto tasks = count(body, "legs");
    if (tasks && *tasks >= 1 && *tasks <= kMaxTasks)
        j.tasks = static_cast<std::uint32_t>(*tasks);
    else
        in.bad("legs");
    j.cpus = in.number("cores");
    j.gpus = in.number("cards");
    j.memory_gb = in.number("mem_gb");
    j.image = in.name("bundle");
    j.image_gb = in.number("pull_gb");
    if (const Json* types = field(body, "rigs")) {
        j.any_type = false;
        if (!types->is_array() || types->size() > 1000) {
            in.bad("rigs");
        } else {
            for (const Json& t : *types) {
                if (!t.is_string())
                    in.bad("rigs");
                else
                    j.types.push_back(t.get<std::string>());
            }
        }
    }
    if (field(body, "yard")) j.zone = in.name("yard");
    j.one_zone = in.boolean("one_zone");
    j.spread = in.boolean("scatter");
    j.spot = in.boolean("standby");
    j.estimate_s = in.number("guess_s");
    j.checkpoint_s = in.number("save_every_s");
    j.save_s = in.number("save_cost_s");
    if (field(body, "due_s")) j.deadline_s = in.number("due_s");
    if (!error.empty()) return std::nullopt;
    return j;
}

Json job_answer(const std::string& id, JobStatus status) {
    return {{"id", id}, {"status", kStatuses[static_cast<std::size_t>(status)]}};
}

Json job_answer(const std::string& id, JobStatus status, std::uint64_t done,
                std::uint64_t running) {
    Json out = job_answer(id, status);
    out["done"] = done;
    out["running"] = running;
    return out;
}

const char* final_name(JobStatus status) { return kStatuses[static_cast<std::size_t>(status)]; }
const char* name(ExitCause c) { return kCauses[static_cast<std::size_t>(c)]; }

std::optional<Report> parse_report(const Json& body) {
    Report r;
    auto machine = text(body, "host");
    auto session = count(body, "shift");
    auto seq = count(body, "tick");
    auto token = count(body, "baton");
    const Json* tasks = field(body, "legs");
    if (!machine || machine->empty() || !session || *session == 0 || !seq || !token)
        return std::nullopt;
    if (tasks != nullptr && !tasks->is_array()) return std::nullopt;
    r.machine = *machine;
    r.address = text(body, "address").value_or("");
    r.type = text(body, "rig").value_or("");
    r.zone = text(body, "yard").value_or("");
    r.spot = flag(body, "standby").value_or(false);
    r.session = *session;
    r.seq = *seq;
    r.token = *token;
    r.notice_s = amount(body, "warning_s");
    if (tasks == nullptr) return r;
    r.tasks.reserve(tasks->size());
    for (const Json& t : *tasks) {
        TaskReport item;
        auto attempt = count(t, "try");
        auto phase = pick<TaskPhase>(kPhases, text(t, "status").value_or(""));
        if (!attempt || *attempt > UINT32_MAX || !phase) return std::nullopt;
        if (!split_task(text(t, "leg").value_or(""), item.job, item.task)) return std::nullopt;
        item.attempt = static_cast<std::uint32_t>(*attempt);
        item.phase = *phase;
        if (item.phase == TaskPhase::exited) {
            auto cause = pick<ExitCause>(kCauses, text(t, "cause").value_or(""));
            if (!cause) return std::nullopt;
            item.cause = *cause;
        }
        item.saved = flag(t, "kept").value_or(false);
        r.tasks.push_back(std::move(item));
    }
    return r;
}

std::string report_answer(std::uint64_t token, const std::vector<Command>& commands) {
    return encode({{"baton", token}, {"orders", command_list(commands)}});
}

std::string direct_commands(std::uint64_t token, std::uint64_t session,
                            const std::vector<Command>& commands) {
    return encode({{"baton", token}, {"shift", session}, {"orders", command_list(commands)}});
}

std::string redirect(const std::string& node) {
    return encode(node.empty() ? Json::object() : Json{{"boss", node}});
}

std::optional<std::vector<MachineType>> parse_types(const Json& body) {
    const Json* list = field(body, "rigs");
    if (list == nullptr || !list->is_array()) return std::nullopt;
    std::vector<MachineType> out;
    for (const Json& item : *list) {
        MachineType t;
        auto name = text(item, "name");
        auto cpus = amount(item, "cores");
        auto memory = amount(item, "mem_gb");
        auto boot = amount(item, "boot_s");
        const Json* zones = field(item, "yards");
        if (!name || !cpus || !memory || !boot || zones == nullptr || !zones->is_array()) {
            return std::nullopt;
        }
        t.name = *name;
        t.cpus = *cpus;
        t.memory_gb = *memory;
        t.boot_s = *boot;
        t.gpus = amount(item, "cards").value_or(0);
        t.cache_gb = amount(item, "local_gb").value_or(0);
        t.fetch_gb_per_s = amount(item, "pull_gb_per_s").value_or(1);
        t.price = amount(item, "hourly").value_or(0);
        t.spot_price = amount(item, "low_price").value_or(t.price);
        for (const Json& z : *zones) {
            if (z.is_string()) t.zones.push_back(z.get<std::string>());
        }
        out.push_back(std::move(t));
    }
    if (out.empty()) return std::nullopt;
    return out;
}

Json types_json(const std::vector<MachineType>& types) {
    Json list = Json::array();
    for (const MachineType& t : types) {
        list.push_back({{"name", t.name},
                        {"cores", t.cpus},
                        {"cards", t.gpus},
                        {"mem_gb", t.memory_gb},
                        {"local_gb", t.cache_gb},
                        {"pull_gb_per_s", t.fetch_gb_per_s},
                        {"hourly", t.price},
                        {"low_price", t.spot_price},
                        {"boot_s", t.boot_s},
                        {"yards", t.zones}});
    }
    return {{"rigs", list}};
}

std::optional<HostPage> parse_hosts(const Json& body) {
    const Json* list = field(body, "hosts");
    if (list == nullptr || !list->is_array()) return std::nullopt;
    HostPage page;
    page.more = flag(body, "truncated").value_or(false);
    for (const Json& item : *list) {
        Host h;
        auto id = text(item, "id");
        auto status = pick<HostStatus>(kHostStatuses, text(item, "status").value_or(""));
        if (!id || !status) return std::nullopt;
        h.id = *id;
        h.status = *status;
        h.address = text(item, "address").value_or("");
        h.type = text(item, "rig").value_or("");
        h.zone = text(item, "yard").value_or("");
        h.spot = flag(item, "standby").value_or(false);
        h.age_s = amount(item, "age_s").value_or(0);
        page.hosts.push_back(std::move(h));
    }
    return page;
}

std::string hire_request(const std::string& request, const std::string& type,
                         const std::string& zone, bool spot, std::uint32_t count) {
    return encode(
        {{"hire", request}, {"rig", type}, {"yard", zone}, {"standby", spot}, {"count", count}});
}

std::string return_request(const std::vector<std::string>& hosts) {
    return encode({{"hosts", hosts}});
}

std::optional<std::vector<std::string>> parse_hired(const Json& body) {
    const Json* list = field(body, "hosts");
    if (list == nullptr || !list->is_array()) return std::nullopt;
    std::vector<std::string> out;
    for (const Json& h : *list) {
        if (!h.is_string()) return std::nullopt;
        out.push_back(h.get<std::string>());
    }
    return out;
}

}  // namespace nickelramp::wire
