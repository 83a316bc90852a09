#include "peers/messages.h"

namespace nickelramp::peers {

PeerFrame encode(const Status& status) {
    Writer w;
    w.text(status.from);
    w.number(status.incarnation);
    w.number(status.clock_ms);
    w.number(status.term);
    w.number(status.state_age_ms);
    w.number(status.progress.size());
    for (const auto& p : status.progress) {
        w.text(p.id);
        w.number(p.done);
        w.number(p.running);
    }
    for (std::uint64_t v : {status.delegation_term, status.delegation_clock_ms,
                            status.last_reply_age_ms, status.confirms_cancellations})
        w.number(v);
    w.number(status.lost_zones.size());
    for (const auto& l : status.lost_zones) {
        w.text(l.zone);
        w.number(l.age_ms);
    }
    for (std::uint64_t v : {status.lease_id, status.heartbeat_term, status.sockets,
                            status.worker_sockets, status.max_sockets})
        w.number(v);
    return {frame(static_cast<std::uint64_t>(MessageKind::status), w)};
}

std::optional<Status> decode_status(std::string_view body) {
    Reader r(body);
    Status m;
    m.from = r.text();
    m.incarnation = r.number();
    m.clock_ms = r.number();
    m.term = r.number();
    m.state_age_ms = r.number();
    for (std::uint64_t n = r.count(); n > 0 && r.good(); --n) {
        Status::Progress p;
        p.id = r.text();
        p.done = r.number();
        p.running = r.number();
        m.progress.push_back(std::move(p));
    }
    if (!r.good() || m.from.empty()) return std::nullopt;
    if (!r.remaining().empty()) {  // earlier versions end here
        for (std::uint64_t* v : {&m.delegation_term, &m.delegation_clock_ms, &m.last_reply_age_ms,
                                 &m.confirms_cancellations}) {
            *v = r.number();
        }
        for (std::uint64_t n = r.count(); n > 0 && r.good(); --n) {
            std::string zone = r.text();
            m.lost_zones.push_back({std::move(zone), r.number()});
        }
        if (r.good() && !r.remaining().empty())
            m.lease_id = r.number();               // and those before helpers here
        if (r.good() && !r.remaining().empty()) {  // those before forwarding here
            for (std::uint64_t* v :
                 {&m.heartbeat_term, &m.sockets, &m.worker_sockets, &m.max_sockets})
                *v = r.number();
        }
        if (!r.good()) return std::nullopt;
    }
    return m;
}

LeaderFrame encode(const ShardGrant& grant) {
    Writer w;
    w.text(grant.from);
    for (std::uint64_t v :
         {grant.term, grant.term_version, grant.shard, grant.shard_version, grant.token,
          grant.incarnation, grant.status_clock_ms, grant.lease_ms, grant.view_age_ms}) {
        w.number(v);
    }
    w.number(grant.machines.size());
    for (const auto& member : grant.machines) {
        w.text(member.name);
        w.text(member.address);
        w.text(member.type);
        w.text(member.zone);
        w.number(member.spot ? 1 : 0);
    }
    w.number(grant.jobs.size());
    for (const auto& job : grant.jobs) {
        w.text(job.id);
        w.number(job.cancelled);
    }
    return {frame(static_cast<std::uint64_t>(MessageKind::shard_grant), w)};
}

std::optional<ShardGrant> decode_shard_grant(std::string_view body) {
    Reader r(body);
    ShardGrant grant;
    grant.from = r.text();
    for (std::uint64_t* v :
         {&grant.term, &grant.term_version, &grant.shard, &grant.shard_version, &grant.token,
          &grant.incarnation, &grant.status_clock_ms, &grant.lease_ms, &grant.view_age_ms}) {
        *v = r.number();
    }
    for (std::uint64_t n = r.count(); n > 0 && r.good(); --n) {
        shards::ShardMember member;
        member.name = r.text();
        member.address = r.text();
        member.type = r.text();
        member.zone = r.text();
        member.spot = r.number() != 0;
        grant.machines.push_back(std::move(member));
    }
    for (std::uint64_t n = r.count(); n > 0 && r.good(); --n) {
        ShardGrant::Job job;
        job.id = r.text();
        job.cancelled = r.number();
        grant.jobs.push_back(std::move(job));
    }
    if (!r.good() || grant.from.empty() || grant.token == 0) return std::nullopt;
    return grant;
}

PeerFrame encode(const ShardStatus& shard_status) {
    Writer w;
    w.text(shard_status.from);
    w.number(shard_status.term);
    w.number(shard_status.token);
    w.number(shard_status.jobs.size());
    for (const auto& job : shard_status.jobs) {
        w.text(job.id);
        w.number(job.done);
        w.number(job.running);
        w.number(job.finished);
    }
    w.number(shard_status.unhealthy_machines.size());
    for (const auto& t : shard_status.unhealthy_machines) w.text(t);
    return {frame(static_cast<std::uint64_t>(MessageKind::shard_status), w)};
}

std::optional<ShardStatus> decode_shard_status(std::string_view body) {
    Reader r(body);
    ShardStatus shard_status;
    shard_status.from = r.text();
    shard_status.term = r.number();
    shard_status.token = r.number();
    for (std::uint64_t n = r.count(); n > 0 && r.good(); --n) {
        ShardStatus::Job job;
        job.id = r.text();
        job.done = r.number();
        job.running = r.number();
        job.finished = r.number();
        shard_status.jobs.push_back(std::move(job));
    }
    for (std::uint64_t n = r.count(); n > 0 && r.good(); --n)
        shard_status.unhealthy_machines.push_back(r.text());
    if (!r.good() || shard_status.from.empty()) return std::nullopt;
    return shard_status;
}

LeaderFrame encode(const HeartbeatDelegation& delegation) {
    Writer w;
    w.text(delegation.from);
    for (std::uint64_t v : {delegation.term, delegation.incarnation, delegation.status_clock_ms,
                            delegation.view_age_ms, delegation.clock_ms,
                            delegation.response_window_ms, delegation.highest_token}) {
        w.number(v);
    }
    w.number(delegation.delegated_tokens.size());
    for (std::uint64_t token : delegation.delegated_tokens) w.number(token);
    return {frame(static_cast<std::uint64_t>(MessageKind::heartbeat_delegation), w)};
}

std::optional<HeartbeatDelegation> decode_heartbeat_delegation(std::string_view body) {
    Reader r(body);
    HeartbeatDelegation delegation;
    delegation.from = r.text();
    for (std::uint64_t* v : {&delegation.term, &delegation.incarnation, &delegation.status_clock_ms,
                             &delegation.view_age_ms, &delegation.clock_ms,
                             &delegation.response_window_ms, &delegation.highest_token}) {
        *v = r.number();
    }
    for (std::uint64_t n = r.count(); n > 0 && r.good(); --n)
        delegation.delegated_tokens.push_back(r.number());
    if (!r.good() || delegation.from.empty() || delegation.term == 0) return std::nullopt;
    return delegation;
}

LeaderFrame encode(const RoleAssignment& assignment) {
    Writer w;
    w.text(assignment.from);
    for (std::uint64_t v :
         {assignment.term, assignment.incarnation, assignment.status_clock_ms, assignment.lease_ms})
        w.number(v);
    w.number(assignment.roles.size());
    for (const auto& role : assignment.roles) {
        for (std::uint64_t v : {role.number, role.fence, role.lease_id}) w.number(v);
    }
    return {frame(static_cast<std::uint64_t>(MessageKind::role_assignment), w)};
}

std::optional<RoleAssignment> decode_role_assignment(std::string_view body) {
    Reader r(body);
    RoleAssignment assignment;
    assignment.from = r.text();
    for (std::uint64_t* v : {&assignment.term, &assignment.incarnation, &assignment.status_clock_ms,
                             &assignment.lease_ms})
        *v = r.number();
    for (std::uint64_t n = r.count(); n > 0 && r.good(); --n) {
        RoleAssignment::AssignedRole role;
        for (std::uint64_t* v : {&role.number, &role.fence, &role.lease_id}) *v = r.number();
        assignment.roles.push_back(role);
    }
    if (!r.good() || assignment.from.empty() || assignment.term == 0) return std::nullopt;
    return assignment;
}

LeaderFrame encode(const DelegatedRequest& request) {
    Writer w;
    w.text(request.from);
    for (std::uint64_t v : {request.sequence, request.incarnation, request.role, request.fence})
        w.number(v);
    for (const std::string* t : {&request.request, &request.type, &request.zone}) w.text(*t);
    for (std::uint64_t v : {request.spot, request.count}) w.number(v);
    w.number(request.machines.size());
    for (const auto& name : request.machines) w.text(name);
    return {frame(static_cast<std::uint64_t>(MessageKind::delegated_request), w)};
}

std::optional<DelegatedRequest> decode_delegated_request(std::string_view body) {
    Reader r(body);
    DelegatedRequest request;
    request.from = r.text();
    for (std::uint64_t* v :
         {&request.sequence, &request.incarnation, &request.role, &request.fence})
        *v = r.number();
    for (std::string* t : {&request.request, &request.type, &request.zone}) *t = r.text();
    for (std::uint64_t* v : {&request.spot, &request.count}) *v = r.number();
    for (std::uint64_t n = r.count(); n > 0 && r.good(); --n) request.machines.push_back(r.text());
    if (!r.good() || request.from.empty() || request.fence == 0) return std::nullopt;
    return request;
}

PeerFrame encode(const DelegatedResult& result) {
    Writer w;
    w.text(result.from);
    for (std::uint64_t v : {result.sequence, result.result}) w.number(v);
    w.number(result.machines.size());
    for (const auto& name : result.machines) w.text(name);
    return {frame(static_cast<std::uint64_t>(MessageKind::delegated_result), w)};
}

std::optional<DelegatedResult> decode_delegated_result(std::string_view body) {
    Reader r(body);
    DelegatedResult result;
    result.from = r.text();
    for (std::uint64_t* v : {&result.sequence, &result.result}) *v = r.number();
    for (std::uint64_t n = r.count(); n > 0 && r.good(); --n) result.machines.push_back(r.text());
    if (!r.good() || result.from.empty()) return std::nullopt;
    return result;
}

}  // namespace nickelramp::peers
