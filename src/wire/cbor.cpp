#include "wire/cbor.h"

#include <algorithm>

#include "wire/cbor_nesting.h"

namespace nickelramp::wire {

std::string encode(const Json& value) {
    std::string out;
    Json::to_cbor(value, out);
    return out;
}

std::optional<Json> decode_map(const std::string& body, std::size_t max_depth) {
    // Each level takes a byte at least, so a body of `max_depth` bytes needs no check.
    if (body.size() > max_depth && !is_nested_at_most(body, max_depth)) return std::nullopt;
    // The library throws if a length in the body exceeds the available memory, even with exceptions
    // disabled by the last argument.
    try {
        Json value = Json::from_cbor(body, true, false);
        if (value.is_object()) return value;
    } catch (const Json::exception&) {
        return std::nullopt;
    }
    return std::nullopt;
}

bool is_plain_json(const Json& decoded) {
    if (decoded.is_structured()) return std::all_of(decoded.begin(), decoded.end(), is_plain_json);
    // A negative CBOR integer below -2^63, which the library has wrapped to a positive value.
    const bool wrapped = decoded.is_number_integer() && !decoded.is_number_unsigned() &&
                         decoded.get<std::int64_t>() >= 0;
    return !decoded.is_binary() && !wrapped;
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
    const auto found = map.find(name);
    return found == map.end() || found->is_null() ? nullptr : &*found;
}

std::optional<std::string> text_field(const Json& map, const char* name) {
    const Json* value = field(map, name);
    if (value == nullptr || !value->is_string()) return std::nullopt;
    return value->get<std::string>();
}

std::optional<double> amount_field(const Json& map, const char* name) {
    const Json* value = field(map, name);
    if (value == nullptr || !value->is_number()) return std::nullopt;
    const double amount = value->get<double>();
    if (!std::isfinite(amount) || amount < 0) return std::nullopt;
    return amount;
}

std::optional<std::uint64_t> count_field(const Json& map, const char* name) {
    const Json* value = field(map, name);
    if (value == nullptr || !value->is_number_integer()) return std::nullopt;
    if (value->is_number_unsigned()) return value->get<std::uint64_t>();
    const auto count = value->get<std::int64_t>();
    if (count < 0) return std::nullopt;
    return static_cast<std::uint64_t>(count);
}

std::optional<bool> flag_field(const Json& map, const char* name) {
    const Json* value = field(map, name);
    if (value == nullptr || !value->is_boolean()) return std::nullopt;
    return value->get<bool>();
}

}  // namespace nickelramp::wire
