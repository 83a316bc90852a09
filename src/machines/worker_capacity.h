/// @file
/// The number of workers that all controllers together can serve. Machines beyond that would be
/// paid for but could not connect to any controller, and would be replaced as unresponsive by
/// machines with the same problem.
#pragma once
#include <cstddef>
#include <cstdint>

namespace nickelramp::machines {

/// Computed by relay::WorkerBalancer, used by the autoscaler and the machine checks.
struct WorkerCapacity {
    std::size_t max_machines = SIZE_MAX;
    /// A controller recently ran out of sockets, so a missing heartbeat proves nothing.
    bool sockets_exhausted = false;
};

}  // namespace nickelramp::machines
