#include "wire/worker_messages.h"

#include <array>
#include <charconv>

#include "wire/enum_names.h"
#include "wire/field_names.h"
#include "wire/job_messages.h"

namespace nickelramp::wire {

namespace {

namespace names = field_names;

// Names in the protocol, in the order of the enumerators.
constexpr std::array<const char*, 5> kPhases{"fetching", "gathering", "running", "saving",
                                             "exited"};
constexpr std::array<const char*, 9> kCauses{"",      "done", "stopped", "mates_gone", "incomplete",
                                             "error", "full", "busy",    "no_such"};
constexpr std::array<const char*, 3> kOperations{"start", "stop", "forget"};

// Reads the job and the task number from a task name. "job-000412/3" is task 3 of job-000412.
// Returns whether the name is valid.
bool parse_task_name(const std::string& name, TaskReport& report) {
    const auto slash = name.rfind('/');
    if (slash == std::string::npos) return false;
    const char* end = name.data() + name.size();
    const auto [parsed, error] = std::from_chars(name.data() + slash + 1, end, report.task);
    if (error != std::errc() || parsed != end) return false;
    report.job = name.substr(0, slash);
    return valid_job_id(report.job);
}

std::optional<TaskReport> decode_task_report(const Json& body) {
    TaskReport report;
    const auto attempt = count_field(body, names::kAttempt);
    const auto phase = enum_of<TaskPhase>(kPhases, text_field(body, "status").value_or(""));
    if (!attempt || *attempt > UINT32_MAX || !phase) return std::nullopt;
    if (!parse_task_name(text_field(body, names::kTask).value_or(""), report)) return std::nullopt;
    report.attempt = static_cast<std::uint32_t>(*attempt);
    report.phase = *phase;
    if (report.phase == TaskPhase::exited) {
        const auto cause = enum_of<ExitCause>(kCauses, text_field(body, "cause").value_or(""));
        if (!cause) return std::nullopt;
        report.cause = *cause;
    }
    report.saved = flag_field(body, names::kSaved).value_or(false);
    return report;
}

Json encode_commands(const std::vector<Command>& commands) {
    Json list = Json::array();
    for (const Command& command : commands) {
        Json item = {{names::kTask, command.job + "/" + std::to_string(command.task)},
                     {names::kAttempt, command.attempt},
                     {names::kOperation, name_of(kOperations, command.op)}};
        if (command.op == Command::Op::stop) item[names::kGracePeriod] = command.grace_s;
        list.push_back(std::move(item));
    }
    return list;
}

}  // namespace

const char* name(ExitCause cause) { return name_of(kCauses, cause); }

std::optional<Heartbeat> decode_heartbeat(const Json& body) {
    const auto machine = text_field(body, names::kMachine);
    const auto incarnation = count_field(body, names::kIncarnation);
    const auto sequence = count_field(body, names::kSequence);
    const auto token = count_field(body, names::kToken);
    const Json* tasks = field(body, names::kTasks);
    if (!machine || machine->empty() || !incarnation || *incarnation == 0 || !sequence || !token)
        return std::nullopt;
    if (tasks != nullptr && !tasks->is_array()) return std::nullopt;
    Heartbeat heartbeat;
    heartbeat.machine = *machine;
    heartbeat.address = text_field(body, "address").value_or("");
    heartbeat.type = text_field(body, names::kMachineType).value_or("");
    heartbeat.zone = text_field(body, names::kZone).value_or("");
    heartbeat.spot = flag_field(body, names::kSpot).value_or(false);
    heartbeat.incarnation = *incarnation;
    heartbeat.sequence = *sequence;
    heartbeat.token = *token;
    heartbeat.preemption_notice_s = amount_field(body, names::kPreemptionNotice);
    if (tasks == nullptr) return heartbeat;
    heartbeat.tasks.reserve(tasks->size());
    for (const Json& task : *tasks) {
        auto report = decode_task_report(task);
        if (!report) return std::nullopt;
        heartbeat.tasks.push_back(std::move(*report));
    }
    return heartbeat;
}

std::string encode_heartbeat_reply(std::uint64_t token, const std::vector<Command>& commands) {
    return encode({{names::kToken, token}, {names::kCommands, encode_commands(commands)}});
}

std::string encode_direct_commands(std::uint64_t token, std::uint64_t incarnation,
                                   const std::vector<Command>& commands) {
    return encode({{names::kToken, token},
                   {names::kIncarnation, incarnation},
                   {names::kCommands, encode_commands(commands)}});
}

std::string encode_redirect(const std::string& controller) {
    return encode(controller.empty() ? Json::object() : Json{{names::kLeader, controller}});
}

}  // namespace nickelramp::wire
