/// @file
/// Counters of the rare situations that simulations must cover.
#pragma once
#include <map>
#include <string>

#include "base/time.h"

namespace nickelramp::test {

/// How often rare situations occurred in a simulation. Tests assert that they were covered.
struct SimulationCoverage {
    std::size_t copies_of_old_incarnations = 0;  ///< heartbeat copies from an ended incarnation
    std::size_t copies_of_old_attempts = 0;      ///< copies that list a superseded attempt
    std::size_t delayed_commands_executed = 0;   ///< commands that arrived seconds late
    std::size_t delayed_commands_refused = 0;    ///< likewise, from a stale term or incarnation
    std::size_t late_commits_applied = 0;        ///< commits applied after their time-out
    std::size_t late_commits_refused = 0;
    std::size_t unrecorded_completions = 0;  ///< tasks done but not recorded when a leader crashed
    std::size_t working_but_unlisted = 0;    ///< machines with tasks missing in the cloud's list
    std::size_t working_but_listed_booting = 0;         ///< machines with tasks listed as booting
    std::size_t released_but_listed = 0;                ///< released machines still listed
    std::size_t heartbeats_before_provision_reply = 0;  ///< from machines not yet named in a reply
    std::map<std::string, std::size_t>
        lost_commit_replies;      ///< commits applied whose reply was lost, by commit_kind()
    std::size_t held_copies = 0;  ///< held heartbeats delivered when a term began
    std::size_t held_copies_of_gone_machines = 0;
    std::size_t held_copies_of_old_incarnations = 0;
    std::size_t held_heartbeats_delivered = 0;  ///< held originals, as opposed to copies
    std::size_t cancellations_during_load = 0;  ///< changes between a leader's first and last read
    std::map<std::string, std::size_t> repeated_requests;  ///< copies that arrived, by kind
    std::map<std::string, std::size_t>
        repeated_commits_applied;  ///< copies whose conditions still held, by commit_kind()
    std::size_t repeated_commands_rejected = 0;  ///< copies with an old token or incarnation
    std::size_t repeated_commands_executed = 0;  ///< copies that the worker accepted
    std::size_t repeated_starts = 0;             ///< starts in the accepted copies
    std::size_t forgotten_by_restart = 0;  ///< of these, attempts lost with the worker's process
    Millis longest_wait = 0;               ///< see ClusterSimulation::expect_wait_below()
};

}  // namespace nickelramp::test
