#include "failure/failure_domains.h"

#include <algorithm>

namespace nickelramp::failure {

namespace {
// At least this many machines and this fraction of the domain do not fail independently at the
// same time.
constexpr std::size_t kFewMachines = 4;
constexpr double kFewFraction = 0.04;
// A machine sends a heartbeat every few seconds and may be declared lost a few seconds after a
// missing one. When the first machine of an unreachable domain may be declared lost, the heartbeats
// of at least this fraction of the domain are overdue.
constexpr double kManyFraction = 0.3;
// With fewer machines no conclusion about their domain is drawn.
constexpr std::size_t kMinDomainSize = 3;
// How long few machines must be unresponsive before a degraded domain is healthy again.
constexpr Millis kTimeToHealthy = 2'000;
// Fraction of a domain's machines that may be declared lost per second, and the minimum in machines
// per second.
constexpr double kDeclareLostFraction = 0.02;
constexpr double kMinDeclareLostRate = 1.0;
constexpr double kMaxBudgetSeconds = 2;  // maximum budget, in seconds of the rate
constexpr double kPrice = 1;             // budget used by declaring a machine lost
// Moving replicas is cheaper, since little is lost this shortly before their lease ends.
constexpr double kMovePrice = 0.4;
constexpr Millis kMoveBeforeLeaseEnd = 12'000;
// Machines that respond again after a loss do so within this many heartbeat intervals.
constexpr double kSettleIntervals = 2.5;

bool is_majority(std::size_t part, std::size_t all) { return part * 2 > all; }
}  // namespace

const char* name(DomainHealth health) {
    switch (health) {
        case DomainHealth::healthy:
            return "healthy";
        case DomainHealth::degraded:
            return "degraded";
        case DomainHealth::lost:
            return "lost";
        case DomainHealth::recovering:
            return "recovering";
    }
    return "?";
}

bool FailureDomain::mostly_unresponsive() const {
    return up_count_ >= kMinDomainSize && is_majority(unresponsive_count_, up_count_);
}

bool FailureDomain::few_unresponsive() const {
    return unresponsive_count_ < kFewMachines ||
           static_cast<double>(unresponsive_count_) < kFewFraction * static_cast<double>(up_count_);
}

bool FailureDomain::many_unresponsive() const {
    if (up_count_ < kMinDomainSize) return false;
    if (mostly_unresponsive()) return true;
    return unresponsive_count_ >= kFewMachines &&
           static_cast<double>(unresponsive_count_) >=
               kManyFraction * static_cast<double>(up_count_);
}

void FailureDomain::set_health(DomainHealth health, Millis now) {
    if (health_ == DomainHealth::healthy) healthy_until_ = now;
    health_ = health;
    health_since_ = now;
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
            update_degraded(now);
            break;
        case DomainHealth::lost:
            set_health(DomainHealth::recovering, now);
            break;
        case DomainHealth::recovering:
            if (now - health_since_ >= settle_time_)
                set_health(few_unresponsive() ? DomainHealth::healthy : DomainHealth::degraded,
                           now);
            break;
    }
    return before != health_;
}

void FailureDomain::update_degraded(Millis now) {
    if (!few_unresponsive()) {
        few_unresponsive_since_ = 0;
    } else if (few_unresponsive_since_ == 0) {
        few_unresponsive_since_ = now;
    } else if (now - few_unresponsive_since_ >= kTimeToHealthy) {
        set_health(DomainHealth::healthy, now);
    }
}

double FailureDomain::declare_lost_rate() const {
    return std::max(kMinDeclareLostRate, kDeclareLostFraction * static_cast<double>(up_count_));
}

void FailureDomain::refill_budget(Millis now) {
    const double rate = declare_lost_rate();
    if (refilled_at_ != 0)
        declare_lost_budget_ += rate * static_cast<double>(now - refilled_at_) / 1000.0;
    declare_lost_budget_ = std::min(declare_lost_budget_, kMaxBudgetSeconds * rate);
    refilled_at_ = now;
}

bool FailureDomain::take_budget(BudgetClass budget_class, double price) {
    const double needed = budget_class == BudgetClass::preferred
                              ? kPrice
                              : std::max(kPrice, kMaxBudgetSeconds * declare_lost_rate() / 2);
    if (declare_lost_budget_ < needed) return false;
    declare_lost_budget_ -= price;
    return true;
}

bool FailureDomain::may_declare_lost(const UnresponsiveMachine& machine, Millis boot_time,
                                     Millis now) {
    if (health_ == DomainHealth::healthy) return true;
    refill_budget(now);
    if (machine.stuck) return take_budget(BudgetClass::preferred, kPrice);
    if (health_ == DomainHealth::degraded) {
        const auto budget_class =
            machine.has_gangs_or_services ? BudgetClass::preferred : BudgetClass::ordinary;
        return take_budget(budget_class, kPrice);
    }
    // Tasks there run until their lease expires. Replacements should run elsewhere by then.
    if (health_ == DomainHealth::lost && machine.has_movable_replicas &&
        now > machine.lease_until - kMoveBeforeLeaseEnd)
        return take_budget(BudgetClass::preferred, kMovePrice);
    // A machine that responds again before a replacement has booted is worth keeping.
    return now > machine.lease_until + boot_time && take_budget(BudgetClass::ordinary, kPrice);
}

FailureDomains::FailureDomains(double heartbeat_interval_s, double lease_s)
    : settle_time_(std::min(seconds(kSettleIntervals * heartbeat_interval_s), seconds(lease_s))),
      healthy_zones_combined_(settle_time_) {}

void FailureDomains::adjust_counts(Index zone, int up, int unresponsive) {
    while (zones_.size() <= zone) zones_.emplace_back(settle_time_);
    zones_[zone].adjust_counts(up, unresponsive);
}

std::vector<Index> FailureDomains::update(Millis now) {
    std::vector<Index> changed;
    std::size_t up = 0;
    std::size_t unresponsive = 0;
    for (Index index = 0; index < zones_.size(); ++index) {
        FailureDomain& domain = zones_[index];
        if (domain.update(now)) changed.push_back(index);
        if (domain.health() != DomainHealth::healthy) continue;
        up += domain.up_count();
        unresponsive += domain.unresponsive_count();
    }
    healthy_zones_combined_.set_counts(up, unresponsive);
    if (healthy_zones_combined_.update(now)) changed.push_back(kNone);
    return changed;
}

DomainHealth FailureDomains::health(Index zone_index) const {
    const DomainHealth own = zone(zone_index).health();
    return own == DomainHealth::healthy ? healthy_zones_combined_.health() : own;
}

bool FailureDomains::is_lost(Index zone) const {
    return zone < zones_.size() && zones_[zone].health() == DomainHealth::lost;
}

bool FailureDomains::may_declare_lost(Index zone, const UnresponsiveMachine& machine,
                                      Millis boot_time, Millis now) {
    const bool zone_unhealthy =
        zone < zones_.size() && zones_[zone].health() != DomainHealth::healthy;
    FailureDomain& domain = zone_unhealthy ? zones_[zone] : healthy_zones_combined_;
    return domain.may_declare_lost(machine, boot_time, now);
}

bool FailureDomains::all_mostly_unresponsive() const {
    std::size_t up = 0;
    std::size_t unresponsive = 0;
    for (const FailureDomain& domain : zones_) {
        if (domain.up_count() >= kMinDomainSize && !domain.mostly_unresponsive()) return false;
        up += domain.up_count();
        unresponsive += domain.unresponsive_count();
    }
    return up >= kMinDomainSize && is_majority(unresponsive, up);
}

}  // namespace nickelramp::failure
