#include "partition/heartbeat_delegator.h"

#include <algorithm>

#include "partition/partition_responder.h"
#include "readiness/peer_health.h"

namespace nickelramp::partition {

namespace {
constexpr Millis kLeaseEndMargin = 1'000;  // covers timers and network delay
}  // namespace

Millis HeartbeatDelegator::lease_end_after_reply(Millis replied_at) const {
    return replied_at + with_clock_drift(seconds(settings_.lease_s)) + kLeaseEndMargin;
}

Millis HeartbeatDelegator::lease_end_after_view(Millis view) const {
    return lease_end_after_reply(view + with_clock_drift(longest_response_window(settings_)));
}

// The previous process of the peer may have sent replies, which it can no longer report.
void HeartbeatDelegator::forget_process(Entry& entry, Millis now) {
    if (entry.view != 0) departed_views_.push_back(entry.view);
    std::erase_if(departed_views_, [&](Millis view) { return now > lease_end_after_view(view); });
    entry = {};
}

void HeartbeatDelegator::on_peer_status(const peers::Status& status, std::uint64_t term,
                                        Millis now) {
    Entry& entry = peers_[status.from];
    if (entry.incarnation != status.incarnation) {
        forget_process(entry, now);
        entry.incarnation = status.incarnation;
    }
    entry.clock_ms = status.clock_ms;
    entry.last_status_at = now;
    entry.confirms_cancellations = status.confirms_cancellations != 0;
    if (status.delegation_term == term) {
        // The peer had received that delegation when it sent this status, so all replies sent
        // before the delegation are reported in the status.
        const auto delegation_sent_at = static_cast<Millis>(status.delegation_clock_ms);
        entry.no_replies_until = std::max(entry.no_replies_until, delegation_sent_at);
    }
    if (status.last_reply_age_ms != 0) {
        const Millis age = without_clock_drift(static_cast<Millis>(status.last_reply_age_ms));
        entry.last_reply_at = std::max(entry.last_reply_at, now - age);
    }
}

std::vector<AddressedDelegation> HeartbeatDelegator::delegations(
    std::uint64_t term, std::uint64_t highest_token,
    const std::vector<std::uint64_t>& holder_tokens, Millis cancellations_known_until, Millis now) {
    std::vector<AddressedDelegation> addressed;
    for (auto& [peer, entry] : peers_) {
        if (now - entry.last_status_at > readiness::kPeerStatusLifetime) continue;
        peers::HeartbeatDelegation delegation;
        delegation.from = settings_.name;
        delegation.term = term;
        delegation.incarnation = entry.incarnation;
        delegation.status_clock_ms = entry.clock_ms;
        delegation.clock_ms = static_cast<std::uint64_t>(now);
        delegation.view_age_ms =
            static_cast<std::uint64_t>(std::max<Millis>(0, now - cancellations_known_until));
        delegation.response_window_ms = static_cast<std::uint64_t>(response_window());
        delegation.highest_token = highest_token;
        delegation.delegated_tokens = holder_tokens;
        entry.view = std::max(entry.view, cancellations_known_until);
        addressed.push_back({peer, std::move(delegation)});
    }
    return addressed;
}

Millis HeartbeatDelegator::response_window() const {
    const bool all_confirm = std::all_of(
        settings_.peers.begin(), settings_.peers.end(), [this](const wire::Peer& configured) {
            if (configured.name == settings_.name) return true;
            const auto peer = peers_.find(configured.name);
            return peer != peers_.end() && peer->second.confirms_cancellations;
        });
    return all_confirm ? longest_response_window(settings_) : max_response_bound(settings_);
}

Millis HeartbeatDelegator::lease_end_at_latest(Millis lease_until) const {
    Millis known_end = lease_until;
    for (const auto& [peer, entry] : peers_) {
        if (entry.last_reply_at != 0)
            known_end = std::max(known_end, lease_end_after_reply(entry.last_reply_at));
    }
    Millis latest_end = known_end;
    for (const auto& [peer, entry] : peers_) {
        // A responder that sent no replies before the lease expired cannot have renewed it.
        if (entry.view != 0 && entry.no_replies_until < known_end)
            latest_end = std::max(latest_end, lease_end_after_view(entry.view));
    }
    for (const Millis view : departed_views_)
        latest_end = std::max(latest_end, lease_end_after_view(view));
    return latest_end;
}

bool HeartbeatDelegator::lease_expired(Millis lease_until, Millis now) const {
    return now > lease_end_at_latest(lease_until);
}

}  // namespace nickelramp::partition
