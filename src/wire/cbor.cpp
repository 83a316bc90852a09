#include "wire/cbor.h"

#include <algorithm>

namespace nickelramp::wire {

namespace {
// The reader recurses once a level: a body made of opening brackets only would end the process.
struct DepthCheck : nlohmann::json_sax<Json> {
    int depth = 0;
    bool enter() { return ++depth <= 32; }
    bool leave() { return --depth >= 0; }
    bool null() override { return true; }
    bool boolean(bool) override { return true; }
    bool number_integer(number_integer_t) override { return true; }
    bool number_unsigned(number_unsigned_t) override { return true; }
    bool number_float(number_float_t, const string_t&) override { return true; }
    bool string(string_t&) override { return true; }
    bool binary(binary_t&) override { return true; }
    bool start_object(std::size_t) override { return enter(); }
    bool key(string_t&) override { return true; }
    bool end_object() override { return leave(); }
    bool start_array(std::size_t) override { return enter(); }
    bool end_array() override { return leave(); }
    bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
        return false;
    }
};
constexpr std::size_t kShallow = 2048;  // too short to nest dangerously
}  // namespace

std::string encode(const Json& value) {
    std::string out;
    Json::to_cbor(value, out);
    return out;
}

std::optional<Json> decode_map(const std::string& body) {
    if (body.size() > kShallow) {
        DepthCheck check;
        if (!Json::sax_parse(body, &check, Json::input_format_t::cbor)) return std::nullopt;
    }
    // Told not to throw, the reader still does so for lengths beyond all memory.
    try {
        Json value = Json::from_cbor(body, true, false);
        if (value.is_object()) return value;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
}

bool is_plain_json(const Json& v) {
    if (v.is_structured()) return std::all_of(v.begin(), v.end(), is_plain_json);
    const bool wrapped =
        v.is_number_integer() && !v.is_number_unsigned() && v.get<std::int64_t>() >= 0;
    return !v.is_binary() && !wrapped;
}

std::optional<std::size_t> json_size(const Json& value) {
    try {
        return value.dump().size();
    } catch (const Json::type_error&) {
        return std::nullopt;
    }
}

const Json* field(const Json& map, const char* name) {
    if (!map.is_object()) return nullptr;
    auto it = map.find(name);
    return it == map.end() || it->is_null() ? nullptr : &*it;
}

std::optional<std::string> text_field(const Json& map, const char* name) {
    const Json* f = field(map, name);
    if (f == nullptr || !f->is_string()) return std::nullopt;
    return f->get<std::string>();
}

std::optional<double> amount_field(const Json& map, const char* name) {
    const Json* f = field(map, name);
    if (f == nullptr || !f->is_number()) return std::nullopt;
    double v = f->get<double>();
    if (!std::isfinite(v) || v < 0) return std::nullopt;
    return v;
}

std::optional<std::uint64_t> count_field(const Json& map, const char* name) {
    const Json* f = field(map, name);
    if (f == nullptr || !f->is_number_integer()) return std::nullopt;
    if (f->is_number_unsigned()) return f->get<std::uint64_t>();
    auto v = f->get<std::int64_t>();
    if (v < 0) return std::nullopt;
    return static_cast<std::uint64_t>(v);
}

std::optional<bool> flag_field(const Json& map, const char* name) {
    const Json* f = field(map, name);
    if (f == nullptr || !f->is_boolean()) return std::nullopt;
    return f->get<bool>();
}

}  // namespace nickelramp::wire
