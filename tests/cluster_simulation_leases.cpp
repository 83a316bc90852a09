// Leases of leaders in the key-value store.
#include <algorithm>

#include "tests/cluster_simulation_controller.h"

namespace nickelramp::test {

namespace {
constexpr Millis kRenewalInterval = 300, kRenewalDelay = 20;
// The interval between replies to the leader's watch, and the age of the view that a reply gives.
constexpr Millis kWatchReplyInterval = 1'700, kWatchReplyAge = 200;
}  // namespace

void ClusterSimulation::simulate_leader_leases() {
    leader_leases_ = true;
    if (Controller* controller = leading_controller())
        controller->lease_end = now() + lease::kLeaseDuration;
    update_leader_leases();
}

// Records that the lease of the controller was granted or renewed a moment ago.
void ClusterSimulation::renew_leader_lease(Controller& controller) {
    controller.lease_end = now() + lease::kLeaseDuration;
    controller.leads_until = now() - kRenewalDelay + without_clock_drift(lease::kLeaseDuration);
    if (controller.control_loop)
        controller.control_loop->confirm_lease_until(controller.leads_until);
}

bool ClusterSimulation::state_service_answers(const Controller& controller) const {
    return store_.up() && now() >= controller.rejected_until;
}

bool ClusterSimulation::may_respond(const Controller& controller) const {
    return now() >= controller.frozen_until &&
           now() < controller.state_seen_at + controller.control_loop->max_response_window();
}

// Returns whether the controller answers heartbeats as a leader, even if it has been deposed.
bool ClusterSimulation::responds(const Controller& controller) const {
    if (!controller.control_loop) return false;
    if (leader_leases_) return may_respond(controller);
    return controller.leads || now() < controller.responds_until;
}

// Renews leases, updates the time of the leader's view of the store, and elects a new leader when
// the lease has expired.
void ClusterSimulation::update_leader_leases() {
    context_.after(kRenewalInterval, [this] { update_leader_leases(); });
    if (!store_.up()) return;
    Controller* holder = leading_controller();
    const bool held = holder != nullptr && now() < holder->lease_end;
    if (held && state_service_answers(*holder) && now() >= holder->frozen_until) {
        renew_leader_lease(*holder);
        if (now() - holder->state_seen_at > kWatchReplyInterval)
            holder->state_seen_at = now() - kWatchReplyAge;
    }
    // A controller that has lost its lease is deposed when the store answers it again.
    for (auto& controller : controllers_) {
        if (!controller->control_loop || (controller->leads && held) ||
            now() < controller->frozen_until || !state_service_answers(*controller))
            continue;
        controller->leads = false;
        controller->control_loop.reset();
    }
    if (held) return;
    if (Controller* controller = leading_controller()) controller->leads = false;
    fail_over();
    renew_leader_lease(*controllers_.back());
}

void ClusterSimulation::reject_leader_at_state_service(Millis length) {
    if (Controller* controller = leading_controller())
        controller->rejected_until = std::max(controller->rejected_until, now() + length);
}

void ClusterSimulation::take_state_service_down(Millis length) {
    store_.take_down(length);
    context_.after(length, [this] {
        // After an outage, leases that had not expired have their full duration again.
        if (Controller* controller = leading_controller(); controller != nullptr && store_.up())
            controller->lease_end = now() + lease::kLeaseDuration;
    });
}

}  // namespace nickelramp::test
