#include "kvstore/health_tracker.h"

namespace nickelramp::kvstore {

namespace {
constexpr Millis kPingAfter = 1'500;  // time without a reply
constexpr int kTooManyRequests = 429;
constexpr int kServiceUnavailable = 503;

bool answered(const net::ClientReply& reply) {
    return reply.outcome == net::ClientReply::Outcome::answered;
}
}  // namespace

void HealthTracker::on_request_sent(Millis now) {
    ++requests_in_flight_;
    if (health_.unanswered_since < 0) health_.unanswered_since = now;
}

void HealthTracker::on_request_reply(const net::ClientReply& reply, Millis now) {
    --requests_in_flight_;
    on_reply(reply, now);
    if (answered(reply)) health_.unanswered_since = requests_in_flight_ > 0 ? now : -1;
}

void HealthTracker::on_reply(const net::ClientReply& reply, Millis now) {
    if (!answered(reply)) return;
    last_reply_at_ = now;
    if (reply.status == kServiceUnavailable) {
        if (health_.refused_since < 0) health_.refused_since = now;
    } else {
        last_answer_at_ = now;
        health_.refused_since = -1;
    }
    if (reply.status == kTooManyRequests) throttled_until_ = now + kThrottleBackoff;
}

bool HealthTracker::needs_ping(Millis now) const {
    return now - last_reply_at_ >= kPingAfter && requests_in_flight_ == 0;
}

}  // namespace nickelramp::kvstore
