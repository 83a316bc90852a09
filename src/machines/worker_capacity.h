/// \file
/// How many workers all controllers together can hear. Machines beyond that would be paid for,
/// reach no controller, be taken for broken and be replaced by others with the same fate.
#pragma once
#include <cstddef>
#include <cstdint>

namespace nickelramp::machines {

/// Made by relay::WorkerBalancer, used by the autoscaler and the machine checks.
struct WorkerCapacity {
    std::size_t max_machines = SIZE_MAX;
    /// A controller has run out of sockets lately: a missing heartbeat proves nothing.
    bool sockets_exhausted = false;
};

}  // namespace nickelramp::machines
