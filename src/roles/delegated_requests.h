/// @file
/// Cloud calls that the leader has delegated to another controller and whose results are pending.
#pragma once
#include <cstdint>
#include <functional>
#include <map>

#include "base/time.h"
#include "cloud/provision_reply.h"
#include "peers/messages.h"

namespace nickelramp::roles {

/// Matches results to requests. Each request is completed exactly once: with its result, with
/// `not_sent`, or with `unknown` if no result arrives in time. Owned by RoleManager. Sends nothing
/// and reads no clock.
class DelegatedRequests {
  public:
    using Done = std::function<void(Millis now, const cloud::ProvisionReply&)>;

    /// Registers a request and returns its number, which the result repeats.
    [[nodiscard]] std::uint64_t add(Millis now, Done done);
    /// Completes the request that the result names. Results of unknown or expired requests are
    /// dropped.
    void on_result(const peers::DelegatedResult& result, Millis now);
    /// Completes a request that could not be sent.
    void on_not_sent(std::uint64_t number, Millis now);
    /// Completes with `unknown` the requests whose results did not arrive in time, because they may
    /// have been executed.
    void expire(Millis now);

  private:
    struct Pending {
        Millis deadline = 0;
        Done done;
    };
    void complete(std::uint64_t number, const cloud::ProvisionReply& reply, Millis now);

    std::map<std::uint64_t, Pending> pending_;  // by request number
    std::uint64_t last_number_ = 0;
};

}  // namespace nickelramp::roles
