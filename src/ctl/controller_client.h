/// @file
/// Sends requests to the controllers over HTTP by the rules of PROTOCOL for users: any controller
/// can answer, and a request without an answer is retried after a pause until a time limit.
#pragma once
#include <uv.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ctl/config.h"
#include "ctl/retry_policy.h"
#include "net/http_client.h"
#include "net/timer.h"

namespace nickelramp::ctl {

struct ControllerReply {
    bool answered = false;            ///< false: no controller answered in time
    bool reached_controller = false;  ///< whether any attempt may have reached a controller
    int status = 0;
    std::string body;
    std::size_t attempts = 0;
    std::size_t controller = 0;  ///< index of the controller asked last
};

class ControllerClient {
  public:
    using Done = std::function<void(const ControllerReply&)>;
    ControllerClient(uv_loop_t* loop, const Config& config, std::size_t first);

    /// Sends a request and calls `done` with the outcome. Only one request can be in progress.
    /// @param only send the request to this controller only, without retries
    void request(std::string method, std::string target, std::string body, Done done,
                 std::optional<std::size_t> only = {});
    bool idle() const { return state_ == State::idle; }
    std::size_t controllers() const { return clients_.size(); }

  private:
    enum class State { idle, requesting, pausing };
    void set_state(State state) { state_ = state; }
    void send();
    void on_reply(const net::ClientReply& reply);
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    Millis give_up_after_;
    std::size_t first_controller_;
    std::vector<std::unique_ptr<net::HttpClient>> clients_;
    net::Timer pause_timer_;
    State state_ = State::idle;
    std::string method_, target_, body_;
    std::optional<std::size_t> only_controller_;
    std::optional<RetryPolicy> retry_policy_;
    Done done_;
};

}  // namespace nickelramp::ctl
