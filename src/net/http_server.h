/// @file
/// HTTP/1.1 server on libuv and http-parser.
#pragma once
#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include "base/time.h"
#include "net/uv_handle.h"

namespace nickelramp::net {

struct Request {
    std::string method;
    std::string path;
    /// What follows the question mark.
    std::string query;
    std::string body;
    /// It came after a response with status 200 to the request before it on this connection.
    /// Requests are not pipelined, so that the client has received that response.
    bool follows_ok_reply = false;
    /// The tag of that response.
    std::uint64_t followed_reply_tag = 0;
    /// The address that it came to, if the server was asked to report it.
    std::string local_ip = "";
};

struct Response {
    int status = 200;
    std::string body;
    /// Sent as Retry-After if positive.
    int retry_after_s = 0;
    /// The content type.
    const char* type = "application/cbor";
    /// Of a response with status 200: returned as Request::followed_reply_tag of the connection's
    /// next request. It is not sent.
    std::uint64_t tag = 0;
    /// Close the connection after it.
    bool close = false;
};

/// Who is at the other end of a connection, as far as its requests have shown.
enum class PeerKind { other, worker };

class Responder;

/// Serves HTTP/1.1 with keep-alive, one request at a time per connection. Connections, bodies (64
/// KiB), targets (4 KiB) and headers (16 KiB) are bounded: at the limit, new connections are closed
/// unless one has been idle for long; larger requests are answered with 413, 414 or 431; what is no
/// HTTP closes the connection. Used by the controller, and by emulators and tests. To be used on
/// the loop's thread only.
class HttpServer {
  public:
    /// Called with each request. The responder may be kept and used later.
    using Handler = std::function<void(const Request&, Responder)>;
    class Connection;  // internal

    HttpServer(uv_loop_t* loop, std::size_t max_connections, Handler handler);
    /// Closes all connections.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// 0 or a libuv error.
    [[nodiscard]] int listen(const sockaddr_in& address);
    /// Requests name the address that they came to. For servers that listen on all addresses.
    void report_local_ip() { reports_local_ip_ = true; }
    std::size_t connections() const { return connections_.size(); }
    std::size_t worker_connections() const { return worker_connections_; }

  private:
    void accept();
    void remove_connection(Connection* connection);
    void update_counts(PeerKind before, PeerKind after);
    void close_idle_connection();

    uv_loop_t* loop_;
    UvHandle<uv_tcp_t> listener_;
    std::size_t max_connections_;
    bool reports_local_ip_ = false;
    std::size_t worker_connections_ = 0;
    Handler handler_;
    std::unordered_map<Connection*, std::shared_ptr<Connection>> connections_;
};

/// Sends the response to one request. Does nothing if the connection is closed by then.
class Responder {
  public:
    Responder() = default;
    explicit Responder(std::weak_ptr<HttpServer::Connection> connection)
        : connection_(std::move(connection)) {}
    void send(const Response& response) const;
    void operator()(const Response& response) const { send(response); }
    /// The connection counts as one of such a peer from now on. True if it did not before.
    bool classify(PeerKind peer) const;

  private:
    std::weak_ptr<HttpServer::Connection> connection_;
};

}  // namespace nickelramp::net
