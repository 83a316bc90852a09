/// @file
/// Failure domains: when many machines stop answering together, the cause is rarely the machines.
/// Takes counts and time, and says which machines may be given up. A domain is a zone, or all
/// machines of a cluster state together (of a shard holder's: its shard).
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
    healthy,    ///< few machines are unresponsive; each is judged by itself
    degraded,   ///< more than fail by themselves; giving them up is rate limited
    lost,       ///< so many that the network to them is likelier to have failed than they are:
                ///< nothing is given up while its lease may last, and new work and new machines go
                ///< to other domains
    recovering  ///< heartbeats come in again after that; the others have time to follow
};
[[nodiscard]] const char* name(DomainHealth health);

/// What is known of an unresponsive machine when it could be given up.
struct UnresponsiveMachine {
    bool stuck = false;  ///< its tasks make no progress: other members of their gangs have ended
    bool has_gangs_or_services = false;  ///< gangs or replicas are on it, not arrays alone
    bool has_movable_replicas =
        false;               ///< replicas are on it, and all could start in other domains
    Millis lease_until = 0;  ///< about when its tasks end by themselves
};

/// One failure domain: the counts of its machines, its health, and the rate at which its machines
/// may be given up.
class FailureDomain {
  public:
    /// @param settle_time how long after a loss machines may take to answer again.
    explicit FailureDomain(Millis settle_time) : settle_time_(settle_time) {}

    /// Changes the counts of machines that are up, and of those among them that are unresponsive.
    void adjust_counts(int up, int unresponsive) {
        up_count_ += static_cast<std::size_t>(up);
        unresponsive_count_ += static_cast<std::size_t>(unresponsive);
    }
    void set_counts(std::size_t up, std::size_t unresponsive) {
        up_count_ = up;
        unresponsive_count_ = unresponsive;
    }
    /// Moves to the health that follows from the counts and the time.
    /// @return whether the health changed.
    bool update(Millis now);
    [[nodiscard]] DomainHealth health() const { return health_; }
    /// When the domain was last healthy; 0 if it has always been.
    [[nodiscard]] Millis healthy_until() const { return healthy_until_; }
    [[nodiscard]] std::size_t up_count() const { return up_count_; }
    [[nodiscard]] std::size_t unresponsive_count() const { return unresponsive_count_; }
    /// More than half, of at least three machines.
    [[nodiscard]] bool mostly_unresponsive() const;

    /// Whether this machine may be given up now. If so, that counts against the domain's rate.
    /// @param boot_time how long another machine takes to boot: it is waited for that much longer.
    [[nodiscard]] bool may_give_up(const UnresponsiveMachine& machine, Millis boot_time,
                                   Millis now);

  private:
    /// Who may use what part of the budget.
    enum class BudgetClass {
        preferred,  ///< gains most by being given up: may use all of it
        ordinary,   ///< leaves half of what can be saved up to the preferred
    };

    [[nodiscard]] bool few_unresponsive() const;
    [[nodiscard]] bool many_unresponsive() const;
    /// Machines that may be given up in one second.
    [[nodiscard]] double give_up_rate() const;
    void set_health(DomainHealth health, Millis now);
    void update_degraded(Millis now);
    void refill_budget(Millis now);
    [[nodiscard]] bool take_budget(BudgetClass budget_class, double price);

    Millis settle_time_;
    DomainHealth health_ = DomainHealth::healthy;
    Millis health_since_ = 0;
    Millis healthy_until_ = 0;
    Millis few_unresponsive_since_ = 0;  // while degraded; 0: not few
    std::size_t up_count_ = 0;
    std::size_t unresponsive_count_ = 0;
    double give_up_budget_ = 0;  // in machines
    Millis refilled_at_ = 0;     // 0: never
};

/// All domains of one cluster state: its zones, and those zones together that are healthy by
/// themselves, since a few machines of each zone may be many of all.
///
/// Owned and called by FailureDetector.
class FailureDomains {
  public:
    FailureDomains(double heartbeat_interval_s, double lease_s);

    /// Changes a zone's counts. Zones are added as they are named.
    void adjust_counts(Index zone, int up, int unresponsive);
    /// @return the zones whose health changed; kNone stands for the healthy zones together.
    std::vector<Index> update(Millis now);
    /// The zone's health; if it is healthy by itself, that of the healthy zones together.
    [[nodiscard]] DomainHealth health(Index zone) const;
    /// Whether neither new work nor new machines are of use in the zone.
    [[nodiscard]] bool is_lost(Index zone) const;
    /// FailureDomain::may_give_up of the zone, or of the healthy zones together.
    [[nodiscard]] bool may_give_up(Index zone, const UnresponsiveMachine& machine, Millis boot_time,
                                   Millis now);
    /// Whether most machines of every zone are unresponsive: this controller is likelier to be cut
    /// off than they are.
    [[nodiscard]] bool all_mostly_unresponsive() const;
    /// The zone, or the healthy zones together for kNone and zones without machines.
    [[nodiscard]] const FailureDomain& zone(Index zone) const {
        return zone < zones_.size() ? zones_[zone] : healthy_zones_combined_;
    }

  private:
    Millis settle_time_;
    FailureDomain healthy_zones_combined_;
    std::vector<FailureDomain> zones_;  // by index
};

}  // namespace nickelramp::failure
