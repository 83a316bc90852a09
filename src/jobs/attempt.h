/// @file
/// One attempt to run one task on one machine.
#pragma once
#include <cstdint>

#include "base/names.h"
#include "base/time.h"
#include "dependencies/dependency_automata.h"
#include "jobs/cluster_owned.h"
#include "wire/messages.h"

namespace nickelramp::jobs {

enum class AttemptState {
    recording,  ///< the checkpoint that names it is being written; no start command was sent
    recorded,   ///< the checkpoint is committed; the start command may be sent
    starting,   ///< the start command was sent; no heartbeat has listed the attempt yet
    fetching,   ///< the machine is fetching the image
    waiting,    ///< known to the worker, but not running yet
    running,
    saving,  ///< saving its progress before it stops
    exited,  ///< reported as exited; uses no resources, but the worker still lists it
};

/// Returns the state's name as shown in logs and on administration pages.
[[nodiscard]] const char* name(AttemptState state);

/// Owned by its job and referenced by its machine. Created, changed and destroyed by
/// cluster::ClusterState.
struct Attempt {
    Index job = kNone;
    std::uint32_t task = 0;
    std::uint32_t number = 0;  // counts the attempts of the task (or of the whole gang), from 1
    Index machine = kNone;
    std::uint32_t index_in_job = 0;  // position in Job::attempts
    ClusterOwned<AttemptState> state{AttemptState::recording};
    std::uint64_t token = 0;        // of the last start command, or of the term that loaded it
    std::uint64_t incarnation = 0;  // of the worker when the start command was sent
    bool start_answered = false;    // the worker has replied to the start command
    bool stop_sent = false;
    bool stop_requested = false;
    double stop_grace_s = 0;  // time to save its progress before a wanted stop
    wire::ExitCause cause = wire::ExitCause::none;
    Millis placed_at = 0;
    Millis running_since = 0;         // 0: not yet reported as running
    std::uint64_t commit_number = 0;  // the transaction in flight that records it; 0: none
    // Its start and end events in Job::dependencies; kNone once it has ended.
    dependencies::Event start_event = kNone, end_event = kNone;

    /// Returns whether the attempt may still use resources of its machine.
    [[nodiscard]] bool live() const { return state != AttemptState::exited; }
};

}  // namespace nickelramp::jobs
