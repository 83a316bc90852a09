// What the cloud has said about each kind of machine lately, and what it is being asked for: the
// part of the leader's supply that needs no look at jobs or machines. Handed the time; sends
// nothing itself.
#pragma once
#include <map>
#include <string>
#include <vector>

#include "base/time.h"
#include "cloud/machine_kind.h"
#include "cloud/provision_reply.h"

namespace nickelramp::cloud {

class ProvisioningTracker {
  public:
    // writing: its name is being put on record; asked: sent, not answered yet; waiting: nobody
    // knows what became of it, and it is asked again under the same name, which rents nothing new
    enum class ProvisioningState { recording, sent, awaiting_retry };
    struct Request {
        MachineKind kind;
        std::uint32_t count = 0;
        ProvisioningState state = ProvisioningState::recording;
        bool inherited = false;
        bool may_execute_late = false;  // something of it may still be executed late
        Millis retry_at = 0;
    };

    // Has the cloud just said that it has none?
    bool is_backing_off(const MachineKind& kind, Millis now) const;
    // A machine of the kind has gone: its place at the cloud is free again.
    void on_machine_freed(const MachineKind& kind);

    // The name of a new request; empty when one for the kind is under way.
    std::string start_request(std::uint64_t term, std::uint64_t fence, const MachineKind& kind,
                              std::uint32_t count);
    // One that an earlier term has on record: it may have been sent, and may be executed yet.
    void inherit_request(const std::string& request, const MachineKind& kind, std::uint32_t count);
    void on_sent(const std::string& request);
    void withdraw_request(const std::string& request) {
        requests_.erase(request);
    }  // nothing was sent
    // Is it settled by this?
    bool on_reply(const std::string& request, const ProvisionReply& reply, Millis now);
    // To be asked again now.
    std::vector<std::string> due_retries(Millis now) const;
    // Those of this term: what is inherited has been counted before.
    std::size_t own_request_count() const;
    const std::map<std::string, Request>& requests() const { return requests_; }

  private:
    struct Backoff {
        Millis blocked_until = 0;
        std::uint32_t refusal_count = 0;
    };
    static void set_state(Request& request, ProvisioningState state) { request.state = state; }
    static void increase_backoff(Backoff& backoff, Millis first, Millis now);

    std::map<MachineKind, Backoff> backoffs_;
    std::map<std::string, Request> requests_;
    std::uint64_t request_count_ = 0;
};

}  // namespace nickelramp::cloud
