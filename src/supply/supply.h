// The machines that the cloud rents out: hiring for what found no place and ahead of need, and
// giving back.
#pragma once
#include <string>
#include <vector>

#include "book/book.h"
#include "domains/silence.h"
#include "fleet/market.h"
#include "outlook/outlook.h"
#include "schedule/order.h"
#include "schedule/rules.h"

namespace nickelramp::supply {

// Boots beyond this many boot times no longer count.
inline constexpr double kLateBoots = 1.7;

class Supply {
  public:
    Supply(book::Term& term, book::Book& book, book::Turn& turn, outlook::Outlook& outlook,
           const schedule::Rules& rules, fleet::Market& market, const domains::Silence& silence)
        : term_(term),
          book_(book),
          turn_(turn),
          outlook_(outlook),
          rules_(rules),
          market_(market),
          silence_(silence) {}

    // Packs what found no place onto the machines that are coming, and hires for the rest.
    void plan(const std::vector<jobs::Job*>& unplaced, const schedule::Order::Lacking& lacking,
              Millis now);
    void on_hosts(const std::vector<wire::Host>& hosts, Millis now);
    // How long an empty machine is kept.
    Millis idle_keep(const workers::Machine& m, Millis now);
    // Tells the cloud of machines that are to go back.
    void send_returns(Millis now);

  private:
    void hire(const fleet::Kind& kind, std::uint32_t count);
    void on_hired(const std::string& request, const fleet::Kind& kind,
                  const fleet::HireReply& reply, Millis now);
    void on_returned(const std::vector<std::string>& names, bool ok, Millis now);

    book::Term& term_;
    book::Book& book_;
    book::Turn& turn_;
    outlook::Outlook& outlook_;
    const schedule::Rules& rules_;
    fleet::Market& market_;
    const domains::Silence& silence_;
    bool return_in_flight_ = false;
    Millis retry_return_at_ = 0;
};

}  // namespace nickelramp::supply
