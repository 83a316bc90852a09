/// @file
/// The key-value store of the simulations of users' requests. Simulated time advances only in
/// run_until().
#pragma once
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "base/time.h"
#include "kvstore/types.h"
#include "tests/trace.h"

namespace nickelramp::test {

/// The key-value store, with faults set by the test. The sequence of events is determined by the
/// seed.
struct SimulatedStore {
    Trace trace;
    struct Change {
        std::uint64_t revision;
        std::string key;
        wire::Json value;
        bool deleted = false;
    };
    std::mt19937_64 random;
    Millis now = 0;
    std::multimap<Millis, std::function<void()>> queue;
    std::vector<Change> log;
    std::map<std::string, std::pair<wire::Json, std::uint64_t>> keys;
    std::uint64_t revision = 10;
    std::size_t retained_changes = 10'000;   ///< latest ones kept; reads of earlier ones fail
    std::size_t max_value_bytes = 8 * 1024;  ///< as JSON; a transaction with more is malformed
    double failure_rate = 0;
    double slow_reply_rate = 0;  ///< of the calls: the reply arrives after the timeout
    double late_write_rate = 0;  ///< of the transactions: executed seconds later, without a reply
    double lost_reply_rate = 0;  ///< of the transactions: executed at once, without a reply
    bool down = false;           ///< unavailable to all controllers
    Millis get_reply_delay = 0;  ///< from the execution of a get to its reply; 0: random
    std::size_t reads = 0, writes_applied_late = 0, replies_lost = 0;  ///< counts so far
    std::size_t controllers = 0;                                       ///< constructed so far

    void at(Millis time, std::function<void()> event) { queue.emplace(time, std::move(event)); }
    Millis random_delay(Millis max) {
        return 1 + static_cast<Millis>(random() % static_cast<unsigned>(max));
    }
    bool chance(double probability) {
        return std::uniform_real_distribution<double>(0, 1)(random) < probability;
    }
    /// Writes the record of a job with three tasks. `final`: its final status, or null.
    void set_job_record(const std::string& id, const char* final);
    /// Advances the time and runs what is due on the way.
    void run_until(Millis time);
    bool has_too_long_value(const kvstore::Transaction& transaction) const;
    /// Applies a transaction at once.
    kvstore::CommitReply apply(const kvstore::Transaction& transaction);
    /// Returns the changes under the prefix after the revision.
    kvstore::ListReply changes(const std::string& prefix, std::uint64_t after);
    /// Executes a controller's call after a delay and replies after another delay, or fails the
    /// call. `rejected`: the store rejects all calls of this controller. `reply_delay`: from the
    /// execution to the reply; 0: random.
    template <typename Reply>
    void call(bool rejected, Millis timeout, std::function<Reply()> execute,
              std::function<void(Millis, const Reply&)> done, Millis reply_delay = 0) {
        ++reads;
        Reply failed;
        failed.status = kvstore::Status::refused;
        if (rejected || down) {
            at(now + random_delay(10), [this, failed, done] { done(now, failed); });
            return;
        }
        if (chance(slow_reply_rate)) {
            at(now + timeout, [this, done] { done(now, Reply{}); });
            return;
        }
        if (chance(failure_rate)) {
            if (random() % 2 == 0) failed.status = kvstore::Status::unknown;
            at(now + random_delay(timeout), [this, failed, done] { done(now, failed); });
            return;
        }
        at(now + random_delay(40), [this, execute, done, reply_delay, deadline = now + timeout] {
            const Reply reply = execute();
            const Millis arrival =
                now + (reply_delay > 0 ? reply_delay : random_delay(random() % 10 == 0 ? 400 : 40));
            if (arrival < deadline)
                at(arrival, [this, reply, done] { done(now, reply); });
            else
                at(std::max(now, deadline), [this, done] { done(now, Reply{}); });
        });
    }
    /// Executes a transaction of a controller, late or without a reply at random.
    void commit(bool rejected, const kvstore::Transaction& transaction, Millis timeout,
                std::function<void(Millis, const kvstore::CommitReply&)> done);
    /// Replies with the first changes, or at the deadline. Stays open while the store is down.
    void watch(const std::string& prefix, std::uint64_t after, Millis deadline,
               std::function<void(Millis, const kvstore::ListReply&)> done);
};

}  // namespace nickelramp::test
