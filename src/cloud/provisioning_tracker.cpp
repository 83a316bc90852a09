#include "cloud/provisioning_tracker.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace nickelramp::cloud {

namespace {
constexpr Millis kFirstBackoff = 5'000;  // doubled with each consecutive refusal
constexpr Millis kMaxBackoff = 20'000;
constexpr std::uint32_t kMaxDoublings = 4;
constexpr Millis kRetryDelay = 1'500;  // after failures that are unrelated to the kind
}  // namespace

bool ProvisioningTracker::is_backing_off(const MachineKind& kind, Millis now) const {
    auto it = backoffs_.find(kind);
    return it != backoffs_.end() && now < it->second.blocked_until;
}

void ProvisioningTracker::on_machine_freed(const MachineKind& kind) { backoffs_.erase(kind); }

std::string ProvisioningTracker::start_request(std::uint64_t term, std::uint64_t fence,
                                               const MachineKind& kind, std::uint32_t count) {
    for (const auto& [name, request] : requests_) {
        if (request.kind == kind && !request.inherited) return "";  // one at a time for each kind
    }
    // The term and the role's fence make names unique, so that none is ever reused.
    std::string name = fmt::format("t{}f{}-{}", term, fence, ++request_count_);
    requests_[name] = {kind, count, ProvisioningState::recording, false, false, 0};
    return name;
}

void ProvisioningTracker::inherit_request(const std::string& request, const MachineKind& kind,
                                          std::uint32_t count) {
    requests_[request] = {kind, count, ProvisioningState::awaiting_retry, true, true, 0};
}

std::size_t ProvisioningTracker::own_request_count() const {
    return static_cast<std::size_t>(
        std::count_if(requests_.begin(), requests_.end(),
                      [](const auto& entry) { return !entry.second.inherited; }));
}

void ProvisioningTracker::on_sent(const std::string& request) {
    auto it = requests_.find(request);
    if (it != requests_.end()) it->second.state = ProvisioningState::sent;
}

std::vector<std::string> ProvisioningTracker::due_retries(Millis now) const {
    std::vector<std::string> due;
    for (const auto& [name, request] : requests_) {
        if (request.state == ProvisioningState::awaiting_retry && now >= request.retry_at)
            due.push_back(name);
    }
    return due;
}

void ProvisioningTracker::increase_backoff(Backoff& backoff, Millis first, Millis now) {
    backoff.blocked_until =
        now + std::min(kMaxBackoff, first << std::min(backoff.refusal_count, kMaxDoublings));
    ++backoff.refusal_count;
}

bool ProvisioningTracker::on_reply(const std::string& request, const ProvisionReply& reply,
                                   Millis now) {
    using Result = ProvisionReply::Result;
    auto it = requests_.find(request);
    if (it == requests_.end()) return true;
    Request& entry = it->second;
    entry.may_execute_late |= reply.result == Result::unknown;
    const bool not_done = reply.result == Result::unknown || reply.result == Result::rejected ||
                          reply.result == Result::not_sent;
    Backoff& backoff = backoffs_[entry.kind];
    if (not_done && entry.may_execute_late) {
        // If this request is executed late, a retry under another name would provision the same
        // machines twice.
        entry.state = ProvisioningState::awaiting_retry;
        entry.retry_at = now + kRetryDelay;
        return false;
    }
    apply_result(backoff, entry, reply, now);
    requests_.erase(it);
    return true;
}

void ProvisioningTracker::apply_result(Backoff& backoff, const Request& request,
                                       const ProvisionReply& reply, Millis now) {
    using Result = ProvisionReply::Result;
    switch (reply.result) {
        case Result::provisioned:
            if (reply.machines.size() < request.count)
                increase_backoff(backoff, kFirstBackoff, now);
            else
                backoff.refusal_count = 0;
            break;
        case Result::no_capacity:
            increase_backoff(backoff, kFirstBackoff, now);
            break;
        case Result::rejected:
        case Result::not_sent:
        case Result::unknown:
            backoff.blocked_until = now + kRetryDelay;
            break;
        case Result::malformed:
            increase_backoff(backoff, kMaxBackoff, now);
            break;
    }
}

}  // namespace nickelramp::cloud
