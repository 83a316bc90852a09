#include "net/http_server.h"

#include <http_parser.h>
#include <spdlog/spdlog.h>

#include "net/stream.h"

namespace nickelramp::net {

namespace {
constexpr std::size_t kMaxBodyBytes = 64 * 1024;
constexpr std::size_t kMaxTargetBytes = 4096;
constexpr std::size_t kMaxHeaderBytes = 16 * 1024;

const char* reason(int status) { return http_status_str(static_cast<http_status>(status)); }
}  // namespace

class Connection : public std::enable_shared_from_this<Connection> {
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

    void send(const Response& r) {
        if (state_ != State::handling) return;
        auto keep = shared_from_this();
        close_after_ |= r.close;
        std::string head = "HTTP/1.1 " + std::to_string(r.status) + " " + reason(r.status) +
                           "\r\nContent-Type: " + r.type +
                           "\r\nContent-Length: " + std::to_string(r.body.size()) + "\r\n";
        if (r.retry_after_s > 0) {
            head += "Retry-After: " + std::to_string(r.retry_after_s) + "\r\n";
        }
        if (close_after_) head += "Connection: close\r\n";
        head += "\r\n";
        write(head + r.body, close_after_);
        if (close_after_) return;
        set_state(State::reading);
        request_ = Request{};
        // A request that arrived before this response was sent does not follow it.
        request_.follows_ok_reply = r.status == 200 && backlog_.empty();
        request_.followed_reply_tag = request_.follows_ok_reply ? r.tag : 0;
        header_bytes_ = 0;
        http_parser_pause(&parser_, 0);
        if (!backlog_.empty()) {
            std::string rest;
            rest.swap(backlog_);
            feed(rest.data(), rest.size());
        }
    }

    void close() {
        if (state_ == State::closing) return;
        set_state(State::closing);
        stream_.close();
        server_->remove_connection(this);  // may delete this
    }

    std::uint64_t last_active() const { return last_active_; }
    ClientKind client() const { return client_; }

    bool set_client(ClientKind client) {
        if (client_ == client) return false;
        server_->update_counts(client_, client);
        client_ = client;
        return true;
    }

    void on_bytes(const char* data, ssize_t n) {
        if (n < 0) {
            close();
            return;
        }
        last_active_ = uv_now(server_->loop_);
        if (state_ == State::handling) {
            // Clients are not expected to pipeline requests. At most the size of one request is
            // buffered, and more closes the connection.
            if (backlog_.size() + static_cast<std::size_t>(n) > kMaxBodyBytes + kMaxHeaderBytes) {
                close();
                return;
            }
            backlog_.append(data, static_cast<std::size_t>(n));
            return;
        }
        feed(data, static_cast<std::size_t>(n));
    }

  private:
    void set_state(State state) { state_ = state; }

    void write(std::string data, bool last) {
        const bool sent = stream_.write(weak_from_this(), std::move(data),
                                        [last](Connection& c, int status, std::size_t) {
                                            if (status < 0 || last) c.close();
                                        });
        if (!sent) close();
    }

    // Responds to an invalid request with an error status and closes the connection.
    void refuse(int status) {
        close_after_ = true;
        set_state(State::handling);
        send(Response{status, "", 0, "application/cbor"});
    }

    void feed(const char* data, std::size_t n) {
        static const http_parser_settings settings = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_url = [](http_parser* p, const char* at, std::size_t len) {
                auto* c = static_cast<Connection*>(p->data);
                c->target_.append(at, len);
                if (c->target_.size() <= kMaxTargetBytes) return 0;
                c->error_status_ = 414;
                return 1;
            };
            s.on_header_field = count_header;
            s.on_header_value = count_header;
            s.on_body = [](http_parser* p, const char* at, std::size_t len) {
                auto* c = static_cast<Connection*>(p->data);
                c->request_.body.append(at, len);
                if (c->request_.body.size() <= kMaxBodyBytes) return 0;
                c->error_status_ = 413;
                return 1;
            };
            s.on_message_complete = [](http_parser* p) {
                auto* c = static_cast<Connection*>(p->data);
                c->complete_ = true;
                http_parser_pause(p, 1);
                return 0;
            };
            return s;
        }();
        std::size_t used = http_parser_execute(&parser_, &settings, data, n);
        if (error_status_ != 0) {
            refuse(error_status_);
            return;
        }
        auto error = HTTP_PARSER_ERRNO(&parser_);
        if (error == HPE_HEADER_OVERFLOW) {
            refuse(431);
            return;
        }
        if (error != HPE_OK && error != HPE_PAUSED) {
            close();
            return;
        }
        if (parser_.upgrade) {
            close();
            return;
        }
        if (!complete_) return;
        complete_ = false;
        if (used < n) backlog_.assign(data + used, n - used);
        auto mark = target_.find('?');
        request_.method = http_method_str(static_cast<http_method>(parser_.method));
        request_.path = target_.substr(0, mark);
        request_.query = mark == std::string::npos ? "" : target_.substr(mark + 1);
        target_.clear();
        request_.local_ip = local_ip_;
        close_after_ = http_should_keep_alive(&parser_) == 0;
        set_state(State::handling);
        server_->handler_(request_, Responder(weak_from_this()));
    }

    static int count_header(http_parser* p, const char*, std::size_t len) {
        auto* c = static_cast<Connection*>(p->data);
        c->header_bytes_ += len;
        if (c->header_bytes_ <= kMaxHeaderBytes) return 0;
        c->error_status_ = 431;
        return 1;
    }

    HttpServer* server_;
    Stream stream_;
    State state_ = State::reading;
    http_parser parser_;
    std::string target_;
    Request request_;
    std::string backlog_;
    std::string local_ip_;
    ClientKind client_ = ClientKind::other;
    std::size_t header_bytes_ = 0;
    int error_status_ = 0;
    bool complete_ = false;
    bool close_after_ = false;
    std::uint64_t last_active_ = 0;
};

void Responder::send(const Response& response) const {
    if (auto c = connection_.lock()) c->send(response);
}

bool Responder::classify(ClientKind client) const {
    auto c = connection_.lock();
    return c && c->set_client(client);
}

HttpServer::HttpServer(uv_loop_t* loop, std::size_t max_connections, Handler handler)
    : loop_(loop),
      listener_(new uv_tcp_t),
      max_connections_(max_connections),
      handler_(std::move(handler)) {
    uv_tcp_init(loop, listener_);
    listener_->data = this;
}

HttpServer::~HttpServer() {
    auto open = connections_;
    for (auto& [c, keep] : open) c->close();
    uv_close(reinterpret_cast<uv_handle_t*>(listener_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
}

int HttpServer::listen(const sockaddr_in& address) {
    int rc = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&address), 0);
    if (rc < 0) return rc;
    return uv_listen(reinterpret_cast<uv_stream_t*>(listener_), 256,
                     [](uv_stream_t* s, int status) {
                         if (status == 0) static_cast<HttpServer*>(s->data)->accept();
                     });
}

void HttpServer::accept() {
    auto c = std::make_shared<Connection>(this);
    connections_.emplace(c.get(), c);
    if (uv_accept(reinterpret_cast<uv_stream_t*>(listener_), c->handle()) < 0) {
        c->close();
        return;
    }
    c->start();
    if (connections_.size() > max_connections_) close_idle_connections();
    if (connections_.size() > max_connections_) c->close();
}

// Closes the connection that has been idle longest, if it has been idle for more than 30 s.
void HttpServer::close_idle_connections() {
    std::uint64_t now = uv_now(loop_);
    Connection* oldest = nullptr;
    for (auto& [c, keep] : connections_) {
        if (oldest == nullptr || c->last_active() < oldest->last_active()) oldest = c;
    }
    if (oldest != nullptr && now - oldest->last_active() > 30'000) oldest->close();
}

void HttpServer::remove_connection(Connection* c) {
    update_counts(c->client(), ClientKind::other);
    connections_.erase(c);
}

void HttpServer::update_counts(ClientKind before, ClientKind after) {
    if (before == ClientKind::worker) --worker_connections_;
    if (after == ClientKind::worker) ++worker_connections_;
}

}  // namespace nickelramp::net
