// Confirmed reads at several controllers, checked against a model of the statuses that users have
// already received. Also checks which controllers report that they are ready.
#include "api/confirmed_reads.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>

#include "readiness/readiness.h"
#include "tests/user_simulation.h"

namespace {

using namespace nickelramp;
using api::ConfirmedReads;
using api::RecordedStatus;
using test::SimulatedController;
using test::SimulatedStore;

// Rank of a status; a job's rank never decreases. 0: missing, 1: accepted, 2: done or cancelled.
int rank(ConfirmedReads::Lookup lookup, const RecordedStatus& status) {
    if (lookup == ConfirmedReads::Lookup::missing) return 0;
    return status.final ? 2 : 1;
}

using Controllers = std::vector<std::unique_ptr<SimulatedController>>;

// Reads at random controllers. Checks that no read returns an older status than any controller had
// returned before the read was requested, even if messages are delayed or lost. `inject` sets the
// faults of each step.
void check_reads(std::uint64_t first_seed, std::uint64_t last_seed,
                 const std::function<void(int step, SimulatedStore&, Controllers&)>& inject) {
    std::size_t given = 0, final_statuses = 0, missing = 0;
    for (std::uint64_t seed = first_seed; seed <= last_seed; ++seed) {
        SCOPED_TRACE(seed);
        SimulatedStore store;
        store.random.seed(seed);
        store.retained_changes = seed % 4 == 0 ? 20 : 10'000;
        store.failure_rate = seed % 3 == 0 ? 0.2 : 0;
        Controllers controllers;
        for (int i = 0; i < 3; ++i)
            controllers.push_back(std::make_unique<SimulatedController>(store));
        std::map<std::string, int> best;  // by job: the highest rank that a user has received
        std::size_t open = 0;
        for (int step = 0; step < 3'000; ++step) {
            store.run_until(store.now + static_cast<Millis>(store.random() % 30));
            inject(step, store, controllers);
            // Half of the reads are of the job that was changed last.
            const bool is_recent = !store.log.empty() && store.random() % 2 == 0;
            const std::string id = is_recent ? store.log.back().key.substr(4)
                                             : "job-" + std::to_string(store.random() % 40);
            const auto found = store.keys.find(jobs::job_key(id));
            const int action = static_cast<int>(store.random() % 100);
            if (action < 5 && store.down) continue;
            if (action < 3 && found == store.keys.end()) {
                store.set_job_record(id, nullptr);
                best[id] = 1;  // its user has received 201
            } else if (action < 5 && found != store.keys.end() &&
                       found->second.first["final"].is_null()) {
                store.set_job_record(id, store.random() % 2 == 0 ? "done" : "withdrawn");
            } else if (action < 60) {
                SimulatedController& controller = *controllers[store.random() % 3];
                ++open;
                controller.ask(id, 1'500,
                               [&, id, least = best[id], asked = store.now](
                                   ConfirmedReads::Lookup lookup, const RecordedStatus& status) {
                                   --open;
                                   EXPECT_LE(store.now - asked, 1'800);
                                   if (lookup == ConfirmedReads::Lookup::unknown) return;
                                   EXPECT_GE(rank(lookup, status), least)
                                       << id << " asked at " << asked;
                                   best[id] = std::max(best[id], rank(lookup, status));
                                   ++given;
                                   final_statuses += rank(lookup, status) == 2;
                                   missing += rank(lookup, status) == 0;
                               });
            }
            for (auto& controller : controllers) controller->reads.run_due_work(store.now);
            if (testing::Test::HasFailure()) return;
        }
        for (int i = 0; i < 40; ++i) {
            store.run_until(store.now + 200);
            for (auto& controller : controllers) controller->reads.run_due_work(store.now);
        }
        EXPECT_EQ(open, 0u);
    }
    EXPECT_GT(given, 10'000u);
    EXPECT_GT(final_statuses, 1'000u);
    EXPECT_GT(missing, 1'000u);
}

TEST(ConfirmedReads, NeverReturnsAnOlderStatusThanBefore) {
    check_reads(1, 40, [](int, SimulatedStore&, Controllers&) {});
}

// The key-value store is slow, then rejects only one controller and is then down for all, while
// users continue to read. No status may be wrong or older than one returned before. As soon as the
// store is available again, all controllers must return the status of every job.
TEST(ConfirmedReads, SurvivesASlowThenRejectingThenUnavailableStateService) {
    std::size_t rejected = 0, down = 0;
    check_reads(50, 90, [&](int step, SimulatedStore& store, Controllers& controllers) {
        const int at = step % 1'000;
        store.slow_reply_rate = at >= 100 && at < 400 ? 0.3 : 0;
        store.down = at >= 500 && at < 800;
        for (std::size_t i = 0; i < controllers.size(); ++i)
            controllers[i]->rejected =
                at >= 300 && at < 600 && i == static_cast<std::size_t>(step) / 1'000;
        rejected += at >= 300 && at < 500 ? 1 : 0;
        down += store.down ? 1 : 0;
        if (at != 999) return;
        std::size_t known = 0;
        for (auto& controller : controllers) {
            for (const auto& [key, entry] : store.keys) {
                controller->ask(key.substr(4), 1'500,
                                [&](ConfirmedReads::Lookup lookup, const RecordedStatus&) {
                                    known += lookup == ConfirmedReads::Lookup::found;
                                });
            }
        }
        const std::size_t asked = controllers.size() * store.keys.size();
        for (int i = 0; i < 20; ++i) {
            store.run_until(store.now + 100);
            for (auto& controller : controllers) controller->reads.run_due_work(store.now);
        }
        if (store.failure_rate == 0) {
            EXPECT_EQ(known, asked);
        }
    });
    EXPECT_GT(rejected, 10'000u);
    EXPECT_GT(down, 10'000u);
}

// Regression test: many concurrent reads used up the request limit of the key-value store, and
// nothing else was served for a minute. The load must not grow with the number of reads, and every
// job's status must still be returned.
TEST(ConfirmedReads, ManyConcurrentReadersShareReadsAndAllAreAnswered) {
    SimulatedStore store;
    SimulatedController controller(store);
    for (int i = 0; i < 500; ++i) store.set_job_record("job-" + std::to_string(i), nullptr);
    for (int i = 0; i < 500; ++i) {
        controller.ask("job-" + std::to_string(i), 1'500, [](auto, const auto&) {});
    }
    store.run_until(5'000);
    const std::size_t before = store.reads;
    std::vector<Millis> answered(500, 0);
    std::size_t reads = 0;
    while (store.now < 65'000) {
        for (int k = 0; k < 40; ++k) {  // 400 a second
            const std::size_t i = store.random() % 500;
            ++reads;
            controller.ask("job-" + std::to_string(i), 1'500,
                           [&, i](ConfirmedReads::Lookup lookup, const RecordedStatus&) {
                               if (lookup == ConfirmedReads::Lookup::found) answered[i] = store.now;
                           });
        }
        store.run_until(store.now + 100);
        controller.reads.run_due_work(store.now);
    }
    EXPECT_GT(reads, 20'000u);
    EXPECT_LE(store.reads - before, reads / 20);
    for (Millis answered_at : answered) EXPECT_GT(answered_at, store.now - 15'000);
}

TEST(ConfirmedReads, LookupsOfMissingJobsAreBatched) {
    SimulatedStore store;
    SimulatedController controller(store);
    std::size_t missing = 0;
    controller.ask("job-0", 1'500, [](auto, const auto&) {});
    store.run_until(2'000);
    const std::size_t before = store.reads;
    for (int i = 0; i < 50; ++i) {
        controller.ask("job-9", 1'500, [&](ConfirmedReads::Lookup lookup, const RecordedStatus&) {
            missing += lookup == ConfirmedReads::Lookup::missing;
        });
    }
    store.run_until(4'000);
    EXPECT_EQ(missing, 50u);
    EXPECT_LE(store.reads - before, 4u);  // two reads of changes, two of the record
}

// An outage for all controllers takes none of them out of service. An outage for this controller
// alone does, even if its peers are unreachable and it cannot know that the store serves them.
TEST(Readiness, OnlyAControllerThatAloneIsRejectedHandsOver) {
    using readiness::ReadinessState;
    struct Case {
        const char* description;
        kvstore::ServiceHealth health;
        std::vector<readiness::PeerHealth> peers;
        ReadinessState state;
        bool hands_over = false;
    };
    const Millis now = 100'000;
    const kvstore::ServiceHealth healthy{}, rejecting{95'000, -1}, not_replying{-1, 95'000},
        recently_rejecting{99'000, -1};
    const readiness::PeerHealth served{99'500, 99'000}, not_served{99'500, 94'000},
        lost{90'000, 89'000};
    const Case cases[] = {
        {"healthy", healthy, {served, served}, ReadinessState::serving},
        {"healthy alone", healthy, {lost, lost}, ReadinessState::serving},
        {"too short an outage", recently_rejecting, {lost, lost}, ReadinessState::serving},
        {"rejected alone", rejecting, {served, not_served}, ReadinessState::rejected, true},
        {"all rejected", rejecting, {not_served, not_served}, ReadinessState::outage},
        {"all reachable rejected", rejecting, {not_served, lost}, ReadinessState::outage},
        {"rejected, peers lost", rejecting, {lost, lost}, ReadinessState::rejected},
        {"rejected, no status yet", rejecting, {}, ReadinessState::rejected},
        {"unanswered alone", not_replying, {served, lost}, ReadinessState::store_unreachable},
        {"all unanswered", not_replying, {not_served, not_served}, ReadinessState::outage},
        {"unanswered, peers lost", not_replying, {lost, lost}, ReadinessState::store_unreachable},
    };
    for (const Case& c : cases) {
        SCOPED_TRACE(c.description);
        readiness::Readiness monitored(2, 0);
        EXPECT_EQ(monitored.update(true, c.health, c.peers, {}, now), c.state);
        // A leader that is partitioned together with the machines of its zone must continue to
        // answer them. When it handed over at once, 700 tasks lost their leases.
        EXPECT_EQ(monitored.should_hand_over(), c.hands_over);
        EXPECT_EQ(monitored.ready(),
                  c.state == ReadinessState::serving || c.state == ReadinessState::outage);
    }
    readiness::Readiness alone(0, 0);  // the only controller
    EXPECT_EQ(alone.update(true, rejecting, {}, {}, now), ReadinessState::outage);
    EXPECT_EQ(alone.update(false, healthy, {}, {}, now), ReadinessState::starting);
    EXPECT_FALSE(alone.ready());
}

}  // namespace
