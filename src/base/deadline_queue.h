/// @file
/// When each of many things, named by a dense index, is to be looked at next. A timer tick then
/// costs what is due and not what there is.
#pragma once
#include <compare>
#include <set>
#include <vector>

#include "base/names.h"
#include "base/time.h"

namespace nickelramp {

/// At most one deadline for each index, the earliest that was asked for. Times are passed by the
/// caller.
class DeadlineQueue {
  public:
    /// Sets the deadline of the index, unless it has an earlier one. kNever sets none.
    void schedule(Index index, Millis at) {
        if (at >= kNever) return;
        if (index >= deadlines_.size()) deadlines_.resize(index + 1, kNever);
        if (deadlines_[index] <= at) return;
        cancel(index);
        deadlines_[index] = at;
        queue_.insert({at, index});
    }

    /// Removes the deadline of the index, if it has one.
    void cancel(Index index) {
        if (index >= deadlines_.size() || deadlines_[index] == kNever) return;
        queue_.erase({deadlines_[index], index});
        deadlines_[index] = kNever;
    }

    /// Removes the earliest deadline that is due and returns its index, the lowest of those with
    /// the same deadline; kNone when none is due.
    [[nodiscard]] Index pop_due(Millis now) {
        if (queue_.empty() || queue_.begin()->at > now) return kNone;
        const Index index = queue_.begin()->index;
        cancel(index);
        return index;
    }

  private:
    struct Deadline {
        Millis at;
        Index index;
        auto operator<=>(const Deadline&) const = default;
    };

    std::set<Deadline> queue_;
    std::vector<Millis> deadlines_;  // by index; kNever: none
};

}  // namespace nickelramp
