// Runs the answers to users on libuv: what they ask of the state service goes to its client, their
// dates to a timer.
#pragma once
#include <string>

#include "jobs/answers.h"
#include "jobs/records.h"
#include "net/timer.h"
#include "wire/settings.h"

namespace nickelramp::jobs {

class Confirmed : private Records {
  public:
    Confirmed(uv_loop_t* loop, state::Client& state, const wire::Settings& settings);

    Records& records() { return *this; }
    Answers& answers() { return answers_; }
    void tend() { answers_.tend(now()); }

  private:
    void get(const std::string& key, Millis wait, Done<state::GetReply> done) override;
    void changes(const std::string& prefix, std::uint64_t after,
                 Done<state::ListReply> done) override;
    void revision(Done<state::ListReply> done) override;
    void commit(const state::Txn& txn, Millis wait, Done<state::CommitReply> done) override;
    void watch(const std::string& prefix, std::uint64_t after, Millis wait,
               Done<state::ListReply> done) override;
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    state::Client& client_;
    net::Timer timer_;
    Answers answers_;
};

}  // namespace nickelramp::jobs
