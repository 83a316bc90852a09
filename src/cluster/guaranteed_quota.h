/// @file
/// Which of a team's unfinished jobs are within its guaranteed quota.
#pragma once
#include <set>
#include <tuple>

#include "jobs/job.h"
#include "wire/settings.h"

namespace nickelramp::cluster {

/// A job is within its team's guaranteed quota if all its tasks fit into the quota together with
/// those of the team's earlier unfinished jobs. So the jobs within it are a prefix of the team's
/// jobs by acceptance; it is kept up to date with every job that comes or ends, and each job's flag
/// Job::within_guaranteed_quota with it. Owned by ClusterState.
class GuaranteedQuota {
  public:
    explicit GuaranteedQuota(const wire::Team& rule) : team_(rule), first_outside_(jobs_.end()) {}
    GuaranteedQuota(const GuaranteedQuota&) = delete;
    GuaranteedQuota& operator=(const GuaranteedQuota&) = delete;

    /// Has no effect on a job that is in it.
    void add(jobs::Job& job);
    /// Has no effect on a job that is not in it. A job is removed before it is destroyed.
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
    JobSet::iterator first_outside_;  // the first job that does not fit; end: all fit
    double cpus_ = 0, gpus_ = 0;      // of the jobs before it
};

}  // namespace nickelramp::cluster
