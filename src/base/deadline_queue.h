/// @file
/// A queue of deadlines for entities that are identified by dense indices. The cost of a timer tick
/// depends on the number of due deadlines, not on the number of entities.
#pragma once
#include <compare>
#include <set>
#include <vector>

#include "base/names.h"
#include "base/time.h"

namespace nickelramp {

/// Keeps at most one deadline for each index, the earliest that was scheduled. Reads no clock; the
/// caller passes the time.
class DeadlineQueue {
  public:
    /// Sets the deadline of the index, unless it already has an earlier one. kNever has no effect.
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

    /// Removes the earliest due deadline and returns its index; the lowest index if several have
    /// the same deadline. Returns kNone if no deadline is due.
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
    std::vector<Millis> deadlines_;  // by index; kNever: no deadline
};

}  // namespace nickelramp
