/// @file
/// Messages exchanged with workers: heartbeats, replies to heartbeats, and commands.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/cbor.h"

namespace nickelramp::wire {

/// Phases of a task on a machine, in chronological order. A task in phase `waiting` waits for the
/// other tasks of its gang.
enum class TaskPhase : std::uint8_t { fetching, waiting, running, saving, exited };

/// The reason why a task has exited.
enum class ExitCause : std::uint8_t {
    none,
    done,
    stopped,  ///< by a command
    peers,    ///< another task of its gang has exited
    alone,    ///< its gang was not complete in time
    error,
    no_room,  ///< the machine does not have enough free resources
    busy,
    unknown  ///< the machine does not know the task
};
/// Returns the name of a cause in the protocol, which is empty for `none`.
const char* name(ExitCause cause);

/// The state of one task as reported by its machine.
struct TaskReport {
    std::string job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    TaskPhase phase = TaskPhase::fetching;
    /// Set only in TaskPhase::exited.
    ExitCause cause = ExitCause::none;
    /// Whether the task's work is saved in a checkpoint.
    bool saved = false;
};

/// A worker's periodic message, which lists all tasks on the machine.
struct Heartbeat {
    std::string machine, address, type, zone;
    bool spot = false;
    /// Incarnation of the worker process, sequence number of the heartbeat within it, and the
    /// highest fencing token that the worker has received.
    std::uint64_t incarnation = 0, sequence = 0, token = 0;
    /// Seconds until the cloud preempts the machine, if it has announced this.
    std::optional<double> preemption_notice_s;
    std::vector<TaskReport> tasks;
};

/// Returns std::nullopt if a required field is missing or invalid or any task report is invalid.
std::optional<Heartbeat> decode_heartbeat(const Json& body);

/// An instruction to a worker concerning one task. After `forget`, the worker no longer needs to
/// report the exited task.
struct Command {
    enum class Op : std::uint8_t { start, stop, forget };
    Op op = Op::start;
    std::string job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    /// Only with `stop`: seconds within which the task may end by itself.
    double grace_s = 0;
};

/// Encodes the body of a heartbeat reply with status 200.
std::string encode_heartbeat_reply(std::uint64_t token, const std::vector<Command>& commands);
/// Encodes the body of a request that sends commands to a worker without waiting for its next
/// heartbeat. The commands apply to this incarnation of the worker only.
std::string encode_direct_commands(std::uint64_t token, std::uint64_t incarnation,
                                   const std::vector<Command>& commands);
/// Encodes the body of a reply with status 421, which names the controller to use instead.
/// @param controller empty if none is known
std::string encode_redirect(const std::string& controller);

}  // namespace nickelramp::wire
