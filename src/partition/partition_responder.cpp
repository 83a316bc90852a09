#include "partition/partition_responder.h"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "shards/shard_lease_table.h"

namespace nickelramp::partition {

namespace {
// The leader sends a message every second; the state service answers a watch every five seconds.
constexpr Millis kLeaderTimeout = 3'000;
constexpr Millis kStateServiceTimeout = 6'500;
// Longer partitions are rare, and a longer window delays the time at which a lease is known to have
// expired.
constexpr double kLongestWindowInLeases = 2;
// Cover rounding, timers and network delay.
constexpr Millis kResponseMargin = 1'500;
constexpr Millis kLeaseEndMargin = 1'000;
constexpr std::size_t kMaxChannels = 20'000;
// A token for WorkerChannel that is lower than any token granted by a leader.
constexpr std::uint64_t kTokenBelowGrants = 1;

std::uint64_t grant_of(std::uint64_t token) { return token >> shards::kGrantShift; }
}  // namespace

Millis max_response_bound(const wire::Settings& settings) {
    // The worker's clock may be slower, so that its lease lasts longer by this clock.
    const Millis until_cancelled = without_clock_drift(seconds(settings.cancel_s));
    const Millis lease = with_clock_drift(seconds(settings.lease_s));
    return std::max<Millis>(0, until_cancelled - lease - kResponseMargin);
}

Millis longest_response_window(const wire::Settings& settings) {
    return std::max(max_response_bound(settings),
                    seconds(kLongestWindowInLeases * settings.lease_s));
}

Millis last_possible_lease_end(const wire::Settings& settings, Millis now) {
    const Millis window = longest_response_window(settings);
    return now + with_clock_drift(window + seconds(settings.lease_s)) + kLeaseEndMargin;
}

const char* name(PartitionState state) {
    switch (state) {
        case PartitionState::no_delegation:
            return "no-delegation";
        case PartitionState::standby:
            return "standby";
        case PartitionState::responding:
            return "responding";
    }
    return "?";
}

void PartitionResponder::set_state(PartitionState state) {
    if (state == state_) return;
    if (state == PartitionState::responding) {
        spdlog::info("partition responder: replying to heartbeats term={}", delegation_.term);
    } else if (state_ == PartitionState::responding) {
        spdlog::info("partition responder: replies ended state={}", name(state));
        channels_.clear();
    }
    state_ = state;
}

// The age of the leader's view is counted from the sending of the status that the delegation
// answers, so the delegation expires here no later than the leader assumes.
void PartitionResponder::on_delegation(const peers::HeartbeatDelegation& delegation,
                                       std::uint64_t incarnation, Millis now) {
    const auto status_sent_at = static_cast<Millis>(delegation.status_clock_ms);
    if (delegation.incarnation != incarnation || status_sent_at > now) return;
    if (delegation.term < delegation_.term) return;
    const bool same_term = delegation.term == delegation_.term;
    if (same_term && delegation.clock_ms < delegation_.clock_ms) return;
    const Millis known_until = status_sent_at - static_cast<Millis>(delegation.view_age_ms);
    cancellations_known_until_ =
        same_term ? std::max(cancellations_known_until_, known_until) : known_until;
    delegation_ = delegation;
}

void PartitionResponder::update(Millis last_leader_message_at, Millis last_state_service_answer_at,
                                Millis now) {
    const Millis window = without_clock_drift(static_cast<Millis>(delegation_.response_window_ms));
    if (delegation_.term == 0 || now - cancellations_known_until_ > window)
        return set_state(PartitionState::no_delegation);
    const bool alone = now - last_leader_message_at > kLeaderTimeout &&
                       now - last_state_service_answer_at > kStateServiceTimeout;
    set_state(alone ? PartitionState::responding : PartitionState::standby);
}

// Returns whether the heartbeat's token is of a grant that the leader itself held when it sent the
// delegation.
bool PartitionResponder::is_delegated(std::uint64_t token) const {
    if (shards::term_of(token) != delegation_.term) return false;
    const std::uint64_t grant = grant_of(token);
    if (grant > grant_of(delegation_.highest_token)) return false;
    return std::none_of(
        delegation_.delegated_tokens.begin(), delegation_.delegated_tokens.end(),
        [&](std::uint64_t holder_token) { return grant == grant_of(holder_token); });
}

// Returns null if there are too many channels.
machines::WorkerChannel* PartitionResponder::channel_of(const std::string& machine, Millis now) {
    auto entry = channels_.find(machine);
    if (entry == channels_.end()) {
        if (channels_.size() >= kMaxChannels) return nullptr;
        entry = channels_.emplace(machine, machines::WorkerChannel{}).first;
        entry->second.take_control(kTokenBelowGrants, now);
    }
    return &entry->second;
}

std::optional<std::uint64_t> PartitionResponder::token_for_reply(const wire::Heartbeat& heartbeat,
                                                                 bool follows, Millis now) {
    if (state_ != PartitionState::responding) return std::nullopt;
    if (!is_delegated(heartbeat.token)) return std::nullopt;
    machines::WorkerChannel* channel = channel_of(heartbeat.machine, now);
    if (channel == nullptr) return std::nullopt;
    // The leader waits for one lease after the last of these replies. Therefore no reply is sent to
    // a duplicate of a heartbeat, or to a worker that does not receive replies.
    const auto evidence = channel->on_heartbeat(heartbeat, follows, now);
    if (evidence == machines::EvidenceFreshness::duplicate) return std::nullopt;
    const Millis lease = seconds(settings_.lease_s);
    if (!channel->should_reply(lease, now)) return std::nullopt;
    channel->on_reply_sent(lease, now);
    last_reply_at_ = now;
    return heartbeat.token;  // workers drop replies with a lower token
}

void PartitionResponder::fill_status(peers::Status& status, Millis now) const {
    status.confirms_cancellations = 1;
    status.delegation_term = delegation_.term;
    status.delegation_clock_ms = delegation_.clock_ms;
    // 0 means that no reply was sent.
    status.last_reply_age_ms =
        last_reply_at_ == 0 ? 0 : static_cast<std::uint64_t>(now - last_reply_at_) + 1;
}

}  // namespace nickelramp::partition
