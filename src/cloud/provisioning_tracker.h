/// @file
/// Tracks provisioning requests in flight and the back-off per machine kind.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "cloud/machine_kind.h"
#include "cloud/provision_reply.h"

namespace nickelramp::cloud {

/// Provisioning requests in flight, and a back-off for kinds of machines that the cloud has refused
/// recently. The leader's control loop owns the tracker for one term, and the autoscaler calls it
/// on the loop thread. It sends nothing itself. Times are milliseconds of the steady clock and are
/// passed in.
class ProvisioningTracker {
  public:
    enum class ProvisioningState {
        recording,       ///< its intent is being recorded and it has not been sent
        sent,            ///< no reply yet
        awaiting_retry,  ///< outcome unknown. Retried under the same name, so that nothing is
                         ///< provisioned twice
    };
    struct Request {
        MachineKind kind;
        std::uint32_t count = 0;  ///< of machines
        ProvisioningState state = ProvisioningState::recording;
        bool inherited = false;         ///< from an earlier term
        bool may_execute_late = false;  ///< an earlier attempt may still be executed
        Millis retry_at = 0;
    };

    /// Returns whether requests for this kind are held back after a recent failure.
    [[nodiscard]] bool is_backing_off(const MachineKind& kind, Millis now) const;
    /// Ends the back-off: a machine of the kind no longer exists, so the cloud has capacity again.
    void on_machine_freed(const MachineKind& kind);

    /// Starts a request for `count` machines.
    /// @param term, fence the term and the fence of the scale-out role, which make the name unique
    /// @return its name, or an empty string if this term has a request for the kind in flight
    [[nodiscard]] std::string start_request(std::uint64_t term, std::uint64_t fence,
                                            const MachineKind& kind, std::uint32_t count);
    /// Takes over a request that an earlier term recorded. It may have been sent and may still be
    /// executed.
    void inherit_request(const std::string& request, const MachineKind& kind, std::uint32_t count);
    void on_sent(const std::string& request);
    /// Removes a request that was not sent.
    void withdraw_request(const std::string& request) { requests_.erase(request); }
    /// Processes the reply to a request.
    /// @return whether the request is finished or was not tracked. If false, it is to be retried.
    bool on_reply(const std::string& request, const ProvisionReply& reply, Millis now);
    /// Returns the names of the requests that are due for a retry.
    [[nodiscard]] std::vector<std::string> due_retries(Millis now) const;
    /// Returns how many requests that this term started are in flight. Inherited requests already
    /// counted in their own term.
    [[nodiscard]] std::size_t own_request_count() const;
    /// All requests in flight, by name.
    [[nodiscard]] const std::map<std::string, Request>& requests() const { return requests_; }

  private:
    struct Backoff {
        Millis blocked_until = 0;
        std::uint32_t refusal_count = 0;  // consecutive
    };
    static void increase_backoff(Backoff& backoff, Millis first, Millis now);
    static void apply_result(Backoff& backoff, const Request& request, const ProvisionReply& reply,
                             Millis now);

    std::map<MachineKind, Backoff> backoffs_;
    std::map<std::string, Request> requests_;
    std::uint64_t request_count_ = 0;
};

}  // namespace nickelramp::cloud
