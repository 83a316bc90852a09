#include "cluster/guaranteed_quota.h"

#include <iterator>

#include "jobs/resource_need.h"

namespace nickelramp::cluster {

void GuaranteedQuota::adjust_sums(const jobs::Job& job, double sign) {
    cpus_ += sign * job.spec.cpus * job.spec.tasks;
    gpus_ += sign * job.spec.gpus * job.spec.tasks;
}

// A quota of 0 for cpus or for gpus means that this resource is not limited. If both are 0, the
// team has no guaranteed quota.
bool GuaranteedQuota::prefix_fits() const {
    if (team_.cpus <= 0 && team_.gpus <= 0) return false;
    return (team_.cpus <= 0 || cpus_ <= team_.cpus + jobs::kFitTolerance) &&
           (team_.gpus <= 0 || gpus_ <= team_.gpus + jobs::kFitTolerance);
}

void GuaranteedQuota::add(jobs::Job& job) {
    auto [it, added] = jobs_.insert(&job);
    if (!added) return;
    if (std::next(it) == first_outside_) {
        first_outside_ = it;  // update_prefix() decides whether it fits
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

// Removes jobs that no longer fit from the end of the prefix, then appends jobs that now fit.
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
