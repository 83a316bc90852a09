// A machine of the simulated cluster, its worker and its tasks.
#pragma once
#include <compare>
#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "base/time.h"
#include "wire/messages.h"

namespace nickelramp::test {

/// A task of a job, by its index.
struct TaskId {
    std::string job;
    std::uint32_t task = 0;
    auto operator<=>(const TaskId&) const = default;
};

/// One attempt to run a task.
struct AttemptId {
    TaskId task;
    std::uint32_t attempt = 0;
    auto operator<=>(const AttemptId&) const = default;
};

/// A task as its worker runs it.
struct SimulatedTask {
    std::uint32_t attempt = 0;
    wire::TaskPhase phase = wire::TaskPhase::fetching;
    wire::ExitCause cause = wire::ExitCause::none;  ///< set once it has exited
    Millis fetched_at = 0;                          ///< its image is there
    Millis done_at = 0;                             ///< it has completed, or has saved its state
    Millis gathers_until = 0;                       ///< it gives up waiting for its gang
    std::uint64_t term = 0;                         ///< of the leader that started it

    [[nodiscard]] bool exited() const { return phase == wire::TaskPhase::exited; }
    /// It uses resources of its machine, and it would be wrong to run it elsewhere too.
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
    bool up = false;       ///< it has booted
    bool dead = false;     ///< it has stopped, and the cloud may not know it
    bool removed = false;  ///< the cloud has taken it back
    bool failed = false;   ///< it has stopped, and the cloud lists it as failed
    bool faulty = false;   ///< every task on it fails
    Millis provisioned_at = 0, up_at = kNever, removed_at = kNever;

    // The worker.
    std::uint64_t incarnation = 1, sequence = 0, token = 0;
    std::size_t process_generation = 0;  ///< grows with every restart of the worker
    Millis lease_from = 0;               ///< the heartbeat of the last reply was sent then
    std::map<TaskId, SimulatedTask> tasks;
    std::set<std::string> images;     ///< in its cache
    std::set<AttemptId> seen_starts;  ///< attempts it has started, until told to forget them
    wire::Heartbeat first, last;      ///< that it has sent

    // Its connection to a controller, or to a forwarder.
    std::size_t target = 0;                ///< the controller it reports to
    bool last_heartbeat_answered = false;  ///< its last heartbeat to it was answered with 200
    bool unanswered = false;               ///< its last heartbeat has no reply yet
    std::size_t forwarder = 0;             ///< the forwarder it reports to
    std::uint64_t answered_term = 0;  ///< of the reply 200 to its last heartbeat to it; 0: none

    // Faults.
    bool named_in_rental_reply = false;  ///< a controller knows it from the cloud's reply
    Millis inbound_blocked_until = 0, commands_blocked_until = 0, heartbeats_blocked_until = 0;

    [[nodiscard]] bool exists() const { return !removed && !dead; }
    [[nodiscard]] bool running() const { return up && exists(); }
};

}  // namespace nickelramp::test
