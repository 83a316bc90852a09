#include "net/http_client.h"

#include <http_parser.h>
#include <strings.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include "net/stream.h"

namespace nickelramp::net {

namespace {
// Longer headers are not among those that are read.
constexpr std::size_t kMaxHeaderBytes = 256;
constexpr std::size_t kMaxReplyBytes = std::size_t{8} * 1024 * 1024;
constexpr Millis kConnectTimeout = 1500;
constexpr Millis kDeadlineCheckInterval = 50;
// Only errors say when to come back.
constexpr unsigned kFirstErrorStatus = 400;

std::string encode_request(const char* method, const std::string& target, const std::string& host,
                           const std::string& body) {
    return std::string(method) + " " + target + " HTTP/1.1\r\nHost: " + host +
           "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\nContent-Type: application/cbor\r\n\r\n" + body;
}

ClientReply failed_reply(ClientReply::Outcome outcome) { return {outcome, 0, "", 0}; }
}  // namespace

// One connection to the server, from its first request on. It is closed if a request fails, as the
// reply may still come.
class HttpClient::Connection : public std::enable_shared_from_this<HttpClient::Connection> {
  public:
    enum class State { connecting, idle, waiting, closed };

    explicit Connection(HttpClient* client) : client_(client), stream_(client->loop_) {}

    State state() const { return state_; }

    void connect(Pending first) {
        accept_request(std::move(first));
        connect_deadline_ = client_->now() + kConnectTimeout;
        fails_at_next_check_ = !stream_.connect(
            weak_from_this(), client_->address_,
            [](Connection& connection, int status) { connection.on_connected(status); });
    }

    void send(Pending next) {
        accept_request(std::move(next));
        write();
    }

    void check_deadline(Millis now) {
        const bool connecting = state_ == State::connecting;
        if (fails_at_next_check_ || (connecting && now >= connect_deadline_))
            finish_failed(ClientReply::Outcome::refused);
        else if (connecting && now >= deadline_)
            finish_failed(ClientReply::Outcome::refused);
        else if (state_ == State::waiting && now >= deadline_)
            finish_failed(ClientReply::Outcome::unknown);
    }

    void close() {
        if (state_ == State::closed) return;
        set_state(State::closed);
        stream_.close();
    }

    // Called by Stream. A negative size says that the connection has ended.
    void on_bytes(const char* data, ssize_t size) {
        if (state_ == State::idle) {  // closed by the server, or it sends without a request
            close();
            client_->remove_connection(this);
            return;
        }
        const bool ended = size < 0;
        const bool parsed = ended ? parse_end() : parse(data, static_cast<std::size_t>(size));
        if (complete_)
            finish_answered(!ended && keep_alive_);
        else if (!parsed)
            finish_failed(ClientReply::Outcome::unknown);
    }

  private:
    void set_state(State state) { state_ = state; }

    void accept_request(Pending request) {
        bytes_ = std::move(request.bytes);
        deadline_ = request.deadline;
        done_ = std::move(request.done);
        may_send_ = std::move(request.may_send);
        reply_ = ClientReply{};
        complete_ = in_value_ = false;
        header_.clear();
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
    }

    void on_connected(int status) {
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
            fails_at_next_check_ = true;
            return;
        }
        const bool started = stream_.write(
            weak_from_this(), std::move(bytes_),
            [](Connection& connection, int status, std::size_t) { connection.on_written(status); });
        if (!started) deadline_ = 0;  // fails at the next check
    }

    void on_written(int status) {
        if (status < 0 && state_ == State::waiting) finish_failed(ClientReply::Outcome::unknown);
    }

    // False: what came is not HTTP, or too much of it.
    bool parse(const char* data, std::size_t size) {
        const std::size_t used = http_parser_execute(&parser_, &parser_settings(), data, size);
        return HTTP_PARSER_ERRNO(&parser_) == HPE_OK && used == size;
    }

    // The end of the connection completes a reply without a length. False if the reply is not
    // complete.
    bool parse_end() {
        http_parser_execute(&parser_, &parser_settings(), nullptr, 0);
        return complete_;
    }

    // The parser's callbacks; any value but 0 makes it stop.

    static Connection& connection_of(http_parser* parser) {
        return *static_cast<Connection*>(parser->data);
    }

    static int on_header_name(http_parser* parser, const char* data, std::size_t size) {
        if (parser->status_code < kFirstErrorStatus) return 0;
        Connection& connection = connection_of(parser);
        if (connection.in_value_) connection.header_.clear();
        connection.in_value_ = false;
        if (connection.header_.size() + size <= kMaxHeaderBytes)
            connection.header_.append(data, size);
        return 0;
    }

    static int on_header_value(http_parser* parser, const char* data, std::size_t size) {
        if (parser->status_code < kFirstErrorStatus) return 0;
        Connection& connection = connection_of(parser);
        std::string& value = connection.value_;
        if (!connection.in_value_) value.clear();
        connection.in_value_ = true;
        if (value.size() + size <= kMaxHeaderBytes) value.append(data, size);
        if (strcasecmp(connection.header_.c_str(), "Retry-After") == 0) {
            std::from_chars(value.data(), value.data() + value.size(),
                            connection.reply_.retry_after_s);
        }
        return 0;
    }

    static int on_body(http_parser* parser, const char* data, std::size_t size) {
        std::string& body = connection_of(parser).reply_.body;
        body.append(data, size);
        return body.size() > kMaxReplyBytes ? 1 : 0;
    }

    static int on_complete(http_parser* parser) {
        Connection& connection = connection_of(parser);
        connection.reply_.outcome = ClientReply::Outcome::answered;
        connection.reply_.status = static_cast<int>(parser->status_code);
        connection.keep_alive_ = http_should_keep_alive(parser) != 0;
        connection.complete_ = true;
        return 0;
    }

    static const http_parser_settings& parser_settings() {
        static const http_parser_settings settings = [] {
            http_parser_settings callbacks;
            http_parser_settings_init(&callbacks);
            callbacks.on_header_field = on_header_name;
            callbacks.on_header_value = on_header_value;
            callbacks.on_body = on_body;
            callbacks.on_message_complete = on_complete;
            return callbacks;
        }();
        return settings;
    }

    void finish_answered(bool reusable) {
        const auto done = std::move(done_);
        const ClientReply reply = std::move(reply_);
        auto* client = client_;
        if (reusable) {
            set_state(State::idle);
        } else {
            close();
            client->remove_connection(this);
        }
        done(reply);
        client->send_queued();
    }

    void finish_failed(ClientReply::Outcome outcome) {
        const auto keep_alive = shared_from_this();
        const auto done = std::move(done_);
        auto* client = client_;
        close();
        client->remove_connection(this);
        done(failed_reply(outcome));
        client->send_queued();
    }

    HttpClient* client_;
    Stream stream_;
    State state_ = State::connecting;
    std::string bytes_;
    Millis deadline_ = 0;
    Millis connect_deadline_ = 0;
    bool fails_at_next_check_ = false;  // nothing was sent
    Done done_;
    MaySend may_send_;
    ClientReply reply_;
    std::string header_, value_;  // name and value of the header that is being read
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
      deadline_timer_(loop, uv_timer_init, this) {}

HttpClient::~HttpClient() {
    for (const auto& connection : connections_) connection->close();
}

void HttpClient::request(const char* method, const std::string& target, const std::string& body,
                         Millis timeout, Done done, MaySend may_send) {
    const bool is_full = queue_.size() >= max_queue_;
    const Millis deadline = is_full ? 0 : now() + timeout;
    queue_.push_back({encode_request(method, target, host_, body), deadline, std::move(done),
                      std::move(may_send)});
    uv_timer_t* timer = deadline_timer_.get();
    if (!uv_is_active(reinterpret_cast<uv_handle_t*>(timer))) {
        uv_timer_start(
            timer,
            [](uv_timer_t* timer) { static_cast<HttpClient*>(timer->data)->check_deadlines(); },
            is_full ? 0 : kDeadlineCheckInterval, kDeadlineCheckInterval);
    }
    send_queued();
}

// Not entered again from what a connection calls meanwhile.
void HttpClient::send_queued() {
    if (sending_) return;
    sending_ = true;
    while (!queue_.empty() && queue_.front().deadline > 0 &&
           (idle_connection() != nullptr || connections_.size() < max_connections_))
        send_next();
    sending_ = false;
}

void HttpClient::send_next() {
    Pending next = std::move(queue_.front());
    queue_.pop_front();
    if (Connection* idle = idle_connection()) {
        idle->send(std::move(next));
        return;
    }
    const auto connection = std::make_shared<Connection>(this);
    connections_.push_back(connection);
    connection->connect(std::move(next));
}

// The one that was opened last.
HttpClient::Connection* HttpClient::idle_connection() const {
    const auto found = std::find_if(
        connections_.rbegin(), connections_.rend(),
        [](const auto& connection) { return connection->state() == Connection::State::idle; });
    return found == connections_.rend() ? nullptr : found->get();
}

void HttpClient::remove_connection(Connection* connection) {
    std::erase_if(connections_,
                  [connection](const auto& candidate) { return candidate.get() == connection; });
}

std::vector<HttpClient::Done> HttpClient::take_expired(Millis now) {
    std::vector<Done> expired;
    std::erase_if(queue_, [&](Pending& request) {
        if (now < request.deadline) return false;
        expired.push_back(std::move(request.done));
        return true;
    });
    return expired;
}

void HttpClient::check_deadlines() {
    const Millis time = now();
    const std::vector<Done> expired = take_expired(time);
    const auto open = connections_;  // connections that fail remove themselves
    for (const auto& connection : open) connection->check_deadline(time);
    for (const Done& done : expired) done(failed_reply(ClientReply::Outcome::refused));
    send_queued();
    if (idle()) uv_timer_stop(deadline_timer_.get());
}

bool HttpClient::idle() const {
    return queue_.empty() &&
           std::all_of(connections_.begin(), connections_.end(), [](const auto& connection) {
               return connection->state() == Connection::State::idle;
           });
}

}  // namespace nickelramp::net
