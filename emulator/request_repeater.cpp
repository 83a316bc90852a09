#include "emulator/request_repeater.h"

#include <array>
#include <utility>

namespace nickelramp::emulator {

namespace {
constexpr Millis kCheckInterval = 20;
constexpr std::array<Millis, 3> kDelays = {100, 2'000, 16'000};
// A bound on memory; at most this many copies are on their way.
constexpr std::size_t kMaxPending = 100'000;
}  // namespace

RequestRepeater::RequestRepeater(uv_loop_t* loop, double share, std::uint64_t seed)
    : loop_(loop), share_(share), random_(seed), timer_(loop, [this] { deliver_due(); }) {
    if (share_ > 0) timer_.every(kCheckInterval);
}

void RequestRepeater::offer(const std::function<void()>& deliver) {
    if (share_ <= 0 || due_.size() >= kMaxPending) return;
    if (std::uniform_real_distribution<double>(0, 1)(random_) >= share_) return;
    for (const Millis delay : kDelays) due_.emplace(now() + delay, deliver);
}

void RequestRepeater::deliver_due() {
    while (!due_.empty() && due_.begin()->first <= now()) {
        const auto deliver = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        ++delivered_;
        deliver();
    }
}

}  // namespace nickelramp::emulator
