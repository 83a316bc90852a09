// What controllers tell each other. All of it is advice or a lease with an end: nothing said here
// makes a start safe, the records in the state service do.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "peers/codec.h"
#include "shards/shard_lease_table.h"

namespace nickelramp::peers {

enum class MessageKind : std::uint64_t {
    status = 1,
    shard_grant = 2,
    shard_status = 3,
    heartbeat_delegation = 4,
    role_assignment = 5,
    delegated_request = 6,
    delegated_result = 7,
    forwarded_heartbeat = 8,
    forwarded_reply = 9
};

// To everybody, every second.
struct Status {
    std::string from;
    std::uint64_t incarnation = 0;   // of the process
    std::uint64_t clock_ms = 0;      // its steady clock; a grant answers it
    std::uint64_t term = 0;          // that the sender leads; 0: none
    std::uint64_t state_age_ms = 0;  // since the state service last answered it
    struct Progress {                // of open jobs, for display; leader only
        std::string id;
        std::uint64_t done = 0, running = 0;
    };
    std::vector<Progress> progress;
    // The last leave that the sender got, and how long ago it last answered a machine by it, plus
    // one; 0: never.
    std::uint64_t delegation_term = 0, delegation_clock_ms = 0, last_reply_age_ms = 0;
    std::uint64_t confirms_cancellations =
        0;  // 1: it tells users of a cancellation only when that is over
    // Zones that the sender, as leader, has lost, and for how long: its successor knows as much.
    struct LostZone {
        std::string zone;
        std::uint64_t age_ms = 0;
    };
    std::vector<LostZone> lost_zones;
    std::uint64_t lease_id = 0;  // a helper's own; 0: none
    // The term whose reports the sender takes from workers: as its leader, or to forward them to
    // it. 0: it takes none.
    std::uint64_t heartbeat_term = 0;
    // In use, by workers of those, and its limit; 0: not known.
    std::uint64_t sockets = 0, worker_sockets = 0, max_sockets = 0;
};

// Leader to every controller, every second: it may answer machines in the leader's name when it
// hears nobody else (src/deputy).
struct HeartbeatDelegation {
    std::string from;
    std::uint64_t term = 0;
    std::uint64_t incarnation = 0;         // of the process that it is for
    std::uint64_t status_clock_ms = 0;     // clock of the status that this answers
    std::uint64_t view_age_ms = 0;         // how old the leader's knowledge of cancellations is
    std::uint64_t clock_ms = 0;            // the leader's; comes back in the next status
    std::uint64_t response_window_ms = 0;  // it may answer for so long after that knowledge
    std::uint64_t highest_token = 0;       // no token beyond it was granted by then
    std::vector<std::uint64_t> delegated_tokens;  // tokens of blocks that others hold
};

// Leader to holder, renewed every second: a block of machines, and the jobs to run on them.
struct ShardGrant {
    std::string from;
    std::uint64_t term = 0, term_version = 0;
    std::uint64_t shard = 0, shard_version = 0;  // number and stamp of its record
    std::uint64_t token = 0;
    // A process that came back must not go on with a token whose commands its predecessor may still
    // have under way.
    std::uint64_t incarnation = 0;
    std::uint64_t status_clock_ms =
        0;  // clock of the status that this answers: the lease runs from then
    std::uint64_t lease_ms = 0;
    std::uint64_t view_age_ms = 0;  // how old the leader's knowledge of cancellations is
    std::vector<shards::ShardMember> machines;
    struct Job {
        std::string id;
        std::uint64_t cancelled = 0;
    };
    std::vector<Job> jobs;
};

// Holder to leader, every second and when something ends.
struct ShardStatus {
    std::string from;
    std::uint64_t term = 0, token = 0;
    struct Job {
        std::string id;
        std::uint64_t done = 0, running = 0, finished = 0;
    };
    std::vector<Job> jobs;
    std::vector<std::string> unhealthy_machines;  // machines that the holder wants to be rid of
};

// Leader to its helper, every second: it is to have a hold of its own, and which duties hang on it;
// it lets go of others.
struct RoleAssignment {
    std::string from;
    std::uint64_t term = 0;
    std::uint64_t incarnation = 0;      // of the process that it is for
    std::uint64_t status_clock_ms = 0;  // clock of the status that this answers: it lasts from then
    std::uint64_t lease_ms = 0;
    struct AssignedRole {
        std::uint64_t number = 0, fence = 0, lease_id = 0;
    };
    std::vector<AssignedRole> roles;
};

// Leader to whoever has the duty: something to ask of the cloud. It is on record already.
struct DelegatedRequest {
    std::string from;
    std::uint64_t sequence = 0;     // of the leader's process; the outcome names it
    std::uint64_t incarnation = 0;  // of the process that it is for
    std::uint64_t role = 0, fence = 0;
    std::string request, type, zone;  // a rental
    std::uint64_t spot = 0, count = 0;
    std::vector<std::string> machines;  // a return
};
struct DelegatedResult {
    std::string from;
    std::uint64_t sequence = 0;
    std::uint64_t result = 0;  // fleet::HireReply::Result; of a return: hired means done
    std::vector<std::string> machines;
};

// Whole frames. What only a leader may say is an Order: the mesh sends one against a permit only.
struct PeerFrame {
    std::string frame;
    bool operator==(const PeerFrame&) const = default;
};
struct LeaderFrame {
    std::string frame;
    bool operator==(const LeaderFrame&) const = default;
};
PeerFrame encode(const Status& status);
PeerFrame encode(const ShardStatus& shard_status);
PeerFrame encode(const DelegatedResult& result);
LeaderFrame encode(const ShardGrant& grant);
LeaderFrame encode(const HeartbeatDelegation& delegation);
LeaderFrame encode(const RoleAssignment& assignment);
LeaderFrame encode(const DelegatedRequest& request);
// Nothing for messages that cannot be read.
std::optional<Status> decode_status(std::string_view body);
std::optional<ShardGrant> decode_shard_grant(std::string_view body);
std::optional<ShardStatus> decode_shard_status(std::string_view body);
std::optional<HeartbeatDelegation> decode_heartbeat_delegation(std::string_view body);
std::optional<RoleAssignment> decode_role_assignment(std::string_view body);
std::optional<DelegatedRequest> decode_delegated_request(std::string_view body);
std::optional<DelegatedResult> decode_delegated_result(std::string_view body);

}  // namespace nickelramp::peers
