// Machines that say nothing, one by one and many at once: what the book knows of them is counted by
// failure domain, and what the domains allow is done to the book.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "book/book.h"
#include "deputy/deputy.h"
#include "domains/domains.h"
#include "peers/messages.h"
#include "wire/messages.h"

namespace nickelramp::domains {

class Silence {
  public:
    Silence(const book::Term& term, book::Book& book, const deputy::Deputies& deputies)
        : term_(term),
          book_(book),
          deputies_(deputies),
          domains_(term.settings().report_s, term.settings().lease_s) {}

    void count(Index zone, int up, int silent) { domains_.count(zone, up, silent); }
    void look(Millis now);
    // Neither new work nor new machines are of use there.
    bool shut(Index zone) const { return domains_.shut(zone); }
    bool clear(Index zone) const { return domains_.sky(zone) == Sky::clear; }
    // Most machines of every zone have fallen silent: rather this node's trouble than theirs.
    bool alone() const { return domains_.alone(); }

    // It has been silent for long enough to be lost, if it were alone in that.
    void give_up(workers::Machine& m, Millis now);
    // A list of the cloud's, asked for at that time, that silent machines may be missing from.
    void miss_from_list(const std::vector<wire::Host>& hosts, Millis asked, Millis now);

    // The leader before this one had not heard the zone's machines since then.
    void expect_lost(Index zone, Millis since) { lost_since_[zone] = since; }
    Millis heard_by(Index zone, Millis otherwise) const;
    // What the next leader should know.
    std::vector<peers::Status::Lost> lost_zones(Millis now) const;

  private:
    Millis likely_end(const workers::Machine& m) const;
    bool all_replicas_movable(const workers::Machine& m) const;
    bool movable(const workers::Machine& m, const jobs::Attempt& a) const;

    const book::Term& term_;
    book::Book& book_;
    const deputy::Deputies& deputies_;
    Domains domains_;
    std::map<Index, Millis> lost_since_;  // by zone, as the leader before this one saw it
};

}  // namespace nickelramp::domains
