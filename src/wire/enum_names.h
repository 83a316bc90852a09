/// @file
/// Conversion between enumerators and their names in the protocol. Used by this module's sources
/// only.
#pragma once
#include <array>
#include <cstddef>
#include <optional>
#include <string>

namespace nickelramp::wire {

/// Returns the enumerator with the given name, or std::nullopt if there is none.
/// @param names names in the order of the enumerators, which count from 0
template <typename Enum, std::size_t Count>
std::optional<Enum> enum_of(const std::array<const char*, Count>& names, const std::string& name) {
    for (std::size_t i = 0; i < Count; ++i) {
        if (name == names[i]) return static_cast<Enum>(i);
    }
    return std::nullopt;
}

/// Returns the name of an enumerator. `names` is as for enum_of.
template <typename Enum, std::size_t Count>
const char* name_of(const std::array<const char*, Count>& names, Enum value) {
    return names[static_cast<std::size_t>(value)];
}

}  // namespace nickelramp::wire
