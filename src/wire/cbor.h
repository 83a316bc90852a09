/// @file
/// CBOR bodies, read and written by nlohmann's library, and checked access to the fields of decoded
/// messages. Used by all modules that read or write messages, records or pages.
#pragma once
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace nickelramp::wire {

using Json = nlohmann::json;

/// The value as CBOR.
std::string encode(const Json& value);

/// The map in a CBOR body. Nothing if the body is not CBOR, nests too deeply, has bytes left over
/// or is no map.
std::optional<Json> decode_map(const std::string& body);

/// False if a decoded value has binary data, which JSON cannot hold, or had an integer below -2^63,
/// which the library wraps to a positive one.
bool is_plain_json(const Json& decoded);

/// The value's size in bytes as JSON, by which the key-value store limits values. Nothing if a text
/// is not UTF-8.
std::optional<std::size_t> json_size(const Json& value);

/// Fields of a map. Each gives nothing if the field is absent or null, or is not of that type, or
/// if `map` is no map.
const Json* field(const Json& map, const char* name);
std::optional<std::string> text_field(const Json& map, const char* name);
/// A number, finite and at least 0.
std::optional<double> amount_field(const Json& map, const char* name);
/// An integer of at least 0.
std::optional<std::uint64_t> count_field(const Json& map, const char* name);
std::optional<bool> flag_field(const Json& map, const char* name);

}  // namespace nickelramp::wire
