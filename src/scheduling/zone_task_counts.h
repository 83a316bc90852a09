/// @file
/// Limit for jobs that are spread over zones: at most half of the tasks, rounded up, run in one
/// zone.
#pragma once
#include <algorithm>
#include <cstdint>
#include <utility>
#include <vector>

#include "jobs/job.h"

namespace nickelramp::scheduling {

/// Counts the tasks of a job by zone and returns how many more may be placed in a zone. For a job
/// that is not spread over zones there is no limit.
class ZoneTaskCounts {
  public:
    /// @param tasks_by_zone one entry for each zone of the cluster
    ZoneTaskCounts(const jobs::Job& job, std::vector<std::uint32_t> tasks_by_zone)
        : spread_(job.spec.spread),
          max_per_zone_((job.spec.tasks + 1) / 2),
          tasks_by_zone_(std::move(tasks_by_zone)) {}

    [[nodiscard]] std::uint32_t tasks_in(Index zone) const { return tasks_by_zone_[zone]; }

    /// Returns how many of `wanted` further tasks may be placed in the zone.
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
