#include "drain/plan.h"

#include <algorithm>

#include "wire/messages.h"

namespace nickelramp::drain {

using wire::Json;

namespace {
constexpr std::size_t kMaxMachines = 10'000;
constexpr std::size_t kMaxIdLength = 100;
constexpr std::size_t kMovesPerPage = 300;

bool is_valid_id(const std::string& id) {
    return !id.empty() && id.size() <= kMaxIdLength &&
           id.find_first_not_of(
               "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") ==
               std::string::npos;
}
}  // namespace

// Each of the following functions reads one optional field and returns false if it is invalid.
static bool parse_machines(const Json& body, Request& request) {
    const Json* list = wire::field(body, "machines");
    if (list == nullptr) return true;
    if (!list->is_array() || list->empty() || list->size() > kMaxMachines) return false;
    std::vector<std::string>& machines = request.machines;
    for (const Json& machine : *list) {
        if (!machine.is_string()) return false;
        machines.push_back(machine.get<std::string>());
    }
    std::sort(machines.begin(), machines.end());
    machines.erase(std::unique(machines.begin(), machines.end()), machines.end());
    return true;
}

static bool parse_name(const Json& body, const char* field, std::string& name) {
    if (wire::field(body, field) == nullptr) return true;
    name = wire::text_field(body, field).value_or("");
    return !name.empty();
}

static bool parse_all(const Json& body, Request& request) {
    if (wire::field(body, "all") == nullptr) return true;
    request.all = wire::flag_field(body, "all").value_or(false);
    return request.all;
}

static bool parse_at_once(const Json& body, Request& request) {
    if (wire::field(body, "at_once") == nullptr) return !request.all;  // "all" requires "at_once"
    const auto count = wire::count_field(body, "at_once").value_or(0);
    if (count < 1 || count > kMaxMachines) return false;
    request.at_once = static_cast<std::uint32_t>(count);
    return true;
}

static bool has_one_selection(const Request& request) {
    const int selections = (request.machines.empty() ? 0 : 1) +
                           (request.zone.empty() && request.type.empty() ? 0 : 1) +
                           (request.all ? 1 : 0);
    return selections == 1;
}

std::optional<Request> parse_request(const Json& body, std::string& error) {
    auto invalid = [&error](const char* field) {
        error = field;
        return std::nullopt;
    };
    if (!body.is_object()) return invalid("the body");
    Request request;
    request.id = wire::text_field(body, "id").value_or("");
    if (!is_valid_id(request.id)) return invalid("id");
    if (!parse_machines(body, request)) return invalid("machines");
    if (!parse_name(body, "zone", request.zone)) return invalid("zone");
    if (!parse_name(body, "type", request.type)) return invalid("type");
    if (!parse_all(body, request)) return invalid("all");
    if (!has_one_selection(request)) return invalid("one of machines, zone or type, and all");
    if (!parse_at_once(body, request)) return invalid("at_once");
    return request;
}

const char* name(MoveKind kind) {
    switch (kind) {
        case MoveKind::moves_elsewhere:
            return "moves";
        case MoveKind::checkpoints_and_moves:
            return "saves";
        case MoveKind::runs_to_end:
            return "runs_out";
        case MoveKind::already_stopping:
            return "ending";
    }
    return "?";
}

const char* name(PlanState state) {
    switch (state) {
        case PlanState::planning:
            return "planning";
        case PlanState::ready:
            return "ready";
        case PlanState::refused:
            return "refused";
    }
    return "?";
}

Json plan_json(const Plan& plan) {
    return {{"id", plan.request.id},
            {"state", name(plan.state)},
            {"machines", plan.steps.size()},
            {"empty_s", plan.empty_s},
            {"cost", plan.cost},
            {"refused", plan.violations.size()}};
}

static Json optional_json(const std::optional<double>& value) {
    return value ? Json(*value) : Json(nullptr);
}

static Json step_json(const Step& step) {
    Json moves = Json::array();
    for (const Move& move : step.moves) {
        moves.push_back({{"job", move.job},
                         {"task", move.task},
                         {"how", name(move.kind)},
                         {"to", move.to},
                         {"hired", move.provisioned},
                         {"leaves_s", move.stops_s},
                         {"back_s", move.restarts_s},
                         {"ends_s", optional_json(move.ends_s)},
                         {"seen", move.observed_completions}});
    }
    return {{"machine", step.machine},  {"type", step.type},     {"zone", step.zone},
            {"wave", step.wave},        {"from_s", step.from_s}, {"empty_s", step.empty_s},
            {"moves", std::move(moves)}};
}

static Json violations_json(const std::vector<Violation>& violations) {
    Json list = Json::array();
    for (const Violation& violation : violations) {
        list.push_back({{"job", violation.job},
                        {"task", violation.task},
                        {"machine", violation.machine},
                        {"why", violation.reason},
                        {"instead", violation.suggestion},
                        {"due_s", optional_json(violation.due_s)},
                        {"ends_s", optional_json(violation.ends_s)}});
    }
    return list;
}

static Json provisioned_json(const std::vector<PlannedMachines>& provisioned) {
    Json list = Json::array();
    for (const PlannedMachines& machines : provisioned) {
        list.push_back({{"type", machines.type},
                        {"zone", machines.zone},
                        {"count", machines.count},
                        {"price", machines.price}});
    }
    return list;
}

Json plan_page(const Plan& plan, std::size_t from) {
    Json page = plan_json(plan);
    page["steps"] = Json::array();
    std::size_t next = from;
    for (std::size_t moves = 0; next < plan.steps.size() && moves < kMovesPerPage; ++next) {
        const Step& step = plan.steps[next];
        moves += 1 + step.moves.size();
        page["steps"].push_back(step_json(step));
    }
    if (next < plan.steps.size()) page["next"] = next;
    if (from > 0) return page;
    page["refusals"] = violations_json(plan.violations);
    page["hires"] = provisioned_json(plan.provisioned_machines);
    page["passed_over"] = plan.skipped_machines;
    return page;
}

}  // namespace nickelramp::drain
