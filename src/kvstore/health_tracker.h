/// @file
/// Derives the health of the state service, and whether it throttles, from its replies.
#pragma once
#include <cstddef>

#include "kvstore/types.h"
#include "net/http_client.h"

namespace nickelramp::kvstore {

/// Time for which nothing is sent after a 429.
inline constexpr Millis kThrottleBackoff = 200;

/// Tracks all replies, and the requests that the service should answer immediately. Owned by
/// kvstore::Client; runs on the event loop's thread. Sends nothing and reads no clock.
class HealthTracker {
  public:
    /// Records that a request was sent which the service should answer immediately. Watches are not
    /// reported here, because they wait for changes.
    void on_request_sent(Millis now);
    /// Records the outcome of a request that was reported to on_request_sent(), including timeouts.
    void on_request_reply(const net::ClientReply& reply, Millis now);
    /// Records the reply to a watch.
    void on_watch_reply(const net::ClientReply& reply, Millis now) { on_reply(reply, now); }

    [[nodiscard]] const ServiceHealth& health() const { return health_; }
    /// Returns when the service last answered, not counting refusals (503); 0: never.
    [[nodiscard]] Millis last_answer_at() const { return last_answer_at_; }
    /// Returns whether sending is suspended because the service reported too many requests.
    [[nodiscard]] bool throttled(Millis now) const { return now < throttled_until_; }
    /// Returns whether no request is in flight and no reply was received for some time, so that the
    /// health is unknown.
    [[nodiscard]] bool needs_ping(Millis now) const;

  private:
    void on_reply(const net::ClientReply& reply, Millis now);

    ServiceHealth health_;
    Millis last_answer_at_ = 0;
    Millis last_reply_at_ = 0;  // including refusals
    Millis throttled_until_ = 0;
    std::size_t requests_in_flight_ = 0;
};

}  // namespace nickelramp::kvstore
