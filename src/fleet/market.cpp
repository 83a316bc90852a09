#include "fleet/market.h"

#include <spdlog/fmt/fmt.h>

#include <algorithm>

namespace nickelramp::fleet {

namespace {
constexpr Millis kFirstBlock = 5'000;
constexpr Millis kMostBlock = 20'000;
constexpr Millis kTrouble = 1'500;
}  // namespace

bool Market::refused(const Kind& k, Millis now) const {
    auto it = offers_.find(k);
    return it != offers_.end() && now < it->second.blocked_until;
}

void Market::freed(const Kind& k) { offers_.erase(k); }

std::string Market::ask(std::uint64_t term, std::uint64_t fence, const Kind& k,
                        std::uint32_t count) {
    for (const auto& [name, h] : under_way_) {
        if (h.kind == k && !h.inherited) return "";  // one question at a time
    }
    // Names are never used again: the term is in them, and the duty's fence.
    std::string name = fmt::format("t{}f{}-{}", term, fence, ++asked_);
    under_way_[name] = {k, count, State::writing, false, false, 0};
    return name;
}

void Market::inherit(const std::string& request, const Kind& k, std::uint32_t count) {
    under_way_[request] = {k, count, State::waiting, true, true, 0};
}

std::size_t Market::fresh() const {
    return static_cast<std::size_t>(std::count_if(
        under_way_.begin(), under_way_.end(), [](const auto& h) { return !h.second.inherited; }));
}

void Market::sent(const std::string& request) {
    auto it = under_way_.find(request);
    if (it != under_way_.end()) set_state(it->second, State::asked);
}

std::vector<std::string> Market::due(Millis now) const {
    std::vector<std::string> out;
    for (const auto& [name, h] : under_way_) {
        if (h.state == State::waiting && now >= h.retry_at) out.push_back(name);
    }
    return out;
}

void Market::refuse(Offer& o, Millis first, Millis now) {
    o.blocked_until = now + std::min(kMostBlock, first << std::min(o.refusals, 4u));
    ++o.refusals;
}

bool Market::answered(const std::string& request, const HireReply& reply, Millis now) {
    auto it = under_way_.find(request);
    if (it == under_way_.end()) return true;
    Hire& hire = it->second;
    using Result = HireReply::Result;
    hire.doubtful |= reply.result == Result::unknown;
    const bool open = reply.result == Result::unknown || reply.result == Result::trouble ||
                      reply.result == Result::unsent;
    Offer& offer = offers_[hire.kind];
    if (open && hire.doubtful) {
        // Another name would rent the same again if this one is executed after all.
        set_state(hire, State::waiting);
        hire.retry_at = now + kTrouble;
        return false;
    }
    switch (reply.result) {
        case HireReply::Result::hired:
            if (reply.machines.size() < hire.count)
                refuse(offer, kFirstBlock, now);
            else
                offer.refusals = 0;
            break;
        case HireReply::Result::no_capacity:
            refuse(offer, kFirstBlock, now);
            break;
        case HireReply::Result::trouble:
        case HireReply::Result::unsent:
        case HireReply::Result::unknown:
            offer.blocked_until = now + kTrouble;
            break;
        case HireReply::Result::malformed:
            refuse(offer, kMostBlock, now);
            break;
    }
    under_way_.erase(it);
    return true;
}

}  // namespace nickelramp::fleet
