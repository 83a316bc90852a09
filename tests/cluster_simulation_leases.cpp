#include <algorithm>

#include "tests/cluster_simulation.h"

namespace nickelramp::test {

void ClusterSimulation::simulate_leader_leases() {
    leader_leases_ = true;
    if (Controller* n = leader_by_lease()) n->lease_end = now_ + lease::kLeaseDuration;
    update_leader_leases();
}

// Its hold is new, or was renewed a moment ago.
void ClusterSimulation::renew_leader_lease(Controller& n) {
    n.lease_end = now_ + lease::kLeaseDuration;
    n.leads_until = now_ - 20 + without_clock_drift(lease::kLeaseDuration);
    if (n.control_loop) n.control_loop->confirm_lease_until(n.leads_until);
}

bool ClusterSimulation::may_respond(const Controller& n) const {
    return now_ >= n.frozen_until && now_ < n.state_seen_at + n.control_loop->max_response_window();
}

// Renewals, the watch that dates a leader's view, and the end of holds.
void ClusterSimulation::update_leader_leases() {
    at(now_ + 300, [this] { update_leader_leases(); });
    if (!state_service_up()) return;
    Controller* first = leader_by_lease();
    const bool seated = first != nullptr && now_ < first->lease_end;
    if (seated && state_service_answers(*first) && now_ >= first->frozen_until) {
        renew_leader_lease(*first);
        if (now_ - first->state_seen_at > 1'700) first->state_seen_at = now_ - 200;
    }
    // Whoever lost it hears so when it hears the state service again.
    for (auto& n : controllers_) {
        if (!n->control_loop || (n->leads && seated) || now_ < n->frozen_until ||
            !state_service_answers(*n))
            continue;
        n->leads = false;
        n->control_loop.reset();
    }
    if (seated) return;
    if (Controller* n = leader_by_lease()) n->leads = false;
    fail_over();
    renew_leader_lease(*controllers_.back());
}

void ClusterSimulation::reject_leader_at_state_service(Millis length) {
    if (Controller* n = leader_by_lease())
        n->rejected_until = std::max(n->rejected_until, now_ + length);
}

void ClusterSimulation::take_state_service_down(Millis length) {
    const Millis until = now_ + length;
    state_service_down_until_ = std::max(state_service_down_until_, until);
    at(until, [this] {
        // Every hold that had not ended has its full time again.
        if (Controller* n = leader_by_lease(); n != nullptr && state_service_up())
            n->lease_end = now_ + lease::kLeaseDuration;
    });
}

void ClusterSimulation::crash_leader() {
    count_unrecorded_completions();
    if (Controller* n = leader_by_lease()) {
        n->control_loop.reset();
        n->rejected_until = kNever;  // nobody renews its hold
    }
}

void ClusterSimulation::freeze_leader(Millis length) {
    if (Controller* n = leader_by_lease()) n->frozen_until = now_ + length;
}

Millis ClusterSimulation::send_fault() {
    if (++sends_ != inject_at_send_) return 0;
    const SendFault fault = send_fault_;
    if (fault == SendFault::crash || fault == SendFault::freeze) {
        at(now_ + 1, [this, fault] {
            // One that stands still keeps its book, and answers nobody meanwhile.
            faults_.lingering_old_leaders = fault == SendFault::freeze ? 1 : 0;
            fail_over();
            for (auto& n : controllers_) n->responds_until = now_;
        });
    }
    return fault == SendFault::freeze || fault == SendFault::delay ? 25'000 : 0;
}

}  // namespace nickelramp::test
