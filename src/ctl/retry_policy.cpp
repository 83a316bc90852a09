#include "ctl/retry_policy.h"

#include <algorithm>

namespace nickelramp::ctl {

namespace {
constexpr Millis kPause = 1'000;  // the shortest pause, unless another controller is tried at once
constexpr int kMaxRetryAfterS = 30;  // upper limit for the Retry-After of a controller

bool is_final_status(int status) {
    const bool asks_for_retry = status == 429 || status == 408;
    return status == 200 || status == 201 || (status >= 400 && status < 500 && !asks_for_retry);
}
}  // namespace

RetryPolicy::Next RetryPolicy::next_after(const net::ClientReply& reply, Millis now) {
    ++attempts_;
    const bool connection_refused = reply.outcome == net::ClientReply::Outcome::refused;
    if (!connection_refused) reached_controller_ = true;
    if (reply.outcome == net::ClientReply::Outcome::answered && is_final_status(reply.status)) {
        return Next::answer;
    }
    controller_ = (controller_ + 1) % controllers_;
    refusals_ = connection_refused ? refusals_ + 1 : 0;
    // After a refused connection, tries the next controller without a pause. Pauses once all
    // controllers have refused in a row.
    if (connection_refused && refusals_ % controllers_ != 0) {
        retry_at_ = now;
    } else {
        retry_at_ = now + std::max(kPause, seconds(std::min(reply.retry_after_s, kMaxRetryAfterS)));
    }
    return retry_at_ < give_up_at_ ? Next::retry : Next::give_up;
}

}  // namespace nickelramp::ctl
