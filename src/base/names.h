/// @file
/// Interned names. Names of teams, zones, machine types, images and job classes are mapped to dense
/// indices when they enter the process, so that internal tables can be vectors.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nickelramp {

/// The dense index of an interned name, a job or a machine.
using Index = std::uint32_t;
/// Stands for "no index".
inline constexpr Index kNone = UINT32_MAX;

/// A set of names, numbered from 0 in insertion order. Names are never removed, so an index stays
/// valid for the lifetime of the object.
class Names {
  public:
    /// Returns the index of the name, and adds the name if it is new.
    Index add(std::string_view name) {
        auto [it, added] = index_.try_emplace(std::string(name), static_cast<Index>(names_.size()));
        if (added) names_.push_back(it->first);
        return it->second;
    }

    /// Returns the index of the name, or kNone if it was never added.
    [[nodiscard]] Index find(std::string_view name) const {
        auto it = index_.find(std::string(name));
        return it == index_.end() ? kNone : it->second;
    }

    /// Returns the name with this index, which must be less than size().
    [[nodiscard]] const std::string& name(Index index) const { return names_[index]; }
    [[nodiscard]] std::size_t size() const { return names_.size(); }

  private:
    std::unordered_map<std::string, Index> index_;
    std::vector<std::string> names_;
};

}  // namespace nickelramp
