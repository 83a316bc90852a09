#include "controller/leadership_monitor.h"

namespace nickelramp::controller {

using election::ElectionState;

const char* name(StepDownReason reason) {
    switch (reason) {
        case StepDownReason::machines_unreachable:
            return "most machines are unreachable";
        case StepDownReason::commands_lost:
            return "no command of this controller reaches a machine";
        case StepDownReason::rejected_by_store:
            return "the key-value store rejects this controller alone";
    }
    return "?";
}

std::optional<StepDownReason> LeadershipMonitor::check_machines(
    const control::ControlLoop& control_loop, ElectionState state, Millis now) {
    constexpr double kToleratedHeartbeatIntervals = 2;
    if (control_loop.all_zones_unresponsive()) {
        if (unresponsive_since_ == 0) unresponsive_since_ = now;
        const Millis tolerated =
            seconds(kToleratedHeartbeatIntervals * settings_.heartbeat_interval_s);
        if (now - unresponsive_since_ > tolerated && state == ElectionState::leading) {
            unresponsive_since_ = 0;
            return StepDownReason::machines_unreachable;
        }
    } else {
        unresponsive_since_ = 0;
    }
    if (control_loop.commands_lost(now) && state == ElectionState::leading)
        return StepDownReason::commands_lost;
    return std::nullopt;
}

std::optional<StepDownReason> LeadershipMonitor::check_store(const readiness::Readiness& readiness,
                                                             ElectionState state) {
    if (readiness.should_hand_over() && state == ElectionState::lease_uncertain)
        return StepDownReason::rejected_by_store;
    return std::nullopt;
}

}  // namespace nickelramp::controller
