// Runs the answers to users on libuv: their reads go to the state service's client, their dates to
// a timer.
#pragma once
#include <string>

#include "jobs/answers.h"
#include "net/timer.h"
#include "wire/settings.h"

namespace nickelramp::jobs {

class Confirmed : private Records {
  public:
    Confirmed(uv_loop_t* loop, state::Client& state, const wire::Settings& settings);

    void ask(const std::string& id, Millis patience, Answers::Done done) {
        answers_.ask(id, patience, std::move(done), now());
    }
    bool knows(const std::string& id) const { return answers_.knows(id); }
    void tend() { answers_.tend(now()); }

  private:
    void changes(const std::string& prefix, std::uint64_t after,
                 std::function<void(Millis, const state::ListReply&)> done) override;
    void get(const std::string& key,
             std::function<void(Millis, const state::GetReply&)> done) override;
    void revision(std::function<void(Millis, const state::ListReply&)> done) override;
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    state::Client& client_;
    net::Timer timer_;
    Answers answers_;
};

}  // namespace nickelramp::jobs
