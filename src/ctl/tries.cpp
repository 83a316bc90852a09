#include "ctl/tries.h"

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

Tries::Next Tries::after(const net::Reply& reply, Millis now) {
    ++made_;
    const bool nobody = reply.outcome == net::Reply::Outcome::refused;
    if (!nobody) reached_ = true;
    if (reply.outcome == net::Reply::Outcome::answered && final_answer(reply.status)) {
        return Next::answer;
    }
    asked_ = (asked_ + 1) % controllers_;
    refused_ = nobody ? refused_ + 1 : 0;
    // Another controller may be there at once; once round, there is nobody to hurry for.
    if (nobody && refused_ % controllers_ != 0) {
        at_ = now;
    } else {
        at_ = now + std::max(kPause, seconds(std::min(reply.retry_after_s, kLongestPauseS)));
    }
    return at_ < give_up_at_ ? Next::again : Next::give_up;
}

}  // namespace nickelramp::ctl
