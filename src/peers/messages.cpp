#include "peers/messages.h"

#include "peers/field_codec.h"

namespace nickelramp::peers {

// encode_frame and decode_body find these functions by argument-dependent lookup.

template <typename Codec, MessageOf<Status> Message>
static void visit_fields(Codec& codec, Message& status) {
    codec.texts(status.from);
    codec.numbers(status.incarnation, status.clock_ms, status.term, status.state_age_ms);
    codec.list(status.progress, [&](auto& progress) {
        codec.texts(progress.id);
        codec.numbers(progress.done, progress.running);
    });
    if (!codec.has_more()) return;  // sent by a version without partition responders
    codec.numbers(status.delegation_term, status.delegation_clock_ms, status.last_reply_age_ms,
                  status.confirms_cancellations);
    codec.list(status.lost_zones, [&](auto& lost) {
        codec.texts(lost.zone);
        codec.numbers(lost.age_ms);
    });
    if (!codec.has_more()) return;  // sent by a version without helpers
    codec.numbers(status.lease_id);
    if (!codec.has_more()) return;  // sent by a version without forwarding
    codec.numbers(status.heartbeat_term, status.sockets, status.worker_sockets, status.max_sockets);
}

template <typename Codec, MessageOf<ShardGrant> Message>
static void visit_fields(Codec& codec, Message& grant) {
    codec.texts(grant.from);
    codec.numbers(grant.term, grant.term_version, grant.shard, grant.shard_version, grant.token,
                  grant.incarnation, grant.status_clock_ms, grant.lease_ms, grant.view_age_ms);
    codec.list(grant.machines, [&](auto& member) {
        codec.texts(member.name, member.address, member.type, member.zone);
        codec.flag(member.spot);
    });
    codec.list(grant.jobs, [&](auto& job) {
        codec.texts(job.id);
        codec.numbers(job.cancelled);
    });
}

template <typename Codec, MessageOf<ShardStatus> Message>
static void visit_fields(Codec& codec, Message& status) {
    codec.texts(status.from);
    codec.numbers(status.term, status.token);
    codec.list(status.jobs, [&](auto& job) {
        codec.texts(job.id);
        codec.numbers(job.done, job.running, job.finished);
    });
    codec.list(status.unhealthy_machines, [&](auto& machine) { codec.texts(machine); });
}

template <typename Codec, MessageOf<HeartbeatDelegation> Message>
static void visit_fields(Codec& codec, Message& delegation) {
    codec.texts(delegation.from);
    codec.numbers(delegation.term, delegation.incarnation, delegation.status_clock_ms,
                  delegation.view_age_ms, delegation.clock_ms, delegation.response_window_ms,
                  delegation.highest_token);
    codec.list(delegation.delegated_tokens, [&](auto& token) { codec.numbers(token); });
}

template <typename Codec, MessageOf<RoleAssignment> Message>
static void visit_fields(Codec& codec, Message& assignment) {
    codec.texts(assignment.from);
    codec.numbers(assignment.term, assignment.incarnation, assignment.status_clock_ms,
                  assignment.lease_ms);
    codec.list(assignment.roles,
               [&](auto& role) { codec.numbers(role.number, role.fence, role.lease_id); });
}

template <typename Codec, MessageOf<DelegatedRequest> Message>
static void visit_fields(Codec& codec, Message& request) {
    codec.texts(request.from);
    codec.numbers(request.sequence, request.incarnation, request.role, request.fence);
    codec.texts(request.request, request.type, request.zone);
    codec.numbers(request.spot, request.count);
    codec.list(request.machines, [&](auto& machine) { codec.texts(machine); });
}

template <typename Codec, MessageOf<DelegatedResult> Message>
static void visit_fields(Codec& codec, Message& result) {
    codec.texts(result.from);
    codec.numbers(result.sequence, result.result);
    codec.list(result.machines, [&](auto& machine) { codec.texts(machine); });
}

PeerFrame encode(const Status& status) { return {encode_frame(MessageKind::status, status)}; }

PeerFrame encode(const ShardStatus& status) {
    return {encode_frame(MessageKind::shard_status, status)};
}

PeerFrame encode(const DelegatedResult& result) {
    return {encode_frame(MessageKind::delegated_result, result)};
}

LeaderFrame encode(const ShardGrant& grant) {
    return {encode_frame(MessageKind::shard_grant, grant)};
}

LeaderFrame encode(const HeartbeatDelegation& delegation) {
    return {encode_frame(MessageKind::heartbeat_delegation, delegation)};
}

LeaderFrame encode(const RoleAssignment& assignment) {
    return {encode_frame(MessageKind::role_assignment, assignment)};
}

LeaderFrame encode(const DelegatedRequest& request) {
    return {encode_frame(MessageKind::delegated_request, request)};
}

std::optional<Status> decode_status(std::string_view body) { return decode_body<Status>(body); }

std::optional<ShardGrant> decode_shard_grant(std::string_view body) {
    auto grant = decode_body<ShardGrant>(body);
    if (grant && grant->token == 0) return std::nullopt;
    return grant;
}

std::optional<ShardStatus> decode_shard_status(std::string_view body) {
    return decode_body<ShardStatus>(body);
}

std::optional<HeartbeatDelegation> decode_heartbeat_delegation(std::string_view body) {
    auto delegation = decode_body<HeartbeatDelegation>(body);
    if (delegation && delegation->term == 0) return std::nullopt;
    return delegation;
}

std::optional<RoleAssignment> decode_role_assignment(std::string_view body) {
    auto assignment = decode_body<RoleAssignment>(body);
    if (assignment && assignment->term == 0) return std::nullopt;
    return assignment;
}

std::optional<DelegatedRequest> decode_delegated_request(std::string_view body) {
    auto request = decode_body<DelegatedRequest>(body);
    if (request && request->fence == 0) return std::nullopt;
    return request;
}

std::optional<DelegatedResult> decode_delegated_result(std::string_view body) {
    return decode_body<DelegatedResult>(body);
}

}  // namespace nickelramp::peers
