#include "tests/request_repeater.h"

#include <array>

namespace nickelramp::test {

namespace {
// The longest delays of copies; each scale is equally likely.
constexpr std::array<Millis, 4> kMaxDelays = {20, 2'000, 20'000, 180'000};
constexpr std::size_t kMaxCopies = 2;
}  // namespace

void RequestRepeater::on_answered(const std::string& kind, const std::function<void()>& deliver) {
    const Faults& faults = context_.faults;
    if (faults.repeated_requests == 0) return;
    if (!faults.repeated_requests_of.empty() && faults.repeated_requests_of != kind) return;
    if (!context_.chance(faults.repeated_requests)) return;
    const std::size_t copies = 1 + context_.random()() % kMaxCopies;
    for (std::size_t i = 0; i < copies; ++i) deliver_later(kind, deliver);
}

void RequestRepeater::deliver_later(const std::string& kind, const std::function<void()>& deliver) {
    const Millis max_delay = kMaxDelays[context_.random()() % kMaxDelays.size()];
    context_.after(context_.delay(max_delay), [this, kind, deliver] {
        ++context_.coverage.repeated_requests[kind];
        deliver();
    });
}

}  // namespace nickelramp::test
