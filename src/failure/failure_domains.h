/// @file
/// Failure domains: when many machines become unresponsive together, the cause is rarely the
/// machines themselves. From machine counts and time, decides which machines may be declared lost.
/// A domain is a zone, or all machines of a cluster state (for a shard holder: of its shard).
///
/// Nothing here reads a clock or does I/O; times are milliseconds of the steady clock.
#pragma once
#include <cstddef>
#include <vector>

#include "base/names.h"
#include "base/time.h"

namespace nickelramp::failure {

/// The health of a failure domain.
enum class DomainHealth {
    healthy,    ///< few machines are unresponsive; each one is treated separately
    degraded,   ///< more than fail independently; declaring them lost is rate limited
    lost,       ///< so many that a network failure is more likely than machine failures: in
                ///< general no machine is declared lost while its lease may last, and new work and
                ///< new machines go to other domains
    recovering  ///< heartbeats arrive again after a loss; the remaining machines get time to follow
};
[[nodiscard]] const char* name(DomainHealth health);

/// Properties of an unresponsive machine that decide whether it may be declared lost.
struct UnresponsiveMachine {
    bool stuck = false;  ///< its tasks make no progress, as other members of their gangs ended
    bool has_gangs_or_services = false;  ///< it runs gang members or replicas, not only arrays
    bool has_movable_replicas = false;   ///< it runs replicas, and all could start in other domains
    Millis lease_until = 0;  ///< estimated time at which its tasks end because its lease expires
};

/// One failure domain: the counts of its machines, its health, and the rate at which its machines
/// may be declared lost.
class FailureDomain {
  public:
    /// @param settle_time how long after a loss machines may take to respond again.
    explicit FailureDomain(Millis settle_time) : settle_time_(settle_time) {}

    /// Adds to the count of machines that are up, and to the count of unresponsive ones among them.
    void adjust_counts(int up, int unresponsive) {
        up_count_ += static_cast<std::size_t>(up);
        unresponsive_count_ += static_cast<std::size_t>(unresponsive);
    }
    void set_counts(std::size_t up, std::size_t unresponsive) {
        up_count_ = up;
        unresponsive_count_ = unresponsive;
    }
    /// Updates the health from the counts and the time.
    /// @return whether the health changed.
    bool update(Millis now);
    [[nodiscard]] DomainHealth health() const { return health_; }
    /// Returns when the domain was last healthy; 0 if it has always been healthy.
    [[nodiscard]] Millis healthy_until() const { return healthy_until_; }
    [[nodiscard]] std::size_t up_count() const { return up_count_; }
    [[nodiscard]] std::size_t unresponsive_count() const { return unresponsive_count_; }
    /// Returns whether more than half of the machines are unresponsive, of at least three.
    [[nodiscard]] bool mostly_unresponsive() const;

    /// Returns whether this machine may be declared lost now. If so, it counts towards the domain's
    /// rate limit.
    /// @param boot_time how long a replacement takes to boot; a machine is kept that much longer.
    [[nodiscard]] bool may_declare_lost(const UnresponsiveMachine& machine, Millis boot_time,
                                        Millis now);

  private:
    /// Which part of the budget a machine may use.
    enum class BudgetClass {
        preferred,  ///< declaring it lost helps most: may use the whole budget
        ordinary,   ///< must leave half of the maximum budget to preferred machines
    };

    [[nodiscard]] bool few_unresponsive() const;
    [[nodiscard]] bool many_unresponsive() const;
    /// Returns how many machines may be declared lost per second.
    [[nodiscard]] double declare_lost_rate() const;
    void set_health(DomainHealth health, Millis now);
    void update_degraded(Millis now);
    void refill_budget(Millis now);
    [[nodiscard]] bool take_budget(BudgetClass budget_class, double price);

    Millis settle_time_;
    DomainHealth health_ = DomainHealth::healthy;
    Millis health_since_ = 0;
    Millis healthy_until_ = 0;
    Millis few_unresponsive_since_ = 0;  // while degraded; 0: more than few are
    std::size_t up_count_ = 0;
    std::size_t unresponsive_count_ = 0;
    double declare_lost_budget_ = 0;  // in machines
    Millis refilled_at_ = 0;          // 0: never
};

/// All domains of one cluster state: each zone, and the combination of all healthy zones, since a
/// few machines of each zone may be many machines in total.
///
/// Owned and called by FailureDetector.
class FailureDomains {
  public:
    FailureDomains(double heartbeat_interval_s, double lease_s);

    /// Adds to a zone's counts. Zones are created on first use.
    void adjust_counts(Index zone, int up, int unresponsive);
    /// @return the zones whose health changed; kNone stands for the combined healthy zones.
    std::vector<Index> update(Millis now);
    /// Returns the zone's health or, if the zone is healthy, that of the combined healthy zones.
    [[nodiscard]] DomainHealth health(Index zone) const;
    /// Returns whether the zone is lost, so that it gets neither new work nor new machines.
    [[nodiscard]] bool is_lost(Index zone) const;
    /// Calls FailureDomain::may_declare_lost of the zone or, if it is healthy, of the combined
    /// healthy zones.
    [[nodiscard]] bool may_declare_lost(Index zone, const UnresponsiveMachine& machine,
                                        Millis boot_time, Millis now);
    /// Returns whether most machines of every zone are unresponsive. Then this controller is more
    /// likely to be partitioned than the machines are.
    [[nodiscard]] bool all_mostly_unresponsive() const;
    /// Returns the zone, or the combined healthy zones for kNone and for zones without machines.
    [[nodiscard]] const FailureDomain& zone(Index zone) const {
        return zone < zones_.size() ? zones_[zone] : healthy_zones_combined_;
    }

  private:
    Millis settle_time_;
    FailureDomain healthy_zones_combined_;
    std::vector<FailureDomain> zones_;  // by index
};

}  // namespace nickelramp::failure
