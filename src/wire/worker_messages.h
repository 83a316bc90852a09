/// @file
/// Messages of workers: their heartbeats, and the replies and commands that they get.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "wire/cbor.h"

namespace nickelramp::wire {

/// Phases of a task on a machine, in their order. waiting: for the other tasks of its gang.
enum class TaskPhase : std::uint8_t { fetching, waiting, running, saving, exited };

/// Why a task has exited.
enum class ExitCause : std::uint8_t {
    none,
    done,
    stopped,  ///< by a command
    peers,    ///< another task of its gang has exited
    alone,    ///< its gang did not become complete in time
    error,
    no_room,  ///< the machine has not enough free resources
    busy,
    unknown  ///< the machine does not know the task
};
/// The cause's text in the protocol; empty for `none`.
const char* name(ExitCause cause);

/// The state of one task, as its machine reports it.
struct TaskReport {
    std::string job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    TaskPhase phase = TaskPhase::fetching;
    /// Only with TaskPhase::exited.
    ExitCause cause = ExitCause::none;
    /// Its work is saved in a checkpoint.
    bool saved = false;
};

/// A worker's periodic message, with all tasks of the machine.
struct Heartbeat {
    std::string machine, address, type, zone;
    bool spot = false;
    /// `incarnation` of the worker process, `sequence` in it, and the highest fencing token that
    /// the worker has seen.
    std::uint64_t incarnation = 0, sequence = 0, token = 0;
    /// The cloud takes the machine back after so many seconds.
    std::optional<double> preemption_notice_s;
    std::vector<TaskReport> tasks;
};

/// Nothing if a field that is needed is missing or any task cannot be read.
std::optional<Heartbeat> decode_heartbeat(const Json& body);

/// What a worker is to do with a task. forget: it need not report the exited task any more.
struct Command {
    enum class Op : std::uint8_t { start, stop, forget };
    Op op = Op::start;
    std::string job;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    /// With `stop`: seconds that the task gets to end by itself.
    double grace_s = 0;
};

/// The body of a reply with status 200.
std::string encode_heartbeat_reply(std::uint64_t token, const std::vector<Command>& commands);
/// The body of commands that are sent to a worker without a heartbeat of it; they are meant for
/// this incarnation only.
std::string encode_direct_commands(std::uint64_t token, std::uint64_t incarnation,
                                   const std::vector<Command>& commands);
/// The body of a reply with status 421: the controller to use instead. Empty: none is known.
std::string encode_redirect(const std::string& controller);

}  // namespace nickelramp::wire
