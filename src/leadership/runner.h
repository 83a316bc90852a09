// Runs an election on libuv: its calls go to the state service's client, its dates to a timer.
#pragma once
#include <string>

#include "leadership/term.h"
#include "net/timer.h"

namespace nickelramp::leadership {

class Runner : private Store {
  public:
    // `hooks.wake` is the runner's own.
    Runner(uv_loop_t* loop, state::Client& state, std::string node, std::uint64_t seed,
           Election::Hooks hooks);

    void start() { election_.start(); }
    void step_down(const std::string& why, Millis rest) { election_.step_down(why, rest, now()); }
    State state() const { return election_.state(); }
    const std::string& leader() const { return election_.leader(); }
    std::uint64_t hold() const { return election_.hold(); }
    Millis certain_until() const { return election_.certain_until(); }

  private:
    void list(const std::string& prefix,
              std::function<void(Millis, const state::ListReply&)> done) override;
    void watch(const std::string& prefix, std::uint64_t after, Millis wait,
               std::function<void(Millis, const state::ListReply&)> done) override;
    void get(const std::string& key,
             std::function<void(Millis, const state::GetReply&)> done) override;
    void commit(const state::Txn& txn,
                std::function<void(Millis, const state::CommitReply&)> done) override;
    void lease(Millis life, std::function<void(Millis, const state::LeaseReply&)> done) override;
    void renew(std::uint64_t hold,
               std::function<void(Millis, const state::LeaseReply&)> done) override;
    void end_lease(std::uint64_t hold) override { client_.end_lease(hold); }
    void wake(Millis at);
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    state::Client& client_;
    Millis wake_at_ = kNever;
    net::Timer timer_;
    Election election_;
};

}  // namespace nickelramp::leadership
