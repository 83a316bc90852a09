#include "wire/json_text.h"

namespace nickelramp::wire {

std::optional<Json> decode_json(const std::string& text, std::size_t max_depth) {
    bool too_deep = false;
    const auto limit_depth = [&](int depth, Json::parse_event_t event, const Json&) {
        const bool begins =
            event == Json::parse_event_t::array_start || event == Json::parse_event_t::object_start;
        too_deep = too_deep || (begins && static_cast<std::size_t>(depth) >= max_depth);
        return !too_deep;
    };
    Json value = Json::parse(text, limit_depth, false);
    if (too_deep || value.is_discarded()) return std::nullopt;
    return value;
}

}  // namespace nickelramp::wire
