/// @file
/// A machine of the simulated cluster, its worker and its tasks.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/time.h"
#include "wire/messages.h"

namespace nickelramp::test {

/// Identifies a task by its job and its index in the job.
struct TaskId {
    std::string job;
    std::uint32_t task = 0;
    auto operator<=>(const TaskId&) const = default;
};

/// Identifies one attempt to run a task.
struct AttemptId {
    TaskId task;
    std::uint32_t attempt = 0;
    auto operator<=>(const AttemptId&) const = default;
};

/// The state of a task on the worker that runs it.
struct SimulatedTask {
    std::uint32_t attempt = 0;
    wire::TaskPhase phase = wire::TaskPhase::fetching;
    wire::ExitCause cause = wire::ExitCause::none;  ///< set when the task has exited
    Millis fetched_at = 0;                          ///< when its image has been fetched
    Millis done_at = 0;                             ///< when it completes, or has saved its state
    Millis gang_wait_until = 0;                     ///< when it stops waiting for its gang
    std::uint64_t term = 0;                         ///< the term of the leader that started it

    [[nodiscard]] bool exited() const { return phase == wire::TaskPhase::exited; }
    /// Returns whether the task uses resources of its machine. Such a task must not run on another
    /// machine at the same time.
    [[nodiscard]] bool occupies_machine() const {
        return phase != wire::TaskPhase::fetching && !exited();
    }
    void exit(wire::ExitCause why) {
        phase = wire::TaskPhase::exited;
        cause = why;
    }
};

/// A machine and the worker process on it.
struct SimulatedMachine {
    std::string name, type, zone;
    bool spot = false;
    bool up = false;       ///< has booted
    bool dead = false;     ///< has stopped; the cloud may still list it as running
    bool removed = false;  ///< was released, or preempted by the cloud
    bool failed = false;   ///< the cloud lists it as failed
    bool faulty = false;   ///< makes every task on it fail
    Millis provisioned_at = 0, up_at = kNever, removed_at = kNever;

    // The worker.
    std::uint64_t incarnation = 1, sequence = 0, token = 0;
    std::size_t process_generation = 0;  ///< incremented by every restart of the worker
    Millis lease_from = 0;               ///< when the last answered heartbeat was sent
    std::map<TaskId, SimulatedTask> tasks;
    std::set<std::string> images;     ///< in the worker's cache
    std::set<AttemptId> seen_starts;  ///< attempts started and not yet forgotten
    /// Exited and not yet forgotten attempts of tasks that were started again here.
    std::map<AttemptId, wire::ExitCause> superseded;
    wire::Heartbeat first, last;  ///< the first and the last heartbeat sent

    // The worker's connection to a controller or a forwarder.
    std::size_t target = 0;                ///< the controller that it sends heartbeats to
    bool last_heartbeat_answered = false;  ///< the last heartbeat to `target` was answered with 200
    bool unanswered = false;               ///< the last heartbeat has no reply yet
    std::size_t forwarder = 0;             ///< the forwarder that it sends heartbeats to
    std::uint64_t answered_term = 0;  ///< term that answered the last forwarded heartbeat; 0: none

    // Faults.
    bool named_in_provision_reply = false;  ///< a provisioning reply has named it
    Millis inbound_blocked_until = 0, commands_blocked_until = 0, heartbeats_blocked_until = 0;

    [[nodiscard]] bool exists() const { return !removed && !dead; }
    [[nodiscard]] bool running() const { return up && exists(); }
};

}  // namespace nickelramp::test
