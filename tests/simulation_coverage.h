// Counters of rare situations.
#pragma once
#include <map>
#include <string>

#include "base/time.h"

namespace nickelramp::test {

/// How often a simulation came into situations that tests want to have covered.
struct SimulationCoverage {
    std::size_t copies_of_old_incarnations = 0;  ///< heartbeat copies from an ended incarnation
    std::size_t copies_of_old_attempts = 0;      ///< copies listing an attempt that has a successor
    std::size_t delayed_commands_executed = 0;   ///< commands that arrived seconds late
    std::size_t delayed_commands_refused = 0;    ///< likewise, from a stale term or incarnation
    std::size_t late_commits_applied = 0;        ///< commits applied after they were given up
    std::size_t late_commits_refused = 0;
    std::size_t unrecorded_completions = 0;  ///< tasks done on no record as a leader crashed
    std::size_t working_but_unlisted = 0;    ///< machines with tasks that the cloud's list lacks
    std::size_t working_but_listed_booting = 0;  ///< machines with tasks that it lists as booting
    std::size_t gone_but_listed = 0;             ///< released machines that it still lists
    std::size_t heartbeats_before_rental_reply = 0;  ///< from machines not yet named in a reply
    std::map<std::string, std::size_t>
        lost_commit_replies;      ///< by commit_kind(): applied, reply lost
    std::size_t held_copies = 0;  ///< held copies delivered as a leader began
    std::size_t held_copies_of_gone_machines = 0;
    std::size_t held_copies_of_old_incarnations = 0;
    std::size_t held_heartbeats_delivered = 0;  ///< heartbeats that had been held, not copies
    std::size_t cancellations_during_load = 0;  ///< changes between a leader's first and last read
    Millis longest_wait = 0;                    ///< see ClusterSimulation::expect_wait_below()
};

}  // namespace nickelramp::test
