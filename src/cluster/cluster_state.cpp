// ClusterState: queries, teams and machine types.
#include "cluster/cluster_state.h"

#include "partition/partition_responder.h"

namespace nickelramp::cluster {

ClusterState::ClusterState(TermContext& term, ClusterObserver& observer, ControlActions& actions,
                           Millis now)
    : term_(term),
      observer_(observer),
      actions_(actions),
      // An earlier leader may have renewed leases for a while after it lost the key-value store.
      inherited_leases_expire_at_(partition::last_possible_lease_end(term.settings(), now)) {
    for (const wire::Team& team : term.settings().teams) add_team(team);
    for (const std::string& zone : term.settings().zones) zone_names_.add(zone);
}

void ClusterState::add_team(const wire::Team& rule) {
    team_names_.add(rule.name);
    team_quotas_.push_back(rule);
    team_usage_.emplace_back();
    quota_reservations_.add_team();
    guaranteed_quotas_.push_back(std::make_unique<GuaranteedQuota>(rule));
}

void ClusterState::adjust_team_usage(const Job& job, double tasks) {
    TeamUsage& usage = team_usage_[job.team];
    usage.cpus += tasks * job.spec.cpus;
    usage.gpus += tasks * job.spec.gpus;
    if (job.spec.shape != wire::Shape::array) return;
    usage.array_cpus += tasks * job.spec.cpus;
    usage.array_gpus += tasks * job.spec.gpus;
}

void ClusterState::set_machine_types(const std::vector<wire::MachineType>& types) {
    for (const wire::MachineType& type : types) {
        const Index index = type_names_.add(type.name);
        if (index >= types_.size()) types_.resize(index + 1);
        types_[index] = type;
        for (const std::string& zone : type.zones) zone_names_.add(zone);
    }
    request_scheduling();
}

Job* ClusterState::job(const std::string& id) const {
    auto it = jobs_.find(id);
    return it == jobs_.end() ? nullptr : it->second.get();
}

std::vector<std::uint32_t> ClusterState::live_tasks_by_zone(const Job& job) const {
    std::vector<std::uint32_t> tasks_by_zone(zone_names_.size());
    for (const auto& attempt : job.attempts) {
        const Machine* machine = machine_of(*attempt);
        if (attempt->live() && machine != nullptr && machine->zone != kNone)
            ++tasks_by_zone[machine->zone];
    }
    return tasks_by_zone;
}

std::vector<Index> ClusterState::take_due(DeadlineQueue& deadlines, Millis now) {
    std::vector<Index> due;
    for (Index i = deadlines.pop_due(now); i != kNone; i = deadlines.pop_due(now)) due.push_back(i);
    return due;
}

}  // namespace nickelramp::cluster
