#include "emulator/worker_messages.h"

#include <charconv>

namespace nickelramp::emulator {

using wire::Command;
using wire::Json;

namespace {
constexpr const char* kPhases[] = {"fetching", "gathering", "running", "saving", "exited"};
constexpr const char* kShapes[] = {"sweep", "ensemble", "standing"};
constexpr const char* kPriorities[] = {"best_effort", "normal", "urgent", "prod"};

std::optional<Command> read_command(const Json& order) {
    const std::string verb = wire::text_field(order, "verb").value_or("");
    const std::string leg = wire::text_field(order, "leg").value_or("");
    const auto attempt = wire::count_field(order, "try");
    const auto slash = leg.rfind('/');
    if (slash == std::string::npos || !attempt) return std::nullopt;
    Command command;
    if (verb == "start")
        command.op = Command::Op::start;
    else if (verb == "stop")
        command.op = Command::Op::stop;
    else if (verb == "forget")
        command.op = Command::Op::forget;
    else
        return std::nullopt;
    command.job = leg.substr(0, slash);
    std::from_chars(leg.data() + slash + 1, leg.data() + leg.size(), command.task);
    command.attempt = static_cast<std::uint32_t>(*attempt);
    command.grace_s = wire::amount_field(order, "wind_down_s").value_or(0);
    return command;
}
}  // namespace

std::string encode_heartbeat(const wire::Heartbeat& heartbeat) {
    Json legs = Json::array();
    for (const wire::TaskReport& task : heartbeat.tasks) {
        Json leg = {{"leg", task.job + "/" + std::to_string(task.task)},
                    {"try", task.attempt},
                    {"status", kPhases[static_cast<std::size_t>(task.phase)]}};
        if (task.phase == wire::TaskPhase::exited) leg["cause"] = wire::name(task.cause);
        if (task.saved) leg["kept"] = true;
        legs.push_back(std::move(leg));
    }
    Json body = {{"host", heartbeat.machine},  {"address", heartbeat.address},
                 {"rig", heartbeat.type},      {"yard", heartbeat.zone},
                 {"standby", heartbeat.spot},  {"shift", heartbeat.incarnation},
                 {"tick", heartbeat.sequence}, {"baton", heartbeat.token},
                 {"warning_s", nullptr},       {"legs", std::move(legs)}};
    return wire::encode(body);
}

std::optional<WorkerCommands> decode_commands(const std::string& bytes) {
    const auto body = wire::decode_map(bytes);
    const auto token = body ? wire::count_field(*body, "baton") : std::nullopt;
    if (!token) return std::nullopt;
    WorkerCommands out;
    out.token = *token;
    out.session = wire::count_field(*body, "shift");
    const Json* orders = wire::field(*body, "orders");
    if (orders == nullptr || !orders->is_array()) return out;
    for (const Json& order : *orders) {
        if (auto command = read_command(order)) out.commands.push_back(std::move(*command));
    }
    return out;
}

Json job_body(const wire::JobSpec& s) {
    Json body = {{"id", s.id},
                 {"jobclass", s.job_class},
                 {"crew", s.team},
                 {"shape", kShapes[static_cast<std::size_t>(s.shape)]},
                 {"urgency", kPriorities[static_cast<std::size_t>(s.priority)]},
                 {"legs", s.tasks},
                 {"cores", s.cpus},
                 {"cards", s.gpus},
                 {"mem_gb", s.memory_gb},
                 {"bundle", s.image},
                 {"pull_gb", s.image_gb},
                 {"rigs", nullptr},
                 {"yard", nullptr},
                 {"one_zone", s.one_zone},
                 {"scatter", s.spread},
                 {"standby", s.spot},
                 {"guess_s", s.estimate_s},
                 {"save_every_s", s.checkpoint_interval_s},
                 {"save_cost_s", s.checkpoint_duration_s},
                 {"due_s", nullptr}};
    return body;
}

}  // namespace nickelramp::emulator
