/// @file
/// Cloud calls that the leader has delegated to another controller and that are not answered yet.
#pragma once
#include <cstdint>
#include <functional>
#include <map>

#include "base/time.h"
#include "cloud/provision_reply.h"
#include "peers/messages.h"

namespace nickelramp::roles {

/// Matches results to requests; each request is answered exactly once: by its result, as
/// `not_sent`, or as `unknown` when no result came in time. Owned by RoleManager; handed the time,
/// sends nothing.
class DelegatedRequests {
  public:
    using Done = std::function<void(Millis now, const cloud::ProvisionReply&)>;

    /// Returns the number that the result will name.
    [[nodiscard]] std::uint64_t add(Millis now, Done done);
    /// Results of unknown requests, which may have expired, are dropped.
    void on_result(const peers::DelegatedResult& result, Millis now);
    void on_not_sent(std::uint64_t number, Millis now);
    /// Answers the requests whose results did not come in time as `unknown`: they may have been
    /// executed.
    void expire(Millis now);

  private:
    struct Pending {
        Millis deadline = 0;
        Done done;
    };
    void complete(std::uint64_t number, const cloud::ProvisionReply& reply, Millis now);

    std::map<std::uint64_t, Pending> pending_;  // by number
    std::uint64_t last_number_ = 0;
};

}  // namespace nickelramp::roles
