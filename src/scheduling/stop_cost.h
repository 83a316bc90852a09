/// @file
/// What it costs to stop a running task, so that the scheduler stops the cheapest.
#pragma once
#include "jobs/job.h"

namespace nickelramp::scheduling {

/// An attempt that may be stopped to make room, with the cost of doing so.
struct PreemptionVictim {
    double cost_s = 0;  ///< seconds of work that are lost, with surcharges for what matters more
    jobs::Attempt* attempt = nullptr;
};

/// Orders victims by cost, the cheapest first.
inline bool cheaper_victim(const PreemptionVictim& a, const PreemptionVictim& b) {
    return a.cost_s < b.cost_s;
}

/// Seconds of the attempt's work that are lost when it is stopped: what it takes to save and to
/// start again if its job keeps checkpoints, otherwise all that it has run.
inline double stop_cost_s(const jobs::Job& job, const jobs::Attempt& attempt, Millis now) {
    constexpr double kRestartS = 2;
    if (job.spec.checkpoint_s > 0) return job.spec.save_s + kRestartS;
    return attempt.running_since == 0 ? 0
                                      : static_cast<double>(now - attempt.running_since) / 1000.0;
}

}  // namespace nickelramp::scheduling
