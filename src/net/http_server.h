/// @file
/// HTTP/1.1 server on libuv and http-parser with keep-alive connections. It handles one request at
/// a time per connection and limits the size of requests and the number of connections.
#pragma once
#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/time.h"

namespace nickelramp::net {

struct Request {
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    /// Whether the previous request on this connection was answered with status 200 before this one
    /// arrived. As clients do not pipeline requests, the client has then received that reply.
    bool follows_ok_reply = false;
    std::uint64_t followed_reply_tag = 0;  ///< tag of that reply, or 0
    std::string local_ip = "";  ///< address it arrived at; empty without report_local_ip()
};

struct Response {
    int status = 200;
    std::string body;
    int retry_after_s = 0;  ///< sent as Retry-After if positive
    const char* type = "application/cbor";
    /// Only with status 200: passed to the handler as followed_reply_tag of the connection's next
    /// request.
    std::uint64_t tag = 0;
    bool close = false;  ///< close the connection after this response
};

class Connection;

/// The kind of client at the other end of a connection, as far as its requests have shown.
enum class ClientKind { other, worker };

/// Sends the response to one request, immediately or later. Does nothing if the connection is
/// closed.
class Responder {
  public:
    Responder() = default;
    explicit Responder(std::weak_ptr<Connection> c) : connection_(std::move(c)) {}
    void send(const Response& response) const;
    void operator()(const Response& response) const { send(response); }
    /// Sets the kind of client that the connection is counted under. Returns whether it has
    /// changed.
    bool classify(ClientKind client) const;

  private:
    std::weak_ptr<Connection> connection_;
};

class HttpServer {
  public:
    using Handler = std::function<void(const Request&, Responder)>;
    HttpServer(uv_loop_t* loop, std::size_t max_connections, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Returns 0 or a libuv error.
    int listen(const sockaddr_in& address);
    /// Enables Request::local_ip. For servers that listen on all addresses.
    void report_local_ip() { reports_local_ip_ = true; }
    std::size_t connections() const { return connections_.size(); }
    std::size_t worker_connections() const { return worker_connections_; }

  private:
    friend class Connection;
    void accept();
    void remove_connection(Connection* c);
    void update_counts(ClientKind before, ClientKind after);
    void close_idle_connections();

    uv_loop_t* loop_;
    uv_tcp_t* listener_;
    std::size_t max_connections_;
    bool reports_local_ip_ = false;
    std::size_t worker_connections_ = 0;
    Handler handler_;
    std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
};

}  // namespace nickelramp::net
