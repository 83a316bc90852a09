#include "cluster/quota_reservations.h"

namespace nickelramp::cluster {

using jobs::Job;
using jobs::kMaxWithholdingTime;

const Job* QuotaReservations::reserved_for(Index team) const {
    const Index gang = by_team_[team].gang;
    const Job* job = gang == kNone ? nullptr : jobs_by_index_[gang];
    // The gang may have started or ended meanwhile, and its index may belong to another job.
    const bool waits =
        job != nullptr && job->team == team && job->is_gang() && job->unplaced_tasks() > 0;
    return waits ? job : nullptr;
}

bool QuotaReservations::may_reserve(Index team, Millis now) const {
    const Millis elapsed = now - by_team_[team].since;
    return elapsed <= kMaxWithholdingTime || elapsed > kMaxWithholdingTime + kPause;
}

void QuotaReservations::reserve(const Job& gang, Millis now) {
    if (!may_reserve(gang.team, now)) return;
    Reservation& reservation = by_team_[gang.team];
    if (now - reservation.since > kMaxWithholdingTime) reservation.since = now;
    const Job* current = reserved_for(gang.team);
    if (current == nullptr || gang.accepted_at < current->accepted_at)
        reservation.gang = gang.index;
}

void QuotaReservations::release(const Job& gang) {
    Reservation& reservation = by_team_[gang.team];
    if (reservation.gang == gang.index) reservation.gang = kNone;
}

void QuotaReservations::pause(const Job& gang, Millis now) {
    Reservation& reservation = by_team_[gang.team];
    if (reservation.gang != gang.index) return;
    reservation.gang = kNone;
    reservation.since = now - kMaxWithholdingTime - 1;
}

void QuotaReservations::expire(Millis now) {
    for (Reservation& reservation : by_team_) {
        if (now - reservation.since > kMaxWithholdingTime) reservation.gang = kNone;
    }
}

}  // namespace nickelramp::cluster
