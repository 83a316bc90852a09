#include "control/command_fence.h"

#include <spdlog/spdlog.h>

namespace nickelramp::control {

using jobs::Attempt;
using machines::Machine;

bool CommandFence::is_fenced(const Attempt& attempt, const Machine& machine) {
    return machine.channel.token() > attempt.token ||
           machine.channel.newest_proven().incarnation > attempt.incarnation;
}

void CommandFence::raise_token(Machine& machine, Millis now) {
    if (const std::uint64_t token = next_token(machine); token != 0)
        cluster_.raise_token(machine, token, now);
}

void CommandFence::advance_token(Machine& machine, Millis now) {
    if (const std::uint64_t token = next_token(machine); token != 0)
        cluster_.advance_token(machine, token, now);
}

// Returns 0 if there is none. A leader then gives up its term, and a shard holder the shard; either
// way the machine gets a higher token.
std::uint64_t CommandFence::next_token(Machine& machine) {
    if (!shards::is_last_of_grant(machine.token)) return machine.token + 1;
    if (term_.is_shard_holder()) {
        cluster_.release_machine(machine, cluster::ReleaseReason::out_of_tokens);
        return 0;
    }
    const std::uint64_t token = shards_.grant_to_machine();
    if (token == 0) {
        term_.end("the term has no fencing tokens left");
        return 0;
    }
    spdlog::info("machine={} gets a grant of its own token={} previous={}", machine.name, token,
                 machine.token);
    return token;
}

}  // namespace nickelramp::control
