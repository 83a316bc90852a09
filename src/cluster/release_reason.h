/// @file
/// Why a machine is released; for the log.
#pragma once

namespace nickelramp::cluster {

enum class ReleaseReason {
    unresponsive,        ///< neither heartbeats nor replies for too long
    unknown_token,       ///< its heartbeat shows a token that was never given out
    never_booted,        ///< not listed as running within its boot time
    never_reported,      ///< listed as running, but it sent no heartbeat
    known_from_records,  ///< only records name it
    commands_lost,       ///< its heartbeats arrive, commands do not reach it
    idle,                ///< not needed any more
    drained,             ///< its tasks have left it
    preempted,           ///< the cloud takes it back
    released_earlier,    ///< an earlier term had begun to release it
    failed,              ///< the cloud lists it as failed
    fails_tasks,         ///< tasks of several jobs ended in error on it
};

/// What is the case with the machine, to follow "machine=NAME".
[[nodiscard]] const char* describe(ReleaseReason reason);

}  // namespace nickelramp::cluster
