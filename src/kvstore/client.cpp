#include "kvstore/client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <iterator>
#include <utility>

#include "kvstore/protocol.h"

namespace nickelramp::kvstore {

namespace {
constexpr std::size_t kLeaseConnections = 2;
constexpr std::size_t kWatchConnections = 4;
constexpr std::size_t kMaxDirectQueue = 16;  // for lease requests and for watches, each
constexpr Millis kListTimeout = 4000;        // for each page
constexpr Millis kLeaseTimeout = 2000;
constexpr std::size_t kListPage = 500;
constexpr Millis kPingTimeout = 1'000;
constexpr Millis kUnexpectedReplyLogInterval = 5'000;
constexpr const char* kPingKey = "lead/term";
constexpr const char* kCommitTarget = "/commit";

// Returns the target of a transaction as shown in logs, with its size and the first key that it
// writes.
std::string logged_target(const Transaction& transaction, std::size_t body_bytes) {
    std::string target = kCommitTarget;
    if (!transaction.writes.empty()) target += " first_key=" + transaction.writes.front().key;
    target += " writes=" + std::to_string(transaction.writes.size());
    return target + " sent_bytes=" + std::to_string(body_bytes);
}
}  // namespace

Client::Client(uv_loop_t* loop, const sockaddr_in& address, const std::string& host,
               RateLimits limits)
    : loop_(loop),
      queue_(loop, address, host, limits, health_),
      lease_http_(loop, address, host, kLeaseConnections, kMaxDirectQueue),
      watch_http_(loop, address, host, kWatchConnections, kMaxDirectQueue) {}

void Client::ping() {
    if (!health_.needs_ping(now())) return;
    get(kPingKey, RequestClass::control, kPingTimeout, [](const GetReply&) {});
}

bool Client::has_spare_budget() const { return !health_.throttled(now()) && queue_.empty(); }

template <typename Parse, typename Done>
net::HttpClient::Done Client::parsed_by(Parse parse, std::string target, Done done) {
    return [this, parse, target = std::move(target),
            done = std::move(done)](const net::ClientReply& reply) {
        auto parsed = parse(reply);
        log_if_unexpected(parsed.status, target, reply);
        done(std::move(parsed));
    };
}

void Client::get(const std::string& key, RequestClass request_class, Millis timeout, GetDone done) {
    QueuedRequest request{"GET", get_target(key), "", 0, timeout, {}, {}};
    request.on_reply = parsed_by(parse_get_reply, request.target, std::move(done));
    queue_.submit(request_class, std::move(request));
}

void Client::list(const std::string& prefix, RequestClass request_class, ListDone done) {
    fetch_next_page(std::make_shared<ListReply>(), prefix, "", request_class, std::move(done));
}

void Client::fetch_next_page(std::shared_ptr<ListReply> collected, const std::string& prefix,
                             const std::string& after, RequestClass request_class, ListDone done) {
    auto on_page = [this, collected = std::move(collected), prefix, request_class,
                    done = std::move(done)](ListReply page) {
        collected->status = page.status;
        if (page.status != Status::ok) return done(std::move(*collected));
        std::move(page.entries.begin(), page.entries.end(), std::back_inserter(collected->entries));
        if (collected->revision == 0) collected->revision = page.revision;
        if (!page.more || collected->entries.empty()) return done(std::move(*collected));
        const std::string last = collected->entries.back().key;
        fetch_next_page(collected, prefix, last, request_class, done);
    };
    list_page(prefix, after, kListPage, request_class, std::move(on_page));
}

void Client::list_page(const std::string& prefix, const std::string& after, std::size_t limit,
                       RequestClass request_class, ListDone done) {
    QueuedRequest request{"GET", list_target(prefix, after, limit), "", 0, kListTimeout, {}, {}};
    request.on_reply = parsed_by(parse_list_reply, request.target, std::move(done));
    queue_.submit(request_class, std::move(request));
}

void Client::commit(const Transaction& transaction, RequestClass request_class, Millis timeout,
                    CommitDone done, net::HttpClient::MaySend may_send) {
    QueuedRequest request;
    request.method = "POST";
    request.target = kCommitTarget;
    request.body = encode_transaction(transaction);
    request.writes = static_cast<double>(transaction.writes.size());
    request.timeout = timeout;
    request.on_reply = parsed_by(parse_commit_reply,
                                 logged_target(transaction, request.body.size()), std::move(done));
    request.may_send = std::move(may_send);
    queue_.submit(request_class, std::move(request));
}

void Client::changes_since(const std::string& prefix, std::uint64_t after,
                           RequestClass request_class, Millis timeout, ListDone done) {
    QueuedRequest request{"GET", watch_target(prefix, after, 0), "", 0, timeout, {}, {}};
    request.on_reply = parsed_by(parse_changes_reply, request.target, std::move(done));
    queue_.submit(request_class, std::move(request));
}

void Client::watch(const std::string& prefix, std::uint64_t after, Millis wait, ListDone done,
                   Millis grace) {
    const std::string target = watch_target(prefix, after, wait);
    watch_http_.request("GET", target, "", wait + grace,
                        [this, on_reply = parsed_by(parse_changes_reply, target, std::move(done))](
                            const net::ClientReply& reply) {
                            health_.on_watch_reply(reply, now());
                            on_reply(reply);
                        });
}

void Client::log_if_unexpected(Status status, const std::string& target,
                               const net::ClientReply& reply) {
    if (status != Status::protocol_error || now() < may_log_unexpected_at_) return;
    may_log_unexpected_at_ = now() + kUnexpectedReplyLogInterval;
    spdlog::error("state service: unexpected reply: target={} status={} bytes={}", target,
                  reply.status, reply.body.size());
}

void Client::send_lease_request(const char* method, const std::string& target, std::string body,
                                Millis timeout, net::HttpClient::Done done) {
    health_.on_request_sent(now());
    lease_http_.request(method, target, std::move(body), timeout,
                        [this, done = std::move(done)](const net::ClientReply& reply) {
                            health_.on_request_reply(reply, now());
                            done(reply);
                        });
}

void Client::grant_lease(Millis ttl, LeaseDone done) {
    send_lease_request("POST", "/holds", encode_lease_request(ttl), kLeaseTimeout,
                       [done = std::move(done)](const net::ClientReply& reply) {
                           done(parse_grant_reply(reply));
                       });
}

void Client::renew_lease(std::uint64_t lease_id, Millis timeout, LeaseDone done) {
    send_lease_request("POST", renewal_target(lease_id), "", timeout,
                       [done = std::move(done)](const net::ClientReply& reply) {
                           done(parse_renewal_reply(reply));
                       });
}

// Not reported to the health tracker, because no caller waits for the reply.
void Client::revoke_lease(std::uint64_t lease_id) {
    lease_http_.request("DELETE", lease_target(lease_id), "", kLeaseTimeout,
                        [](const net::ClientReply&) {});
}

}  // namespace nickelramp::kvstore
