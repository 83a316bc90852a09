// What the cloud has said about each kind of machine lately, and what it is being asked for: the
// part of the leader's supply that needs no look at jobs or machines. Handed the time; sends
// nothing itself.
#pragma once
#include <map>
#include <string>

#include "base/time.h"
#include "fleet/hire.h"
#include "fleet/kind.h"

namespace nickelramp::fleet {

class Market {
  public:
    struct Hire {
        Kind kind;
        std::uint32_t count = 0;
    };

    // Has the cloud just said that it has none?
    bool refused(const Kind& k, Millis now) const;
    // A machine of the kind has gone: its place at the cloud is free again.
    void freed(const Kind& k);

    // The name of a new request; empty when one for the kind is under way.
    std::string ask(std::uint64_t term, const Kind& k, std::uint32_t count);
    void answered(const std::string& request, const HireReply& reply, Millis now);
    const std::map<std::string, Hire>& under_way() const { return under_way_; }

  private:
    struct Offer {
        Millis blocked_until = 0;
        std::uint32_t refusals = 0;
    };
    static void refuse(Offer& o, Millis first, Millis now);

    std::map<Kind, Offer> offers_;
    std::map<std::string, Hire> under_way_;
    std::uint64_t asked_ = 0;
};

}  // namespace nickelramp::fleet
