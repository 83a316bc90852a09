// CBOR bodies, by nlohmann's reader and writer, and checked access to their fields.
#pragma once
#include <cmath>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace nickelramp::wire {

using Json = nlohmann::json;

std::string encode(const Json& value);
// Nothing for bodies that are not CBOR, nest too deeply, or are no map.
std::optional<Json> decode_map(const std::string& body);
// No binary data, and no integer below -2^63 in what was decoded: the reader wraps those.
bool is_plain_json(const Json& decoded);
// Its size as JSON, in which limits are counted; nothing if some text is not UTF-8.
std::optional<std::size_t> json_size(const Json& value);

// Fields of messages. Absent and null read the same.
const Json* field(const Json& map, const char* name);
std::optional<std::string> text_field(const Json& map, const char* name);
std::optional<double> amount_field(const Json& map, const char* name);        // finite, >= 0
std::optional<std::uint64_t> count_field(const Json& map, const char* name);  // integer >= 0
std::optional<bool> flag_field(const Json& map, const char* name);

}  // namespace nickelramp::wire
