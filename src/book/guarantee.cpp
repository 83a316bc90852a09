#include "book/guarantee.h"

namespace nickelramp::book {

void Guarantee::count(const jobs::Job& j, double sign) {
    cpus_ += sign * j.spec.cpus * j.spec.tasks;
    gpus_ += sign * j.spec.gpus * j.spec.tasks;
}

bool Guarantee::fits() const {
    if (rule_.cpus <= 0 && rule_.gpus <= 0) return false;
    return (rule_.cpus <= 0 || cpus_ <= rule_.cpus + placing::kSlack) &&
           (rule_.gpus <= 0 || gpus_ <= rule_.gpus + placing::kSlack);
}

void Guarantee::add(jobs::Job& j) {
    auto [it, fresh] = jobs_.insert(&j);
    if (!fresh) return;
    if (std::next(it) == end_) {
        end_ = it;  // settle() decides about it
    } else if (end_ != jobs_.end() && Earlier()(*end_, &j)) {
        return;  // behind one that does not fit
    } else {
        count(j, 1);
        j.within_guarantee = true;
    }
    settle();
}

void Guarantee::remove(jobs::Job& j) {
    auto it = jobs_.find(&j);
    if (it == jobs_.end()) return;
    if (it == end_)
        ++end_;
    else if (j.within_guarantee)
        count(j, -1);
    j.within_guarantee = false;
    jobs_.erase(it);
    settle();
}

// Moves the end back over what does not fit any more, or on over what does.
void Guarantee::settle() {
    while (end_ != jobs_.begin() && !fits()) {
        --end_;
        count(**end_, -1);
        (*end_)->within_guarantee = false;
    }
    while (end_ != jobs_.end()) {
        count(**end_, 1);
        if (!fits()) {
            count(**end_, -1);
            return;
        }
        (*end_)->within_guarantee = true;
        ++end_;
    }
}

}  // namespace nickelramp::book
