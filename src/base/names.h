// Names become dense indices at the door; inside, everything is an index.
#pragma once
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nickelramp {

using Index = std::uint32_t;
inline constexpr Index kNone = UINT32_MAX;

class Names {
  public:
    Index add(std::string_view name) {
        auto [it, fresh] = index_.try_emplace(std::string(name), static_cast<Index>(names_.size()));
        if (fresh) names_.push_back(it->first);
        return it->second;
    }
    Index find(std::string_view name) const {
        auto it = index_.find(std::string(name));
        return it == index_.end() ? kNone : it->second;
    }
    const std::string& name(Index i) const { return names_[i]; }
    std::size_t size() const { return names_.size(); }

  private:
    std::unordered_map<std::string, Index> index_;
    std::vector<std::string> names_;
};

}  // namespace nickelramp
