/// @file
/// Client of the state service, the replicated key-value store that all controllers share.
#pragma once
#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "kvstore/health_tracker.h"
#include "kvstore/request_queue.h"
#include "kvstore/types.h"
#include "net/http_client.h"

namespace nickelramp::kvstore {

/// Typed calls of one controller to the state service. Owned by controller::Controller, which has
/// one client. Reads and transactions are subject to the request budget (RequestQueue). Lease
/// requests and watches have separate connections, so that a renewal never waits behind other
/// requests.
///
/// Every `done` is called exactly once, on the event loop's thread and never from within the call,
/// unless the client is destroyed first. The reply's status reports failures.
class Client {
  public:
    Client(uv_loop_t* loop, const sockaddr_in& address, const std::string& host, RateLimits limits);

    /// Sets this client's part of the budget that all controllers share.
    void set_limits(RateLimits limits) { queue_.set_limits(limits); }

    using GetDone = std::function<void(const GetReply&)>;
    using ListDone = std::function<void(ListReply)>;
    using CommitDone = std::function<void(const CommitReply&)>;
    using LeaseDone = std::function<void(const LeaseReply&)>;

    void get(const std::string& key, RequestClass request_class, Millis timeout, GetDone done);
    /// Reads all keys with the prefix, page by page. The reply's revision is that of the first
    /// page. If a page cannot be read, the reply has the status of that page.
    void list(const std::string& prefix, RequestClass request_class, ListDone done);
    /// Reads one page of at most `limit` keys with the prefix, beginning after the key `after`. The
    /// reply's `more` indicates whether further keys follow.
    void list_page(const std::string& prefix, const std::string& after, std::size_t limit,
                   RequestClass request_class, ListDone done);
    /// Commits a transaction. `may_send` is called right before the transaction is sent, which may
    /// be long after it was queued. If it returns false, the reply is Status::refused. Without
    /// `may_send`, only the conditions guard the writes.
    void commit(const Transaction& transaction, RequestClass request_class, Millis timeout,
                CommitDone done, net::HttpClient::MaySend may_send = {});
    /// Reads all changes under the prefix after that revision, without waiting for new ones.
    void changes_since(const std::string& prefix, std::uint64_t after, RequestClass request_class,
                       Millis timeout, ListDone done);
    /// Sends one long poll for changes under the prefix after that revision; the caller starts the
    /// next one. Status::lease_or_revision_expired means that the revision is too old and the keys
    /// must be listed again. Without a reply the poll ends after `wait` + `grace` with
    /// Status::unknown.
    void watch(const std::string& prefix, std::uint64_t after, Millis wait, ListDone done,
               Millis grace = 5000);

    void grant_lease(Millis ttl, LeaseDone done);
    /// Renews a lease. Status::missing means that the lease has ended.
    void renew_lease(std::uint64_t lease_id, Millis timeout, LeaseDone done);
    /// Ends the lease, which deletes the keys attached to it. Failures are not reported; the lease
    /// then expires.
    void revoke_lease(std::uint64_t lease_id);

    /// Returns whether no request waits for the budget and the service does not throttle.
    [[nodiscard]] bool has_spare_budget() const;
    /// Returns when the service last answered, not counting refusals; 0: never.
    [[nodiscard]] Millis last_answer_at() const { return health_.last_answer_at(); }
    [[nodiscard]] const ServiceHealth& health() const { return health_.health(); }
    /// Reads a key if no reply was received for some time, so that the health is known.
    void ping();

  private:
    void fetch_next_page(std::shared_ptr<ListReply> collected, const std::string& prefix,
                         const std::string& after, RequestClass request_class, ListDone done);
    // Returns a callback that parses the reply to a request for `target`, logs it if it violates
    // the protocol, and passes it to `done`.
    template <typename Parse, typename Done>
    net::HttpClient::Done parsed_by(Parse parse, std::string target, Done done);
    // Logs a reply that violates the protocol, but not more often than every few seconds.
    void log_if_unexpected(Status status, const std::string& target, const net::ClientReply& reply);
    void send_lease_request(const char* method, const std::string& target, std::string body,
                            Millis timeout, net::HttpClient::Done done);
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    HealthTracker health_;
    RequestQueue queue_;
    net::HttpClient lease_http_;
    net::HttpClient watch_http_;
    Millis may_log_unexpected_at_ = 0;
};

}  // namespace nickelramp::kvstore
