// Replicas that are spread thinly keep whole machines from gangs and from the cloud, and those on
// dear machines pay for what they do not use: they move.
#pragma once
#include <map>

#include "book/book.h"
#include "schedule/rules.h"

namespace nickelramp::supply {

class Moves {
  public:
    Moves(const book::Term& term, book::Book& book, const schedule::Rules& rules)
        : term_(term), book_(book), rules_(rules) {}

    void consolidate(Millis now);

  private:
    enum class Better { no, fuller, cheaper };
    static Better better_for(const jobs::Job& j, const workers::Machine& from,
                             const workers::Machine& to);
    double start_within_s(const jobs::Job& j) const;
    bool move_replicas(workers::Machine& from, std::map<workers::Machine*, placing::Need>& planned,
                       Millis now);

    const book::Term& term_;
    book::Book& book_;
    const schedule::Rules& rules_;
    Millis next_ = 0;
};

}  // namespace nickelramp::supply
