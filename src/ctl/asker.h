// Asks the controllers over HTTP, as PROTOCOL tells users to: any of them, again after a pause when
// there is no answer, for a while.
#pragma once
#include <uv.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "ctl/config.h"
#include "ctl/tries.h"
#include "net/http_client.h"
#include "net/timer.h"

namespace nickelramp::ctl {

struct Answer {
    bool given = false;  // false: nobody answered in time
    bool reached = false;
    int status = 0;
    std::string body;
    std::size_t tries = 0;
    std::size_t controller = 0;  // who gave it
};

class Asker {
  public:
    using Done = std::function<void(const Answer&)>;
    Asker(uv_loop_t* loop, const Config& config, std::size_t first);

    // One at a time. `only`: this controller and no other, once.
    void ask(std::string method, std::string target, std::string body, Done done,
             std::optional<std::size_t> only = {});
    bool idle() const { return state_ == State::idle; }
    std::size_t controllers() const { return clients_.size(); }

  private:
    enum class State { idle, asking, pausing };
    void set_state(State s) { state_ = s; }
    void send();
    void on_reply(const net::Reply& reply);
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    Millis give_up_;
    std::size_t first_;
    std::vector<std::unique_ptr<net::HttpClient>> clients_;
    net::Timer pause_;
    State state_ = State::idle;
    std::string method_, target_, body_;
    std::optional<std::size_t> only_;
    std::optional<Tries> tries_;
    Done done_;
};

}  // namespace nickelramp::ctl
