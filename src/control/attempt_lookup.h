/// @file
/// Matches the tasks that a heartbeat lists with the attempts in the cluster state. Used by
/// ReplyCommands and HeartbeatReconciler.
#pragma once
#include "cluster/cluster_state.h"
#include "wire/messages.h"

namespace nickelramp::control {

/// Returns whether `report` and `attempt` have the same job, task and attempt number.
[[nodiscard]] inline bool is_report_of(const wire::TaskReport& report, const jobs::Attempt& attempt,
                                       const cluster::ClusterState& cluster) {
    return attempt.number == report.attempt && attempt.task == report.task &&
           cluster.job_of(attempt).spec.id == report.job;
}

}  // namespace nickelramp::control
