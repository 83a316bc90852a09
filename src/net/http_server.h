// HTTP/1.1 server on libuv and http-parser: keep-alive, one request at a time per connection,
// bounded bodies, bounded connections.
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
    // It came after an answer 200 to the one before it on this connection: requests are not
    // pipelined, so that answer has arrived.
    bool follows_ok_reply = false;
    std::uint64_t followed_reply_tag = 0;  // of that answer
    std::string local_ip = "";             // that it came to, where the server was asked to tell
};

struct Response {
    int status = 200;
    std::string body;
    int retry_after_s = 0;  // sent as Retry-After when positive
    const char* type = "application/cbor";
    // Of an answer 200: comes back in the next request of the connection.
    std::uint64_t tag = 0;
    bool close = false;  // the connection ends with it
};

class Connection;

// Who is at the other end, as far as its requests have shown.
enum class PeerKind { other, worker };

// Answers one request; may be kept and used later. Answering a closed connection does nothing.
class Responder {
  public:
    Responder() = default;
    explicit Responder(std::weak_ptr<Connection> c) : connection_(std::move(c)) {}
    void send(const Response& response) const;
    void operator()(const Response& response) const { send(response); }
    // From now on the connection counts as such a client's. True if it did not before.
    bool classify(PeerKind client) const;

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

    int listen(const sockaddr_in& address);  // 0 or a libuv error
    // Requests name the address that they came to. For servers that listen on all addresses.
    void report_local_ip() { reports_local_ip_ = true; }
    std::size_t connections() const { return connections_.size(); }
    std::size_t worker_connections() const { return worker_connections_; }

  private:
    friend class Connection;
    void accept();
    void remove_connection(Connection* c);
    void update_counts(PeerKind before, PeerKind after);
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
