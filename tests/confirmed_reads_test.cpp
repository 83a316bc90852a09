// What users are told: answers of several controllers against a plain model of what each user has
// been told before; and which controllers say that they can serve.
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

// 0: not there, 1: accepted, 2: done or cancelled.
int rank(ConfirmedReads::Lookup found, const RecordedStatus& status) {
    if (found == ConfirmedReads::Lookup::missing) return 0;
    return status.final ? 2 : 1;
}

using Controllers = std::vector<std::unique_ptr<SimulatedController>>;

// Whichever controller is asked: nobody is told less than anybody was told before the question
// came, by whatever controller, however late or lost the messages are. `meet`: the trouble of each
// step.
void ask_around(std::uint64_t from, std::uint64_t to,
                const std::function<void(int step, SimulatedStore&, Controllers&)>& meet) {
    std::size_t told = 0, finals = 0, missing = 0;
    for (std::uint64_t seed = from; seed <= to; ++seed) {
        SCOPED_TRACE(seed);
        SimulatedStore store;
        store.random.seed(seed);
        store.retained_changes = seed % 4 == 0 ? 20 : 10'000;
        store.failure_rate = seed % 3 == 0 ? 0.2 : 0;
        Controllers nodes;
        for (int i = 0; i < 3; ++i) nodes.push_back(std::make_unique<SimulatedController>(store));
        std::map<std::string, int> best;  // that any user was told of the job
        std::size_t open = 0;
        for (int step = 0; step < 3'000; ++step) {
            store.run_until(store.now + static_cast<Millis>(store.random() % 30));
            meet(step, store, nodes);
            // Half of the questions are about what has just changed.
            const bool hot = !store.log.empty() && store.random() % 2 == 0;
            const std::string id =
                hot ? store.log.back().key.substr(4) : "job-" + std::to_string(store.random() % 40);
            const auto it = store.keys.find(jobs::job_key(id));
            const int what = static_cast<int>(store.random() % 100);
            if (what < 5 && store.down) continue;
            if (what < 3 && it == store.keys.end()) {
                store.set_job_record(id, nullptr);
                best[id] = 1;  // its user was told 201
            } else if (what < 5 && it != store.keys.end() && it->second.first["final"].is_null()) {
                store.set_job_record(id, store.random() % 2 == 0 ? "done" : "withdrawn");
            } else if (what < 60) {
                SimulatedController& c = *nodes[store.random() % 3];
                ++open;
                c.ask(id, 1'500,
                      [&, id, least = best[id], asked = store.now](ConfirmedReads::Lookup f,
                                                                   const RecordedStatus& status) {
                          --open;
                          EXPECT_LE(store.now - asked, 1'800);
                          if (f == ConfirmedReads::Lookup::unknown) return;
                          EXPECT_GE(rank(f, status), least) << id << " asked at " << asked;
                          best[id] = std::max(best[id], rank(f, status));
                          ++told;
                          finals += rank(f, status) == 2;
                          missing += rank(f, status) == 0;
                      });
            }
            for (auto& n : nodes) n->reads.run_due_work(store.now);
            if (testing::Test::HasFailure()) return;
        }
        for (int i = 0; i < 40; ++i) {
            store.run_until(store.now + 200);
            for (auto& n : nodes) n->reads.run_due_work(store.now);
        }
        EXPECT_EQ(open, 0u);
    }
    EXPECT_GT(told, 10'000u);
    EXPECT_GT(finals, 1'000u);
    EXPECT_GT(missing, 1'000u);
}

TEST(ConfirmedReads, NeverReturnsAnOlderStatusThanBefore) {
    ask_around(1, 40, [](int, SimulatedStore&, Controllers&) {});
}

// The state service is slow, refuses one controller alone and is then down for all, while users go
// on asking: nothing older than what was told by any controller, nothing that is not so, and as
// soon as it is served every controller answers for every job.
TEST(ConfirmedReads, SurvivesASlowThenRejectingThenUnavailableStateService) {
    std::size_t refused = 0, down = 0;
    ask_around(50, 90, [&](int step, SimulatedStore& store, Controllers& nodes) {
        const int at = step % 1'000;
        store.slow_reply_rate = at >= 100 && at < 400 ? 0.3 : 0;
        store.down = at >= 500 && at < 800;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            nodes[i]->rejected =
                at >= 300 && at < 600 && i == static_cast<std::size_t>(step) / 1'000;
        refused += at >= 300 && at < 500 ? 1 : 0;
        down += store.down ? 1 : 0;
        if (at != 999) return;
        std::size_t known = 0;
        for (auto& n : nodes) {
            for (const auto& [key, kept] : store.keys) {
                n->ask(key.substr(4), 1'500, [&](ConfirmedReads::Lookup f, const RecordedStatus&) {
                    known += f == ConfirmedReads::Lookup::found;
                });
            }
        }
        const std::size_t asked = nodes.size() * store.keys.size();
        for (int i = 0; i < 20; ++i) {
            store.run_until(store.now + 100);
            for (auto& n : nodes) n->reads.run_due_work(store.now);
        }
        if (store.failure_rate == 0) {
            EXPECT_EQ(known, asked);
        }
    });
    EXPECT_GT(refused, 10'000u);
    EXPECT_GT(down, 10'000u);
}

// A storm of questions once took all requests of the state service: nothing else was served for a
// minute. The cost does not follow their number, and every job is answered for.
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
    std::size_t questions = 0;
    while (store.now < 65'000) {
        for (int k = 0; k < 40; ++k) {  // 400 a second
            const std::size_t i = store.random() % 500;
            ++questions;
            controller.ask("job-" + std::to_string(i), 1'500,
                           [&, i](ConfirmedReads::Lookup f, const RecordedStatus&) {
                               if (f == ConfirmedReads::Lookup::found) answered[i] = store.now;
                           });
        }
        store.run_until(store.now + 100);
        controller.reads.run_due_work(store.now);
    }
    EXPECT_GT(questions, 20'000u);
    EXPECT_LE(store.reads - before, questions / 20);
    for (Millis t : answered) EXPECT_GT(t, store.now - 15'000);
}

TEST(ConfirmedReads, LookupsOfMissingJobsAreBatched) {
    SimulatedStore store;
    SimulatedController controller(store);
    std::size_t missing = 0;
    controller.ask("job-0", 1'500, [](auto, const auto&) {});
    store.run_until(2'000);
    const std::size_t before = store.reads;
    for (int i = 0; i < 50; ++i) {
        controller.ask("job-9", 1'500, [&](ConfirmedReads::Lookup f, const RecordedStatus&) {
            missing += f == ConfirmedReads::Lookup::missing;
        });
    }
    store.run_until(4'000);
    EXPECT_EQ(missing, 50u);
    EXPECT_LE(store.reads - before, 4u);  // two reads, two lookups
}

// An outage for all takes no controller out of service; one for this controller alone does, also
// when it has lost its peers and cannot hear that they are served.
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
    const kvstore::ServiceHealth healthy{}, rejecting{95'000, -1}, silent{-1, 95'000},
        rejecting_lately{99'000, -1};
    const readiness::PeerHealth served{99'500, 99'000}, not_served{99'500, 94'000},
        lost{90'000, 89'000};
    const Case cases[] = {
        {"healthy", healthy, {served, served}, ReadinessState::serving},
        {"healthy alone", healthy, {lost, lost}, ReadinessState::serving},
        {"too short an outage", rejecting_lately, {lost, lost}, ReadinessState::serving},
        {"rejected alone", rejecting, {served, not_served}, ReadinessState::rejected, true},
        {"all rejected", rejecting, {not_served, not_served}, ReadinessState::outage},
        {"all heard rejected", rejecting, {not_served, lost}, ReadinessState::outage},
        {"rejected, peers lost", rejecting, {lost, lost}, ReadinessState::rejected},
        {"rejected, no status yet", rejecting, {}, ReadinessState::rejected},
        {"unanswered alone", silent, {served, lost}, ReadinessState::cut_off},
        {"all unanswered", silent, {not_served, not_served}, ReadinessState::outage},
        {"unanswered, peers lost", silent, {lost, lost}, ReadinessState::cut_off},
    };
    for (const Case& c : cases) {
        SCOPED_TRACE(c.description);
        readiness::Readiness monitored(2, 0);
        EXPECT_EQ(monitored.update(true, c.health, c.peers, {}, now), c.state);
        // Cut off with its zone's machines, a leader goes on answering them: handing over at once
        // once cost 700 tasks their leases.
        EXPECT_EQ(monitored.should_hand_over(), c.hands_over);
        EXPECT_EQ(monitored.ready(),
                  c.state == ReadinessState::serving || c.state == ReadinessState::outage);
    }
    readiness::Readiness alone(0, 0);  // the only controller that there is
    EXPECT_EQ(alone.update(true, rejecting, {}, {}, now), ReadinessState::outage);
    EXPECT_EQ(alone.update(false, healthy, {}, {}, now), ReadinessState::starting);
    EXPECT_FALSE(alone.ready());
}

}  // namespace
