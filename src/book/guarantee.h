// Which of a team's unfinished jobs fit into its guarantee together with all earlier ones: a prefix
// of them, kept up to date job by job.
#pragma once
#include <set>
#include <string>
#include <tuple>

#include "base/time.h"
#include "jobs/job.h"
#include "placing/placer.h"
#include "wire/settings.h"

namespace nickelramp::book {

class Guarantee {
  public:
    explicit Guarantee(const wire::Team& rule) : rule_(rule), end_(jobs_.end()) {}
    Guarantee(const Guarantee&) = delete;
    Guarantee& operator=(const Guarantee&) = delete;

    void add(jobs::Job& j);
    void remove(jobs::Job& j);

  private:
    struct Earlier {
        bool operator()(const jobs::Job* a, const jobs::Job* b) const {
            return std::tie(a->accepted_at, a->spec.id) < std::tie(b->accepted_at, b->spec.id);
        }
    };
    void count(const jobs::Job& j, double sign);
    bool fits() const;
    void settle();

    wire::Team rule_;
    std::set<jobs::Job*, Earlier> jobs_;
    std::set<jobs::Job*, Earlier>::iterator end_;  // the first that does not fit
    double cpus_ = 0, gpus_ = 0;                   // of those that do
};

}  // namespace nickelramp::book
