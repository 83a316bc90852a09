#include "drain/plan.h"

#include <algorithm>

#include "wire/messages.h"

namespace nickelramp::drain {

using wire::Json;

namespace {
constexpr std::size_t kMostNamed = 10'000;
constexpr std::size_t kLongestName = 100;
constexpr std::size_t kMovesAPage = 300;

bool good_id(const std::string& id) {
    return !id.empty() && id.size() <= kLongestName &&
           id.find_first_not_of(
               "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_") ==
               std::string::npos;
}
}  // namespace

std::optional<Request> parse_request(const Json& body, std::string& error) {
    auto wrong = [&](const char* field) {
        error = field;
        return std::nullopt;
    };
    if (!body.is_object()) return wrong("the body");
    Request r;
    r.id = wire::text_field(body, "id").value_or("");
    if (!good_id(r.id)) return wrong("id");
    if (const Json* list = wire::field(body, "machines")) {
        if (!list->is_array() || list->empty() || list->size() > kMostNamed) {
            return wrong("machines");
        }
        for (const Json& m : *list) {
            if (!m.is_string()) return wrong("machines");
            r.machines.push_back(m.get<std::string>());
        }
        std::sort(r.machines.begin(), r.machines.end());
        r.machines.erase(std::unique(r.machines.begin(), r.machines.end()), r.machines.end());
    }
    for (auto [field, to] : {std::pair{"zone", &r.zone}, std::pair{"type", &r.type}}) {
        if (wire::field(body, field) == nullptr) continue;
        *to = wire::text_field(body, field).value_or("");
        if (to->empty()) return wrong(field);
    }
    if (wire::field(body, "all") != nullptr) {
        if (!wire::flag_field(body, "all").value_or(false)) return wrong("all");
        r.all = true;
    }
    const int ways =
        (r.machines.empty() ? 0 : 1) + (r.zone.empty() && r.type.empty() ? 0 : 1) + (r.all ? 1 : 0);
    if (ways != 1) return wrong("one of machines, zone or type, and all");
    if (wire::field(body, "at_once") != nullptr) {
        const auto n = wire::count_field(body, "at_once").value_or(0);
        if (n < 1 || n > kMostNamed) return wrong("at_once");
        r.at_once = static_cast<std::uint32_t>(n);
    } else if (r.all) {
        return wrong("at_once");  // all of them at once is nobody's wish
    }
    return r;
}

const char* name(MoveKind h) {
    switch (h) {
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

Json plan_json(const Plan& p) {
    return {{"id", p.request.id},   {"state", name(p.state)}, {"machines", p.steps.size()},
            {"empty_s", p.empty_s}, {"cost", p.cost},         {"refused", p.violations.size()}};
}

Json plan_page(const Plan& p, std::size_t from) {
    Json out = plan_json(p);
    auto maybe = [](const std::optional<double>& v) { return v ? Json(*v) : Json(nullptr); };
    out["steps"] = Json::array();
    std::size_t at = from;
    for (std::size_t moves = 0; at < p.steps.size() && moves < kMovesAPage; ++at) {
        const Step& s = p.steps[at];
        moves += 1 + s.moves.size();
        Json list = Json::array();
        for (const Move& m : s.moves) {
            list.push_back({{"job", m.job},
                            {"task", m.task},
                            {"how", name(m.kind)},
                            {"to", m.to},
                            {"hired", m.provisioned},
                            {"leaves_s", m.stops_s},
                            {"back_s", m.restarts_s},
                            {"ends_s", maybe(m.ends_s)},
                            {"seen", m.observed_completions}});
        }
        out["steps"].push_back({{"machine", s.machine},
                                {"type", s.type},
                                {"zone", s.zone},
                                {"wave", s.wave},
                                {"from_s", s.from_s},
                                {"empty_s", s.empty_s},
                                {"moves", list}});
    }
    if (at < p.steps.size()) out["next"] = at;
    if (from > 0) return out;
    out["refusals"] = Json::array();
    for (const Violation& r : p.violations) {
        out["refusals"].push_back({{"job", r.job},
                                   {"task", r.task},
                                   {"machine", r.machine},
                                   {"why", r.reason},
                                   {"instead", r.suggestion},
                                   {"due_s", maybe(r.due_s)},
                                   {"ends_s", maybe(r.ends_s)}});
    }
    out["hires"] = Json::array();
    for (const PlannedMachines& request : p.provisioned_machines) {
        out["hires"].push_back({{"type", request.type},
                                {"zone", request.zone},
                                {"count", request.count},
                                {"price", request.price}});
    }
    out["passed_over"] = p.skipped_machines;
    return out;
}

}  // namespace nickelramp::drain
