/// @file
/// HTTP client of the cloud's API.
#pragma once
#include <uv.h>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "cloud/provision_reply.h"
#include "lease/lease_guard.h"
#include "net/http_client.h"
#include "net/timer.h"
#include "wire/messages.h"

namespace nickelramp::cloud {

/// Sends calls to the cloud within its request rate. Provisioning and releases take precedence over
/// lists, but neither starves the other. Each controller process has one client, used on the loop
/// thread. It owns the connections and reads the loop's clock. The callback of a call runs exactly
/// once, on the loop thread, also if the call fails or was never sent.
class CloudClient {
  public:
    /// @param host value of the HTTP Host header
    /// @param requests_per_s the rate that the cloud allows, of which a part is left to other
    /// controllers
    CloudClient(uv_loop_t* loop, const sockaddr_in& address, const std::string& host,
                double requests_per_s);

    /// Receives the cloud's reply, or std::nullopt if the call failed or the reply is malformed.
    using MachineTypesDone =
        std::function<void(const std::optional<std::vector<wire::MachineType>>&)>;
    using InstancesDone =
        std::function<void(const std::optional<std::vector<wire::CloudInstance>>&)>;
    using ProvisionDone = std::function<void(const ProvisionReply&)>;
    using ReleaseDone = std::function<void(bool released)>;

    void list_machine_types(MachineTypesDone done);
    /// Lists all machines, page by page. Passes std::nullopt if any page fails.
    void list_instances(InstancesDone done);
    /// Requests `count` machines. Requires proof of the scale-out role's lease, which is checked
    /// again when the request is sent. A queued request is not sent after the lease has expired
    /// (Result::not_sent).
    /// @param request idempotency key: a request that is repeated under the same name provisions
    /// nothing twice
    void provision(const lease::LeaseProof<lease::ScaleOut>& proof, const std::string& request,
                   const std::string& type, const std::string& zone, bool spot, std::uint32_t count,
                   ProvisionDone done);
    /// Releases machines to the cloud. Requires proof of the scale-in role's lease, which is
    /// checked again when the request is sent.
    void release(const lease::LeaseProof<lease::ScaleIn>& proof,
                 const std::vector<std::string>& machines, ReleaseDone done);

    /// Returns whether calls have been sent and none was answered for a long time.
    [[nodiscard]] bool is_unreachable(Millis now) const;

  private:
    struct Call {
        const char* method;
        std::string target;
        std::string body;
        net::HttpClient::Done on_reply;
        net::HttpClient::MaySend may_send = {};
    };
    [[nodiscard]] bool has_queued() const;
    void submit(std::deque<Call>& queue, Call call);
    [[nodiscard]] Call pop_next();
    void refill_tokens(Millis now);
    void send_queued();
    void send(Call call, Millis now);
    void list_instance_page(std::shared_ptr<std::vector<wire::CloudInstance>> instances,
                            const std::string& after, InstancesDone done);

    uv_loop_t* loop_;
    net::HttpClient http_;
    double requests_per_s_;
    double request_tokens_;  // requests that may be sent now
    Millis refilled_at_;
    std::deque<Call> change_queue_, list_queue_;
    int consecutive_changes_ = 0;   // sent since the last list
    Millis unanswered_since_ = -1;  // when the first call after the last reply was sent, or -1
    net::Timer timer_;
};

}  // namespace nickelramp::cloud
