// What keeps the book's work small, against the slow way of doing the same.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>

#include "base/agenda.h"
#include "book/guarantee.h"
#include "placing/openings.h"
#include "tests/world.h"

namespace {

using namespace nickelramp;

TEST(Book, AnAgendaNamesWhatIsDueAndNothingElse) {
    std::mt19937 random(1);
    Agenda agenda;
    std::map<Index, Millis> model;
    for (Millis now = 0; now < 3000; ++now) {
        Index i = random() % 40;
        if (random() % 5 == 0) {
            agenda.forget(i);
            model.erase(i);
        } else {
            Millis at = now + static_cast<Millis>(random() % 50);
            agenda.by(i, at);
            auto it = model.try_emplace(i, at).first;
            it->second = std::min(it->second, at);
        }
        std::vector<Index> due, expected;
        for (Index k = agenda.next(now); k != kNone; k = agenda.next(now)) due.push_back(k);
        for (auto it = model.begin(); it != model.end();) {
            if (it->second <= now) {
                expected.push_back(it->first);
                it = model.erase(it);
            } else {
                ++it;
            }
        }
        std::sort(due.begin(), due.end());
        ASSERT_EQ(due, expected) << "at " << now;
    }
}

TEST(Book, OpeningsAreAllMachinesThatFit) {
    std::mt19937 random(2);
    placing::Openings openings;
    struct Machine {
        placing::Openings::Kind kind;
        double cpus = 0, gpus = 0;
    };
    std::map<Index, Machine> model;
    for (int step = 0; step < 4000; ++step) {
        Index i = random() % 60;
        if (random() % 4 == 0) {
            openings.remove(i);
            model.erase(i);
        } else {
            Machine m{{Index(random() % 2), Index(random() % 3), random() % 2 == 0},
                      (random() % 97) * 0.5,
                      (random() % 17) * 0.5};
            openings.put(i, m.kind, m.cpus, m.gpus);
            model[i] = m;
        }
        placing::Need need{(random() % 49) * 0.5, (random() % 9) * 1.0, 0};
        Index zone = random() % 3;
        std::vector<Index> found, expected;
        openings.each(
            need, [&](const auto& kind) { return kind.zone == zone; },
            [&](Index m) {
                found.push_back(m);
                return true;
            });
        for (const auto& [k, m] : model) {
            if (m.kind.zone == zone && placing::covers(m.cpus, m.gpus, 0, need))
                expected.push_back(k);
        }
        std::sort(found.begin(), found.end());
        ASSERT_EQ(found, expected) << "step " << step;
    }
}

// The protocol's words: a job is within its team's guarantee if it fits into it together with the
// team's earlier unfinished jobs.
TEST(Book, GuaranteesAreWhatSummingUpAllEarlierJobsSays) {
    std::mt19937 random(3);
    for (int day = 0; day < 30; ++day) {
        wire::Team rule{"red", day % 3 == 0 ? 40.0 : 0.0, 0, day % 4 == 0 ? 0.0 : 25.0, 0};
        book::Guarantee guarantee(rule);
        std::vector<std::unique_ptr<jobs::Job>> all;
        for (int step = 0; step < 120; ++step) {
            if (!all.empty() && random() % 3 == 0) {
                auto it = all.begin() + static_cast<std::ptrdiff_t>(random() % all.size());
                guarantee.remove(**it);
                all.erase(it);
            } else {
                auto j = std::make_unique<jobs::Job>();
                j->spec.id = "job-" + std::to_string(step);
                j->spec.cpus = (random() % 7) * 0.7;
                j->spec.gpus = random() % 4;
                j->spec.tasks = 1 + random() % 5;
                j->accepted_at = static_cast<Millis>(random() % 60);
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
                bool within = (rule.cpus > 0 || rule.gpus > 0) &&
                              (rule.cpus <= 0 || cpus <= rule.cpus + placing::kSlack) &&
                              (rule.gpus <= 0 || gpus <= rule.gpus + placing::kSlack);
                ASSERT_EQ(j->within_guarantee, within) << "day " << day << " step " << step;
            }
        }
    }
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
