#include "ctl/retry_policy.h"

#include <algorithm>

namespace nickelramp::ctl {

namespace {
constexpr Millis kPause = 1'000;    // at least, between two tries that reach somebody
constexpr int kLongestPauseS = 30;  // however much a controller asks for

bool final_answer(int status) {
    const bool asks_again = status == 429 || status == 408;
    return status == 200 || status == 201 || (status >= 400 && status < 500 && !asks_again);
}
}  // namespace

RetryPolicy::Next RetryPolicy::next_after(const net::ClientReply& reply, Millis now) {
    ++attempts_;
    const bool nobody = reply.outcome == net::ClientReply::Outcome::refused;
    if (!nobody) reached_controller_ = true;
    if (reply.outcome == net::ClientReply::Outcome::answered && final_answer(reply.status)) {
        return Next::answer;
    }
    controller_ = (controller_ + 1) % controllers_;
    refusals_ = nobody ? refusals_ + 1 : 0;
    // Another controller may be there at once; once round, there is nobody to hurry for.
    if (nobody && refusals_ % controllers_ != 0) {
        retry_at_ = now;
    } else {
        retry_at_ = now + std::max(kPause, seconds(std::min(reply.retry_after_s, kLongestPauseS)));
    }
    return retry_at_ < give_up_at_ ? Next::retry : Next::give_up;
}

}  // namespace nickelramp::ctl
