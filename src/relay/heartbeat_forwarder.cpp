#include "relay/heartbeat_forwarder.h"

#include "readiness/peer_health.h"

namespace nickelramp::relay {

namespace {
constexpr std::size_t kMostPending = 8'192;  // some 400 bytes each
const machines::HeartbeatReply kUnavailable{503, "", 0, {}};
}  // namespace

void HeartbeatForwarder::on_peer_status(const peers::Status& status, Millis now) {
    const bool takes_reports = status.term != 0 && status.heartbeat_term == status.term;
    if (!takes_reports) {
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

bool HeartbeatForwarder::forward(const wire::Heartbeat& heartbeat, std::uint64_t follows_term,
                                 Respond respond, Millis now) {
    if (reachable_term(now) == 0) return false;
    drop_older_heartbeats(heartbeat.machine);
    if (pending_.size() >= kMostPending) {
        ++counters_.shed;
        return false;
    }
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

// A worker has one report under way: whoever sends another has given up the one before.
void HeartbeatForwarder::drop_older_heartbeats(const std::string& machine) {
    auto older = by_machine_.find(machine);
    if (older == by_machine_.end()) return;
    finish(pending_.find(older->second), kUnavailable);
}

void HeartbeatForwarder::on_reply(const peers::ForwardedReply& answer, Millis now) {
    auto it = pending_.find(answer.sequence);
    const bool mine = answer.incarnation == incarnation_ && it != pending_.end();
    if (!mine || it->second.term != answer.term || now >= it->second.deadline) {
        ++counters_.unmatched;
        return;
    }
    ++counters_.replied;
    finish(it,
           {static_cast<int>(answer.http_status), answer.holder, answer.token, answer.commands});
}

void HeartbeatForwarder::expire(Millis now) {
    while (!pending_.empty() && now >= pending_.begin()->second.deadline) {
        ++counters_.expired;
        finish(pending_.begin(), kUnavailable);
    }
}

void HeartbeatForwarder::finish(Table::iterator it, const machines::HeartbeatReply& reply) {
    const Pending pending = std::move(it->second);
    by_machine_.erase(pending.machine);
    pending_.erase(it);
    pending.respond(reply, pending.term);
}

}  // namespace nickelramp::relay
