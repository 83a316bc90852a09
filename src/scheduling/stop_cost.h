/// @file
/// The cost of stopping a running task. The scheduler preempts the tasks with the lowest cost.
#pragma once
#include "jobs/job.h"

namespace nickelramp::scheduling {

/// An attempt that may be preempted, with the cost of stopping it.
struct PreemptionVictim {
    double cost_s = 0;  ///< lost work in seconds, plus surcharges for more important work
    jobs::Attempt* attempt = nullptr;
};

/// Orders victims by cost, cheapest first.
inline bool cheaper_victim(const PreemptionVictim& a, const PreemptionVictim& b) {
    return a.cost_s < b.cost_s;
}

/// Returns the seconds of work that are lost when the attempt is stopped: the time to save and
/// restart if its job writes checkpoints, otherwise its whole run time so far.
inline double stop_cost_s(const jobs::Job& job, const jobs::Attempt& attempt, Millis now) {
    constexpr double kRestartS = 2;
    if (job.spec.checkpoint_interval_s > 0) return job.spec.checkpoint_duration_s + kRestartS;
    return attempt.running_since == 0 ? 0
                                      : static_cast<double>(now - attempt.running_since) / 1000.0;
}

}  // namespace nickelramp::scheduling
