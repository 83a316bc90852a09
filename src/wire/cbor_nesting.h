/// @file
/// Limits the nesting of CBOR bodies before they are read.
#pragma once
#include <cstddef>
#include <string_view>

namespace nickelramp::wire {

/// Returns whether a body is one CBOR item in which maps, lists, and texts and byte strings of
/// indefinite length are nested at most `max_depth` levels deep. Does not recurse, and does not
/// check what the reader checks: the order of keys, UTF-8 and the meaning of simple values.
/// Used by `decode_map`, because the library's reader recurses once per level.
[[nodiscard]] bool is_nested_at_most(std::string_view body, std::size_t max_depth);

}  // namespace nickelramp::wire
