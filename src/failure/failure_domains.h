// Failure domains: silence that many machines share is rarely theirs. Pure: takes counts and time,
// says what may be given up. A domain is a zone, or all machines of a book together (of a holder's
// book: its block).
#pragma once
#include <cstddef>
#include <vector>

#include "base/names.h"
#include "base/time.h"

namespace nickelramp::failure {

// clear:    few are silent; each is judged by itself
// clouded:  more than fail by themselves; giving them up is rationed
// dark:     so many that the way to them is likelier to have failed than they are; nothing is given
//           up while its lease may last, and new work and hires go elsewhere
// clearing: reports come back after that; those still silent have time to follow
enum class DomainHealth { healthy, degraded, lost, recovering };
const char* name(DomainHealth health);

// What is known of one silent machine when it could be given up.
struct UnresponsiveMachine {
    bool stuck = false;  // its tasks make no progress: others of their gangs have ended
    bool has_gangs_or_services = false;  // gangs or replicas are on it, not arrays alone
    bool has_movable_replicas = false;   // some are on it, and all may be started in another domain
    Millis lease_until = 0;              // about then what is on it ends by itself
};

class FailureDomain {
  public:
    explicit FailureDomain(Millis settle) : settle_time_(settle) {}

    void adjust_counts(int up, int silent) {
        up_count_ += static_cast<std::size_t>(up);
        unresponsive_count_ += static_cast<std::size_t>(silent);
    }
    void set_counts(std::size_t up, std::size_t silent) {
        up_count_ = up;
        unresponsive_count_ = silent;
    }
    // Moves on with what is counted; true when the state changed.
    bool update(Millis now);
    DomainHealth health() const { return health_; }
    Millis healthy_until() const { return healthy_until_; }
    std::size_t up_count() const { return up_count_; }
    std::size_t unresponsive_count() const { return unresponsive_count_; }
    bool mostly_unresponsive() const {
        return up_count_ >= 3 && unresponsive_count_ * 2 > up_count_;
    }

    // May this machine be given up now? Takes from the ration if so.
    bool may_give_up(const UnresponsiveMachine& machine, Millis patience, Millis now);

  private:
    bool few_unresponsive() const;
    bool many_unresponsive() const;
    void set_health(DomainHealth health, Millis now);
    void refill_budget(Millis now);
    bool take_budget(bool first, double price = 1);

    Millis settle_time_;  // those that answer again do so within this
    DomainHealth health_ = DomainHealth::healthy;
    Millis since_ = 0;
    Millis healthy_until_ = 0;           // when it was last clear
    Millis few_unresponsive_since_ = 0;  // in clouded; 0: not few
    std::size_t up_count_ = 0, unresponsive_count_ = 0;
    double give_up_budget_ = 0;
    Millis refilled_at_ = 0;
};

// All domains of one book: the zones, and those of them together that are clear by themselves,
// since a few of each zone may be many of all.
class FailureDomains {
  public:
    FailureDomains(double report_s, double lease_s);

    void adjust_counts(Index zone, int up, int silent);
    // The zones whose state changed; kNone stands for the clear ones together.
    std::vector<Index> update(Millis now);
    DomainHealth health(Index zone) const;
    // Neither new work nor new machines are of use there.
    bool is_lost(Index z) const {
        return z < zones_.size() && zones_[z].health() == DomainHealth::lost;
    }
    bool may_give_up(Index zone, const UnresponsiveMachine& machine, Millis patience, Millis now);
    // Nobody answers anywhere: rather this node's trouble than theirs.
    bool all_mostly_unresponsive() const;
    const FailureDomain& zone(Index z) const {
        return z < zones_.size() ? zones_[z] : healthy_zones_combined_;
    }

  private:
    Millis settle_time_;
    FailureDomain healthy_zones_combined_;
    std::vector<FailureDomain> zones_;
};

}  // namespace nickelramp::failure
