// When each of many things, named by a dense index, wants to be looked at next: a tick then costs
// what is due, not what there is.
#pragma once
#include <set>
#include <utility>
#include <vector>

#include "base/names.h"
#include "base/time.h"

namespace nickelramp {

class DeadlineQueue {
  public:
    // Look at it by then; an earlier date that was set already stays.
    void schedule(Index i, Millis at) {
        if (at >= kNever) return;
        if (i >= deadlines_.size()) deadlines_.resize(i + 1, kNever);
        if (deadlines_[i] <= at) return;
        cancel(i);
        deadlines_[i] = at;
        queue_.emplace(at, i);
    }
    void cancel(Index i) {
        if (i >= deadlines_.size() || deadlines_[i] == kNever) return;
        queue_.erase({deadlines_[i], i});
        deadlines_[i] = kNever;
    }
    // The next that is due, taken out; kNone when nothing is.
    Index pop_due(Millis now) {
        if (queue_.empty() || queue_.begin()->first > now) return kNone;
        Index i = queue_.begin()->second;
        cancel(i);
        return i;
    }

  private:
    std::set<std::pair<Millis, Index>> queue_;
    std::vector<Millis> deadlines_;  // by index; kNever: no date
};

}  // namespace nickelramp
