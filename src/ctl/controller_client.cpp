#include "ctl/controller_client.h"

#include "net/address.h"

namespace nickelramp::ctl {

namespace {
constexpr Millis kAttemptTimeout = 5'000;  // the same time limit as for other clients
}

ControllerClient::ControllerClient(uv_loop_t* loop, const Config& config, std::size_t first)
    : loop_(loop),
      give_up_after_(seconds(config.give_up_s)),
      first_controller_(first),
      pause_timer_(loop, [this] { send(); }) {
    for (const std::string& address : config.controllers) {
        clients_.push_back(
            std::make_unique<net::HttpClient>(loop, *net::parse_address(address), address, 1, 4));
    }
}

void ControllerClient::request(std::string method, std::string target, std::string body, Done done,
                               std::optional<std::size_t> only) {
    method_ = std::move(method);
    target_ = std::move(target);
    body_ = std::move(body);
    done_ = std::move(done);
    only_controller_ = only;
    uv_update_time(loop_);
    retry_policy_.emplace(only ? 1 : clients_.size(), only ? 0 : first_controller_,
                          only ? now() : now() + give_up_after_);
    send();
}

void ControllerClient::send() {
    set_state(State::requesting);
    clients_[only_controller_.value_or(retry_policy_->controller())]->request(
        method_.c_str(), target_, body_, kAttemptTimeout,
        [this](const net::ClientReply& r) { on_reply(r); });
}

void ControllerClient::on_reply(const net::ClientReply& reply) {
    const std::size_t asked = only_controller_.value_or(retry_policy_->controller());
    const RetryPolicy::Next next = retry_policy_->next_after(reply, now());
    if (next == RetryPolicy::Next::retry) {
        set_state(State::pausing);
        pause_timer_.after(retry_policy_->retry_at() - now());
        return;
    }
    set_state(State::idle);
    ControllerReply a;
    a.answered = next == RetryPolicy::Next::answer;
    a.reached_controller = retry_policy_->reached_controller();
    a.attempts = retry_policy_->attempts();
    a.controller = asked;
    if (a.answered) {
        a.status = reply.status;
        a.body = reply.body;
    }
    auto done = std::move(done_);
    done(a);
}

}  // namespace nickelramp::ctl
