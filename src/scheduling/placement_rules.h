// Where a job may go, and where it had better not: what the schedule, the supply and the lending of
// blocks all ask before they put a task anywhere. Reads the book and the outlook; changes nothing.
#pragma once
#include <vector>

#include "cluster/cluster_state.h"
#include "forecast/demand_forecast.h"

namespace nickelramp::scheduling {

// A task that is told to stop is gone within this, beyond the time to save.
inline constexpr Millis kStopOverhead = 2'000;

// Room that fits a job and is kept from it all the same: noted for as long as it lasts, and not
// kept beyond kMostHeld.
class WithheldCapacity {
  public:
    WithheldCapacity(const jobs::Job& job, Millis now)
        : may_withhold_(job.may_withhold_capacity(now)) {}

    bool withholds(bool kept) {
        withheld_any_ |= kept;
        return kept && may_withhold_;
    }
    void on_placed() {  // that was its place of what is kept
        may_withhold_ = true;
        withheld_any_ = false;
    }
    void record(jobs::Job& job, Millis now) const {
        if (!withheld_any_) job.capacity_withheld_since = 0;
        if (withheld_any_ && job.capacity_withheld_since == 0) job.capacity_withheld_since = now;
    }

  private:
    bool may_withhold_;
    bool withheld_any_ = false;
};

class PlacementRules {
  public:
    PlacementRules(const cluster::TermContext& term, cluster::ClusterState& cluster,
                   const forecast::DemandForecast& forecast)
        : term_(term), cluster_(cluster), forecast_(forecast) {}

    // Type, zone, kind and trust; not how much is free.
    bool allowed(const jobs::Job& job, const machines::Machine& machine) const;
    // Tasks of it that its team's limit leaves room for.
    std::uint32_t tasks_within_limit(const jobs::Job& job) const;
    bool within_limit(const jobs::Job& job, std::uint32_t tasks) const;
    // May a task of it start there now?
    bool may_start_on(const jobs::Job& job, const machines::Machine& machine,
                      const placement::Need& need, Millis now) const;
    // The machines that a task of it may start on now; of very many, some.
    std::vector<machines::Machine*> fitting_machines(const jobs::Job& job,
                                                     const placement::Need& need, Millis now) const;
    // Does a place there cost so much more than the cheapest that only need is a reason to take it?
    static bool is_expensive(const jobs::Job& job, Index type, bool spot);
    // Is this type left to work that fits no other? Arrays that fit elsewhere take it only when the
    // cloud has nothing else.
    bool reserved_for_other_work(const jobs::Job& job, Index type) const;
    // Is the machine better not used for the job, though it would fit?
    bool should_avoid(const jobs::Job& job, const machines::Machine& machine) const;
    // Is room there kept for replicas that will come before another machine could boot?
    bool reserved_for_replicas(const jobs::Job& job, const machines::Machine& machine,
                               double kept) const;
    // May this attempt be stopped so that the job gets its place?
    bool may_preempt(const jobs::Attempt& attempt, const jobs::Job& job) const;

  private:
    const cluster::TermContext& term_;
    cluster::ClusterState& cluster_;
    const forecast::DemandForecast& forecast_;
};

}  // namespace nickelramp::scheduling
