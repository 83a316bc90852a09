/// @file
/// Emulates the state service on loopback, for tests and scale runs. It implements the service's
/// HTTP protocol (conditional transactions, leases, watches, rate limits), injects faults, and
/// keeps all data in memory. The protocol calls leases "holds".
#pragma once
#include <uv.h>

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "emulator/request_repeater.h"
#include "net/http_server.h"
#include "net/timer.h"
#include "wire/cbor.h"

namespace nickelramp::emulator {

/// Token bucket that holds the tokens of one second. A rate of 0 is no limit.
class RateLimit {
  public:
    explicit RateLimit(double per_s) : per_s_(per_s), available_(per_s) {}
    /// Takes `n` tokens.
    /// @return false if fewer than `n` are available; then none is taken.
    bool try_acquire(double n, Millis now);

  private:
    double per_s_, available_;
    Millis refilled_at_ = 0;
};

/// The state service: a versioned key-value store behind an HTTP server.
class StateServiceEmulator {
  public:
    /// Rates of 0 stand for no limit.
    struct Limits {
        double requests_per_s = 0, changes_per_s = 0;
        std::size_t max_connections = 64;
        double repeated_requests = 0;  ///< share of changing requests that arrive again
    };
    /// Totals since the start. `changes` counts the keys written or deleted by transactions.
    struct Counters {
        std::uint64_t requests = 0, changes = 0, refused = 0, transactions = 0;
        std::uint64_t bytes_in = 0, bytes_out = 0;
        std::map<std::string, std::uint64_t> changes_by_prefix;
    };
    StateServiceEmulator(uv_loop_t* loop, Limits limits);
    /// Listens on the address, without limits. Throws std::system_error if it cannot listen.
    StateServiceEmulator(uv_loop_t* loop, const std::string& address);
    /// @return 0 or a libuv error.
    int listen(const std::string& address);

    bool down = false;             ///< requests are answered 503, watches are kept open
    int requests_to_reject = 0;    ///< number of next requests to answer 429; watches are exempt
    bool drop_next_reply = false;  ///< applies the next transaction without replying
    std::size_t commits = 0;       ///< transactions received
    bool has(const std::string& key) const { return keys_.count(key) != 0; }
    /// Returns the value, an empty object if there is no such key.
    wire::Json value(const std::string& key) const;
    /// Ends a lease and deletes the keys attached to it.
    void expire_lease(std::uint64_t id);
    const Counters& counters() const { return counters_; }
    [[nodiscard]] std::uint64_t copies() const { return repeater_.delivered(); }
    /// Number of keys stored.
    std::size_t keys() const { return keys_.size(); }

  private:
    struct Entry {
        wire::Json value;
        std::uint64_t version = 0, lease_id = 0;  // revision of the last write; 0: no lease
    };
    struct Lease {
        Millis duration = 0, expires_at = 0;
    };
    struct Change {
        std::uint64_t revision = 0;
        std::string key;
    };
    struct Watch {
        std::string prefix;
        std::uint64_t after = 0;  // reports changes of later revisions
        Millis until = 0;
        net::Responder responder;
    };
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }
    void receive(const net::Request& request, const net::Responder& responder);
    void handle(const net::Request& request, const net::Responder& responder);
    void route(const net::Request& request, const net::Responder& responder);
    void reply(const net::Responder& responder, int status, const wire::Json& body);
    void open_watch(const net::Request& request, const net::Responder& responder);
    void commit(const wire::Json& body, const net::Responder& responder);
    void handle_leases(const net::Request& request, const net::Responder& responder);
    void list(const net::Request& request, const net::Responder& responder);
    // Appends the key to the log of changes that watches read.
    void changed(const std::string& key);
    void answer_watches();
    // Returns whether the watch was answered: it has changes or its time is over.
    bool answer_watch(const Watch& watch, bool timed_out);
    // Expires leases and answers watches that have timed out.
    void run_due_work();
    // Returns the key as the protocol encodes it: its value and version, or its deletion.
    wire::Json item(const std::string& key) const;

    uv_loop_t* loop_;
    net::HttpServer server_;
    net::Timer maintenance_timer_;
    RequestRepeater repeater_;
    RateLimit requests_, changes_;
    std::map<std::string, Entry> keys_;
    std::deque<Change> log_;  // the latest changes, oldest first
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 1, next_lease_id_ = 1, oldest_retained_revision_ = 0;
    std::vector<Watch> watches_;
    Counters counters_;
};

}  // namespace nickelramp::emulator
