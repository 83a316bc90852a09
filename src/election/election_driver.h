// Runs an election on libuv: its calls go to the state service's client, its dates to a timer.
#pragma once
#include <string>

#include "election/election.h"
#include "net/timer.h"

namespace nickelramp::election {

class ElectionDriver : private ElectionStore {
  public:
    // `hooks.wake` is the runner's own.
    ElectionDriver(uv_loop_t* loop, kvstore::Client& state, std::string node, std::uint64_t seed,
                   Election::Hooks hooks);

    void start() { election_.start(); }
    void step_down(const std::string& why, Millis rest) { election_.step_down(why, rest, now()); }
    ElectionState state() const { return election_.state(); }
    const std::string& leader() const { return election_.leader(); }
    std::uint64_t lease_id() const { return election_.lease_id(); }
    Millis lease_valid_until() const { return election_.lease_valid_until(); }

  private:
    void list(const std::string& prefix,
              std::function<void(Millis, const kvstore::ListReply&)> done) override;
    void watch(const std::string& prefix, std::uint64_t after, Millis wait,
               std::function<void(Millis, const kvstore::ListReply&)> done) override;
    void get(const std::string& key,
             std::function<void(Millis, const kvstore::GetReply&)> done) override;
    void commit(const kvstore::Transaction& transaction,
                std::function<void(Millis, const kvstore::CommitReply&)> done) override;
    void grant_lease(Millis life,
                     std::function<void(Millis, const kvstore::LeaseReply&)> done) override;
    void renew_lease(std::uint64_t hold,
                     std::function<void(Millis, const kvstore::LeaseReply&)> done) override;
    void revoke_lease(std::uint64_t hold) override { client_.revoke_lease(hold); }
    void schedule_wake_up(Millis at);
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    kvstore::Client& client_;
    Millis wake_at_ = kNever;
    net::Timer timer_;
    Election election_;
};

}  // namespace nickelramp::election
