#include "relay/heartbeat_forwarder.h"

#include "readiness/peer_health.h"

namespace nickelramp::relay {

namespace {
constexpr std::size_t kMaxPending = 8'192;  // about 400 bytes each
}  // namespace

void HeartbeatForwarder::on_peer_status(const peers::Status& status, Millis now) {
    const bool accepts_heartbeats = status.term != 0 && status.heartbeat_term == status.term;
    if (!accepts_heartbeats) {
        if (leader_ && leader_->name == status.from) leader_.reset();
        return;
    }
    if (leader_ && leader_->term > status.term) return;
    leader_ = {status.from, status.term, status.incarnation, status.clock_ms, now};
}

std::uint64_t HeartbeatForwarder::reachable_term(Millis now) const {
    const bool fresh = leader_ && now - leader_->last_status_at < readiness::kPeerStatusLifetime;
    return fresh ? leader_->term : 0;
}

peers::ForwardedHeartbeat HeartbeatForwarder::make_message(const wire::Heartbeat& heartbeat,
                                                           std::uint64_t follows_term, Millis now) {
    peers::ForwardedHeartbeat message;
    message.from = name_;
    message.incarnation = incarnation_;
    message.sequence = ++last_number_;
    message.term = leader_->term;
    message.leader_incarnation = leader_->incarnation;
    message.leader_clock_ms = leader_->clock_ms;
    message.since_status_ms = static_cast<std::uint64_t>(now - leader_->last_status_at);
    message.follows_reply = follows_term == leader_->term;
    message.heartbeat = heartbeat;
    return message;
}

bool HeartbeatForwarder::forward(const wire::Heartbeat& heartbeat, std::uint64_t follows_term,
                                 Respond respond, Millis now) {
    if (reachable_term(now) == 0) return false;
    drop_older_heartbeat(heartbeat.machine);
    if (pending_.size() >= kMaxPending) {
        ++counters_.shed;
        return false;
    }
    const peers::ForwardedHeartbeat message = make_message(heartbeat, follows_term, now);
    if (!send_(leader_->name, peers::encode(message))) {
        ++counters_.shed;
        return false;
    }
    ++counters_.forwarded;
    pending_[message.sequence] = {heartbeat.machine, leader_->term, now + kHeartbeatTimeout,
                                  std::move(respond)};
    by_machine_[heartbeat.machine] = message.sequence;
    return true;
}

// A worker has one heartbeat in flight. When it sends another one, it no longer waits for the reply
// to the previous one.
void HeartbeatForwarder::drop_older_heartbeat(const std::string& machine) {
    const auto older = by_machine_.find(machine);
    if (older == by_machine_.end()) return;
    finish(pending_.find(older->second), machines::HeartbeatReply::unavailable());
}

void HeartbeatForwarder::on_reply(const peers::ForwardedReply& reply, Millis now) {
    const auto pending = pending_.find(reply.sequence);
    const bool known = reply.incarnation == incarnation_ && pending != pending_.end();
    if (!known || pending->second.term != reply.term || now >= pending->second.deadline) {
        ++counters_.unmatched;
        return;
    }
    ++counters_.replied;
    finish(pending,
           {static_cast<int>(reply.http_status), reply.holder, reply.token, reply.commands});
}

void HeartbeatForwarder::expire(Millis now) {
    while (!pending_.empty() && now >= pending_.begin()->second.deadline) {
        ++counters_.expired;
        finish(pending_.begin(), machines::HeartbeatReply::unavailable());
    }
}

// Removes the entry before it calls `respond`, which may forward the next heartbeat.
void HeartbeatForwarder::finish(PendingTable::iterator pending,
                                const machines::HeartbeatReply& reply) {
    const Pending finished = std::move(pending->second);
    by_machine_.erase(finished.machine);
    pending_.erase(pending);
    finished.respond(reply, finished.term);
}

}  // namespace nickelramp::relay
