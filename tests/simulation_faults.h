// The faults that ClusterSimulation injects.
#pragma once
#include <string>

#include "base/time.h"

namespace nickelramp::test {

/// Faults that occur at random while a simulation runs. Values are probabilities for one event
/// unless a name ends in `_per_s` (a rate) or the type is Millis (a duration). By default nothing
/// fails.
struct Faults {
    // The order of the first nine is part of the interface: a test lists them by position.
    double lost_command_replies = 0;   ///< the reply to a command is lost
    double delayed_commands = 0;       ///< a command arrives up to a minute late, its reply is lost
    double unknown_commits = 0;        ///< a commit has no reply: it is applied at once or late
    double lost_heartbeats = 0;        ///< a heartbeat or its reply is lost
    double late_heartbeat_copies = 0;  ///< a copy arrives seconds to several leases late
    /// Not injected by the simulation: tests read it and call restart_machine().
    double worker_restarts_per_s = 0;
    double refused_provisioning = 0;    ///< the cloud refuses to provision
    double faulty_machines = 0;         ///< a new machine fails every task
    double machine_failures_per_s = 0;  ///< in the whole cluster

    // Machines and messages between controllers and workers.
    double refused_commands = 0;                 ///< the connection to a machine is refused
    double copies_for_next_leader = 0;           ///< a copy arrives as the next leader begins
    double heartbeats_held_for_next_leader = 0;  ///< it arrives only after the next leader began
    Millis min_boot = 5'000, max_boot = 15'000;

    // Controllers.
    double failovers_per_s = 0;
    double lingering_old_leaders = 0;       ///< a deposed leader goes on responding for a while
    double holder_failures_per_s = 0;       ///< for one shard holder
    double lost_peer_messages = 0;          ///< a message between controllers is lost
    double lost_shard_grants = 0;           ///< a grant to a shard holder is lost
    bool holder_one_way_partition = false;  ///< shard holders are heard, and hear nothing

    // Cloud.
    double late_cloud_calls = 0;      ///< a call is executed up to a minute late, its reply is lost
    double lost_cloud_replies = 0;    ///< a call is executed and its reply is lost
    Millis cloud_list_lag = 0;        ///< lists are this old, or twice as old
    bool cloud_down = false;          ///< no call is executed
    std::string exhausted_zone = "";  ///< the zone without free machines

    // Key-value store.
    double lost_commit_replies = 0;           ///< a commit is applied and only its reply is lost
    std::string lost_commit_replies_of = "";  ///< only of this kind (commit_kind()); empty: of any
    Millis list_delay = 0;                    ///< a list, or a page of one, takes up to this long
    Millis watch_delay = 0;                   ///< changes of open records are seen up to this late
    Millis deletion_notice_delay = 0;  ///< deletions of open records: up to this much later still
    double state_writes_per_s = 0;     ///< writes accepted, in bursts of up to 1 s; 0: no limit
};

/// Some machines of a zone are unreachable from outside the zone for a while.
struct Partition {
    std::string zone;
    double share = 1;                  ///< of the zone's machines
    bool freezes_machines = false;     ///< the machines stand still instead
    bool delays_commands = false;      ///< commands arrive when it is over; otherwise they are lost
    bool includes_controller = false;  ///< the zone's shard holder is inside it
    Millis from = 0, until = 0;

    [[nodiscard]] bool active(Millis now) const { return now >= from && now < until; }
};

/// What happens to the leader as it sends its n-th message to the key-value store or the cloud.
enum class SendFault {
    none,
    crash,   ///< the message is sent, and the leader ends
    freeze,  ///< the message is sent long after the leader's term has ended
    delay    ///< the message is executed much later, and the leader goes on
};

}  // namespace nickelramp::test
