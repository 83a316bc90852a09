/// @file
/// Encoding and decoding of CBOR bodies with nlohmann::json, and checked access to the fields of
/// decoded messages. Used by all modules that read or write messages, records or pages.
#pragma once
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

namespace nickelramp::wire {

using Json = nlohmann::json;

/// Returns the value encoded as CBOR.
std::string encode(const Json& value);

/// Limit for the nesting of maps, lists and texts in a request of a user or worker. It bounds the
/// stack of the library's reader, which is recursive.
inline constexpr std::size_t kMaxRequestDepth = 2048;
/// Limit for the nesting in all other bodies: replies, and transactions. They may contain what a
/// request contained, inside the maps and lists of a record and of the reply around it. Whatever
/// was accepted in a request must be readable there.
inline constexpr std::size_t kMaxReplyDepth = kMaxRequestDepth + 16;

/// Decodes a CBOR body that holds a map. Returns std::nullopt if the body is not valid CBOR, is
/// nested more than `max_depth` levels deep, has trailing bytes or does not hold a map.
std::optional<Json> decode_map(const std::string& body, std::size_t max_depth = kMaxRequestDepth);
/// Like `decode_map`, for the body of a reply.
inline std::optional<Json> decode_reply_map(const std::string& body) {
    return decode_map(body, kMaxReplyDepth);
}

/// Returns whether JSON can represent a decoded value. This is not the case if it contains binary
/// data, or contained an integer below -2^63, which the library wraps to a positive one.
bool is_plain_json(const Json& decoded);

/// Returns the size in bytes of the value as JSON, to which the key-value store's size limit
/// applies. Returns std::nullopt if a string is not valid UTF-8.
std::optional<std::size_t> json_size(const Json& value);

/// Returns a field of a map, or nullptr if the field is absent or null or `map` is not a map. The
/// functions below return std::nullopt in these cases, and if the field has another type.
const Json* field(const Json& map, const char* name);
/// Returns a string field.
std::optional<std::string> text_field(const Json& map, const char* name);
/// Returns a number field that is finite and at least 0.
std::optional<double> amount_field(const Json& map, const char* name);
/// Returns an integer field that is at least 0.
std::optional<std::uint64_t> count_field(const Json& map, const char* name);
/// Returns a Boolean field.
std::optional<bool> flag_field(const Json& map, const char* name);

}  // namespace nickelramp::wire
