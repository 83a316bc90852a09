// What the leader has asked another controller to ask of the cloud: answered once each, by the
// outcome or by time. Handed the time; sends nothing itself.
#pragma once
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "cloud/provision_reply.h"
#include "peers/messages.h"

namespace nickelramp::roles {

class DelegatedRequests {
  public:
    using Done = std::function<void(Millis, const cloud::ProvisionReply&)>;

    // The number that its outcome will name.
    std::uint64_t add(Millis now, Done done);
    void on_result(const peers::DelegatedResult& result, Millis now);
    // Whatever no outcome came for in time: it may have been done.
    void expire(Millis now);
    // It did not go out.
    void on_not_sent(std::uint64_t number, Millis now);

  private:
    struct Pending {
        Millis deadline = 0;
        Done done;
    };
    void complete(std::uint64_t number, const cloud::ProvisionReply& reply, Millis now);

    std::map<std::uint64_t, Pending> pending_;
    std::uint64_t last_number_ = 0;
};

}  // namespace nickelramp::roles
