/// @file
/// Limits how long free capacity that fits a job may be withheld from it for other work.
#pragma once
#include "jobs/job.h"

namespace nickelramp::scheduling {

/// Records, during one attempt at placing a job, whether free capacity that fits the job was
/// withheld for other work. Capacity is withheld from a job for at most jobs::kMaxWithholdingTime.
/// After that the job may use one withheld slot, and the time starts again.
class WithheldCapacity {
  public:
    WithheldCapacity(const jobs::Job& job, Millis now)
        : may_withhold_(job.may_withhold_capacity(now)) {}

    /// Returns whether a slot is withheld from the job.
    /// @param wanted whether a placement rule asks to withhold the slot; this is recorded
    [[nodiscard]] bool withholds(bool wanted) {
        withheld_any_ |= wanted;
        return wanted && may_withhold_;
    }
    /// Records that the job got a slot. Further slots may be withheld from it again.
    void on_placed() {
        may_withhold_ = true;
        withheld_any_ = false;
    }
    /// Updates Job::capacity_withheld_since, the time since which capacity has been withheld from
    /// the job (0: none is withheld).
    void record(jobs::Job& job, Millis now) const {
        if (!withheld_any_) job.capacity_withheld_since = 0;
        if (withheld_any_ && job.capacity_withheld_since == 0) job.capacity_withheld_since = now;
    }

  private:
    bool may_withhold_;
    bool withheld_any_ = false;
};

}  // namespace nickelramp::scheduling
