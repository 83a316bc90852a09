#include "drain/request_handler.h"

#include <spdlog/spdlog.h>

#include <charconv>
#include <optional>
#include <string_view>

#include "admin/json_response.h"
#include "wire/json_text.h"

namespace nickelramp::drain {

using admin::json;
using net::Response;
using wire::Json;

namespace {
constexpr int kLeaderRetryAfterS = 1;
constexpr int kPlansRetryAfterS = 5;

Response request_plan(const net::Request& http_request, Planner& planner) {
    std::string field;
    auto request = parse_request(wire::decode_json(http_request.body).value_or(Json()), field);
    if (!request) return json(400, {{"error", "missing or invalid"}, {"field", field}});
    switch (planner.request_plan(*request)) {
        case Planner::RequestResult::accepted:
            spdlog::info("drain plan requested: id={}", request->id);
            return json(201, plan_json(*planner.find(request->id)));
        case Planner::RequestResult::already_known:
            return json(200, plan_json(*planner.find(request->id)));
        case Planner::RequestResult::id_conflict:
            return json(409, {{"error", "the id stands for another plan"}, {"field", "id"}});
        case Planner::RequestResult::too_many:
            break;
    }
    return json(503, {{"error", "too many plans are being made"}}, kPlansRetryAfterS);
}
// Returns the first step of the page. `query` is empty or "from=<step>"; otherwise returns nothing.
std::optional<std::size_t> first_step(const std::string& query) {
    constexpr std::string_view kFrom = "from=";
    std::size_t from = 0;
    if (query.empty()) return from;
    if (query.rfind(kFrom, 0) != 0) return std::nullopt;
    const char* end = query.data() + query.size();
    if (std::from_chars(query.data() + kFrom.size(), end, from).ptr != end) return std::nullopt;
    return from;
}

Response get_plan(const std::string& id, const std::string& query, const Planner& planner) {
    const Plan* plan = planner.find(id);
    if (plan == nullptr) return json(404, {{"error", "no such plan"}});
    const std::optional<std::size_t> from = first_step(query);
    if (!from) return json(400, {{"error", "missing or invalid"}, {"field", "from"}});
    return json(200, plan_page(*plan, *from));
}

Response get_all_plans(const Planner& planner) {
    Json list = Json::array();
    for (const Plan* plan : planner.all()) list.push_back(plan_json(*plan));
    return json(200, {{"plans", list}});
}
}  // namespace

bool handles_request(const net::Request& request) {
    const std::string base = kPlansPath;
    return request.path == base || request.path.rfind(base + "/", 0) == 0;
}

Response answer_request(const net::Request& request, Planner* planner) {
    if (!handles_request(request)) return json(404, {{"error", "no such path"}});
    const std::string base = kPlansPath;
    const bool one_plan = request.path != base;
    if (request.method != "GET" && (one_plan || request.method != "POST"))
        return json(405, {{"error", one_plan ? "use GET" : "use GET or POST"}});
    if (planner == nullptr)
        return json(503, {{"error", "this controller does not lead"}}, kLeaderRetryAfterS);
    if (request.method == "POST") return request_plan(request, *planner);
    if (one_plan) return get_plan(request.path.substr(base.size() + 1), request.query, *planner);
    return get_all_plans(*planner);
}

}  // namespace nickelramp::drain
