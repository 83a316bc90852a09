#include "scheduling/scheduler.h"

#include <algorithm>

#include "scheduling/gang_placement.h"
#include "scheduling/gang_wait_limits.h"
#include "scheduling/preemption_search.h"
#include "scheduling/quota_preemption.h"
#include "scheduling/reservations.h"
#include "scheduling/task_placement.h"

namespace nickelramp::scheduling {

using jobs::Job;
using wire::Priority;

namespace {
constexpr Millis kSearchInterval = 500;  // between preemption searches for one job
}  // namespace

bool Scheduler::place_job(Job& job, Millis now) {
    // A job on trial after failures runs one task at a time, so its other tasks are not placed now.
    if (job.placeable_tasks() == 0) return true;
    // Replicas run for a long time. They use a slot on an expensive machine only if no room can
    // soon be made on a cheap one.
    job.avoids_expensive_machines =
        job.is_service() && (job.unplaced_since == 0 || now - job.unplaced_since < kStopOverhead);
    if (job.is_gang() ? place_gang(job, now) : place_tasks(job, now)) return true;
    if (job.is_gang() && now - job.accepted_at > kReserveQuotaAfter)
        update_quota_reservation(job, now);
    const bool room_is_being_made = make_room(job, now);
    if (!job.avoids_expensive_machines || room_is_being_made || job.unplaced_tasks() == 0)
        return false;
    job.avoids_expensive_machines = false;
    return place_tasks(job, now);
}

bool Scheduler::place_tasks(Job& job, Millis now) {
    return TaskPlacement(cluster_, forecast_, rules_, job, now).run();
}

bool Scheduler::place_gang(Job& job, Millis now) {
    return GangPlacement(cluster_, rules_, job, now).run();
}

bool Scheduler::make_room(Job& job, Millis now) {
    const std::uint32_t tasks =
        job.is_gang() ? job.spec.tasks
                      : std::min(job.placeable_tasks(), rules_.tasks_within_quota(job));
    return tasks > 0 && rules_.within_quota(job, tasks) && preempt_for(job, tasks, now);
}

// A search examines a limited number of machines, and the next search continues after them.
bool Scheduler::preempt_for(Job& job, std::uint32_t tasks, Millis now) {
    if (job.spec.priority < Priority::high && !job.within_guaranteed_quota) return false;
    if (now < job.next_preemption_at) return job.preemption_under_way;
    const std::size_t search_size = PreemptionSearch::machines_to_search(cluster_, job, tasks);
    // Searches of more machines take longer and are made less often.
    const std::size_t intervals = 1 + search_size / (PreemptionSearch::kMachinesPerSearch + 1);
    job.next_preemption_at = now + kSearchInterval * static_cast<Millis>(intervals);
    job.preemption_under_way = false;
    if (job.reservations_since != 0 && now - job.reservations_since > jobs::kMaxWithholdingTime) {
        // The job was not placed on its reserved machines in time, so other jobs may use them for a
        // while.
        release_reservations(cluster_, job);
        job.next_preemption_at = now + kReservationDuration;
        job.reservations_since = 0;
        return false;
    }
    PreemptionSearch search(cluster_, forecast_, rules_, job, tasks, now);
    if (search.enough_is_reserved()) return job.preemption_under_way = true;
    search.collect_candidates(next_searched_machine_, search_size);
    next_searched_machine_ += search_size;
    return job.preemption_under_way = search.preempt();
}

// While the gang does not fit its team's quota, reserves quota for it or preempts tasks of the
// team. Once the gang fits, the reservation is kept for about as long as a machine takes to boot.
// It is then paused so that other jobs of the team can use the quota.
void Scheduler::update_quota_reservation(Job& gang, Millis now) {
    if (!rules_.within_quota(gang, gang.spec.tasks)) {
        gang.fits_quota_since = 0;
        if (cluster_.may_reserve_quota(gang.team, now)) QuotaPreemption(cluster_, gang, now).run();
        return;
    }
    if (gang.fits_quota_since == 0) {
        gang.fits_quota_since = now;
        // Resets the state of preemption within the quota, which does not apply to machines.
        gang.preemption_under_way = false;
        gang.next_preemption_at = 0;
    }
    if (now - gang.fits_quota_since <= typical_boot_time(cluster_) + kReservationDuration) return;
    cluster_.pause_quota_reservation(gang, now);
}

}  // namespace nickelramp::scheduling
