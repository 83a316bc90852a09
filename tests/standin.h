// A stand-in for the state service on loopback, by the published protocol: keys, conditions, holds
// and watches, and the troubles that it may have.
#pragma once
#include <uv.h>

#include <map>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "wire/cbor.h"

namespace nickelramp::test {

class StateStandin {
  public:
    StateStandin(uv_loop_t* loop, int port);

    bool down = false;          // everything gets 503; watches wait
    int too_many = 0;           // so many requests are answered 429
    bool swallow_next = false;  // the next transaction is applied, but nobody is told
    std::size_t commits = 0;
    bool has(const std::string& key) const { return keys_.count(key) != 0; }
    wire::Json value(const std::string& key) const {
        auto it = keys_.find(key);
        return it == keys_.end() ? wire::Json::object() : it->second.value;
    }
    void end_hold(std::uint64_t id);

  private:
    struct Entry {
        wire::Json value;
        std::uint64_t version = 0, hold = 0;
    };
    struct Watch {
        std::string prefix;
        std::uint64_t after;
        net::Responder responder;
        bool at_once = false;
    };
    void handle(const net::Request& request, net::Responder responder);
    void commit(const wire::Json& body, const net::Responder& responder);
    void changed(const std::string& key);
    void answer_watches();
    wire::Json item(const std::string& key) const;

    net::HttpServer server_;
    std::map<std::string, Entry> keys_;
    std::vector<std::pair<std::uint64_t, std::string>> log_;
    std::map<std::uint64_t, bool> holds_;
    std::uint64_t epoch_ = 1, next_hold_ = 1;
    std::vector<Watch> watches_;
};

// Runs the loop until the condition holds; false if it never does.
bool run_until(uv_loop_t* loop, const std::function<bool()>& condition);

}  // namespace nickelramp::test
