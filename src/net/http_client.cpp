#include "net/http_client.h"

#include <http_parser.h>
#include <strings.h>

#include <algorithm>
#include <charconv>

#include "net/stream.h"

namespace nickelramp::net {

namespace {
constexpr std::size_t kMaxHeaderFieldBytes = 256;  // the only header that is read is shorter
constexpr std::size_t kMaxReplyBytes = 8 * 1024 * 1024;
constexpr Millis kConnectTimeout = 1500;
constexpr Millis kExpiryCheckInterval = 50;
}  // namespace

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
  public:
    enum class State { connecting, idle, waiting, closed };

    explicit ClientConnection(HttpClient* client) : client_(client), stream_(client->loop_) {}

    State state() const { return state_; }
    Millis deadline() const { return deadline_; }

    void connect(HttpClient::Pending first) {
        take(std::move(first));
        connect_deadline_ = static_cast<Millis>(uv_now(client_->loop_)) + kConnectTimeout;
        fail_at_next_check_ =
            !stream_.connect(weak_from_this(), client_->address_,
                             [](ClientConnection& c, int status) { c.connected(status); });
    }

    void send(HttpClient::Pending next) {
        take(std::move(next));
        write();
    }

    // Fails the request if its deadline or the connect timeout has passed, or if it could not be
    // sent. Called periodically by the client.
    void check(Millis now) {
        if (fail_at_next_check_ || (state_ == State::connecting && now >= connect_deadline_)) {
            finish_failed(ClientReply::Outcome::refused);
        } else if ((state_ == State::connecting || state_ == State::waiting) && now >= deadline_) {
            finish_failed(state_ == State::connecting ? ClientReply::Outcome::refused
                                                      : ClientReply::Outcome::unknown);
        }
    }

    void close() {
        if (state_ == State::closed) return;
        set_state(State::closed);
        stream_.close();
    }

    void on_bytes(const char* data, ssize_t n) {
        if (state_ == State::idle) {  // the server closed the connection or sent unrequested data
            close();
            client_->remove_connection(this);
            return;
        }
        if (n < 0) {
            http_parser_execute(&parser_, &settings(), nullptr, 0);
            if (!complete_) {
                finish_failed(ClientReply::Outcome::unknown);
                return;
            }
        } else {
            std::size_t used =
                http_parser_execute(&parser_, &settings(), data, static_cast<std::size_t>(n));
            if (!complete_ &&
                (HTTP_PARSER_ERRNO(&parser_) != HPE_OK || used != static_cast<std::size_t>(n))) {
                finish_failed(body_is_too_long() ? ClientReply::Outcome::too_long
                                                 : ClientReply::Outcome::unknown);
                return;
            }
        }
        if (complete_) finish_answered(n >= 0 && keep_alive_);
    }

  private:
    void set_state(State state) { state_ = state; }
    bool body_is_too_long() const { return reply_.body.size() > kMaxReplyBytes; }

    // Prepares the connection for the next request and its reply.
    void take(HttpClient::Pending p) {
        bytes_ = std::move(p.bytes);
        deadline_ = p.deadline;
        done_ = std::move(p.on_reply);
        may_send_ = std::move(p.may_send);
        reply_ = ClientReply{};
        complete_ = in_value_ = false;
        header_.clear();
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
    }

    void connected(int status) {
        if (state_ != State::connecting) return;
        if (status < 0) {
            finish_failed(ClientReply::Outcome::refused);
            return;
        }
        stream_.read(this);
        write();
    }

    void write() {
        set_state(State::waiting);
        if (may_send_ && !may_send_()) {
            fail_at_next_check_ = true;  // as refused, because nothing was sent
            return;
        }
        const bool sent = stream_.write(weak_from_this(), std::move(bytes_),
                                        [](ClientConnection& c, int status, std::size_t) {
                                            if (status < 0 && c.state_ == State::waiting) {
                                                c.finish_failed(ClientReply::Outcome::unknown);
                                            }
                                        });
        if (!sent) deadline_ = 0;  // fails at the next check, with outcome unknown
    }

    static const http_parser_settings& settings() {
        static const http_parser_settings s = [] {
            http_parser_settings s;
            http_parser_settings_init(&s);
            s.on_header_field = [](http_parser* p, const char* at, std::size_t len) {
                if (p->status_code < 400) return 0;  // Retry-After is read from error replies only
                auto* c = static_cast<ClientConnection*>(p->data);
                if (c->in_value_) c->header_.clear();
                c->in_value_ = false;
                if (c->header_.size() + len <= kMaxHeaderFieldBytes) c->header_.append(at, len);
                return 0;
            };
            s.on_header_value = [](http_parser* p, const char* at, std::size_t len) {
                if (p->status_code < 400) return 0;
                auto* c = static_cast<ClientConnection*>(p->data);
                if (!c->in_value_) c->value_.clear();
                c->in_value_ = true;
                if (c->value_.size() + len <= kMaxHeaderFieldBytes) c->value_.append(at, len);
                if (strcasecmp(c->header_.c_str(), "Retry-After") == 0) {
                    std::from_chars(c->value_.data(), c->value_.data() + c->value_.size(),
                                    c->reply_.retry_after_s);
                }
                return 0;
            };
            s.on_body = [](http_parser* p, const char* at, std::size_t len) {
                auto* c = static_cast<ClientConnection*>(p->data);
                c->reply_.body.append(at, len);
                return c->body_is_too_long() ? 1 : 0;
            };
            s.on_message_complete = [](http_parser* p) {
                auto* c = static_cast<ClientConnection*>(p->data);
                c->reply_.outcome = ClientReply::Outcome::answered;
                c->reply_.status = static_cast<int>(p->status_code);
                c->keep_alive_ = http_should_keep_alive(p) != 0;
                c->complete_ = true;
                return 0;
            };
            return s;
        }();
        return s;
    }

    void finish_answered(bool reusable) {
        auto done = std::move(done_);
        ClientReply reply = std::move(reply_);
        if (reusable) {
            set_state(State::idle);
        } else {
            close();
            client_->remove_connection(this);
        }
        auto* client = client_;
        done(reply);
        client->send_queued();
    }

    void finish_failed(ClientReply::Outcome outcome) {
        auto keep = shared_from_this();
        auto done = std::move(done_);
        close();
        client_->remove_connection(this);
        auto* client = client_;
        done(ClientReply{outcome, 0, "", 0});
        client->send_queued();
    }

    HttpClient* client_;
    Stream stream_;
    State state_ = State::connecting;
    std::string bytes_;
    Millis deadline_ = 0;
    Millis connect_deadline_ = 0;
    bool fail_at_next_check_ = false;
    HttpClient::Done done_;
    HttpClient::MaySend may_send_;
    ClientReply reply_;
    std::string header_, value_;  // of the header that is being read
    bool in_value_ = false;
    bool complete_ = false;
    bool keep_alive_ = true;
    http_parser parser_;
};

HttpClient::HttpClient(uv_loop_t* loop, sockaddr_in address, std::string host,
                       std::size_t max_connections, std::size_t max_queue)
    : loop_(loop),
      address_(address),
      host_(std::move(host)),
      max_connections_(max_connections),
      max_queue_(max_queue),
      timer_(new uv_timer_t) {
    uv_timer_init(loop, timer_);
    timer_->data = this;
}

HttpClient::~HttpClient() {
    for (auto& c : connections_) c->close();
    uv_close(reinterpret_cast<uv_handle_t*>(timer_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_timer_t*>(h); });
}

void HttpClient::request(const char* method, const std::string& target, std::string body,
                         Millis timeout, Done done, MaySend may) {
    std::string bytes = std::string(method) + " " + target + " HTTP/1.1\r\nHost: " + host_ +
                        "\r\nContent-Length: " + std::to_string(body.size()) +
                        "\r\nContent-Type: application/cbor\r\n\r\n" + body;
    Millis deadline = static_cast<Millis>(uv_now(loop_)) + timeout;
    if (queue_.size() >= max_queue_) deadline = 0;  // refused when the timer next fires
    queue_.push_back({std::move(bytes), deadline, std::move(done), std::move(may)});
    if (!uv_is_active(reinterpret_cast<uv_handle_t*>(timer_))) {
        uv_timer_start(
            timer_, [](uv_timer_t* t) { static_cast<HttpClient*>(t->data)->expire_queued(); },
            deadline == 0 ? 0 : kExpiryCheckInterval, kExpiryCheckInterval);
    }
    send_queued();
}

void HttpClient::send_queued() {
    if (sending_) return;
    sending_ = true;
    while (!queue_.empty() && queue_.front().deadline > 0) {
        ClientConnection* idle = nullptr;
        for (auto& c : connections_) {
            if (c->state() == ClientConnection::State::idle) idle = c.get();
        }
        if (idle == nullptr && connections_.size() >= max_connections_) break;
        Pending next = std::move(queue_.front());
        queue_.pop_front();
        if (idle != nullptr) {
            idle->send(std::move(next));
        } else {
            auto c = std::make_shared<ClientConnection>(this);
            connections_.push_back(c);
            c->connect(std::move(next));
        }
    }
    sending_ = false;
}

void HttpClient::remove_connection(ClientConnection* c) {
    std::erase_if(connections_, [c](const auto& x) { return x.get() == c; });
}

void HttpClient::expire_queued() {
    Millis now = static_cast<Millis>(uv_now(loop_));
    std::vector<Done> refused;
    for (auto it = queue_.begin(); it != queue_.end();) {
        if (now >= it->deadline) {
            refused.push_back(std::move(it->on_reply));
            it = queue_.erase(it);
        } else {
            ++it;
        }
    }
    auto open = connections_;
    for (auto& c : open) c->check(now);
    for (auto& done : refused) done(ClientReply{ClientReply::Outcome::refused, 0, "", 0});
    send_queued();
    if (idle()) uv_timer_stop(timer_);
}

bool HttpClient::idle() const {
    return queue_.empty() &&
           std::all_of(connections_.begin(), connections_.end(),
                       [](const auto& c) { return c->state() == ClientConnection::State::idle; });
}

}  // namespace nickelramp::net
