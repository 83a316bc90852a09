#include "cloud/provisioning_tracker.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace nickelramp::cloud {

namespace {
constexpr Millis kFirstBlock = 5'000;
constexpr Millis kMostBlock = 20'000;
constexpr Millis kTrouble = 1'500;
}  // namespace

bool ProvisioningTracker::is_backing_off(const MachineKind& kind, Millis now) const {
    auto it = backoffs_.find(kind);
    return it != backoffs_.end() && now < it->second.blocked_until;
}

void ProvisioningTracker::on_machine_freed(const MachineKind& kind) { backoffs_.erase(kind); }

std::string ProvisioningTracker::start_request(std::uint64_t term, std::uint64_t fence,
                                               const MachineKind& kind, std::uint32_t count) {
    for (const auto& [name, h] : requests_) {
        if (h.kind == kind && !h.inherited) return "";  // one question at a time
    }
    // Names are never used again: the term is in them, and the duty's fence.
    std::string name = fmt::format("t{}f{}-{}", term, fence, ++request_count_);
    requests_[name] = {kind, count, ProvisioningState::recording, false, false, 0};
    return name;
}

void ProvisioningTracker::inherit_request(const std::string& request, const MachineKind& kind,
                                          std::uint32_t count) {
    requests_[request] = {kind, count, ProvisioningState::awaiting_retry, true, true, 0};
}

std::size_t ProvisioningTracker::own_request_count() const {
    return static_cast<std::size_t>(std::count_if(
        requests_.begin(), requests_.end(), [](const auto& h) { return !h.second.inherited; }));
}

void ProvisioningTracker::on_sent(const std::string& request) {
    auto it = requests_.find(request);
    if (it != requests_.end()) set_state(it->second, ProvisioningState::sent);
}

std::vector<std::string> ProvisioningTracker::due_retries(Millis now) const {
    std::vector<std::string> out;
    for (const auto& [name, h] : requests_) {
        if (h.state == ProvisioningState::awaiting_retry && now >= h.retry_at) out.push_back(name);
    }
    return out;
}

void ProvisioningTracker::increase_backoff(Backoff& backoff, Millis first, Millis now) {
    backoff.blocked_until =
        now + std::min(kMostBlock, first << std::min(backoff.refusal_count, 4u));
    ++backoff.refusal_count;
}

bool ProvisioningTracker::on_reply(const std::string& request, const ProvisionReply& reply,
                                   Millis now) {
    auto it = requests_.find(request);
    if (it == requests_.end()) return true;
    Request& hire = it->second;
    using Result = ProvisionReply::Result;
    hire.may_execute_late |= reply.result == Result::unknown;
    const bool open = reply.result == Result::unknown || reply.result == Result::rejected ||
                      reply.result == Result::not_sent;
    Backoff& offer = backoffs_[hire.kind];
    if (open && hire.may_execute_late) {
        // Another name would rent the same again if this one is executed after all.
        set_state(hire, ProvisioningState::awaiting_retry);
        hire.retry_at = now + kTrouble;
        return false;
    }
    switch (reply.result) {
        case ProvisionReply::Result::provisioned:
            if (reply.machines.size() < hire.count)
                increase_backoff(offer, kFirstBlock, now);
            else
                offer.refusal_count = 0;
            break;
        case ProvisionReply::Result::no_capacity:
            increase_backoff(offer, kFirstBlock, now);
            break;
        case ProvisionReply::Result::rejected:
        case ProvisionReply::Result::not_sent:
        case ProvisionReply::Result::unknown:
            offer.blocked_until = now + kTrouble;
            break;
        case ProvisionReply::Result::malformed:
            increase_backoff(offer, kMostBlock, now);
            break;
    }
    requests_.erase(it);
    return true;
}

}  // namespace nickelramp::cloud
