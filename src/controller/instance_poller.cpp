#include "controller/instance_poller.h"

#include <algorithm>
#include <cmath>

namespace nickelramp::controller {

InstancePoller::InstancePoller(const wire::Settings& settings, const LoopClock& clock,
                               cloud::CloudClient& cloud_client)
    : settings_(settings),
      clock_(clock),
      cloud_client_(cloud_client),
      timer_(clock.loop(), [this] { poll(); }) {}

void InstancePoller::start(control::ControlLoop& control_loop) {
    ++generation_;
    control_loop_ = &control_loop;
    poll();
}

void InstancePoller::stop() {
    ++generation_;
    control_loop_ = nullptr;
}

// The timer keeps running when the term ends. If it fires in a later term, the only effect is one
// additional request.
void InstancePoller::poll() {
    if (control_loop_ == nullptr) return;
    const std::uint64_t generation = generation_;
    const Millis requested_at = clock_.now();
    cloud_client_.list_instances(
        [this, generation,
         requested_at](const std::optional<std::vector<wire::CloudInstance>>& instances) {
            if (generation != generation_ || control_loop_ == nullptr) return;
            if (instances)
                control_loop_->on_instances_listed(*instances, requested_at, clock_.now());
            timer_.after(interval_after(instances ? instances->size() : 0));
        });
}

Millis InstancePoller::interval_after(std::size_t instances) const {
    constexpr Millis kMinInterval = 4'000;
    constexpr double kInstancesPerPage = 500;
    constexpr double kShareOfRequests = 0.25;  // the rest is left to provisioning
    const double pages = std::ceil(static_cast<double>(instances) / kInstancesPerPage);
    return std::max({kMinInterval, seconds(settings_.cloud_list_lag_s),
                     seconds(pages / (kShareOfRequests * settings_.cloud_requests_per_s))});
}

}  // namespace nickelramp::controller
