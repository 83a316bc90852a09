/// @file
/// Reserved quota. Small tasks of a team take whatever comes free within the team's quota, and a
/// gang of the same team would wait for ever until all that it needs is free at once. So quota that
/// comes free can be reserved for one gang of the team, for a limited time.
#pragma once
#include <vector>

#include "base/names.h"
#include "base/time.h"
#include "jobs/job.h"

namespace nickelramp::cluster {

/// For each team the gang for which quota is reserved, and since when. A team reserves for at most
/// jobs::kMaxHoldBack in one go, whichever gangs that is for, and then pauses for kPause, in which
/// its other jobs may use what came free. Owned by ClusterState, used by the scheduler.
class QuotaReservations {
  public:
    /// `jobs_by_index` is the list of all jobs (null: the index is free) and must live longer.
    explicit QuotaReservations(const std::vector<jobs::Job*>& jobs_by_index)
        : jobs_by_index_(jobs_by_index) {}

    /// Teams are added in the order of their indices.
    void add_team() { by_team_.emplace_back(); }

    /// The gang for which the team's quota is reserved; null if there is none that still waits.
    [[nodiscard]] const jobs::Job* reserved_for(Index team) const;
    /// May the team reserve now, or does it pause?
    [[nodiscard]] bool may_reserve(Index team, Millis now) const;
    /// Reserves for the gang, unless its team pauses or reserves for one accepted earlier.
    void reserve(const jobs::Job& gang, Millis now);
    /// Ends the reservation if it is for this gang; another may follow in the time that is left.
    void release(const jobs::Job& gang);
    /// The same, and the team's pause begins.
    void pause(const jobs::Job& gang, Millis now);
    /// Ends the reservations whose time is over. Called before every pass of the scheduler.
    void expire(Millis now);

  private:
    static constexpr Millis kPause = 30'000;

    struct Reservation {
        Index gang = kNone;
        Millis since = -kNever;  // the team began to reserve, perhaps for another gang
    };

    const std::vector<jobs::Job*>& jobs_by_index_;
    std::vector<Reservation> by_team_;
};

}  // namespace nickelramp::cluster
