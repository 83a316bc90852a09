// Compares the indices of the cluster state with straightforward models, and simulates faults that
// parts using the cluster state once handled wrongly.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>

#include "base/deadline_queue.h"
#include "cluster/guaranteed_quota.h"
#include "placement/free_capacity_index.h"
#include "tests/cluster_simulation.h"

namespace {

using namespace nickelramp;

TEST(ClusterState, DeadlineQueuePopsExactlyWhatIsDue) {
    EXPECT_TRUE(rc::check([] {
        DeadlineQueue queue;
        std::map<Index, Millis> model;
        Millis now = 0;
        // Pairs of an index and a delay in milliseconds. A negative delay cancels the deadline.
        const auto steps = *rc::gen::container<std::vector<std::pair<Index, Millis>>>(
            rc::gen::pair(rc::gen::inRange<Index>(0, 12), rc::gen::inRange<Millis>(-10, 40)));
        for (const auto& [index, delay] : steps) {
            ++now;
            if (delay < 0) {
                queue.cancel(index);
                model.erase(index);
            } else {
                queue.schedule(index, now + delay);
                auto it = model.try_emplace(index, now + delay).first;
                it->second = std::min(it->second, now + delay);
            }
            std::set<Index> due, expected;
            for (Index i = queue.pop_due(now); i != kNone; i = queue.pop_due(now)) due.insert(i);
            for (const auto& [scheduled, at] : model) {
                if (at <= now) expected.insert(scheduled);
            }
            for (Index i : expected) model.erase(i);
            RC_ASSERT(due == expected);
        }
    }));
}

TEST(ClusterState, FreeCapacityIndexFindsEveryFittingMachine) {
    struct Machine {
        placement::FreeCapacityIndex::MachineKind kind;
        double cpus = 0, gpus = 0;
    };
    EXPECT_TRUE(rc::check([] {
        placement::FreeCapacityIndex free_capacity;
        std::map<Index, Machine> model;
        auto random_halves = [](int most) { return *rc::gen::inRange(0, most + 1) * 0.5; };
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const auto index = *rc::gen::inRange<Index>(0, 20);
            if (*rc::gen::inRange(0, 4) == 0) {
                free_capacity.remove(index);
                model.erase(index);
            } else {
                Machine machine{{*rc::gen::inRange<Index>(0, 2), *rc::gen::inRange<Index>(0, 2),
                                 *rc::gen::arbitrary<bool>()},
                                random_halves(96),
                                random_halves(16)};
                free_capacity.update(index, machine.kind, machine.cpus, machine.gpus);
                model[index] = machine;
            }
            const placement::Need need{random_halves(48), std::floor(random_halves(16)), 0};
            std::set<Index> found, expected;
            free_capacity.for_each_candidate(
                need, [](const auto& kind) { return kind.zone == 0; },
                [&](Index machine) { return found.insert(machine).second; });
            for (const auto& [candidate, machine] : model) {
                if (machine.kind.zone == 0 &&
                    placement::fits_within(machine.cpus, machine.gpus, 0, need)) {
                    expected.insert(candidate);
                }
            }
            RC_ASSERT(found == expected);
        }
    }));
}

// By the protocol's definition a job is within its team's guaranteed quota if it fits into the
// quota together with the team's earlier unfinished jobs.
TEST(ClusterState, GuaranteedQuotaMatchesARecountOfEarlierJobs) {
    EXPECT_TRUE(rc::check([] {
        const wire::Team rule{"red", *rc::gen::element(0.0, 10.0, 40.0), 0,
                              *rc::gen::element(0.0, 25.0), 0};
        cluster::GuaranteedQuota quota(rule);
        std::vector<std::unique_ptr<jobs::Job>> unfinished;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            if (!unfinished.empty() && *rc::gen::inRange(0, 3) == 0) {
                auto it = unfinished.begin() +
                          *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(unfinished));
                quota.remove(**it);
                unfinished.erase(it);
            } else {
                auto job = std::make_unique<jobs::Job>();
                job->spec.id = "job-" + std::to_string(step);
                job->spec.cpus = *rc::gen::inRange(0, 7) * 0.7;
                job->spec.gpus = *rc::gen::inRange(0, 4);
                job->spec.tasks = *rc::gen::inRange(1u, 6u);
                job->accepted_at = *rc::gen::inRange<Millis>(0, 60);
                quota.add(*job);
                unfinished.push_back(std::move(job));
            }
            std::sort(unfinished.begin(), unfinished.end(), [](const auto& a, const auto& b) {
                return std::tie(a->accepted_at, a->spec.id) < std::tie(b->accepted_at, b->spec.id);
            });
            double cpus = 0, gpus = 0;
            for (const auto& job : unfinished) {
                cpus += job->spec.cpus * job->spec.tasks;
                gpus += job->spec.gpus * job->spec.tasks;
                const bool within =
                    (rule.cpus > 0 || rule.gpus > 0) &&
                    (rule.cpus <= 0 || cpus <= rule.cpus + placement::kFitTolerance) &&
                    (rule.gpus <= 0 || gpus <= rule.gpus + placement::kFitTolerance);
                RC_ASSERT(job->within_guaranteed_quota == within);
            }
        }
    }));
}

// An isolated leader must not release machines. It once released the first unresponsive machines
// before it noticed that most machines were unresponsive, and their replicas were lost.
TEST(ClusterState, AnIsolatedLeaderReleasesNoMachine) {
    test::ClusterSimulation simulation(300, {});
    for (int n = 0; n < 6; ++n) {
        simulation.submit(test::job("job-" + std::to_string(n), "standing", 2, 1));
    }
    simulation.run_until(60'000);
    ASSERT_GE(simulation.machines(), 3u);
    const std::size_t released_before = simulation.released_machines();
    test::Faults isolated;
    isolated.lost_heartbeats = isolated.refused_commands = 1;
    simulation.set_faults(isolated);
    simulation.run_until(simulation.now() + 15'000);
    EXPECT_EQ(simulation.released_machines(), released_before);
}

// A transaction is deferred when one of its records must be read again first. Its other records
// must not be treated as written. When they were, their tasks were never started.
TEST(ClusterState, RecordsOfADeferredTransactionAreWrittenLater) {
    test::Faults faults;
    faults.unknown_commits = 0.35;
    for (std::uint64_t seed = 200; seed < 206; ++seed) {
        test::ClusterSimulation simulation(seed, faults);
        for (int n = 0; n < 4; ++n) {
            simulation.submit(test::job("job-" + std::to_string(n), "sweep", 300, 1));
        }
        simulation.run_until(400'000);
        simulation.clear_faults();
        simulation.run_until(3'000'000);
        for (int n = 0; n < 4; ++n) {
            EXPECT_EQ(simulation.final_state("job-" + std::to_string(n)), "done")
                << simulation.describe_running();
        }
        if (HasFailure()) return;
    }
}

}  // namespace
