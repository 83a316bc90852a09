/// @file
/// HTTP/1.1 client on libuv and http-parser.
#pragma once
#include <uv.h>

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/time.h"
#include "net/uv_handle.h"

namespace nickelramp::net {

/// What came of a request.
struct ClientReply {
    /// refused: nothing reached the server. unknown: the server may have executed the request, or
    /// may yet do so.
    enum class Outcome { answered, refused, unknown };
    Outcome outcome = Outcome::unknown;
    /// With `answered`.
    int status = 0;
    std::string body;
    /// The reply's Retry-After in seconds; 0: none. Read of replies with status 400 and above.
    int retry_after_s = 0;

    bool ok() const { return outcome == Outcome::answered && status == 200; }
};

/// Sends requests to one address, on a few keep-alive connections with one request at a time each;
/// further requests are queued. Used for the key-value store, the cloud and workers, and by
/// nickelrampctl and the emulators. To be used on the loop's thread only.
class HttpClient {
  public:
    using Done = std::function<void(const ClientReply&)>;
    /// Asked right before the bytes go out, however long the request was queued or its connection
    /// took. If it says no, nothing is sent and the request is refused.
    using MaySend = std::function<bool()>;

    /// `host` is sent as the Host header.
    HttpClient(uv_loop_t* loop, sockaddr_in address, std::string host, std::size_t max_connections,
               std::size_t max_queue);
    /// Requests under way are dropped; their `done` is not called.
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// True if nothing is queued or under way; connections may be open.
    bool idle() const;
    /// `done` is called once, by the timeout (milliseconds) or little later, and never from inside
    /// this call. A request beyond the length of the queue is refused.
    void request(const char* method, const std::string& target, const std::string& body,
                 Millis timeout, Done done, MaySend may_send = {});

  private:
    class Connection;
    struct Pending {
        std::string bytes;
        Millis deadline;  // 0: to be refused at once
        Done done;
        MaySend may_send;
    };
    void send_queued();
    void send_next();
    Connection* idle_connection() const;
    void remove_connection(Connection* connection);
    void check_deadlines();
    std::vector<Done> take_expired(Millis now);
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    sockaddr_in address_;
    std::string host_;
    std::size_t max_connections_;
    std::size_t max_queue_;
    std::deque<Pending> queue_;
    std::vector<std::shared_ptr<Connection>> connections_;
    UvHandle<uv_timer_t> deadline_timer_;  // runs while anything is queued or under way
    bool sending_ = false;
};

}  // namespace nickelramp::net
