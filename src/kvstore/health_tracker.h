/// @file
/// What the replies of the state service say about its health, and whether it throttles.
#pragma once
#include <cstddef>

#include "kvstore/types.h"
#include "net/http_client.h"

namespace nickelramp::kvstore {

/// How long nothing is sent after a 429, in milliseconds.
inline constexpr Millis kThrottleBackoff = 200;

/// Tracks requests that are to be answered at once, and all replies. Owned and fed by
/// kvstore::Client on the loop's thread; it is handed the time and sends nothing.
class HealthTracker {
  public:
    /// A request that is to be answered at once goes out. Watches are not reported here: they may
    /// take their time.
    void on_request_sent(Millis now);
    /// The reply to a request that was reported, also if there was none in time.
    void on_request_reply(const net::ClientReply& reply, Millis now);
    /// Any other reply: of a watch.
    void on_watch_reply(const net::ClientReply& reply, Millis now) { on_reply(reply, now); }

    [[nodiscard]] const ServiceHealth& health() const { return health_; }
    /// When the service last answered, refusals (503) aside; 0: never.
    [[nodiscard]] Millis last_answer_at() const { return last_answer_at_; }
    /// Nothing is to be sent now: there were too many requests.
    [[nodiscard]] bool throttled(Millis now) const { return now < throttled_until_; }
    /// Nothing is under way and nothing was heard for a while, so that the health is not known.
    [[nodiscard]] bool needs_ping(Millis now) const;

  private:
    void on_reply(const net::ClientReply& reply, Millis now);

    ServiceHealth health_;
    Millis last_answer_at_ = 0;
    Millis last_reply_at_ = 0;  // refusals count
    Millis throttled_until_ = 0;
    std::size_t requests_in_flight_ = 0;
};

}  // namespace nickelramp::kvstore
