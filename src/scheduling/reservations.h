/// @file
/// Machines that are reserved for a job while other work on them is being stopped.
#pragma once
#include "cluster/cluster_state.h"

namespace nickelramp::scheduling {

/// How long a machine stays reserved, in milliseconds, beyond the time that the work on it needs to
/// save its state.
inline constexpr Millis kReservationDuration = 12'000;

/// Releases every machine that is reserved for the job.
inline void release_reservations(cluster::ClusterState& cluster, jobs::Job& job) {
    while (!job.reserved_machines.empty())
        cluster.release_reservation(*cluster.machine_by_index(job.reserved_machines.back()));
}

/// The time that a machine takes to boot, in milliseconds: that of the first type, as an estimate.
inline Millis typical_boot_time(const cluster::ClusterState& cluster) {
    return cluster.types().empty() ? 0 : seconds(cluster.types().front().boot_s);
}

}  // namespace nickelramp::scheduling
