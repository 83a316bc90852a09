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
    recording,  ///< the checkpoint that names it is being written; nothing was sent
    recorded,   ///< the checkpoint is committed; the start may be sent
    starting,   ///< the start was sent, no heartbeat has shown the attempt yet
    fetching,   ///< the machine fetches its image
    waiting,    ///< the worker has it, and it does not run yet
    running,    ///< it runs
    saving,     ///< it saves its progress before it stops
    exited,     ///< reported as exited: it takes no resources, but the worker still lists it
};

/// The state's name in logs and on administration pages.
[[nodiscard]] const char* name(AttemptState state);

/// Owned by its job; its machine points to it. Created, changed and destroyed by
/// cluster::ClusterState.
struct Attempt {
    Index job = kNone;
    std::uint32_t task = 0;
    std::uint32_t number = 0;  // of the task's attempts (of the gang's, for a gang), from 1
    Index machine = kNone;
    std::uint32_t index_in_job = 0;  // position in Job::attempts
    ClusterOwned<AttemptState> state{AttemptState::recording};
    std::uint64_t token = 0;        // of the last start sent, or of the term that loaded it
    std::uint64_t incarnation = 0;  // of the worker when the start was sent
    // Number of the message in which the worker replied to the start; 0: no reply came.
    std::uint64_t start_reply_sequence = 0;
    bool stop_sent = false;
    bool stop_wanted = false;
    double stop_grace_s = 0;  // seconds that a wanted stop leaves it to save
    wire::ExitCause cause = wire::ExitCause::none;
    Millis placed_at = 0;
    Millis running_since = 0;         // 0: not yet seen running
    std::uint64_t commit_number = 0;  // transaction under way that carries it; 0: none
    // Its start and its end in its job's dependencies; kNone once it has ended.
    dependencies::Event start_event = kNone, end_event = kNone;

    /// Does it take resources of its machine, as far as is known?
    [[nodiscard]] bool live() const { return state != AttemptState::exited; }
};

}  // namespace nickelramp::jobs
