/// @file
/// Interned names. Names of teams, zones, machine types, images and classes become dense indices
/// where they enter the process; inside it, tables are vectors by index.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nickelramp {

/// A dense index of an interned name, a job or a machine.
using Index = std::uint32_t;
/// The index of nothing.
inline constexpr Index kNone = UINT32_MAX;

/// A set of names, numbered from 0 in the order in which they were added. Names are never removed,
/// so an index stays valid for as long as the object lives.
class Names {
  public:
    /// The index of the name, which is added if it is new.
    Index add(std::string_view name) {
        auto [it, added] = index_.try_emplace(std::string(name), static_cast<Index>(names_.size()));
        if (added) names_.push_back(it->first);
        return it->second;
    }

    /// The index of the name; kNone if it was never added.
    [[nodiscard]] Index find(std::string_view name) const {
        auto it = index_.find(std::string(name));
        return it == index_.end() ? kNone : it->second;
    }

    /// The name with this index, which must be less than size().
    [[nodiscard]] const std::string& name(Index index) const { return names_[index]; }
    [[nodiscard]] std::size_t size() const { return names_.size(); }

  private:
    std::unordered_map<std::string, Index> index_;
    std::vector<std::string> names_;
};

}  // namespace nickelramp
