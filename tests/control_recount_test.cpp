// Compares the cluster state with a full recount after every step of random histories.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "tests/control_fixture.h"
#include "tests/random_history.h"

namespace {

using namespace nickelramp;
using jobs::Attempt;
using jobs::AttemptState;
using jobs::Job;
using machines::Machine;
using machines::MachineState;
using machines::Reachability;
using test::ControlFixture;

constexpr double kSumTolerance = 1e-6;  // incremental sums and a recount differ by rounding

bool nearly_equal(double a, double b) { return std::abs(a - b) < kSumTolerance; }

// Adds the machine of every live attempt to the trace.
void trace_placements(const ControlFixture& fixture) {
    std::map<std::tuple<std::string, std::uint32_t, std::uint32_t>, std::string> machines;
    for (const auto& [id, job] : fixture.cluster.jobs()) {
        for (const auto& attempt : job->attempts) {
            if (!attempt->live()) continue;
            machines[{id, attempt->task, attempt->number}] =
                fixture.cluster.machine_of(*attempt)->name;
        }
    }
    for (const auto& [attempt, machine] : machines) {
        const auto& [id, task, number] = attempt;
        test::test_trace().add(0, "place", id, task, number, machine);
    }
}

// Recounts all sums and indices from the jobs' attempts and the machines' states, and compares them
// with those that the cluster state updates incrementally.
class Recount {
  public:
    explicit Recount(ControlFixture& fixture) : fixture_(fixture), cluster_(fixture.cluster) {}

    void check() {
        for (const auto& [id, job] : cluster_.jobs()) check_job(*job);
        for (const auto& [team, usage] : usage_by_team_) {
            RC_ASSERT(nearly_equal(cluster_.team_usage(team).cpus, usage.cpus));
            RC_ASSERT(nearly_equal(cluster_.team_usage(team).gpus, usage.gpus));
        }
        for (const Machine* machine : cluster_.machines()) {
            check_sums(*machine);
            count_state(*machine);
            count_demand(*machine);
        }
        check_indices();
        check_forecast();
    }

  private:
    struct Usage {
        double cpus = 0, gpus = 0;
    };

    void check_job(const Job& job) {
        std::uint32_t live = 0, running = 0, unconfirmed = 0, uncommitted = 0;
        std::set<std::uint32_t> live_tasks;
        Usage& usage = usage_by_team_[job.team];
        for (const auto& attempt : job.attempts) {
            if (!attempt->live()) continue;
            ++live;
            RC_ASSERT(live_tasks.insert(attempt->task).second);  // no task is live twice
            running +=
                attempt->state == AttemptState::running || attempt->state == AttemptState::saving;
            unconfirmed += attempt->state == AttemptState::recording;
            uncommitted += attempt->state == AttemptState::recording && attempt->commit_number == 0;
            attempts_on_[cluster_.machine_of(*attempt)].push_back(attempt.get());
            usage.cpus += job.spec.cpus;
            usage.gpus += job.spec.gpus;
        }
        RC_ASSERT(job.live_attempts == live && job.running_attempts == running);
        RC_ASSERT(job.unconfirmed_attempts == unconfirmed &&
                  job.uncommitted_attempts == uncommitted);
        if (job.delegated_shard != kNone) {
            usage.cpus += job.spec.cpus * job.spec.tasks;
            usage.gpus += job.spec.gpus * job.spec.tasks;
        }
    }

    void check_sums(const Machine& machine) {
        const wire::MachineType& type = cluster_.types()[machine.type];
        double cpus_free = type.cpus, gpus_free = type.gpus, gang_and_service_cpus = 0;
        std::uint32_t gangs_and_services = 0, gangs = 0;
        for (const Attempt* attempt : attempts_on_[&machine]) {
            const Job& job = cluster_.job_of(*attempt);
            cpus_free -= job.spec.cpus;
            gpus_free -= job.spec.gpus;
            if (job.spec.shape == wire::Shape::array) continue;
            ++gangs_and_services;
            gangs += job.is_gang();
            gang_and_service_cpus += job.spec.cpus;
        }
        RC_ASSERT(machine.live_attempts == attempts_on_[&machine].size() &&
                  machine.live_gang_and_service_attempts == gangs_and_services &&
                  machine.live_gang_attempts == gangs);
        RC_ASSERT(nearly_equal(machine.cpus_free, cpus_free) &&
                  nearly_equal(machine.gpus_free, gpus_free));
        RC_ASSERT(nearly_equal(machine.gang_and_service_cpus, gang_and_service_cpus));
    }

    static bool accepts_tasks(const Machine& machine) {
        return machine.state == MachineState::ready &&
               machine.reachability == Reachability::reachable && !machine.suspected;
    }

    void count_state(const Machine& machine) {
        const bool reachable = machine.reachability == Reachability::reachable;
        if (accepts_tasks(machine) && machine.cpus_free > placement::kFitTolerance)
            with_free_capacity_.insert(machine.index);
        if (machine.state == MachineState::booting || machine.state == MachineState::joining)
            provisioning_.insert(machine.index);
        if (machine.state == MachineState::releasing) releasing_.insert(machine.index);
        if (!reachable) unresponsive_.insert(machine.index);
        if (machine.state != MachineState::booting && machine.state != MachineState::leased_out) {
            ++machine_counts_[machine.zone].up;
            machine_counts_[machine.zone].unresponsive += reachable ? 0 : 1;
        }
    }

    void count_demand(const Machine& machine) {
        if (!accepts_tasks(machine)) return;
        forecast::TypeDemand& demand = demand_by_type_[machine.type];
        if (machine.spot) {
            demand.free_spot_machines += free_share(machine);
            return;
        }
        demand.empty_on_demand += machine.live_attempts == 0;
        demand.available_for_whole_machine_tasks += machine.live_gang_and_service_attempts == 0;
        const forecast::ReplicaHeadroom& headroom = fixture_.forecast.replica_headroom();
        const bool counts_for_replicas =
            headroom.type != kNone && machine.type < headroom.relative_cost.size() &&
            headroom.relative_cost[machine.type].on_demand <= placement::kExpensiveFactor;
        if (counts_for_replicas) {
            replica_slots_ += placement::tasks_that_fit(machine.cpus_free, machine.gpus_free,
                                                        machine.memory_free, headroom.need, 1024);
        }
    }

    [[nodiscard]] double free_share(const Machine& machine) const {
        const wire::MachineType& type = cluster_.types()[machine.type];
        const double of_cpus = std::max(0.0, machine.cpus_free / type.cpus);
        if (type.gpus <= 0) return of_cpus;
        return std::min(of_cpus, std::max(0.0, machine.gpus_free / type.gpus));
    }

    void check_indices() {
        std::set<Index> candidates;
        cluster_.free_capacity().for_each_candidate(
            {}, [](const auto&) { return true; },
            [&](Index machine) { return candidates.insert(machine).second; });
        RC_ASSERT(candidates == with_free_capacity_);
        RC_ASSERT(cluster_.provisioning_machines() == provisioning_ &&
                  cluster_.releasing_machines() == releasing_);
        RC_ASSERT(cluster_.unresponsive_machines() == unresponsive_ &&
                  fixture_.machine_counts == machine_counts_);
    }

    void check_forecast() {
        for (Index type = 0; type < demand_by_type_.size(); ++type) {
            const forecast::TypeDemand& kept = fixture_.forecast.mutable_demand(type);
            const forecast::TypeDemand& counted = demand_by_type_[type];
            RC_ASSERT(kept.empty_on_demand == counted.empty_on_demand &&
                      kept.available_for_whole_machine_tasks ==
                          counted.available_for_whole_machine_tasks);
            RC_ASSERT(nearly_equal(kept.free_spot_machines, counted.free_spot_machines));
        }
        RC_ASSERT(nearly_equal(fixture_.forecast.replica_headroom().free_slots, replica_slots_));
    }

    ControlFixture& fixture_;
    cluster::ClusterState& cluster_;
    std::map<Index, Usage> usage_by_team_;
    std::map<const Machine*, std::vector<const Attempt*>> attempts_on_;
    std::set<Index> with_free_capacity_, provisioning_, releasing_, unresponsive_;
    std::vector<test::MachineCounts> machine_counts_{4};  // by zone
    std::vector<forecast::TypeDemand> demand_by_type_{2};
    double replica_slots_ = 0;
};

// Placement searches and forecasts use sums that are updated with every change. Guards against a
// change of state that does not update them, after which the scheduler would search for slots that
// do not exist.
TEST(ControlParts, ClusterStateMatchesARecount) {
    EXPECT_TRUE(rc::check([] {
        test::RandomHistory history;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, unsigned>>>(rc::gen::pair(
            rc::gen::inRange(0, static_cast<int>(test::Step::count)), rc::gen::inRange(0u, 1000u)));
        history.apply(test::Step::add_machine, 0);
        history.apply(test::Step::add_machine, 3);
        for (const auto& [step, pick] : steps) {
            history.apply(static_cast<test::Step>(step), pick);
            Recount(history.fixture).check();
            trace_placements(history.fixture);
        }
    }));
}

}  // namespace
