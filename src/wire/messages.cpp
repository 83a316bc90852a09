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
        auto v = text_field(body_, f);
        if (!v || v->empty() || v->size() > kMaxName) return bad(f), std::string();
        return *v;
    }
    double number(const char* f) {
        auto v = amount_field(body_, f);
        if (!v || *v > kMaxAmount) return bad(f), 0.0;
        return *v;
    }
    bool boolean(const char* f) {
        auto v = flag_field(body_, f);
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
    for (const Command& command : commands) {
        Json item = {{"leg", command.job + "/" + std::to_string(command.task)},
                     {"try", command.attempt}};
        switch (command.op) {
            case Command::Op::start:
                item["verb"] = "start";
                break;
            case Command::Op::stop:
                item["verb"] = "stop";
                item["wind_down_s"] = command.grace_s;
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
    auto shape = pick<Shape>(kShapes, text_field(body, "shape").value_or(""));
    if (shape)
        j.shape = *shape;
    else
        in.bad("shape");
    auto priority = pick<Priority>(kPriorities, text_field(body, "urgency").value_or(""));
    if (priority)
        j.priority = *priority;
    else
        in.bad("urgency");
    auto tasks = count_field(body, "legs");
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

Json encode_job_answer(const std::string& id, JobStatus status) {
    return {{"id", id}, {"status", kStatuses[static_cast<std::size_t>(status)]}};
}

Json encode_job_answer(const std::string& id, JobStatus status, std::uint64_t done,
                       std::uint64_t running) {
    Json out = encode_job_answer(id, status);
    out["done"] = done;
    out["running"] = running;
    return out;
}

const char* final_name(JobStatus status) { return kStatuses[static_cast<std::size_t>(status)]; }
const char* name(ExitCause c) { return kCauses[static_cast<std::size_t>(c)]; }

std::optional<Heartbeat> decode_heartbeat(const Json& body) {
    Heartbeat heartbeat;
    auto machine = text_field(body, "host");
    auto session = count_field(body, "shift");
    auto seq = count_field(body, "tick");
    auto token = count_field(body, "baton");
    const Json* tasks = field(body, "legs");
    if (!machine || machine->empty() || !session || *session == 0 || !seq || !token)
        return std::nullopt;
    if (tasks != nullptr && !tasks->is_array()) return std::nullopt;
    heartbeat.machine = *machine;
    heartbeat.address = text_field(body, "address").value_or("");
    heartbeat.type = text_field(body, "rig").value_or("");
    heartbeat.zone = text_field(body, "yard").value_or("");
    heartbeat.spot = flag_field(body, "standby").value_or(false);
    heartbeat.incarnation = *session;
    heartbeat.sequence = *seq;
    heartbeat.token = *token;
    heartbeat.preemption_notice_s = amount_field(body, "warning_s");
    if (tasks == nullptr) return heartbeat;
    heartbeat.tasks.reserve(tasks->size());
    for (const Json& t : *tasks) {
        TaskReport item;
        auto attempt = count_field(t, "try");
        auto phase = pick<TaskPhase>(kPhases, text_field(t, "status").value_or(""));
        if (!attempt || *attempt > UINT32_MAX || !phase) return std::nullopt;
        if (!split_task(text_field(t, "leg").value_or(""), item.job, item.task))
            return std::nullopt;
        item.attempt = static_cast<std::uint32_t>(*attempt);
        item.phase = *phase;
        if (item.phase == TaskPhase::exited) {
            auto cause = pick<ExitCause>(kCauses, text_field(t, "cause").value_or(""));
            if (!cause) return std::nullopt;
            item.cause = *cause;
        }
        item.saved = flag_field(t, "kept").value_or(false);
        heartbeat.tasks.push_back(std::move(item));
    }
    return heartbeat;
}

std::string encode_heartbeat_reply(std::uint64_t token, const std::vector<Command>& commands) {
    return encode({{"baton", token}, {"orders", command_list(commands)}});
}

std::string encode_direct_commands(std::uint64_t token, std::uint64_t session,
                                   const std::vector<Command>& commands) {
    return encode({{"baton", token}, {"shift", session}, {"orders", command_list(commands)}});
}

std::string encode_redirect(const std::string& node) {
    return encode(node.empty() ? Json::object() : Json{{"boss", node}});
}

std::optional<std::vector<MachineType>> decode_machine_types(const Json& body) {
    const Json* list = field(body, "rigs");
    if (list == nullptr || !list->is_array()) return std::nullopt;
    std::vector<MachineType> out;
    for (const Json& item : *list) {
        MachineType machine_type;
        auto name = text_field(item, "name");
        auto cpus = amount_field(item, "cores");
        auto memory = amount_field(item, "mem_gb");
        auto boot = amount_field(item, "boot_s");
        const Json* zones = field(item, "yards");
        if (!name || !cpus || !memory || !boot || zones == nullptr || !zones->is_array()) {
            return std::nullopt;
        }
        machine_type.name = *name;
        machine_type.cpus = *cpus;
        machine_type.memory_gb = *memory;
        machine_type.boot_s = *boot;
        machine_type.gpus = amount_field(item, "cards").value_or(0);
        machine_type.cache_gb = amount_field(item, "local_gb").value_or(0);
        machine_type.fetch_gb_per_s = amount_field(item, "pull_gb_per_s").value_or(1);
        machine_type.price = amount_field(item, "hourly").value_or(0);
        machine_type.spot_price = amount_field(item, "low_price").value_or(machine_type.price);
        for (const Json& z : *zones) {
            if (z.is_string()) machine_type.zones.push_back(z.get<std::string>());
        }
        out.push_back(std::move(machine_type));
    }
    if (out.empty()) return std::nullopt;
    return out;
}

Json encode_machine_types(const std::vector<MachineType>& types) {
    Json list = Json::array();
    for (const MachineType& machine_type : types) {
        list.push_back({{"name", machine_type.name},
                        {"cores", machine_type.cpus},
                        {"cards", machine_type.gpus},
                        {"mem_gb", machine_type.memory_gb},
                        {"local_gb", machine_type.cache_gb},
                        {"pull_gb_per_s", machine_type.fetch_gb_per_s},
                        {"hourly", machine_type.price},
                        {"low_price", machine_type.spot_price},
                        {"boot_s", machine_type.boot_s},
                        {"yards", machine_type.zones}});
    }
    return {{"rigs", list}};
}

std::optional<InstancePage> decode_instance_page(const Json& body) {
    const Json* list = field(body, "hosts");
    if (list == nullptr || !list->is_array()) return std::nullopt;
    InstancePage page;
    page.more = flag_field(body, "truncated").value_or(false);
    for (const Json& item : *list) {
        CloudInstance instance;
        auto id = text_field(item, "id");
        auto status = pick<InstanceStatus>(kHostStatuses, text_field(item, "status").value_or(""));
        if (!id || !status) return std::nullopt;
        instance.id = *id;
        instance.status = *status;
        instance.address = text_field(item, "address").value_or("");
        instance.type = text_field(item, "rig").value_or("");
        instance.zone = text_field(item, "yard").value_or("");
        instance.spot = flag_field(item, "standby").value_or(false);
        instance.age_s = amount_field(item, "age_s").value_or(0);
        page.instances.push_back(std::move(instance));
    }
    return page;
}

std::string encode_provision_request(const std::string& request, const std::string& type,
                                     const std::string& zone, bool spot, std::uint32_t count) {
    return encode(
        {{"hire", request}, {"rig", type}, {"yard", zone}, {"standby", spot}, {"count", count}});
}

std::string encode_release_request(const std::vector<std::string>& hosts) {
    return encode({{"hosts", hosts}});
}

std::optional<std::vector<std::string>> decode_provision_reply(const Json& body) {
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
