/// @file
/// HTTP/1.1 client for one server address. It uses a limited number of keep-alive connections and
/// queues further requests.
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
    enum class Outcome {
        answered,
        refused,  ///< nothing was sent to the server
        unknown,  ///< the request may have been executed, or may yet be
        too_long  ///< the body is longer than the limit; the request may have been executed
    };
    Outcome outcome = Outcome::unknown;
    int status = 0;
    std::string body;
    int retry_after_s = 0;  ///< from the Retry-After header, or 0 if there is none

    bool ok() const { return outcome == Outcome::answered && status == 200; }
};

class ClientConnection;

class HttpClient {
  public:
    using Done = std::function<void(const ClientReply&)>;
    /// Returns whether a request may still be sent. Called immediately before the request is
    /// written, regardless of how long it was queued or connecting took. If it returns false,
    /// nothing is sent and the outcome is `refused`.
    using MaySend = std::function<bool()>;
    /// @param host value of the Host header
    HttpClient(uv_loop_t* loop, sockaddr_in address, std::string host, std::size_t max_connections,
               std::size_t max_queue);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    /// Returns whether no request is queued or in progress. Connections may be open.
    bool idle() const;
    /// Sends or queues a request. `done` is called exactly once and never from inside this call. It
    /// is not called after the client has been destroyed.
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
