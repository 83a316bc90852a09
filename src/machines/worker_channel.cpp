#include "machines/worker_channel.h"

#include <algorithm>

namespace nickelramp::machines {

namespace {
// A worker waits so long for an answer; a report may have been under way as long.
constexpr Millis kWorkerWaits = 4'000;
constexpr Millis kSlack = 1'000;
constexpr Millis kDoubtPart = 2;  // of a lease: probes are answered or have failed by then
}  // namespace

const char* name(EvidenceFreshness freshness) {
    static const char* names[] = {"copy", "overtaken", "hint", "fresh", "anew"};
    return names[static_cast<int>(freshness)];
}

const char* name(Reachability reachability) {
    static const char* names[] = {"sound", "silent", "deaf", "partly", "mute"};
    return names[static_cast<int>(reachability)];
}

void WorkerChannel::take_control(std::uint64_t token, Millis reached) {
    *this = {};
    own_token_floor_ = last_issued_token_ = token;
    last_issued_at_ = reached_at_ = heartbeat_at_ = reached;
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

void WorkerChannel::accept(const wire::Heartbeat& heartbeat, const MessagePosition& position,
                           Millis now) {
    // Its lease has ended while the answer to one of its reports should have kept it.
    if (position.incarnation > newest_proven_.incarnation &&
        replied_incarnation_ == newest_proven_.incarnation && has_proof() &&
        now < lease_would_end_at_) {
        lease_lapsed_ = true;
    }
    newest_proven_ = position;
    token_ = heartbeat.token;
}

EvidenceFreshness WorkerChannel::on_heartbeat(const wire::Heartbeat& heartbeat,
                                              const HeartbeatArrival& arrival, Millis now) {
    const MessagePosition position{heartbeat.incarnation, heartbeat.sequence};
    // One report is under way at a time: whoever has sent a later one drops the answer to this.
    if (position <= newest_heartbeat_) return EvidenceFreshness::duplicate;
    heartbeat_at_ = now;
    replies_only_since_ = 0;
    if (unreached_since_ == 0) unreached_since_ = now;
    // The tokens that it has seen only rise while it lives: a later message with a lower one is of
    // another life, before or after.
    if (has_proof() && position > newest_proven_ && heartbeat.token < token_)
        incarnation_uncertain_ = true;
    if (own_token_floor_ == 0 || heartbeat.token < own_token_floor_ || incarnation_uncertain_)
        return EvidenceFreshness::unordered;
    newest_heartbeat_ = position;
    if (arrival.follows_reply) {
        note_reached(arrival.arrived_at);
        lease_lapsed_ = false;
    }
    if (position <= newest_proven_) return EvidenceFreshness::overtaken;
    if (heartbeat.token > token_ && heartbeat.token >= last_issued_token_)
        note_reached(last_issued_at_);
    accept(heartbeat, position, now);
    return EvidenceFreshness::fresh;
}

EvidenceFreshness WorkerChannel::on_command_reply(const wire::Heartbeat& heartbeat,
                                                  const MessagePosition& asked, Millis sent,
                                                  Millis now) {
    const MessagePosition position{heartbeat.incarnation, heartbeat.sequence};
    note_reached(sent);
    commands_lost_since_ = 0;
    if (replies_only_since_ == 0) replies_only_since_ = now;
    // Made after it was asked, and yet not beyond what was known then.
    if (position <= asked || incarnation_uncertain_) {
        newest_proven_ = position;
        newest_heartbeat_ = {};
        token_ = heartbeat.token;
        // Copies from its former life may have higher numbers: reports are to echo a new token.
        own_token_floor_ = last_issued_token_ + 1;
        lease_lapsed_ = incarnation_uncertain_ = false;
        replied_incarnation_ = 0;
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
    return replies_only_since_ != 0 && now - replies_only_since_ > lease / kDoubtPart;
}

void WorkerChannel::on_reply_sent(Millis lease, Millis now) {
    replied_incarnation_ = newest_proven_.incarnation;
    lease_would_end_at_ = now + lease - kWorkerWaits - kSlack;
}

bool WorkerChannel::should_reply(Millis lease, Millis now) const {
    return !lease_lapsed_ &&
           (unreached_since_ == 0 || now - unreached_since_ <= lease / kDoubtPart);
}

Reachability WorkerChannel::reachability(Millis patience, Millis now) const {
    if (!lease_lapsed_ && now - reached_at_ <= patience) {
        // It was reached meanwhile, so by answers alone.
        const bool lost = commands_lost_since_ != 0 && now - commands_lost_since_ > patience;
        return lost ? Reachability::replies_only : Reachability::reachable;
    }
    const bool heard_since = heartbeat_at_ > reached_at_ + patience;
    return heard_since || lease_lapsed_ ? Reachability::outbound_only : Reachability::unresponsive;
}

}  // namespace nickelramp::machines
