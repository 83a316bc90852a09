// The order of jobs that want places, and the forecast of that queue: which will be late with the
// machines that there are, and what more machines would mend.
#pragma once
#include <optional>
#include <vector>

#include "book/book.h"
#include "fleet/market.h"
#include "outlook/outlook.h"
#include "schedule/rules.h"

namespace nickelramp::schedule {

class Order {
  public:
    // Dear machines' cpus that the queue lacks, beyond what is there and coming.
    struct Lacking {
        double cpus = 0;
        Index job = kNone;  // one that would use them
    };

    Order(const book::Term& term, book::Book& book, outlook::Outlook& outlook, const Rules& rules,
          const fleet::Market& market)
        : term_(term), book_(book), outlook_(outlook), rules_(rules), market_(market) {}

    // Production first, then what a team is owed, then the rest; by priority and arrival within.
    std::vector<jobs::Job*> queue(Millis now);
    void foresee(const std::vector<jobs::Job*>& queue, Millis now);
    const Lacking& lacking() const { return lacking_; }

  private:
    jobs::Urgency urgency(const jobs::Job& j, Millis now) const;
    std::optional<Millis> start_due(const jobs::Job& j, const wire::Objective& o) const;
    bool all_refused(const jobs::Job& j, Millis now) const;

    const book::Term& term_;
    book::Book& book_;
    outlook::Outlook& outlook_;
    const Rules& rules_;
    const fleet::Market& market_;
    Lacking lacking_;
};

}  // namespace nickelramp::schedule
