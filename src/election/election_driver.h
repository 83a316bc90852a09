/// @file
/// Runs an election on libuv. Sends its requests through the key-value store's client and schedules
/// its wake-ups with a timer.
#pragma once
#include <uv.h>

#include <cstdint>
#include <string>

#include "election/election.h"
#include "kvstore/client.h"
#include "net/timer.h"

namespace nickelramp::election {

/// Owned by the controller; runs on the event loop's thread. See Election for its guarantees.
class ElectionDriver : private ElectionStore {
  public:
    /// `client` and `observer` must outlive the driver.
    ElectionDriver(uv_loop_t* loop, kvstore::Client& client, std::string name, std::uint64_t seed,
                   ElectionObserver& observer);

    void start() { election_.start(); }
    /// Gives up leadership and does not campaign again for `backoff`.
    void step_down(const std::string& reason, Millis backoff) {
        election_.step_down(reason, backoff, now());
    }
    [[nodiscard]] ElectionState state() const { return election_.state(); }
    [[nodiscard]] const std::string& leader() const { return election_.leader(); }
    [[nodiscard]] std::uint64_t lease_id() const { return election_.lease_id(); }
    [[nodiscard]] Millis lease_valid_until() const { return election_.lease_valid_until(); }

  private:
    void list(const std::string& prefix, ListDone done) override;
    void watch(const std::string& prefix, std::uint64_t after, Millis wait, ListDone done) override;
    void get(const std::string& key, GetDone done) override;
    void commit(const kvstore::Transaction& transaction, CommitDone done) override;
    void grant_lease(Millis ttl, LeaseDone done) override;
    void renew_lease(std::uint64_t lease_id, LeaseDone done) override;
    void revoke_lease(std::uint64_t lease_id) override;

    void run_due_work();
    void schedule_wake_up(Millis at);
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    kvstore::Client& client_;
    Millis wake_up_at_ = kNever;
    net::Timer timer_;
    Election election_;
};

}  // namespace nickelramp::election
