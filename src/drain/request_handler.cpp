#include "drain/request_handler.h"

#include <spdlog/spdlog.h>

#include <charconv>

#include "admin/json_response.h"

namespace nickelramp::drain {

using admin::json;
using net::Response;
using wire::Json;

namespace {
constexpr int kLeaderSoonS = 1;
constexpr int kPlansSoonS = 5;

Response post(const net::Request& q, Planner& planner) {
    std::string field;
    auto request = parse_request(Json::parse(q.body, nullptr, false), field);
    if (!request) return json(400, {{"error", "missing or invalid"}, {"field", field}});
    switch (planner.request_plan(*request)) {
        case Planner::RequestResult::accepted:
            spdlog::info("drain plan {} is asked for", request->id);
            return json(201, plan_json(*planner.find(request->id)));
        case Planner::RequestResult::already_known:
            return json(200, plan_json(*planner.find(request->id)));
        case Planner::RequestResult::id_conflict:
            return json(409, {{"error", "the id stands for another plan"}, {"field", "id"}});
        case Planner::RequestResult::too_many:
            break;
    }
    return json(503, {{"error", "too many plans are being made"}}, kPlansSoonS);
}
}  // namespace

bool handles_request(const net::Request& q) {
    const std::string base = kPlansPath;
    return q.path == base || q.path.rfind(base + "/", 0) == 0;
}

Response answer_request(const net::Request& q, Planner* planner) {
    if (!handles_request(q)) return json(404, {{"error", "no such path"}});
    const std::string base = kPlansPath;
    const bool one = q.path != base;
    if (q.method != "GET" && (one || q.method != "POST")) {
        return json(405, {{"error", one ? "use GET" : "use GET or POST"}});
    }
    if (planner == nullptr) {
        return json(503, {{"error", "this controller does not lead"}}, kLeaderSoonS);
    }
    if (q.method == "POST") return post(q, *planner);
    if (one) {
        const Plan* plan = planner->find(q.path.substr(base.size() + 1));
        if (plan == nullptr) return json(404, {{"error", "no such plan"}});
        std::size_t from = 0;
        if (!q.query.empty()) {
            const bool known = q.query.rfind("from=", 0) == 0;
            const char* end = q.query.data() + q.query.size();
            if (!known || std::from_chars(q.query.data() + 5, end, from).ptr != end) {
                return json(400, {{"error", "missing or invalid"}, {"field", "from"}});
            }
        }
        return json(200, plan_page(*plan, from));
    }
    Json list = Json::array();
    for (const Plan* p : planner->all()) list.push_back(plan_json(*p));
    return json(200, {{"plans", list}});
}

}  // namespace nickelramp::drain
