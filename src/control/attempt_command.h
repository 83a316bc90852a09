/// @file
/// Builds commands for attempts in the cluster state. Used by CommandSender and ReplyCommands.
#pragma once
#include <cstddef>

#include "jobs/job.h"
#include "wire/messages.h"

namespace nickelramp::control {

/// The maximum number of commands in a direct message or a heartbeat reply.
inline constexpr std::size_t kMaxCommandsPerMessage = 200;

/// @param grace_s for stop commands: the time to save the task's progress, in seconds.
[[nodiscard]] inline wire::Command command_for(wire::Command::Op op, const jobs::Job& job,
                                               const jobs::Attempt& attempt, double grace_s = 0) {
    return {op, job.spec.id, attempt.task, attempt.number, grace_s};
}

}  // namespace nickelramp::control
