/// @file
/// Reasons for which a machine is released, for log messages.
#pragma once

namespace nickelramp::cluster {

enum class ReleaseReason {
    unresponsive,        ///< no heartbeat or reply was received for too long
    unknown_token,       ///< its heartbeat shows a token that was never issued
    never_booted,        ///< not listed as running within its boot time
    never_reported,      ///< listed as running, but no heartbeat was received
    known_from_records,  ///< known only from records
    commands_lost,       ///< heartbeats arrive, but commands do not reach it
    idle,                ///< no longer needed
    drained,             ///< was drained and has no tasks left
    preempted,           ///< being preempted by the cloud
    released_earlier,    ///< an earlier term began to release it
    failed,              ///< the cloud lists it as failed
    fails_tasks,         ///< tasks of several jobs failed on it
    out_of_tokens,       ///< all fencing tokens of its grant are used; only in a shard
};

/// Returns the reason as a predicate that completes a sentence about the machine, such as "is
/// idle".
[[nodiscard]] const char* describe(ReleaseReason reason);

}  // namespace nickelramp::cluster
