// How many workers the controllers together can take reports from. Machines beyond that would be
// paid for, reach nobody, be taken for broken and be replaced by others that fare the same.
#pragma once
#include <cstddef>
#include <cstdint>

namespace nickelramp::machines {

struct WorkerCapacity {
    std::size_t max_machines = SIZE_MAX;
    // A controller has been out of sockets lately: that a worker is not heard proves nothing.
    bool sockets_exhausted = false;
};

}  // namespace nickelramp::machines
