/// @file
/// Reservations of a team's quota for its gangs. A gang needs quota for all its tasks at once and
/// would starve if smaller tasks of its team used all quota as it becomes free. Quota that becomes
/// free can therefore be reserved for one gang of the team, for a limited time.
#pragma once
#include <vector>

#include "base/names.h"
#include "base/time.h"
#include "jobs/job.h"

namespace nickelramp::cluster {

/// Stores for each team the gang for which quota is reserved, and since when. A team may reserve
/// quota for at most jobs::kMaxWithholdingTime without interruption, in total over all gangs. Then
/// it pauses for kPause, during which its other jobs may use the free quota. Owned by ClusterState,
/// used by the scheduler.
class QuotaReservations {
  public:
    /// `jobs_by_index` lists all jobs (null: the index is free) and must outlive this object.
    explicit QuotaReservations(const std::vector<jobs::Job*>& jobs_by_index)
        : jobs_by_index_(jobs_by_index) {}

    /// Adds a team. Teams are added in the order of their indices.
    void add_team() { by_team_.emplace_back(); }

    /// Returns the waiting gang for which the team's quota is reserved; null if there is none.
    [[nodiscard]] const jobs::Job* reserved_for(Index team) const;
    /// Returns whether the team may reserve quota now, that is, whether it is not in a pause.
    [[nodiscard]] bool may_reserve(Index team, Millis now) const;
    /// Reserves quota for the gang, unless its team is in a pause or has a reservation for a gang
    /// that was accepted earlier.
    void reserve(const jobs::Job& gang, Millis now);
    /// Ends the reservation if it is for this gang. Another gang may use the remaining time.
    void release(const jobs::Job& gang);
    /// Ends the reservation and starts the team's pause, if the reservation is for this gang.
    void pause(const jobs::Job& gang, Millis now);
    /// Ends expired reservations. Called before every scheduler pass.
    void expire(Millis now);

  private:
    static constexpr Millis kPause = 30'000;

    struct Reservation {
        Index gang = kNone;
        Millis since = -kNever;  // start of the reservation period, maybe for another gang
    };

    const std::vector<jobs::Job*>& jobs_by_index_;
    std::vector<Reservation> by_team_;
};

}  // namespace nickelramp::cluster
