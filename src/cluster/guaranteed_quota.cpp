#include "cluster/guaranteed_quota.h"

#include <iterator>

#include "jobs/resource_need.h"

namespace nickelramp::cluster {

void GuaranteedQuota::adjust_sums(const jobs::Job& job, double sign) {
    cpus_ += sign * job.spec.cpus * job.spec.tasks;
    gpus_ += sign * job.spec.gpus * job.spec.tasks;
}

// A quota of 0 cpus or gpus says nothing of that resource; of both: the team has none.
bool GuaranteedQuota::prefix_fits() const {
    if (team_.cpus <= 0 && team_.gpus <= 0) return false;
    return (team_.cpus <= 0 || cpus_ <= team_.cpus + jobs::kFitTolerance) &&
           (team_.gpus <= 0 || gpus_ <= team_.gpus + jobs::kFitTolerance);
}

void GuaranteedQuota::add(jobs::Job& job) {
    auto [it, added] = jobs_.insert(&job);
    if (!added) return;
    if (std::next(it) == first_outside_) {
        first_outside_ = it;  // update_prefix() decides about it
    } else if (first_outside_ != jobs_.end() && ByAcceptance()(*first_outside_, &job)) {
        return;  // a job before it does not fit
    } else {
        adjust_sums(job, 1);
        job.within_guaranteed_quota = true;
    }
    update_prefix();
}

void GuaranteedQuota::remove(jobs::Job& job) {
    auto it = jobs_.find(&job);
    if (it == jobs_.end()) return;
    if (it == first_outside_)
        ++first_outside_;
    else if (job.within_guaranteed_quota)
        adjust_sums(job, -1);
    job.within_guaranteed_quota = false;
    jobs_.erase(it);
    update_prefix();
}

// Moves the end of the prefix back over jobs that fit no longer, then on over jobs that fit now.
void GuaranteedQuota::update_prefix() {
    while (first_outside_ != jobs_.begin() && !prefix_fits()) {
        --first_outside_;
        adjust_sums(**first_outside_, -1);
        (*first_outside_)->within_guaranteed_quota = false;
    }
    while (first_outside_ != jobs_.end()) {
        adjust_sums(**first_outside_, 1);
        if (!prefix_fits()) {
            adjust_sums(**first_outside_, -1);
            return;
        }
        (*first_outside_)->within_guaranteed_quota = true;
        ++first_outside_;
    }
}

}  // namespace nickelramp::cluster
