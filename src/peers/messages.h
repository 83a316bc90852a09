/// @file
/// The messages that controllers send each other, and their encoding. Each message carries either
/// information or a lease that expires. The records in the key-value store make task starts safe,
/// not the messages. Messages may be lost. They are not acknowledged, but repeated every second.
///
/// Names that end in `_ms` are in milliseconds. A `clock_ms` is a reading of the sender's steady
/// clock, which only the sender can interpret. A message that answers a Status returns the clock of
/// that status, so that leases start at the time at which the status was sent.
#pragma once
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/codec.h"
#include "shards/shard_lease_table.h"

namespace nickelramp::peers {

/// The kinds of messages by their numbers on the wire, which are never reused. Messages of unknown
/// kinds, which come from later versions, are dropped.
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

/// Sent by every controller to all others every second.
struct Status {
    std::string from;
    /// Identifies the sender's process.
    std::uint64_t incarnation = 0;
    std::uint64_t clock_ms = 0;
    /// The term that the sender leads, or 0 if it does not lead.
    std::uint64_t term = 0;
    /// Time since the key-value store last replied to the sender.
    std::uint64_t state_age_ms = 0;
    /// Task counts of an open job, for display.
    struct Progress {
        std::string id;
        std::uint64_t done = 0, running = 0;
    };
    /// Sent by the leader only.
    std::vector<Progress> progress;
    /// Term and clock of the last HeartbeatDelegation that the sender received; 0 if none.
    std::uint64_t delegation_term = 0, delegation_clock_ms = 0;
    /// Time since the sender last replied to a worker under that delegation, plus one; 0 if it
    /// never did.
    std::uint64_t last_reply_age_ms = 0;
    /// 1 if the sender reports a cancellation to users only once it is final.
    std::uint64_t confirms_cancellations = 0;
    /// A zone that the leader considers lost, and for how long it has done so.
    struct LostZone {
        std::string zone;
        std::uint64_t age_ms = 0;
    };
    /// Sent by the leader only, so that its successor knows the lost zones.
    std::vector<LostZone> lost_zones;
    /// The helper's own lease in the key-value store; 0 if none.
    std::uint64_t lease_id = 0;
    /// The term for which the sender accepts heartbeats from workers, either as the leader or to
    /// forward them to the leader; 0 if it accepts none.
    std::uint64_t heartbeat_term = 0;
    /// Number of sockets in use, number of those used by workers, and the limit. The limit is 0 if
    /// it is unknown.
    std::uint64_t sockets = 0, worker_sockets = 0, max_sockets = 0;
};

/// Sent by the leader to every controller every second. The receiver may reply to heartbeats on
/// behalf of the leader when workers cannot reach any other controller (src/partition).
struct HeartbeatDelegation {
    std::string from;
    std::uint64_t term = 0;
    /// Identifies the process that the message is addressed to.
    std::uint64_t incarnation = 0;
    /// Clock of the status that this answers.
    std::uint64_t status_clock_ms = 0;
    /// Age of the leader's knowledge of cancellations.
    std::uint64_t view_age_ms = 0;
    /// The leader's clock. The receiver returns it in its next status.
    std::uint64_t clock_ms = 0;
    /// How long the receiver may reply, counted from the time of the leader's knowledge of
    /// cancellations.
    std::uint64_t response_window_ms = 0;
    /// The highest token that may have been granted when this was sent.
    std::uint64_t highest_token = 0;
    /// Tokens of shards that other controllers hold.
    std::vector<std::uint64_t> delegated_tokens;
};

/// Sent by the leader to a shard holder and renewed every second. Grants machines, and the jobs to
/// run on them.
struct ShardGrant {
    std::string from;
    /// The leader's term, and the version of its leader key.
    std::uint64_t term = 0, term_version = 0;
    /// Number of the shard, and the version of its record.
    std::uint64_t shard = 0, shard_version = 0;
    /// The shard's fencing token.
    std::uint64_t token = 0;
    /// Identifies the process that the grant is addressed to. A restarted process must not continue
    /// with a token under which commands of its predecessor may still be in flight.
    std::uint64_t incarnation = 0;
    /// Clock of the status that this answers. The lease starts at that time.
    std::uint64_t status_clock_ms = 0;
    std::uint64_t lease_ms = 0;
    /// Age of the leader's knowledge of cancellations.
    std::uint64_t view_age_ms = 0;
    std::vector<shards::ShardMember> machines;
    struct Job {
        std::string id;
        /// 1 if the job's tasks must be stopped.
        std::uint64_t cancelled = 0;
    };
    std::vector<Job> jobs;
};

/// Sent by a shard holder to the leader every second and when a task ends.
struct ShardStatus {
    std::string from;
    std::uint64_t term = 0, token = 0;
    struct Job {
        std::string id;
        /// Task counts. `finished` is 1 once the holder no longer knows the job.
        std::uint64_t done = 0, running = 0, finished = 0;
    };
    std::vector<Job> jobs;
    /// Machines that the holder asks the leader to reclaim.
    std::vector<std::string> unhealthy_machines;
};

/// Sent by the leader to its helper every second. The helper must have its own lease in the
/// key-value store. It holds these roles under that lease and releases all others.
struct RoleAssignment {
    std::string from;
    std::uint64_t term = 0;
    /// Identifies the process that the message is addressed to.
    std::uint64_t incarnation = 0;
    /// Clock of the status that this answers. The assignment starts at that time.
    std::uint64_t status_clock_ms = 0;
    std::uint64_t lease_ms = 0;
    struct AssignedRole {
        /// `number` is a lease::Role.
        std::uint64_t number = 0, fence = 0, lease_id = 0;
    };
    std::vector<AssignedRole> roles;
};

/// Sent by the leader to the holder of a role to request a cloud call. The provisioning intent has
/// already been recorded.
struct DelegatedRequest {
    std::string from;
    /// Number of the request in the leader's process. The result repeats it.
    std::uint64_t sequence = 0;
    /// Identifies the process that the message is addressed to.
    std::uint64_t incarnation = 0;
    /// A lease::Role and its fence.
    std::uint64_t role = 0, fence = 0;
    /// To provision machines: the request's name, the machine type and zone, 1 for spot machines,
    /// and the number of machines.
    std::string request, type, zone;
    std::uint64_t spot = 0, count = 0;
    /// The machines to release.
    std::vector<std::string> machines;
};

/// The reply to a DelegatedRequest.
struct DelegatedResult {
    std::string from;
    std::uint64_t sequence = 0;
    /// A cloud::ProvisionReply::Result. For a release, `provisioned` means that it succeeded.
    std::uint64_t result = 0;
    std::vector<std::string> machines;
};

/// An encoded message, framing included, that any controller may send.
struct PeerFrame {
    std::string frame;
    bool operator==(const PeerFrame&) const = default;
};

/// An encoded message, framing included, that only a leader may send. PeerNetwork requires a lease
/// proof to send it.
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

/// Each function reads the body of a frame. It returns nothing if the body is truncated, has an
/// out-of-range field or no sender, or if a grant has no token, a delegation or assignment no term,
/// or a request no fence. Fields that a later version has appended are ignored.
std::optional<Status> decode_status(std::string_view body);
std::optional<ShardGrant> decode_shard_grant(std::string_view body);
std::optional<ShardStatus> decode_shard_status(std::string_view body);
std::optional<HeartbeatDelegation> decode_heartbeat_delegation(std::string_view body);
std::optional<RoleAssignment> decode_role_assignment(std::string_view body);
std::optional<DelegatedRequest> decode_delegated_request(std::string_view body);
std::optional<DelegatedResult> decode_delegated_result(std::string_view body);

}  // namespace nickelramp::peers
