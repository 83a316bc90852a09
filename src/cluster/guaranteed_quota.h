/// @file
/// Tracks which of a team's unfinished jobs are within its guaranteed quota.
#pragma once
#include <set>
#include <tuple>

#include "jobs/job.h"
#include "wire/settings.h"

namespace nickelramp::cluster {

/// A job is within its team's guaranteed quota if all its tasks fit into the quota together with
/// those of the team's earlier unfinished jobs. The jobs within the quota are therefore a prefix of
/// the team's jobs in order of acceptance. Every added or removed job updates the prefix and the
/// flags Job::within_guaranteed_quota. Owned by ClusterState.
class GuaranteedQuota {
  public:
    explicit GuaranteedQuota(const wire::Team& rule) : team_(rule), first_outside_(jobs_.end()) {}
    GuaranteedQuota(const GuaranteedQuota&) = delete;
    GuaranteedQuota& operator=(const GuaranteedQuota&) = delete;

    /// Adds a job. Has no effect if it was added before.
    void add(jobs::Job& job);
    /// Removes a job, which must happen before the job is destroyed. Has no effect if it was not
    /// added.
    void remove(jobs::Job& job);

  private:
    struct ByAcceptance {
        bool operator()(const jobs::Job* a, const jobs::Job* b) const {
            return std::tie(a->accepted_at, a->spec.id) < std::tie(b->accepted_at, b->spec.id);
        }
    };
    using JobSet = std::set<jobs::Job*, ByAcceptance>;

    void adjust_sums(const jobs::Job& job, double sign);
    [[nodiscard]] bool prefix_fits() const;
    void update_prefix();

    wire::Team team_;
    JobSet jobs_;
    JobSet::iterator first_outside_;  // the first job that does not fit; end if all fit
    double cpus_ = 0, gpus_ = 0;      // total of the jobs before first_outside_
};

}  // namespace nickelramp::cluster
