/// @file
/// The rule for jobs that are spread over zones: at most half of the tasks, rounded up, in one
/// zone.
#pragma once
#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "jobs/job.h"

namespace nickelramp::scheduling {

/// A job's tasks by zone, as far as a plan has counted them, and how many more may go into a zone.
/// For a job that need not be spread, the counts limit nothing.
class ZoneTaskCounts {
  public:
    /// `tasks_by_zone` has an entry for each zone that machines may be in.
    ZoneTaskCounts(const jobs::Job& job, std::vector<std::uint32_t> tasks_by_zone)
        : spread_(job.spec.spread),
          max_per_zone_((job.spec.tasks + 1) / 2),
          tasks_by_zone_(std::move(tasks_by_zone)) {}

    [[nodiscard]] std::uint32_t tasks_in(Index zone) const { return tasks_by_zone_[zone]; }

    /// How many of `wanted` further tasks may go into the zone.
    [[nodiscard]] std::uint32_t allowed_in(Index zone, std::uint32_t wanted) const {
        if (!spread_) return wanted;
        return std::min(wanted, max_per_zone_ - std::min(max_per_zone_, tasks_by_zone_[zone]));
    }
    [[nodiscard]] bool allows_more_in(Index zone) const { return allowed_in(zone, 1) > 0; }

    void add(Index zone, std::uint32_t tasks) { tasks_by_zone_[zone] += tasks; }

  private:
    bool spread_;
    std::uint32_t max_per_zone_;
    std::vector<std::uint32_t> tasks_by_zone_;
};

}  // namespace nickelramp::scheduling
