/// @file
/// Reads JSON texts from the network.
#pragma once
#include <cstddef>
#include <optional>
#include <string>

#include "wire/cbor.h"

namespace nickelramp::wire {

/// Decodes a JSON text of any type. Returns std::nullopt if it is not valid JSON, or if its maps
/// and lists are nested more than `max_depth` levels deep: writing, copying and comparing a value
/// recurse once per level.
std::optional<Json> decode_json(const std::string& text, std::size_t max_depth = kMaxRequestDepth);

}  // namespace nickelramp::wire
