/// @file
/// Reservations of machines for a job while preempted tasks on them are being stopped.
#pragma once
#include "cluster/cluster_state.h"

namespace nickelramp::scheduling {

/// Duration of a machine's reservation, in addition to the time that preempted tasks need to save
/// their state.
inline constexpr Millis kReservationDuration = 12'000;

/// Releases every machine that is reserved for the job.
inline void release_reservations(cluster::ClusterState& cluster, jobs::Job& job) {
    while (!job.reserved_machines.empty())
        cluster.release_reservation(*cluster.machine_by_index(job.reserved_machines.back()));
}

/// Returns an estimate of the boot time of a machine: that of the first machine type.
inline Millis typical_boot_time(const cluster::ClusterState& cluster) {
    return cluster.types().empty() ? 0 : seconds(cluster.types().front().boot_s);
}

}  // namespace nickelramp::scheduling
