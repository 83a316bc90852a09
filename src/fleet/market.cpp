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

std::string Market::ask(std::uint64_t term, const Kind& k, std::uint32_t count) {
    for (const auto& [name, h] : under_way_) {
        if (h.kind == k) return "";  // one question at a time
    }
    // Names are never used again: the term is in them.
    std::string name = fmt::format("t{}-{}", term, ++asked_);
    under_way_[name] = {k, count};
    return name;
}

void Market::refuse(Offer& o, Millis first, Millis now) {
    o.blocked_until = now + std::min(kMostBlock, first << std::min(o.refusals, 4u));
    ++o.refusals;
}

void Market::answered(const std::string& request, const HireReply& reply, Millis now) {
    auto it = under_way_.find(request);
    if (it == under_way_.end()) return;
    const Hire hire = it->second;
    under_way_.erase(it);
    Offer& offer = offers_[hire.kind];
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
            offer.blocked_until = now + kTrouble;
            break;
        case HireReply::Result::malformed:
            refuse(offer, kMostBlock, now);
            break;
    }
}

}  // namespace nickelramp::fleet
