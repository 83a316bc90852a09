// What users are told: answers of several controllers against a plain model of what each user has
// been told before; and which controllers say that they can serve.
#include "jobs/answers.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <map>

#include "serving/serving.h"
#include "tests/users.h"

namespace {

using namespace nickelramp;
using jobs::Answers;
using jobs::Told;
using test::Controller;
using test::Store;

// 0: not there, 1: accepted, 2: done or cancelled.
int rank(Answers::Found found, const Told& told) {
    if (found == Answers::Found::missing) return 0;
    return told.final ? 2 : 1;
}

using Controllers = std::vector<std::unique_ptr<Controller>>;

// Whichever controller is asked: nobody is told less than anybody was told before the question
// came, by whatever controller, however late or lost the messages are. `meet`: the trouble of each
// step.
void ask_around(std::uint64_t from, std::uint64_t to,
                const std::function<void(int step, Store&, Controllers&)>& meet) {
    std::size_t told = 0, finals = 0, missing = 0;
    for (std::uint64_t seed = from; seed <= to; ++seed) {
        SCOPED_TRACE(seed);
        Store store;
        store.random.seed(seed);
        store.kept = seed % 4 == 0 ? 20 : 10'000;
        store.fails = seed % 3 == 0 ? 0.2 : 0;
        Controllers nodes;
        for (int i = 0; i < 3; ++i) nodes.push_back(std::make_unique<Controller>(store));
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
                store.put(id, nullptr);
                best[id] = 1;  // its user was told 201
            } else if (what < 5 && it != store.keys.end() && it->second.first["final"].is_null()) {
                store.put(id, store.random() % 2 == 0 ? "done" : "withdrawn");
            } else if (what < 60) {
                Controller& c = *nodes[store.random() % 3];
                ++open;
                c.ask(
                    id, 1'500,
                    [&, id, least = best[id], asked = store.now](Answers::Found f, const Told& t) {
                        --open;
                        EXPECT_LE(store.now - asked, 1'800);
                        if (f == Answers::Found::unknown) return;
                        EXPECT_GE(rank(f, t), least) << id << " asked at " << asked;
                        best[id] = std::max(best[id], rank(f, t));
                        ++told;
                        finals += rank(f, t) == 2;
                        missing += rank(f, t) == 0;
                    });
            }
            for (auto& n : nodes) n->answers.tend(store.now);
            if (testing::Test::HasFailure()) return;
        }
        for (int i = 0; i < 40; ++i) {
            store.run_until(store.now + 200);
            for (auto& n : nodes) n->answers.tend(store.now);
        }
        EXPECT_EQ(open, 0u);
    }
    EXPECT_GT(told, 10'000u);
    EXPECT_GT(finals, 1'000u);
    EXPECT_GT(missing, 1'000u);
}

TEST(Answers, NobodyIsToldLessThanWasToldBefore) {
    ask_around(1, 40, [](int, Store&, Controllers&) {});
}

// The state service is slow, refuses one controller alone and is then down for all, while users go
// on asking: nothing older than what was told by any controller, nothing that is not so, and as
// soon as it is served every controller answers for every job.
TEST(Answers, SlowThenRefusingOneThenDownForAll) {
    std::size_t refused = 0, down = 0;
    ask_around(50, 90, [&](int step, Store& store, Controllers& nodes) {
        const int at = step % 1'000;
        store.slow = at >= 100 && at < 400 ? 0.3 : 0;
        store.down = at >= 500 && at < 800;
        for (std::size_t i = 0; i < nodes.size(); ++i)
            nodes[i]->refused =
                at >= 300 && at < 600 && i == static_cast<std::size_t>(step) / 1'000;
        refused += at >= 300 && at < 500 ? 1 : 0;
        down += store.down ? 1 : 0;
        if (at != 999) return;
        std::size_t known = 0;
        for (auto& n : nodes) {
            for (const auto& [key, kept] : store.keys) {
                n->ask(key.substr(4), 1'500,
                       [&](Answers::Found f, const Told&) { known += f == Answers::Found::told; });
            }
        }
        const std::size_t asked = nodes.size() * store.keys.size();
        for (int i = 0; i < 20; ++i) {
            store.run_until(store.now + 100);
            for (auto& n : nodes) n->answers.tend(store.now);
        }
        if (store.fails == 0) {
            EXPECT_EQ(known, asked);
        }
    });
    EXPECT_GT(refused, 10'000u);
    EXPECT_GT(down, 10'000u);
}

// A storm of questions once took all requests of the state service: nothing else was served for a
// minute. The cost does not follow their number, and every job is answered for.
TEST(Answers, AStormOfQuestionsCostsNoMoreAndForgetsNobody) {
    Store store;
    Controller c(store);
    for (int i = 0; i < 500; ++i) store.put("job-" + std::to_string(i), nullptr);
    for (int i = 0; i < 500; ++i) {
        c.ask("job-" + std::to_string(i), 1'500, [](auto, const auto&) {});
    }
    store.run_until(5'000);
    const std::size_t before = store.reads;
    std::vector<Millis> answered(500, 0);
    std::size_t questions = 0;
    while (store.now < 65'000) {
        for (int k = 0; k < 40; ++k) {  // 400 a second
            const std::size_t i = store.random() % 500;
            ++questions;
            c.ask("job-" + std::to_string(i), 1'500, [&, i](Answers::Found f, const Told&) {
                if (f == Answers::Found::told) answered[i] = store.now;
            });
        }
        store.run_until(store.now + 100);
        c.answers.tend(store.now);
    }
    EXPECT_GT(questions, 20'000u);
    EXPECT_LE(store.reads - before, questions / 20);
    for (Millis t : answered) EXPECT_GT(t, store.now - 15'000);
}

TEST(Answers, QuestionsForNothingAreLookedUpOnceTogether) {
    Store store;
    Controller c(store);
    std::size_t missing = 0;
    c.ask("job-0", 1'500, [](auto, const auto&) {});
    store.run_until(2'000);
    const std::size_t before = store.reads;
    for (int i = 0; i < 50; ++i) {
        c.ask("job-9", 1'500,
              [&](Answers::Found f, const Told&) { missing += f == Answers::Found::missing; });
    }
    store.run_until(4'000);
    EXPECT_EQ(missing, 50u);
    EXPECT_LE(store.reads - before, 4u);  // two reads, two lookups
}

// An outage that everybody has takes no controller out of service; a trouble of this one's alone
// does, also when it has lost the other controllers and cannot hear that they are served.
TEST(Serving, OnlyAControllerThatAloneIsNotServedStepsAside) {
    using serving::State;
    struct Case {
        state::Health health;
        std::vector<serving::PeerNews> peers;
        State state;
        bool hands_over = false;
    };
    const Millis now = 100'000;
    const state::Health well{}, refused{95'000, -1}, silent{-1, 95'000}, just{99'000, -1};
    const serving::PeerNews served{99'500, 99'000}, not_served{99'500, 94'000},
        lost{90'000, 89'000};
    const Case cases[] = {
        {well, {served, served}, State::serving},
        {well, {lost, lost}, State::serving},
        {just, {lost, lost}, State::serving},
        {refused, {served, not_served}, State::refused, true},
        {refused, {not_served, not_served}, State::outage},
        {refused, {not_served, lost}, State::outage},
        {refused, {lost, lost}, State::refused},
        {refused, {}, State::refused},
        {silent, {served, lost}, State::cut_off},
        {silent, {not_served, not_served}, State::outage},
        {silent, {lost, lost}, State::cut_off},
    };
    for (const Case& c : cases) {
        serving::Serving s(2, 0);
        EXPECT_EQ(s.look(true, c.health, c.peers, {}, now), c.state);
        // Cut off with its zone's machines, a leader goes on answering them: handing over at once
        // once cost 700 tasks their leases.
        EXPECT_EQ(s.hands_over(), c.hands_over);
        EXPECT_EQ(s.ready(), c.state == State::serving || c.state == State::outage);
    }
    serving::Serving alone(0, 0);  // the only controller that there is
    EXPECT_EQ(alone.look(true, refused, {}, {}, now), State::outage);
    EXPECT_EQ(alone.look(false, well, {}, {}, now), State::starting);
    EXPECT_FALSE(alone.ready());
}

}  // namespace
