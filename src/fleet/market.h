// What the cloud has said about each kind of machine lately, and what it is being asked for: the
// part of the leader's supply that needs no look at jobs or machines. Handed the time; sends
// nothing itself.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "fleet/hire.h"
#include "fleet/kind.h"

namespace nickelramp::fleet {

class Market {
  public:
    // writing: its name is being put on record; asked: sent, not answered yet; waiting: nobody
    // knows what became of it, and it is asked again under the same name, which rents nothing new
    enum class State { writing, asked, waiting };
    struct Hire {
        Kind kind;
        std::uint32_t count = 0;
        State state = State::writing;
        bool inherited = false;
        bool doubtful = false;  // something of it may still be executed late
        Millis retry_at = 0;
    };

    // Has the cloud just said that it has none?
    bool refused(const Kind& k, Millis now) const;
    // A machine of the kind has gone: its place at the cloud is free again.
    void freed(const Kind& k);

    // The name of a new request; empty when one for the kind is under way.
    std::string ask(std::uint64_t term, std::uint64_t fence, const Kind& k, std::uint32_t count);
    // One that an earlier term has on record: it may have been sent, and may be executed yet.
    void inherit(const std::string& request, const Kind& k, std::uint32_t count);
    void sent(const std::string& request);
    void withdraw(const std::string& request) { under_way_.erase(request); }  // nothing was sent
    // Is it settled by this?
    bool answered(const std::string& request, const HireReply& reply, Millis now);
    // To be asked again now.
    std::vector<std::string> due(Millis now) const;
    // Those of this term: what is inherited has been counted before.
    std::size_t fresh() const;
    const std::map<std::string, Hire>& under_way() const { return under_way_; }

  private:
    struct Offer {
        Millis blocked_until = 0;
        std::uint32_t refusals = 0;
    };
    static void set_state(Hire& h, State s) { h.state = s; }
    static void refuse(Offer& o, Millis first, Millis now);

    std::map<Kind, Offer> offers_;
    std::map<std::string, Hire> under_way_;
    std::uint64_t asked_ = 0;
};

}  // namespace nickelramp::fleet
