// What keeps the book's work small, against the slow way of doing the same.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <set>

#include "base/agenda.h"
#include "book/guarantee.h"
#include "placing/openings.h"
#include "tests/world.h"

namespace {

using namespace nickelramp;

TEST(Book, AnAgendaNamesWhatIsDueAndNothingElse) {
    EXPECT_TRUE(rc::check([] {
        Agenda agenda;
        std::map<Index, Millis> model;
        Millis now = 0;
        // Which of few things, and in how long; less than nothing: forget it.
        const auto steps = *rc::gen::container<std::vector<std::pair<Index, Millis>>>(
            rc::gen::pair(rc::gen::inRange<Index>(0, 12), rc::gen::inRange<Millis>(-10, 40)));
        for (auto [i, in] : steps) {
            ++now;
            if (in < 0) {
                agenda.forget(i);
                model.erase(i);
            } else {
                agenda.by(i, now + in);
                auto it = model.try_emplace(i, now + in).first;
                it->second = std::min(it->second, now + in);
            }
            std::set<Index> due, expected;
            for (Index k = agenda.next(now); k != kNone; k = agenda.next(now)) due.insert(k);
            for (const auto& [k, at] : model) {
                if (at <= now) expected.insert(k);
            }
            for (Index k : expected) model.erase(k);
            RC_ASSERT(due == expected);
        }
    }));
}

TEST(Book, OpeningsAreAllMachinesThatFit) {
    struct Machine {
        placing::Openings::Kind kind;
        double cpus = 0, gpus = 0;
    };
    EXPECT_TRUE(rc::check([] {
        placing::Openings openings;
        std::map<Index, Machine> model;
        auto halves = [](int most) { return *rc::gen::inRange(0, most + 1) * 0.5; };
        const int steps = *rc::gen::inRange(1, 60);
        for (int step = 0; step < steps; ++step) {
            const auto i = *rc::gen::inRange<Index>(0, 20);
            if (*rc::gen::inRange(0, 4) == 0) {
                openings.remove(i);
                model.erase(i);
            } else {
                Machine m{{*rc::gen::inRange<Index>(0, 2), *rc::gen::inRange<Index>(0, 2),
                           *rc::gen::arbitrary<bool>()},
                          halves(96),
                          halves(16)};
                openings.put(i, m.kind, m.cpus, m.gpus);
                model[i] = m;
            }
            const placing::Need need{halves(48), std::floor(halves(16)), 0};
            std::set<Index> found, expected;
            openings.each(
                need, [](const auto& kind) { return kind.zone == 0; },
                [&](Index m) { return found.insert(m).second; });
            for (const auto& [k, m] : model) {
                if (m.kind.zone == 0 && placing::covers(m.cpus, m.gpus, 0, need)) {
                    expected.insert(k);
                }
            }
            RC_ASSERT(found == expected);
        }
    }));
}

// The protocol's words: a job is within its team's guarantee if it fits into it together with the
// team's earlier unfinished jobs.
TEST(Book, GuaranteesAreWhatSummingUpAllEarlierJobsSays) {
    EXPECT_TRUE(rc::check([] {
        const wire::Team rule{"red", *rc::gen::element(0.0, 10.0, 40.0), 0,
                              *rc::gen::element(0.0, 25.0), 0};
        book::Guarantee guarantee(rule);
        std::vector<std::unique_ptr<jobs::Job>> all;
        const int steps = *rc::gen::inRange(1, 80);
        for (int step = 0; step < steps; ++step) {
            if (!all.empty() && *rc::gen::inRange(0, 3) == 0) {
                auto it = all.begin() + *rc::gen::inRange<std::ptrdiff_t>(0, std::ssize(all));
                guarantee.remove(**it);
                all.erase(it);
            } else {
                auto j = std::make_unique<jobs::Job>();
                j->spec.id = "job-" + std::to_string(step);
                j->spec.cpus = *rc::gen::inRange(0, 7) * 0.7;
                j->spec.gpus = *rc::gen::inRange(0, 4);
                j->spec.tasks = *rc::gen::inRange(1u, 6u);
                j->accepted_at = *rc::gen::inRange<Millis>(0, 60);
                guarantee.add(*j);
                all.push_back(std::move(j));
            }
            std::sort(all.begin(), all.end(), [](const auto& a, const auto& b) {
                return std::tie(a->accepted_at, a->spec.id) < std::tie(b->accepted_at, b->spec.id);
            });
            double cpus = 0, gpus = 0;
            for (const auto& j : all) {
                cpus += j->spec.cpus * j->spec.tasks;
                gpus += j->spec.gpus * j->spec.tasks;
                const bool within = (rule.cpus > 0 || rule.gpus > 0) &&
                                    (rule.cpus <= 0 || cpus <= rule.cpus + placing::kSlack) &&
                                    (rule.gpus <= 0 || gpus <= rule.gpus + placing::kSlack);
                RC_ASSERT(j->within_guarantee == within);
            }
        }
    }));
}

// The one that is cut off is the leader, not its machines: it returned the first silent ones before
// it had noticed that most were silent, and their replicas were lost.
TEST(Book, ALeaderThatHearsNobodyReturnsNoMachine) {
    test::World world(300, {});
    for (int n = 0; n < 6; ++n) {
        world.submit(test::job("job-" + std::to_string(n), "standing", 2, 1));
    }
    world.run_until(60'000);
    ASSERT_GE(world.machines(), 3u);
    std::size_t before = world.returned();
    test::Trouble cut;
    cut.lost_checkin = cut.refused_direct = 1;
    world.begin(cut);
    world.run_until(world.now() + 15'000);
    EXPECT_EQ(world.returned(), before);
}

// A transaction that is put off because one of its records must be read again first must not take
// the other records for written: their tasks were never started.
TEST(Book, RecordsOfATransactionThatWasPutOffAreWrittenLater) {
    test::Trouble trouble;
    trouble.lost_commit = 0.35;
    for (std::uint64_t seed = 200; seed < 206; ++seed) {
        test::World world(seed, trouble);
        for (int n = 0; n < 4; ++n) {
            world.submit(test::job("job-" + std::to_string(n), "sweep", 300, 1));
        }
        world.run_until(400'000);
        world.calm();
        world.run_until(3'000'000);
        for (int n = 0; n < 4; ++n) {
            EXPECT_EQ(world.final_state("job-" + std::to_string(n)), "done") << world.what_runs();
        }
        if (HasFailure()) return;
    }
}

}  // namespace
