#include "net/http_server.h"

#include <http_parser.h>

#include <utility>

#include "net/stream.h"

namespace nickelramp::net {

namespace {
constexpr std::size_t kMaxBodyBytes = std::size_t{64} * 1024;
constexpr std::size_t kMaxTargetBytes = 4096;
constexpr std::size_t kMaxHeaderBytes = std::size_t{16} * 1024;
constexpr int kListenBacklog = 256;
constexpr std::uint64_t kMinIdleMilliseconds = 30'000;  // before a connection may be replaced

constexpr int kOk = 200, kContentTooLarge = 413, kTargetTooLong = 414, kHeadersTooLarge = 431;

const char* reason_phrase(int status) { return http_status_str(static_cast<http_status>(status)); }

std::string encode_head(const Response& response, bool closes) {
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " " +
                       reason_phrase(response.status) + "\r\nContent-Type: " + response.type +
                       "\r\nContent-Length: " + std::to_string(response.body.size()) + "\r\n";
    if (response.retry_after_s > 0)
        head += "Retry-After: " + std::to_string(response.retry_after_s) + "\r\n";
    if (closes) head += "Connection: close\r\n";
    return head + "\r\n";
}
}  // namespace

/// One connection of a client. `reading` a request; `handling` it until the response is sent;
/// `closing` for good.
class HttpServer::Connection : public std::enable_shared_from_this<HttpServer::Connection> {
  public:
    enum class State { reading, handling, closing };

    explicit Connection(HttpServer* server) : server_(server), stream_(server->loop_) {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
    }

    uv_stream_t* handle() { return stream_.handle(); }

    void start() {
        last_active_ = uv_now(server_->loop_);
        if (server_->reports_local_ip_) local_ip_ = stream_.local_ip();
        stream_.read(this);
    }

    void send(const Response& response) {
        if (state_ != State::handling) return;
        auto keep_alive = shared_from_this();
        close_after_ |= response.close;
        write(encode_head(response, close_after_) + response.body, close_after_);
        if (close_after_) return;
        set_state(State::reading);
        request_ = Request{};
        // A request that came before the response went out does not follow it.
        request_.follows_ok_reply = response.status == kOk && backlog_.empty();
        request_.followed_reply_tag = request_.follows_ok_reply ? response.tag : 0;
        header_bytes_ = 0;
        http_parser_pause(&parser_, 0);
        if (!backlog_.empty()) {
            const std::string received = std::exchange(backlog_, {});
            feed(received.data(), received.size());
        }
    }

    void close() {
        if (state_ == State::closing) return;
        set_state(State::closing);
        stream_.close();
        server_->remove_connection(this);  // may delete this
    }

    std::uint64_t last_active() const { return last_active_; }
    PeerKind peer() const { return peer_; }

    bool classify(PeerKind peer) {
        if (peer_ == peer) return false;
        server_->update_counts(peer_, peer);
        peer_ = peer;
        return true;
    }

    // Called by Stream. A negative size says that the connection has ended.
    void on_bytes(const char* data, ssize_t size) {
        if (size < 0) {
            close();
            return;
        }
        const auto bytes = static_cast<std::size_t>(size);
        last_active_ = uv_now(server_->loop_);
        if (state_ != State::handling) {
            feed(data, bytes);
            return;
        }
        // Requests are not to be pipelined; one that comes early is kept, more is broken HTTP.
        if (backlog_.size() + bytes > kMaxBodyBytes + kMaxHeaderBytes) {
            close();
            return;
        }
        backlog_.append(data, bytes);
    }

  private:
    void set_state(State state) { state_ = state; }

    void write(std::string data, bool last) {
        const bool sent = stream_.write(weak_from_this(), std::move(data),
                                        [last](Connection& connection, int status, std::size_t) {
                                            if (status < 0 || last) connection.close();
                                        });
        if (!sent) close();
    }

    // Responds to a request that cannot be served, and closes.
    void refuse(int status) {
        close_after_ = true;
        set_state(State::handling);
        send(Response{status, "", 0, "application/cbor"});
    }

    void feed(const char* data, std::size_t size) {
        const std::size_t used = http_parser_execute(&parser_, &parser_settings(), data, size);
        if (refusal_status_ != 0) {
            refuse(refusal_status_);
            return;
        }
        const auto error = HTTP_PARSER_ERRNO(&parser_);
        if (error == HPE_HEADER_OVERFLOW) {
            refuse(kHeadersTooLarge);
            return;
        }
        const bool is_http = error == HPE_OK || error == HPE_PAUSED;
        if (!is_http || parser_.upgrade) {
            close();
            return;
        }
        if (!complete_) return;
        if (used < size) backlog_.assign(data + used, size - used);
        handle_request();
    }

    void handle_request() {
        complete_ = false;
        const auto question_mark = target_.find('?');
        request_.method = http_method_str(static_cast<http_method>(parser_.method));
        request_.path = target_.substr(0, question_mark);
        request_.query =
            question_mark == std::string::npos ? "" : target_.substr(question_mark + 1);
        target_.clear();
        request_.local_ip = local_ip_;
        close_after_ = http_should_keep_alive(&parser_) == 0;
        set_state(State::handling);
        server_->handler_(request_, Responder(weak_from_this()));
    }

    // The parser's callbacks; any value but 0 makes it stop.

    static Connection& connection_of(http_parser* parser) {
        return *static_cast<Connection*>(parser->data);
    }

    static int on_target(http_parser* parser, const char* data, std::size_t size) {
        Connection& connection = connection_of(parser);
        connection.target_.append(data, size);
        return connection.check_limit(connection.target_.size(), kMaxTargetBytes, kTargetTooLong);
    }

    static int on_header(http_parser* parser, const char* /*data*/, std::size_t size) {
        Connection& connection = connection_of(parser);
        connection.header_bytes_ += size;
        return connection.check_limit(connection.header_bytes_, kMaxHeaderBytes, kHeadersTooLarge);
    }

    static int on_body(http_parser* parser, const char* data, std::size_t size) {
        Connection& connection = connection_of(parser);
        connection.request_.body.append(data, size);
        return connection.check_limit(connection.request_.body.size(), kMaxBodyBytes,
                                      kContentTooLarge);
    }

    static int on_complete(http_parser* parser) {
        connection_of(parser).complete_ = true;
        http_parser_pause(parser, 1);
        return 0;
    }

    static const http_parser_settings& parser_settings() {
        static const http_parser_settings settings = [] {
            http_parser_settings callbacks;
            http_parser_settings_init(&callbacks);
            callbacks.on_url = on_target;
            callbacks.on_header_field = on_header;
            callbacks.on_header_value = on_header;
            callbacks.on_body = on_body;
            callbacks.on_message_complete = on_complete;
            return callbacks;
        }();
        return settings;
    }

    int check_limit(std::size_t size, std::size_t limit, int status) {
        if (size <= limit) return 0;
        refusal_status_ = status;
        return 1;
    }

    HttpServer* server_;
    Stream stream_;
    State state_ = State::reading;
    http_parser parser_;
    std::string target_;
    Request request_;
    std::string backlog_;  // received while a request is handled
    std::string local_ip_;
    PeerKind peer_ = PeerKind::other;
    std::size_t header_bytes_ = 0;
    int refusal_status_ = 0;  // 0: the request is within all limits
    bool complete_ = false;
    bool close_after_ = false;
    std::uint64_t last_active_ = 0;  // the loop's time in milliseconds
};

void Responder::send(const Response& response) const {
    if (const auto connection = connection_.lock()) connection->send(response);
}

bool Responder::classify(PeerKind peer) const {
    const auto connection = connection_.lock();
    return connection && connection->classify(peer);
}

HttpServer::HttpServer(uv_loop_t* loop, std::size_t max_connections, Handler handler)
    : loop_(loop),
      listener_(loop, uv_tcp_init, this),
      max_connections_(max_connections),
      handler_(std::move(handler)) {}

HttpServer::~HttpServer() {
    const auto open = connections_;  // closing removes from the map
    for (const auto& [connection, keep_alive] : open) connection->close();
}

int HttpServer::listen(const sockaddr_in& address) {
    if (const int error =
            uv_tcp_bind(listener_.get(), reinterpret_cast<const sockaddr*>(&address), 0);
        error < 0)
        return error;
    return uv_listen(reinterpret_cast<uv_stream_t*>(listener_.get()), kListenBacklog,
                     [](uv_stream_t* listener, int status) {
                         if (status == 0) static_cast<HttpServer*>(listener->data)->accept();
                     });
}

void HttpServer::accept() {
    const auto connection = std::make_shared<Connection>(this);
    connections_.emplace(connection.get(), connection);
    if (uv_accept(reinterpret_cast<uv_stream_t*>(listener_.get()), connection->handle()) < 0) {
        connection->close();
        return;
    }
    connection->start();
    if (connections_.size() > max_connections_) close_idle_connection();
    if (connections_.size() > max_connections_) connection->close();
}

// At the limit, the connection that has been idle longest makes room for the new one.
void HttpServer::close_idle_connection() {
    const std::uint64_t now = uv_now(loop_);
    Connection* oldest = nullptr;
    for (const auto& [connection, keep_alive] : connections_) {
        if (oldest == nullptr || connection->last_active() < oldest->last_active())
            oldest = connection;
    }
    if (oldest != nullptr && now - oldest->last_active() > kMinIdleMilliseconds) oldest->close();
}

void HttpServer::remove_connection(Connection* connection) {
    update_counts(connection->peer(), PeerKind::other);
    connections_.erase(connection);
}

void HttpServer::update_counts(PeerKind before, PeerKind after) {
    if (before == PeerKind::worker) --worker_connections_;
    if (after == PeerKind::worker) ++worker_connections_;
}

}  // namespace nickelramp::net
