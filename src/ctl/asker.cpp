#include "ctl/asker.h"

#include "net/address.h"

namespace nickelramp::ctl {

namespace {
constexpr Millis kWait = 5'000;  // for one answer, as users wait for one
}

Asker::Asker(uv_loop_t* loop, const Config& config, std::size_t first)
    : loop_(loop),
      give_up_(seconds(config.give_up_s)),
      first_(first),
      pause_(loop, [this] { send(); }) {
    for (const std::string& address : config.controllers) {
        clients_.push_back(
            std::make_unique<net::HttpClient>(loop, *net::parse_address(address), address, 1, 4));
    }
}

void Asker::ask(std::string method, std::string target, std::string body, Done done,
                std::optional<std::size_t> only) {
    method_ = std::move(method);
    target_ = std::move(target);
    body_ = std::move(body);
    done_ = std::move(done);
    only_ = only;
    uv_update_time(loop_);
    tries_.emplace(only ? 1 : clients_.size(), only ? 0 : first_, only ? now() : now() + give_up_);
    send();
}

void Asker::send() {
    set_state(State::asking);
    clients_[only_.value_or(tries_->controller())]->request(
        method_.c_str(), target_, body_, kWait, [this](const net::Reply& r) { on_reply(r); });
}

void Asker::on_reply(const net::Reply& reply) {
    const std::size_t asked = only_.value_or(tries_->controller());
    const Tries::Next next = tries_->after(reply, now());
    if (next == Tries::Next::again) {
        set_state(State::pausing);
        pause_.after(tries_->at() - now());
        return;
    }
    set_state(State::idle);
    Answer a;
    a.given = next == Tries::Next::answer;
    a.reached = tries_->reached();
    a.tries = tries_->made();
    a.controller = asked;
    if (a.given) {
        a.status = reply.status;
        a.body = reply.body;
    }
    auto done = std::move(done_);
    done(a);
}

}  // namespace nickelramp::ctl
