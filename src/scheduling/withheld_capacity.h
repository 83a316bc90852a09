/// @file
/// Capacity that fits a job and is kept for other work: for a limited time only.
#pragma once
#include "jobs/job.h"

namespace nickelramp::scheduling {

/// Records, during one attempt at placing a job, whether free capacity that fits it was withheld
/// for other work. Nothing is withheld from a job for longer than jobs::kMaxHoldBack: after that it
/// may take one slot of what is withheld, and the time starts again.
class WithheldCapacity {
  public:
    WithheldCapacity(const jobs::Job& job, Millis now)
        : may_withhold_(job.may_withhold_capacity(now)) {}

    /// Is a slot denied to the job, given that a rule wants it withheld? Notes that one was wanted.
    [[nodiscard]] bool withholds(bool wanted) {
        withheld_any_ |= wanted;
        return wanted && may_withhold_;
    }
    /// The job got a slot: it had its share of what is withheld.
    void on_placed() {
        may_withhold_ = true;
        withheld_any_ = false;
    }
    /// Writes to the job since when capacity has been withheld from it (0: none is).
    void record(jobs::Job& job, Millis now) const {
        if (!withheld_any_) job.capacity_withheld_since = 0;
        if (withheld_any_ && job.capacity_withheld_since == 0) job.capacity_withheld_since = now;
    }

  private:
    bool may_withhold_;
    bool withheld_any_ = false;
};

}  // namespace nickelramp::scheduling
