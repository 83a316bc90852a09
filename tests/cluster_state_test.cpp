// What keeps the book's work small, against the slow way of doing the same.
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
        DeadlineQueue agenda;
        std::map<Index, Millis> model;
        Millis now = 0;
        // Which of few things, and in how long; less than nothing: forget it.
        const auto steps = *rc::gen::container<std::vector<std::pair<Index, Millis>>>(
            rc::gen::pair(rc::gen::inRange<Index>(0, 12), rc::gen::inRange<Millis>(-10, 40)));
        for (auto [i, in] : steps) {
            ++now;
            if (in < 0) {
                agenda.cancel(i);
                model.erase(i);
            } else {
                agenda.schedule(i, now + in);
                auto it = model.try_emplace(i, now + in).first;
                it->second = std::min(it->second, now + in);
            }
            std::set<Index> due, expected;
            for (Index k = agenda.pop_due(now); k != kNone; k = agenda.pop_due(now)) due.insert(k);
            for (const auto& [k, at] : model) {
                if (at <= now) expected.insert(k);
            }
            for (Index k : expected) model.erase(k);
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
        placement::FreeCapacityIndex openings;
        std::map<Index, Machine> model;
        auto halves = [](int most) { return *rc::gen::inRange(0, most + 1) * 0.5; };
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const auto i = *rc::gen::inRange<Index>(0, 20);
            if (*rc::gen::inRange(0, 4) == 0) {
                openings.remove(i);
                model.erase(i);
            } else {
                Machine machine{{*rc::gen::inRange<Index>(0, 2), *rc::gen::inRange<Index>(0, 2),
                                 *rc::gen::arbitrary<bool>()},
                                halves(96),
                                halves(16)};
                openings.update(i, machine.kind, machine.cpus, machine.gpus);
                model[i] = machine;
            }
            const placement::Need need{halves(48), std::floor(halves(16)), 0};
            std::set<Index> found, expected;
            openings.for_each_candidate(
                need, [](const auto& kind) { return kind.zone == 0; },
                [&](Index m) { return found.insert(m).second; });
            for (const auto& [k, m] : model) {
                if (m.kind.zone == 0 && placement::fits_within(m.cpus, m.gpus, 0, need)) {
                    expected.insert(k);
                }
            }
            RC_ASSERT(found == expected);
        }
    }));
}

// The protocol's words: a job is within its team's guarantee if it fits into it together with the
// team's earlier unfinished jobs.
TEST(ClusterState, GuaranteedQuotaMatchesARecountOfEarlierJobs) {
    EXPECT_TRUE(rc::check([] {
        const wire::Team rule{"red", *rc::gen::element(0.0, 10.0, 40.0), 0,
                              *rc::gen::element(0.0, 25.0), 0};
        cluster::GuaranteedQuota guarantee(rule);
        std::vector<std::unique_ptr<jobs::Job>> all;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            if (!all.empty() && *rc::gen::inRange(0, 3) == 0) {
                auto it = all.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(all));
                guarantee.remove(**it);
                all.erase(it);
            } else {
                auto job = std::make_unique<jobs::Job>();
                job->spec.id = "job-" + std::to_string(step);
                job->spec.cpus = *rc::gen::inRange(0, 7) * 0.7;
                job->spec.gpus = *rc::gen::inRange(0, 4);
                job->spec.tasks = *rc::gen::inRange(1u, 6u);
                job->accepted_at = *rc::gen::inRange<Millis>(0, 60);
                guarantee.add(*job);
                all.push_back(std::move(job));
            }
            std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
                return std::tie(a->accepted_at, a->spec.id) < std::tie(b->accepted_at, b->spec.id);
            });
            double cpus = 0, gpus = 0;
            for (const auto& job : all) {
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

// The one that is cut off is the leader, not its machines: it returned the first silent ones before
// it had noticed that most were silent, and their replicas were lost.
TEST(ClusterState, AnIsolatedLeaderReleasesNoMachine) {
    test::ClusterSimulation simulation(300, {});
    for (int n = 0; n < 6; ++n) {
        simulation.submit(test::job("job-" + std::to_string(n), "standing", 2, 1));
    }
    simulation.run_until(60'000);
    ASSERT_GE(simulation.machines(), 3u);
    std::size_t before = simulation.released_machines();
    test::Faults cut;
    cut.lost_heartbeats = cut.refused_commands = 1;
    simulation.set_faults(cut);
    simulation.run_until(simulation.now() + 15'000);
    EXPECT_EQ(simulation.released_machines(), before);
}

// A transaction that is put off because one of its records must be read again first must not take
// the other records for written: their tasks were never started.
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
