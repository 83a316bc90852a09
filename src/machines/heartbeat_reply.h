// What a controller answers to a worker's report.
#pragma once
#include <cstdint>
#include <string>
#include <vector>

#include "wire/messages.h"

namespace nickelramp::machines {

struct HeartbeatReply {
    int status = 200;    // 200, 421, 503
    std::string holder;  // with 421: who answers for the machine
    std::uint64_t token = 0;
    std::vector<wire::Command> commands;
};

}  // namespace nickelramp::machines
