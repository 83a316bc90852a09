#include "partition/partition_responder.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "readiness/peer_health.h"
#include "shards/shard_lease_table.h"

namespace nickelramp::partition {

namespace {
// The leader says something every second, the state service answers a watch every five.
constexpr Millis kLeaderSilent = 3'000;
constexpr Millis kStateSilent = 6'500;
// Longer cuts are rare, and so much longer must be waited before a lease is known to be over.
constexpr double kAnswerLeases = 2;
constexpr std::size_t kMostContacts = 20'000;
}  // namespace

Millis max_response_bound(const wire::Settings& settings) {
    // The worker's clock may be the slow one: its lease then lasts a little longer than ours says.
    return std::max<Millis>(0, without_clock_drift(seconds(settings.cancel_s)) -
                                   with_clock_drift(seconds(settings.lease_s)) - 1500);
}

Millis longest_response_window(const wire::Settings& settings) {
    return std::max(max_response_bound(settings), seconds(kAnswerLeases * settings.lease_s));
}

Millis last_possible_lease_end(const wire::Settings& settings, Millis now) {
    return now + with_clock_drift(longest_response_window(settings) + seconds(settings.lease_s)) +
           1000;
}

const char* name(PartitionState state) {
    switch (state) {
        case PartitionState::no_delegation:
            return "none";
        case PartitionState::standby:
            return "standing";
        case PartitionState::responding:
            return "answering";
    }
    return "?";
}

void PartitionResponder::set_state(PartitionState state) {
    if (state == state_) return;
    if (state == PartitionState::responding) {
        spdlog::info("neither leader nor state service is heard: answering machines of term {}",
                     delegation_.term);
    } else if (state_ == PartitionState::responding) {
        spdlog::info("answering machines no more");
        channels_.clear();
    }
    state_ = state;
}

// The leave's age counts from the sending of the status that it answers, so it ends no later than
// the leader thinks.
void PartitionResponder::on_delegation(const peers::HeartbeatDelegation& delegation,
                                       std::uint64_t incarnation, Millis now) {
    const auto asked = static_cast<Millis>(delegation.status_clock_ms);
    if (delegation.incarnation != incarnation || asked > now || delegation.term < delegation_.term)
        return;
    const Millis view = asked - static_cast<Millis>(delegation.view_age_ms);
    if (delegation.term == delegation_.term && delegation.clock_ms < delegation_.clock_ms) return;
    cancellations_known_until_ =
        delegation.term == delegation_.term ? std::max(cancellations_known_until_, view) : view;
    delegation_ = delegation;
}

void PartitionResponder::update(Millis leader_at, Millis state_at, Millis now) {
    if (delegation_.term == 0 ||
        now - cancellations_known_until_ >
            without_clock_drift(static_cast<Millis>(delegation_.response_window_ms))) {
        return set_state(PartitionState::no_delegation);
    }
    const bool alone = now - leader_at > kLeaderSilent && now - state_at > kStateSilent;
    set_state(alone ? PartitionState::responding : PartitionState::standby);
}

std::optional<std::uint64_t> PartitionResponder::token_for_reply(const wire::Heartbeat& heartbeat,
                                                                 bool follows, Millis now) {
    if (state_ != PartitionState::responding) return std::nullopt;
    // Under its own token, which no worker drops. Not where somebody else has been in charge, or
    // may have been since the leave was given.
    const std::uint64_t grant = heartbeat.token >> shards::kGrantShift;
    if (shards::term_of(heartbeat.token) != delegation_.term) return std::nullopt;
    if (grant > delegation_.highest_token >> shards::kGrantShift) return std::nullopt;
    for (std::uint64_t lent : delegation_.delegated_tokens) {
        if (grant == lent >> shards::kGrantShift) return std::nullopt;
    }
    // The leader counts on a lease after the last of these answers: none goes to a copy, or to a
    // worker that does not hear them.
    auto it = channels_.find(heartbeat.machine);
    if (it == channels_.end()) {
        if (channels_.size() >= kMostContacts) return std::nullopt;
        it = channels_.emplace(heartbeat.machine, machines::WorkerChannel{}).first;
        it->second.take_control(1, now);
    }
    machines::WorkerChannel& channel = it->second;
    const Millis lease = seconds(settings_.lease_s);
    if (channel.on_heartbeat(heartbeat, follows, now) == machines::EvidenceFreshness::duplicate)
        return std::nullopt;
    if (!channel.should_reply(lease, now)) return std::nullopt;
    channel.on_reply_sent(lease, now);
    last_reply_at_ = now;
    return heartbeat.token;
}

void PartitionResponder::fill_status(peers::Status& status, Millis now) const {
    status.confirms_cancellations = 1;
    status.delegation_term = delegation_.term;
    status.delegation_clock_ms = delegation_.clock_ms;
    status.last_reply_age_ms =
        last_reply_at_ == 0 ? 0 : static_cast<std::uint64_t>(now - last_reply_at_) + 1;
}

Millis HeartbeatDelegator::lease_after(Millis answered) const {
    return answered + with_clock_drift(seconds(settings_.lease_s)) + 1000;
}

void HeartbeatDelegator::on_peer_status(const peers::Status& status, std::uint64_t term,
                                        Millis now) {
    Entry& entry = peers_[status.from];
    if (entry.incarnation != status.incarnation) {
        // The process before this one may have answered, and cannot tell any more.
        if (entry.view != 0) departed_views_.push_back(entry.view);
        std::erase_if(departed_views_, [&](Millis view) {
            return now > lease_after(view + with_clock_drift(longest_response_window(settings_)));
        });
        entry = {};
        entry.incarnation = status.incarnation;
    }
    entry.clock_ms = status.clock_ms;
    entry.last_status_at = now;
    entry.confirms_cancellations = status.confirms_cancellations != 0;
    if (status.delegation_term == term) {
        // This was said after that leave had come, and it came after it was sent.
        entry.no_replies_until =
            std::max(entry.no_replies_until, static_cast<Millis>(status.delegation_clock_ms));
    }
    if (status.last_reply_age_ms != 0) {
        entry.last_reply_at =
            std::max(entry.last_reply_at,
                     now - without_clock_drift(static_cast<Millis>(status.last_reply_age_ms)));
    }
}

std::vector<std::pair<std::string, peers::HeartbeatDelegation>> HeartbeatDelegator::delegations(
    std::uint64_t term, std::uint64_t highest, const std::vector<std::uint64_t>& lent,
    Millis view_fresh, Millis now) {
    std::vector<std::pair<std::string, peers::HeartbeatDelegation>> out;
    for (auto& [peer, e] : peers_) {
        if (now - e.last_status_at > readiness::kPeerStatusLifetime) continue;
        peers::HeartbeatDelegation l;
        l.from = settings_.name;
        l.term = term;
        l.incarnation = e.incarnation;
        l.status_clock_ms = e.clock_ms;
        l.clock_ms = static_cast<std::uint64_t>(now);
        l.view_age_ms = static_cast<std::uint64_t>(std::max<Millis>(0, now - view_fresh));
        l.response_window_ms = static_cast<std::uint64_t>(response_window());
        l.highest_token = highest;
        l.delegated_tokens = lent;
        e.view = std::max(e.view, view_fresh);
        out.emplace_back(peer, std::move(l));
    }
    return out;
}

Millis HeartbeatDelegator::response_window() const {
    const bool all =
        std::all_of(settings_.peers.begin(), settings_.peers.end(), [this](const wire::Peer& peer) {
            auto e = peers_.find(peer.name);
            return peer.name == settings_.name ||
                   (e != peers_.end() && e->second.confirms_cancellations);
        });
    return all ? longest_response_window(settings_) : max_response_bound(settings_);
}

Millis HeartbeatDelegator::lease_end_at_latest(Millis lease_until) const {
    Millis known = lease_until;
    for (const auto& [peer, e] : peers_) {
        if (e.last_reply_at != 0) known = std::max(known, lease_after(e.last_reply_at));
    }
    Millis most = known;
    const Millis bound = with_clock_drift(longest_response_window(settings_));
    for (const auto& [peer, e] : peers_) {
        // A deputy that was quiet until the lease was over cannot have made it longer.
        if (e.view != 0 && e.no_replies_until < known)
            most = std::max(most, lease_after(e.view + bound));
    }
    for (Millis view : departed_views_) most = std::max(most, lease_after(view + bound));
    return most;
}

bool HeartbeatDelegator::lease_expired(Millis lease_until, Millis now) const {
    return now > lease_end_at_latest(lease_until);
}

}  // namespace nickelramp::partition
