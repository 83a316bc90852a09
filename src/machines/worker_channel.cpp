#include "machines/worker_channel.h"

namespace nickelramp::machines {

namespace {
// How long a worker waits for a reply, and thus the longest time a heartbeat is in flight.
constexpr Millis kWorkerReplyTimeout = 4'000;
constexpr Millis kLeaseSlack = 1'000;
// Divides the lease: within half of it, probes have been answered or have failed.
constexpr Millis kLeaseDivisor = 2;
}  // namespace

void WorkerChannel::take_control(std::uint64_t token, Millis reached_at) {
    *this = {};
    own_token_floor_ = last_issued_token_ = token;
    last_issued_at_ = reached_at_ = heartbeat_at_ = reached_at;
}

void WorkerChannel::raise_token(std::uint64_t token, Millis now) {
    last_issued_token_ = token;
    last_issued_at_ = now;
}

void WorkerChannel::note_reached(Millis at) {
    if (at <= reached_at_) return;
    reached_at_ = at;
    unreached_since_ = 0;
}

void WorkerChannel::note_heartbeat(Millis now) {
    heartbeat_at_ = now;
    replies_only_since_ = 0;
    if (unreached_since_ == 0) unreached_since_ = now;
}

bool WorkerChannel::echoes_own_token(const wire::Heartbeat& heartbeat) const {
    return own_token_floor_ != 0 && heartbeat.token >= own_token_floor_;
}

void WorkerChannel::accept(const wire::Heartbeat& heartbeat, const MessagePosition& position,
                           Millis now) {
    const bool lost_lease = position.incarnation > newest_proven_.incarnation;
    const bool was_replied_to = replied_incarnation_ == newest_proven_.incarnation && has_proof();
    // The lease expired although the reply to one of its heartbeats should have renewed it.
    if (lost_lease && was_replied_to && now < lease_would_end_at_) lease_lapsed_ = true;
    newest_proven_ = position;
    token_ = heartbeat.token;
}

void WorkerChannel::accept_new_incarnation(const wire::Heartbeat& heartbeat,
                                           const MessagePosition& position) {
    newest_proven_ = position;
    newest_heartbeat_ = {};
    token_ = heartbeat.token;
    // Copies from its former incarnation may have higher sequence numbers, so heartbeats must echo
    // a new token.
    own_token_floor_ = last_issued_token_ + 1;
    lease_lapsed_ = incarnation_uncertain_ = false;
    replied_incarnation_ = 0;
}

EvidenceFreshness WorkerChannel::on_heartbeat(const wire::Heartbeat& heartbeat,
                                              const HeartbeatArrival& arrival, Millis now) {
    const MessagePosition position{heartbeat.incarnation, heartbeat.sequence};
    // A worker has one heartbeat in flight at a time. Once it has sent a later one, it drops the
    // reply to this one.
    if (position <= newest_heartbeat_) return EvidenceFreshness::duplicate;
    note_heartbeat(now);
    // The highest token seen by a worker process never decreases. A later message with a lower
    // token is therefore from another incarnation, either an earlier or a later one.
    if (has_proof() && position > newest_proven_ && heartbeat.token < token_)
        incarnation_uncertain_ = true;
    if (!echoes_own_token(heartbeat) || incarnation_uncertain_) return EvidenceFreshness::unordered;
    newest_heartbeat_ = position;
    if (arrival.follows_reply) {
        note_reached(arrival.arrived_at);
        lease_lapsed_ = false;
    }
    if (position <= newest_proven_) return EvidenceFreshness::overtaken;
    const bool echoes_last_token =
        heartbeat.token > token_ && heartbeat.token >= last_issued_token_;
    if (echoes_last_token) note_reached(last_issued_at_);
    accept(heartbeat, position, now);
    return EvidenceFreshness::fresh;
}

EvidenceFreshness WorkerChannel::on_command_reply(const wire::Heartbeat& heartbeat,
                                                  const MessagePosition& newest_known,
                                                  Millis sent_at, Millis now) {
    const MessagePosition position{heartbeat.incarnation, heartbeat.sequence};
    note_reached(sent_at);
    commands_lost_since_ = 0;
    if (replies_only_since_ == 0) replies_only_since_ = now;
    // The reply was made after the command was sent but is not later than the newest position known
    // at that time, so the worker has restarted.
    if (position <= newest_known || incarnation_uncertain_) {
        accept_new_incarnation(heartbeat, position);
        return EvidenceFreshness::new_incarnation;
    }
    if (position <= newest_proven_) return EvidenceFreshness::overtaken;
    accept(heartbeat, position, now);
    return EvidenceFreshness::fresh;
}

void WorkerChannel::on_command_lost(Millis now) {
    if (commands_lost_since_ == 0) commands_lost_since_ = now;
}

bool WorkerChannel::is_inbound_only(Millis lease, Millis now) const {
    return replies_only_since_ != 0 && now - replies_only_since_ > lease / kLeaseDivisor;
}

void WorkerChannel::on_reply_sent(Millis lease, Millis now) {
    replied_incarnation_ = newest_proven_.incarnation;
    lease_would_end_at_ = now + lease - kWorkerReplyTimeout - kLeaseSlack;
}

bool WorkerChannel::should_reply(Millis lease, Millis now) const {
    return !lease_lapsed_ &&
           (unreached_since_ == 0 || now - unreached_since_ <= lease / kLeaseDivisor);
}

Reachability WorkerChannel::reachability(Millis timeout, Millis now) const {
    if (!lease_lapsed_ && now - reached_at_ <= timeout) {
        // Commands were lost, so only replies have reached it.
        const bool no_commands = commands_lost_since_ != 0 && now - commands_lost_since_ > timeout;
        return no_commands ? Reachability::replies_only : Reachability::reachable;
    }
    const bool heartbeat_since = heartbeat_at_ > reached_at_ + timeout;
    return heartbeat_since || lease_lapsed_ ? Reachability::outbound_only
                                            : Reachability::unresponsive;
}

}  // namespace nickelramp::machines
