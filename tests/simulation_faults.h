/// @file
/// The faults that ClusterSimulation injects.
#pragma once
#include <string>

#include "base/time.h"

namespace nickelramp::test {

/// Faults that occur at random while a simulation runs. Values are probabilities for one event
/// unless a name ends in `_per_s` (a rate) or the type is Millis (a duration). By default nothing
/// fails.
struct Faults {
    // A test initializes the first nine members by position, so their order must not change.
    double lost_command_replies = 0;   ///< the reply to a command is lost
    double delayed_commands = 0;       ///< a command arrives up to 1 min late and its reply is lost
    double unknown_commits = 0;        ///< a commit gets no reply and is applied at once or late
    double lost_heartbeats = 0;        ///< a heartbeat or its reply is lost
    double late_heartbeat_copies = 0;  ///< a copy arrives between seconds and several leases late
    /// Not injected by the simulation. Tests read it and call restart_machine().
    double worker_restarts_per_s = 0;
    double refused_provisioning = 0;    ///< the cloud refuses to provision
    double faulty_machines = 0;         ///< a new machine fails every task
    double machine_failures_per_s = 0;  ///< in the whole cluster

    // Machines and messages between controllers and workers.
    double refused_commands = 0;                 ///< the connection to a machine is refused
    double copies_for_next_leader = 0;           ///< a copy arrives when the next term begins
    double heartbeats_held_for_next_leader = 0;  ///< arrives only after the next term began
    Millis min_boot = 5'000, max_boot = 15'000;

    // Controllers.
    double failovers_per_s = 0;
    double lingering_old_leaders = 0;       ///< a deposed leader continues to respond for some time
    double holder_failures_per_s = 0;       ///< per shard holder
    double lost_peer_messages = 0;          ///< a message between controllers is lost
    double lost_shard_grants = 0;           ///< a grant to a shard holder is lost
    bool holder_one_way_partition = false;  ///< shard holders can send but not receive messages

    // Cloud.
    double late_cloud_calls = 0;      ///< a call is executed up to 1 min late and its reply is lost
    double lost_cloud_replies = 0;    ///< a call is executed but its reply is lost
    Millis cloud_list_lag = 0;        ///< lists are outdated by this much or twice as much
    bool cloud_down = false;          ///< no cloud call is executed
    std::string exhausted_zone = "";  ///< the zone without free machines

    // Key-value store.
    double lost_commit_replies = 0;           ///< a commit is applied but its reply is lost
    std::string lost_commit_replies_of = "";  ///< restricts it to this commit_kind(); empty: any
    Millis list_delay = 0;                    ///< maximum duration of a list request or of one page
    Millis watch_delay = 0;                   ///< maximum delay of watched changes of open records
    Millis deletion_notice_delay = 0;         ///< maximum additional delay of watched deletions
    double state_writes_per_s = 0;  ///< write rate limit, with bursts of up to 1 s; 0: none

    // Requests of all kinds (RequestRepeater).
    double repeated_requests = 0;           ///< a request that was answered arrives again
    std::string repeated_requests_of = "";  ///< restricts it to this kind; empty: any
};

/// Some machines of a zone are unreachable from outside the zone for a while.
struct Partition {
    std::string zone;
    double share = 1;  ///< the share of the zone's machines that is inside the partition
    bool freezes_machines = false;  ///< the machines run no tasks and send no heartbeats either
    bool delays_commands = false;   ///< commands arrive after the partition instead of being lost
    bool includes_controller = false;  ///< the zone's shard holder is inside the partition
    Millis from = 0, until = 0;

    [[nodiscard]] bool active(Millis now) const { return now >= from && now < until; }
};

/// What happens when the leader sends its n-th message to the key-value store or the cloud.
enum class SendFault {
    none,
    crash,   ///< the message is sent, then the leader crashes
    freeze,  ///< the message is sent long after the leader's term has ended
    delay    ///< the message is executed much later, the leader continues
};

}  // namespace nickelramp::test
