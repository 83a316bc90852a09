// The cloud's client: within the cloud's rate, returns and hires before lists.
#pragma once
#include <uv.h>

#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/time.h"
#include "duties/lease.h"
#include "fleet/hire.h"
#include "net/http_client.h"
#include "net/timer.h"
#include "wire/messages.h"

namespace nickelramp::fleet {

class Cloud {
  public:
    Cloud(uv_loop_t* loop, const sockaddr_in& address, const std::string& host, double rps);

    using TypesDone = std::function<void(const std::optional<std::vector<wire::MachineType>>&)>;
    using HostsDone = std::function<void(const std::optional<std::vector<wire::Host>>&)>;

    void types(TypesDone done);
    void hosts(HostsDone done);  // all pages
    // Without the right nothing is queued, and what is queued is not sent once the right is over.
    void hire(const duties::Permit<duties::Renting>& permit, const std::string& request,
              const std::string& type, const std::string& zone, bool spot, std::uint32_t count,
              std::function<void(const HireReply&)> done);
    void give_back(const duties::Permit<duties::Returning>& permit,
                   const std::vector<std::string>& machines, std::function<void(bool)> done);

    // Calls went out, and none has been answered for long.
    bool lost(Millis now) const;

  private:
    struct Call {
        const char* method;
        std::string target;
        std::string body;
        Millis timeout;
        net::HttpClient::Done done;
        net::HttpClient::Ask may = {};
    };
    void submit(std::deque<Call>& queue, Call call);
    Call next();
    void pump();
    void host_page(std::shared_ptr<std::vector<wire::Host>> sofar, const std::string& after,
                   HostsDone done);

    uv_loop_t* loop_;
    net::HttpClient http_;
    double rps_;
    double left_;
    Millis filled_;
    std::deque<Call> changes_, looks_;
    int changes_in_a_row_ = 0;
    Millis unanswered_since_ = -1;  // when the first call went out that no answer has followed
    net::Timer timer_;
};

}  // namespace nickelramp::fleet
