// Which of a team's unfinished jobs fit into its guarantee together with all earlier ones: a prefix
// of them, kept up to date job by job.
#pragma once
#include <set>
#include <string>
#include <tuple>

#include "base/time.h"
#include "jobs/job.h"
#include "placement/placement_cost.h"
#include "wire/settings.h"

namespace nickelramp::cluster {

class GuaranteedQuota {
  public:
    explicit GuaranteedQuota(const wire::Team& rule) : team_(rule), first_outside_(jobs_.end()) {}
    GuaranteedQuota(const GuaranteedQuota&) = delete;
    GuaranteedQuota& operator=(const GuaranteedQuota&) = delete;

    void add(jobs::Job& job);
    void remove(jobs::Job& job);

  private:
    struct ByAcceptance {
        bool operator()(const jobs::Job* a, const jobs::Job* b) const {
            return std::tie(a->accepted_at, a->spec.id) < std::tie(b->accepted_at, b->spec.id);
        }
    };
    void adjust_sums(const jobs::Job& job, double sign);
    bool fits_quota() const;
    void update_prefix();

    wire::Team team_;
    std::set<jobs::Job*, ByAcceptance> jobs_;
    std::set<jobs::Job*, ByAcceptance>::iterator first_outside_;  // the first that does not fit
    double cpus_ = 0, gpus_ = 0;                                  // of those that do
};

}  // namespace nickelramp::cluster
