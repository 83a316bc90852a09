// HTTP/1.1 client to one address: a few keep-alive connections, requests queued behind them.
#pragma once
#include <uv.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"

namespace nickelramp::net {

struct ClientReply {
    // `refused`: nothing reached the server. `unknown`: the request may have been, or may yet be,
    // executed.
    enum class Outcome { answered, refused, unknown };
    Outcome outcome = Outcome::unknown;
    int status = 0;
    std::string body;
    int retry_after_s = 0;  // what Retry-After says; 0: nothing

    bool ok() const { return outcome == Outcome::answered && status == 200; }
};

class ClientConnection;

class HttpClient {
  public:
    using Done = std::function<void(const ClientReply&)>;
    // Asked right before the bytes go out, however long the request was queued or its connection
    // took; when it says no, nothing is sent and the request is refused.
    using MaySend = std::function<bool()>;
    HttpClient(uv_loop_t* loop, sockaddr_in address, std::string host, std::size_t max_connections,
               std::size_t max_queue);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // `done` is called exactly once, never from inside this call, unless the client is destroyed.
    // Nothing is queued or under way; connections may be open.
    bool idle() const;
    void request(const char* method, const std::string& target, std::string body, Millis timeout,
                 Done done, MaySend may = {});

  private:
    friend class ClientConnection;
    struct Pending {
        std::string bytes;
        Millis deadline;
        Done on_reply;
        MaySend may_send;
    };
    void send_queued();
    void remove_connection(ClientConnection* c);
    void expire_queued();

    uv_loop_t* loop_;
    sockaddr_in address_;
    std::string host_;
    std::size_t max_connections_;
    std::size_t max_queue_;
    std::deque<Pending> queue_;
    std::vector<std::shared_ptr<ClientConnection>> connections_;
    uv_timer_t* timer_;
    bool sending_ = false;
};

}  // namespace nickelramp::net
