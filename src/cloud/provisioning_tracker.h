/// @file
/// Requests to the cloud that are under way, and the back-off per machine kind.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "cloud/machine_kind.h"
#include "cloud/provision_reply.h"

namespace nickelramp::cloud {

/// What the cloud is being asked for, and what it has said about each kind of machine lately. Owned
/// by the leader's control loop for one term and driven by the autoscaler, on the loop thread; it
/// sends nothing itself and reads no clock. Times are milliseconds of the steady clock.
class ProvisioningTracker {
  public:
    enum class ProvisioningState {
        recording,       ///< its intent is being put on record; nothing was sent
        sent,            ///< not answered yet
        awaiting_retry,  ///< of unknown outcome: repeated under the same name, which provisions
                         ///< nothing twice
    };
    struct Request {
        MachineKind kind;
        std::uint32_t count = 0;  ///< of machines
        ProvisioningState state = ProvisioningState::recording;
        bool inherited = false;         ///< an earlier term's
        bool may_execute_late = false;  ///< something of it may still be executed
        Millis retry_at = 0;
    };

    /// Has the cloud just said that it has none of this kind?
    [[nodiscard]] bool is_backing_off(const MachineKind& kind, Millis now) const;
    /// A machine of the kind has gone, so the cloud has one again: ends the back-off.
    void on_machine_freed(const MachineKind& kind);

    /// Starts a request for so many machines.
    /// @param term, fence the term and the fence of the scale-out role: they make the name unique
    /// @return its name; empty if one of this term for the kind is under way
    [[nodiscard]] std::string start_request(std::uint64_t term, std::uint64_t fence,
                                            const MachineKind& kind, std::uint32_t count);
    /// Takes over a request that an earlier term has on record: it may have been sent, and may be
    /// executed yet.
    void inherit_request(const std::string& request, const MachineKind& kind, std::uint32_t count);
    void on_sent(const std::string& request);
    /// Forgets a request of which nothing was sent.
    void withdraw_request(const std::string& request) { requests_.erase(request); }
    /// @return true if the request is settled by this reply (or unknown here), false if it is to be
    /// repeated.
    bool on_reply(const std::string& request, const ProvisionReply& reply, Millis now);
    /// The requests that are to be repeated now.
    [[nodiscard]] std::vector<std::string> due_retries(Millis now) const;
    /// How many requests of this term are under way: inherited ones were counted before.
    [[nodiscard]] std::size_t own_request_count() const;
    /// Every request under way, by name.
    [[nodiscard]] const std::map<std::string, Request>& requests() const { return requests_; }

  private:
    struct Backoff {
        Millis blocked_until = 0;
        std::uint32_t refusal_count = 0;  // in a row
    };
    static void increase_backoff(Backoff& backoff, Millis first, Millis now);
    static void apply_result(Backoff& backoff, const Request& request, const ProvisionReply& reply,
                             Millis now);

    std::map<MachineKind, Backoff> backoffs_;
    std::map<std::string, Request> requests_;
    std::uint64_t request_count_ = 0;
};

}  // namespace nickelramp::cloud
