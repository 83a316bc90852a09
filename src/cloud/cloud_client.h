// The cloud's client: within the cloud's rate, returns and hires before lists.
#pragma once
#include <uv.h>

#include <deque>
#include <functional>
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

class CloudClient {
  public:
    CloudClient(uv_loop_t* loop, const sockaddr_in& address, const std::string& host, double rps);

    using MachineTypesDone =
        std::function<void(const std::optional<std::vector<wire::MachineType>>&)>;
    using InstancesDone =
        std::function<void(const std::optional<std::vector<wire::CloudInstance>>&)>;

    void list_machine_types(MachineTypesDone done);
    void list_instances(InstancesDone done);  // all pages
    // Without the right nothing is queued, and what is queued is not sent once the right is over.
    void provision(const lease::LeaseProof<lease::ScaleOut>& permit, const std::string& request,
                   const std::string& type, const std::string& zone, bool spot, std::uint32_t count,
                   std::function<void(const ProvisionReply&)> done);
    void release(const lease::LeaseProof<lease::ScaleIn>& permit,
                 const std::vector<std::string>& machines, std::function<void(bool)> done);

    // Calls went out, and none has been answered for long.
    bool is_unreachable(Millis now) const;

  private:
    struct Call {
        const char* method;
        std::string target;
        std::string body;
        Millis timeout;
        net::HttpClient::Done on_reply;
        net::HttpClient::MaySend may_send = {};
    };
    void submit(std::deque<Call>& queue, Call call);
    Call next();
    void send_queued();
    void list_instance_page(std::shared_ptr<std::vector<wire::CloudInstance>> sofar,
                            const std::string& after, InstancesDone done);

    uv_loop_t* loop_;
    net::HttpClient http_;
    double requests_per_s_;
    double request_tokens_;
    Millis refilled_at_;
    std::deque<Call> change_queue_, list_queue_;
    int consecutive_changes_ = 0;
    Millis unanswered_since_ = -1;  // when the first call went out that no answer has followed
    net::Timer timer_;
};

}  // namespace nickelramp::cloud
