// What the leader has asked another controller to ask of the cloud: answered once each, by the
// outcome or by time. Handed the time; sends nothing itself.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "fleet/hire.h"
#include "peers/messages.h"

namespace nickelramp::duties {

class Errands {
  public:
    using Done = std::function<void(Millis, const fleet::HireReply&)>;

    // The number that its outcome will name.
    std::uint64_t add(Millis now, Done done);
    void on_outcome(const peers::Outcome& m, Millis now);
    // Whatever no outcome came for in time: it may have been done.
    void expire(Millis now);
    // It did not go out.
    void unsent(std::uint64_t number, Millis now);

  private:
    struct Open {
        Millis deadline = 0;
        Done done;
    };
    void settle(std::uint64_t number, const fleet::HireReply& reply, Millis now);

    std::map<std::uint64_t, Open> open_;
    std::uint64_t last_ = 0;
};

}  // namespace nickelramp::duties
