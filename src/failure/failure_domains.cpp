#include "failure/failure_domains.h"

#include <algorithm>

namespace nickelramp::failure {

namespace {
// More at once than this, and more than this part, do not fail by themselves.
constexpr std::size_t kFew = 4;
constexpr double kFewPart = 0.04;
// A machine reports every few seconds and is given up a few later: when the first of a domain that
// was cut off could be given up, so much of it is overdue.
constexpr double kManyPart = 0.3;
constexpr Millis kCalm = 2'000;  // few are silent for so long before each is judged alone again
constexpr double kRationPart = 0.02;  // of a domain, a second
constexpr double kBurst = 2;          // seconds' worth that may be saved up
constexpr Millis kAhead = 12'000;     // before their lease ends, replicas may be moved
constexpr double kMovePrice = 0.4;    // of a ration: little is lost by then
}  // namespace

const char* name(DomainHealth health) {
    switch (health) {
        case DomainHealth::healthy:
            return "clear";
        case DomainHealth::degraded:
            return "clouded";
        case DomainHealth::lost:
            return "dark";
        case DomainHealth::recovering:
            return "clearing";
    }
    return "?";
}

bool FailureDomain::few_unresponsive() const {
    return unresponsive_count_ < kFew ||
           static_cast<double>(unresponsive_count_) < kFewPart * static_cast<double>(up_count_);
}

bool FailureDomain::many_unresponsive() const {
    if (up_count_ < 3) return false;
    if (unresponsive_count_ * 2 > up_count_) return true;
    return unresponsive_count_ >= kFew &&
           static_cast<double>(unresponsive_count_) >= kManyPart * static_cast<double>(up_count_);
}

void FailureDomain::set_health(DomainHealth health, Millis now) {
    if (health_ == DomainHealth::healthy) healthy_until_ = now;
    health_ = health;
    since_ = now;
    few_unresponsive_since_ = 0;
}

bool FailureDomain::update(Millis now) {
    const DomainHealth before = health_;
    if (many_unresponsive()) {
        if (health_ != DomainHealth::lost) set_health(DomainHealth::lost, now);
        return before != health_;
    }
    switch (health_) {
        case DomainHealth::healthy:
            if (!few_unresponsive()) set_health(DomainHealth::degraded, now);
            break;
        case DomainHealth::degraded:
            if (!few_unresponsive()) {
                few_unresponsive_since_ = 0;
            } else if (few_unresponsive_since_ == 0) {
                few_unresponsive_since_ = now;
            } else if (now - few_unresponsive_since_ >= kCalm) {
                set_health(DomainHealth::healthy, now);
            }
            break;
        case DomainHealth::lost:
            set_health(DomainHealth::recovering, now);
            break;
        case DomainHealth::recovering:
            if (now - since_ >= settle_time_)
                set_health(few_unresponsive() ? DomainHealth::healthy : DomainHealth::degraded,
                           now);
            break;
    }
    return before != health_;
}

void FailureDomain::refill_budget(Millis now) {
    const double rate = std::max(1.0, kRationPart * static_cast<double>(up_count_));
    if (refilled_at_ != 0)
        give_up_budget_ += rate * static_cast<double>(now - refilled_at_) / 1000.0;
    give_up_budget_ = std::min(give_up_budget_, kBurst * rate);
    refilled_at_ = now;
}

// Those that gain most go first: for the others half of what may be saved up stays.
bool FailureDomain::take_budget(bool first, double price) {
    const double rate = std::max(1.0, kRationPart * static_cast<double>(up_count_));
    if (give_up_budget_ < (first ? 1 : std::max(1.0, kBurst * rate / 2))) return false;
    give_up_budget_ -= price;
    return true;
}

bool FailureDomain::may_give_up(const UnresponsiveMachine& machine, Millis patience, Millis now) {
    if (health_ == DomainHealth::healthy) return true;
    refill_budget(now);
    if (machine.stuck) return take_budget(true);
    if (health_ == DomainHealth::degraded) return take_budget(machine.has_gangs_or_services);
    // What runs there runs on until its lease is over: then it had better be elsewhere already.
    const double price = kMovePrice;
    if (health_ == DomainHealth::lost && machine.has_movable_replicas &&
        now > machine.lease_until - kAhead)
        return take_budget(true, price);
    // A machine that answers again sooner than another boots is worth its price.
    return now > machine.lease_until + patience && take_budget(false);
}

FailureDomains::FailureDomains(double report_s, double lease_s)
    : settle_time_(std::min(seconds(2.5 * report_s), seconds(lease_s))),
      healthy_zones_combined_(settle_time_) {}

void FailureDomains::adjust_counts(Index z, int up, int silent) {
    while (zones_.size() <= z) zones_.emplace_back(settle_time_);
    zones_[z].adjust_counts(up, silent);
}

std::vector<Index> FailureDomains::update(Millis now) {
    std::vector<Index> changed;
    std::size_t up = 0, silent = 0;
    for (Index z = 0; z < zones_.size(); ++z) {
        if (zones_[z].update(now)) changed.push_back(z);
        if (zones_[z].health() != DomainHealth::healthy) continue;
        up += zones_[z].up_count();
        silent += zones_[z].unresponsive_count();
    }
    healthy_zones_combined_.set_counts(up, silent);
    if (healthy_zones_combined_.update(now)) changed.push_back(kNone);
    return changed;
}

DomainHealth FailureDomains::health(Index z) const {
    const DomainHealth own = zone(z).health();
    return own == DomainHealth::healthy ? healthy_zones_combined_.health() : own;
}

bool FailureDomains::may_give_up(Index z, const UnresponsiveMachine& machine, Millis patience,
                                 Millis now) {
    const bool own = z < zones_.size() && zones_[z].health() != DomainHealth::healthy;
    return own ? zones_[z].may_give_up(machine, patience, now)
               : healthy_zones_combined_.may_give_up(machine, patience, now);
}

bool FailureDomains::all_mostly_unresponsive() const {
    std::size_t up = 0, silent = 0;
    for (const FailureDomain& domain : zones_) {
        if (domain.up_count() >= 3 && !domain.mostly_unresponsive()) return false;
        up += domain.up_count();
        silent += domain.unresponsive_count();
    }
    return up >= 3 && silent * 2 > up;
}

}  // namespace nickelramp::failure
