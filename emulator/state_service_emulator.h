// Emulates the state service on loopback, by the published protocol: keys, conditions, holds,
// watches and limits, and the faults that it may have. For tests and scale runs; it keeps
// everything in memory.
#pragma once
#include <uv.h>

#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"
#include "net/http_server.h"
#include "net/timer.h"
#include "wire/cbor.h"

namespace nickelramp::emulator {

// Requests or changes a second, with bursts of one second's worth. 0: no limit.
class RateLimit {
  public:
    explicit RateLimit(double per_s) : per_s_(per_s), left_(per_s) {}
    bool take(double n, Millis now);

  private:
    double per_s_, left_;
    Millis filled_at_ = 0;
};

class StateServiceEmulator {
  public:
    struct Limits {
        double requests_per_s = 0, changes_per_s = 0;
        std::size_t most_connections = 64;
    };
    // What was asked of it.
    struct Counters {
        std::uint64_t requests = 0, changes = 0, refused = 0, transactions = 0;
        std::uint64_t bytes_in = 0, bytes_out = 0;
        std::map<std::string, std::uint64_t> changes_by_prefix;
    };
    StateServiceEmulator(uv_loop_t* loop, Limits limits);
    StateServiceEmulator(uv_loop_t* loop, int port);
    // 0 or a libuv error.
    int listen(const std::string& address);

    bool down = false;          // everything gets 503; watches wait
    int too_many = 0;           // so many requests are answered 429
    bool swallow_next = false;  // the next transaction is applied, but nobody is told
    std::size_t commits = 0;
    bool has(const std::string& key) const { return keys_.count(key) != 0; }
    wire::Json value(const std::string& key) const;
    void expire_lease(std::uint64_t id);
    const Counters& counters() const { return counters_; }
    std::size_t keys() const { return keys_.size(); }

  private:
    struct Entry {
        wire::Json value;
        std::uint64_t version = 0, lease_id = 0;
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
        std::uint64_t after = 0;
        Millis until = 0;
        net::Responder responder;
    };
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }
    void handle(const net::Request& request, const net::Responder& responder);
    void route(const net::Request& request, const net::Responder& responder);
    void reply(const net::Responder& responder, int status, const wire::Json& body);
    void open_watch(const net::Request& request, const net::Responder& responder);
    void commit(const wire::Json& body, const net::Responder& responder);
    void handle_leases(const net::Request& request, const net::Responder& responder);
    void list(const net::Request& request, const net::Responder& responder);
    void changed(const std::string& key);
    void answer_watches();
    bool answer_watch(const Watch& watch, bool over);
    void run_due_work();
    wire::Json item(const std::string& key) const;

    uv_loop_t* loop_;
    net::HttpServer server_;
    net::Timer tend_timer_;
    RateLimit requests_, changes_;
    std::map<std::string, Entry> keys_;
    std::deque<Change> log_;
    std::map<std::uint64_t, Lease> leases_;
    std::uint64_t revision_ = 1, next_lease_id_ = 1, oldest_retained_revision_ = 0;
    std::vector<Watch> watches_;
    Counters counters_;
};

}  // namespace nickelramp::emulator
