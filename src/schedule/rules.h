// Where a job may go, and where it had better not: what the schedule, the supply and the lending of
// blocks all ask before they put a task anywhere. Reads the book and the outlook; changes nothing.
#pragma once
#include <vector>

#include "book/book.h"
#include "outlook/outlook.h"

namespace nickelramp::schedule {

// A task that is told to stop is gone within this, beyond the time to save.
inline constexpr Millis kGoneWithin = 2'000;

// Room that fits a job and is kept from it all the same: noted for as long as it lasts, and not
// kept beyond kMostHeld.
class Withheld {
  public:
    Withheld(const jobs::Job& j, Millis now) : may_(j.may_be_withheld(now)) {}

    bool keeps(bool kept) {
        any_ |= kept;
        return kept && may_;
    }
    void placed() {  // that was its place of what is kept
        may_ = true;
        any_ = false;
    }
    void note(jobs::Job& j, Millis now) const {
        if (!any_) j.withheld_since = 0;
        if (any_ && j.withheld_since == 0) j.withheld_since = now;
    }

  private:
    bool may_;
    bool any_ = false;
};

class Rules {
  public:
    Rules(const book::Term& term, book::Book& book, const outlook::Outlook& outlook)
        : term_(term), book_(book), outlook_(outlook) {}

    // Type, zone, kind and trust; not how much is free.
    bool allowed(const jobs::Job& j, const workers::Machine& m) const;
    // Tasks of it that its team's limit leaves room for.
    std::uint32_t room_in_limit(const jobs::Job& j) const;
    bool within_limit(const jobs::Job& j, std::uint32_t tasks) const;
    // May a task of it start there now?
    bool may_get(const jobs::Job& j, const workers::Machine& m, const placing::Need& need,
                 Millis now) const;
    // The machines that a task of it may start on now; of very many, some.
    std::vector<workers::Machine*> fitting(const jobs::Job& j, const placing::Need& need,
                                           Millis now) const;
    // Does a place there cost so much more than the cheapest that only need is a reason to take it?
    static bool dear(const jobs::Job& j, Index type, bool spot);
    // Is this type left to work that fits no other? Arrays that fit elsewhere take it only when the
    // cloud has nothing else.
    bool left_to_others(const jobs::Job& j, Index type) const;
    // Is the machine better not used for the job, though it would fit?
    bool leaves_alone(const jobs::Job& j, const workers::Machine& m) const;
    // Is room there kept for replicas that will come before another machine could boot?
    bool kept_for_replicas(const jobs::Job& j, const workers::Machine& m, double kept) const;
    // May this attempt be stopped so that the job gets its place?
    bool may_evict(const jobs::Attempt& a, const jobs::Job& j) const;

  private:
    const book::Term& term_;
    book::Book& book_;
    const outlook::Outlook& outlook_;
};

}  // namespace nickelramp::schedule
