/// @file
/// The messages that controllers send each other, and their encoding. All of them are either
/// information or leases that expire: no message makes a task start safe, the records in the
/// key-value store do. Messages may be lost, and are repeated every second instead of acknowledged.
///
/// Units: names that end in `_ms` are milliseconds. A `clock_ms` is a reading of the sender's
/// steady clock, which only the sender can interpret; a message that answers a Status returns it,
/// so that leases are counted from the moment at which that status was sent.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/codec.h"
#include "shards/shard_lease_table.h"

namespace nickelramp::peers {

/// The numbers on the wire. They are never reused; unknown ones, of later versions, are dropped.
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

/// From every controller to all others, every second.
struct Status {
    std::string from;
    /// Of the sender's process.
    std::uint64_t incarnation = 0;
    std::uint64_t clock_ms = 0;
    /// The term that the sender leads; 0: it does not lead.
    std::uint64_t term = 0;
    /// Since the key-value store last replied to the sender.
    std::uint64_t state_age_ms = 0;
    /// Numbers of tasks of an open job, for display.
    struct Progress {
        std::string id;
        std::uint64_t done = 0, running = 0;
    };
    /// Sent by the leader only.
    std::vector<Progress> progress;
    /// Term and clock of the last HeartbeatDelegation that the sender received; 0: none.
    std::uint64_t delegation_term = 0, delegation_clock_ms = 0;
    /// How long ago the sender last replied to a worker under that delegation, plus one; 0: never.
    std::uint64_t last_reply_age_ms = 0;
    /// 1: the sender reports a cancellation to users only once it is final.
    std::uint64_t confirms_cancellations = 0;
    /// A zone that the leader takes for lost, and for how long it has been.
    struct LostZone {
        std::string zone;
        std::uint64_t age_ms = 0;
    };
    /// Sent by the leader only, so that its successor knows as much.
    std::vector<LostZone> lost_zones;
    /// The helper's own lease in the key-value store; 0: none.
    std::uint64_t lease_id = 0;
    /// The term for which the sender accepts heartbeats from workers, as its leader or to forward
    /// them to it; 0: it accepts none.
    std::uint64_t heartbeat_term = 0;
    /// Sockets in use, how many of them by workers, and the limit; 0: not known.
    std::uint64_t sockets = 0, worker_sockets = 0, max_sockets = 0;
};

/// From the leader to every controller, every second: the receiver may reply to heartbeats in the
/// leader's name when the workers can reach nobody else (src/partition).
struct HeartbeatDelegation {
    std::string from;
    std::uint64_t term = 0;
    /// Of the process that it is meant for.
    std::uint64_t incarnation = 0;
    /// Clock of the status that this answers.
    std::uint64_t status_clock_ms = 0;
    /// How old the leader's knowledge of cancellations is.
    std::uint64_t view_age_ms = 0;
    /// The leader's clock; returned in the next status.
    std::uint64_t clock_ms = 0;
    /// How long after that knowledge the receiver may reply.
    std::uint64_t response_window_ms = 0;
    /// No token beyond it had been granted when this was sent.
    std::uint64_t highest_token = 0;
    /// Tokens of shards that other controllers hold.
    std::vector<std::uint64_t> delegated_tokens;
};

/// From the leader to a shard holder, renewed every second: machines, and the jobs to run on them.
struct ShardGrant {
    std::string from;
    /// The leader's term, and the version of its leader key.
    std::uint64_t term = 0, term_version = 0;
    /// Number of the shard, and the version of its record.
    std::uint64_t shard = 0, shard_version = 0;
    /// The shard's fencing token.
    std::uint64_t token = 0;
    /// Of the process that it is meant for: a restarted process must not go on with a token whose
    /// commands its predecessor may still have under way.
    std::uint64_t incarnation = 0;
    /// Clock of the status that this answers: the lease runs from then.
    std::uint64_t status_clock_ms = 0;
    std::uint64_t lease_ms = 0;
    /// How old the leader's knowledge of cancellations is.
    std::uint64_t view_age_ms = 0;
    std::vector<shards::ShardMember> machines;
    struct Job {
        std::string id;
        /// 1: its tasks are to be stopped.
        std::uint64_t cancelled = 0;
    };
    std::vector<Job> jobs;
};

/// From a shard holder to the leader, every second and when a task ends.
struct ShardStatus {
    std::string from;
    std::uint64_t term = 0, token = 0;
    struct Job {
        std::string id;
        /// Numbers of tasks; `finished` is 1 once the holder does not know the job any more.
        std::uint64_t done = 0, running = 0, finished = 0;
    };
    std::vector<Job> jobs;
    /// Machines that the holder asks the leader to take back.
    std::vector<std::string> unhealthy_machines;
};

/// From the leader to its helper, every second: the helper is to have a lease of its own in the
/// key-value store and holds these roles under it; it gives up all others.
struct RoleAssignment {
    std::string from;
    std::uint64_t term = 0;
    /// Of the process that it is meant for.
    std::uint64_t incarnation = 0;
    /// Clock of the status that this answers: the assignment lasts from then.
    std::uint64_t status_clock_ms = 0;
    std::uint64_t lease_ms = 0;
    struct AssignedRole {
        /// `number` is a lease::Role.
        std::uint64_t number = 0, fence = 0, lease_id = 0;
    };
    std::vector<AssignedRole> roles;
};

/// From the leader to the holder of a role: a cloud call to make. The provisioning intent is on
/// record already.
struct DelegatedRequest {
    std::string from;
    /// Of the leader's process; the result repeats it.
    std::uint64_t sequence = 0;
    /// Of the process that it is meant for.
    std::uint64_t incarnation = 0;
    /// A lease::Role and its fence.
    std::uint64_t role = 0, fence = 0;
    /// To provision: the request's name, machine type and zone, 1 for spot machines, and how many.
    std::string request, type, zone;
    std::uint64_t spot = 0, count = 0;
    /// To release.
    std::vector<std::string> machines;
};

/// The reply to a DelegatedRequest.
struct DelegatedResult {
    std::string from;
    std::uint64_t sequence = 0;
    /// A cloud::ProvisionReply::Result; `provisioned` says of a release that it is done.
    std::uint64_t result = 0;
    std::vector<std::string> machines;
};

/// An encoded message, framing included, that any controller may send.
struct PeerFrame {
    std::string frame;
    bool operator==(const PeerFrame&) const = default;
};

/// An encoded message that only a leader may send: PeerNetwork asks for a lease proof with it.
struct LeaderFrame {
    std::string frame;
    bool operator==(const LeaderFrame&) const = default;
};

PeerFrame encode(const Status& status);
PeerFrame encode(const ShardStatus& status);
PeerFrame encode(const DelegatedResult& result);
LeaderFrame encode(const ShardGrant& grant);
LeaderFrame encode(const HeartbeatDelegation& delegation);
LeaderFrame encode(const RoleAssignment& assignment);
LeaderFrame encode(const DelegatedRequest& request);

/// Each reads the body of a frame. Nothing if it is cut short, has a field out of range or names no
/// sender; nor if a grant has no token, a delegation or an assignment no term, or a request no
/// fence. Fields that a later version has appended are ignored.
std::optional<Status> decode_status(std::string_view body);
std::optional<ShardGrant> decode_shard_grant(std::string_view body);
std::optional<ShardStatus> decode_shard_status(std::string_view body);
std::optional<HeartbeatDelegation> decode_heartbeat_delegation(std::string_view body);
std::optional<RoleAssignment> decode_role_assignment(std::string_view body);
std::optional<DelegatedRequest> decode_delegated_request(std::string_view body);
std::optional<DelegatedResult> decode_delegated_result(std::string_view body);

}  // namespace nickelramp::peers
