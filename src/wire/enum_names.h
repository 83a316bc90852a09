/// @file
/// Enumerations as texts of the protocol. Used by the sources of this module only.
#pragma once
#include <array>
#include <cstddef>
#include <optional>
#include <string>

namespace nickelramp::wire {

/// The enumerator whose name it is; nothing if it is none. `names` are in the enumerators' order.
template <typename Enum, std::size_t Count>
std::optional<Enum> enum_of(const std::array<const char*, Count>& names, const std::string& name) {
    for (std::size_t i = 0; i < Count; ++i) {
        if (name == names[i]) return static_cast<Enum>(i);
    }
    return std::nullopt;
}

template <typename Enum, std::size_t Count>
const char* name_of(const std::array<const char*, Count>& names, Enum value) {
    return names[static_cast<std::size_t>(value)];
}

}  // namespace nickelramp::wire
