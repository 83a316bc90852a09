/// @file
/// Typed calls to the state service, the replicated key-value store that all controllers share.
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

/// The state service's client of one controller: there is one, owned by controller::Controller.
/// Reads and transactions wait for the budget (RequestQueue); leases and watches have connections
/// of their own, so that a renewal never waits behind other requests.
///
/// Every `done` is called exactly once, on the loop's thread and never from within the call, unless
/// the client is destroyed before. Failures are in the reply's status. All times are milliseconds.
class Client {
  public:
    Client(uv_loop_t* loop, const sockaddr_in& address, const std::string& host, RateLimits limits);

    /// This client's part of the one budget that all controllers share.
    void set_limits(RateLimits limits) { queue_.set_limits(limits); }

    using GetDone = std::function<void(const GetReply&)>;
    using ListDone = std::function<void(ListReply)>;
    using CommitDone = std::function<void(const CommitReply&)>;
    using LeaseDone = std::function<void(const LeaseReply&)>;

    void get(const std::string& key, RequestClass request_class, Millis timeout, GetDone done);
    /// All keys with the prefix, read page by page. The revision is that of the first page. If a
    /// page cannot be read, its status is the reply's.
    void list(const std::string& prefix, RequestClass request_class, ListDone done);
    /// One page of at most `limit` keys with the prefix, beginning after `after`. The reply's
    /// `more` tells whether others follow.
    void list_page(const std::string& prefix, const std::string& after, std::size_t limit,
                   RequestClass request_class, ListDone done);
    /// `may_send` is asked right before the transaction goes out, however long it was queued; if it
    /// says no, the reply is Status::refused. Without it, only the conditions guard the writes.
    void commit(const Transaction& transaction, RequestClass request_class, Millis timeout,
                CommitDone done, net::HttpClient::MaySend may_send = {});
    /// All changes under the prefix after that revision, at once.
    void changes_since(const std::string& prefix, std::uint64_t after, RequestClass request_class,
                       Millis timeout, ListDone done);
    /// One long poll for changes under the prefix after that revision; the caller opens the next.
    /// Status::lease_or_revision_expired: the revision is too old, list again. Without a reply it
    /// ends `grace` after `wait`, with Status::unknown.
    void watch(const std::string& prefix, std::uint64_t after, Millis wait, ListDone done,
               Millis grace = 5000);

    void grant_lease(Millis ttl, LeaseDone done);
    /// Status::missing: the lease has ended.
    void renew_lease(std::uint64_t lease_id, Millis timeout, LeaseDone done);
    /// Deletes the keys attached to the lease. Nobody is told if it fails: the lease then ends by
    /// itself.
    void revoke_lease(std::uint64_t lease_id);

    /// Nothing waits for the budget, and the service does not throttle.
    [[nodiscard]] bool has_spare_budget() const;
    /// When the service last answered, refusals aside; 0: never.
    [[nodiscard]] Millis last_answer_at() const { return health_.last_answer_at(); }
    [[nodiscard]] const ServiceHealth& health() const { return health_.health(); }
    /// Reads something if nothing was heard for a while, so that the health is known.
    void ping();

  private:
    void fetch_next_page(std::shared_ptr<ListReply> collected, const std::string& prefix,
                         const std::string& after, RequestClass request_class, ListDone done);
    void send_lease_request(const char* method, const std::string& target, std::string body,
                            Millis timeout, net::HttpClient::Done done);
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }

    uv_loop_t* loop_;
    HealthTracker health_;
    RequestQueue queue_;
    net::HttpClient lease_http_;
    net::HttpClient watch_http_;
};

}  // namespace nickelramp::kvstore
