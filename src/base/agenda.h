// When each of many things, named by a dense index, wants to be looked at next: a tick then costs
// what is due, not what there is.
#pragma once
#include <set>
#include <utility>
#include <vector>

#include "base/names.h"
#include "base/time.h"

namespace nickelramp {

class Agenda {
  public:
    // Look at it by then; an earlier date that was set already stays.
    void by(Index i, Millis at) {
        if (at >= kNever) return;
        if (i >= at_.size()) at_.resize(i + 1, kNever);
        if (at_[i] <= at) return;
        forget(i);
        at_[i] = at;
        dates_.emplace(at, i);
    }
    void forget(Index i) {
        if (i >= at_.size() || at_[i] == kNever) return;
        dates_.erase({at_[i], i});
        at_[i] = kNever;
    }
    // The next that is due, taken out; kNone when nothing is.
    Index next(Millis now) {
        if (dates_.empty() || dates_.begin()->first > now) return kNone;
        Index i = dates_.begin()->second;
        forget(i);
        return i;
    }

  private:
    std::set<std::pair<Millis, Index>> dates_;
    std::vector<Millis> at_;  // by index; kNever: no date
};

}  // namespace nickelramp
