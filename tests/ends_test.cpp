// Transactions that are carried out at once and only whose answer is lost, and what meets the end
// of a job (docs/design/meetings.md). Each test counts that its meeting came about.
#include <gtest/gtest.h>

#include "tests/town.h"
#include "tests/world.h"

namespace {

using namespace nickelramp;
using duties::Duty;
using test::job;
using test::Town;
using test::Trouble;
using test::World;

const char* const kShapes[] = {"sweep", "ensemble", "standing"};

// What the leader still counts as open although its end is on record.
std::vector<std::string> ghosts(World& world) {
    std::vector<std::string> out;
    if (world.leader() == nullptr) return out;
    for (const auto& [id, j] : world.leader()->open_jobs())
        if (j->state == jobs::JobState::open && !world.final_state(id).empty()) out.push_back(id);
    return out;
}

// Everything ends by itself but for the services, which are cancelled; it is told, and no record or
// book keeps anything of it.
void ends(World& world, const std::vector<std::string>& services, Millis within) {
    auto open = [&] { return world.records("open/") > 0; };
    for (const std::string& id : services) world.ask_to_cancel(id);
    const Millis until = world.now() + within;
    while (world.now() < until && open() && !testing::Test::HasFailure())
        world.run_until(world.now() + 1'000);
    EXPECT_FALSE(open()) << world.what_runs() << world.book_says();
    world.run_until(world.now() + 15'000);
    ASSERT_NE(world.leader(), nullptr);
    EXPECT_TRUE(world.leader()->open_jobs().empty()) << world.book_says();
}

// More records than one transaction drops.
wire::Json wide(const std::string& id) {
    wire::Json spec = job(id, "sweep", 260, 0);
    spec["cores"] = 0.02;
    spec["mem_gb"] = 0.01;
    return spec;
}

// Only the answer is lost, of one kind of transaction after the other: its writer takes it for
// unknown while what it says is true. Users cancel in that spell, the leader ends, stands still or
// is refused in it, and the next one reads what its writer did not know of.
TEST(Ends, OnlyTheAnswerIsLost) {
    struct Kind {
        std::string name;
        std::uint64_t seeds;
    };
    const Kind kinds[] = {
        {"checkpoint", 40}, {"end", 40}, {"left over", 20}, {"block", 40}, {"intent", 40}};
    for (const auto& [kind, seeds] : kinds) {
        std::size_t lost = 0, ended = 0, asked = 0;
        for (std::uint64_t seed = 1; seed <= seeds && !HasFailure(); ++seed) {
            SCOPED_TRACE(kind + ", seed " + std::to_string(seed));
            std::mt19937_64 random(seed);
            auto upto = [&](Millis most) { return static_cast<Millis>(random() % most); };
            Trouble t;
            t.at_once = 0.5;
            t.at_once_of = kind;
            // Nor is an end heard of at once.
            if (kind == "end" && seed % 2 == 0) t.slow_drops = 6'000;
            World world(seed, t, kind == "block" || seed % 3 == 0 ? 1 : 0);
            world.hold_seats();
            std::vector<std::string> ids, services;
            int strikes = 0;
            world.on_at_once = [&](const std::string&) {
                if (strikes == 4 || random() % 2 == 0) return;
                ++strikes;
                world.after(upto(2'500), [&] {
                    if (random() % 2 == 0) {
                        world.ask_to_cancel(ids[random() % ids.size()]);
                        ++asked;
                    }
                    if (seed % 4 == 0) return;
                    ++ended;
                    if (seed % 4 == 1) world.crash_leader();
                    if (seed % 4 == 2) world.freeze_leader(1'000 + upto(12'000));
                    if (seed % 4 == 3) world.refuse_leader(1'000 + upto(20'000));
                });
            };
            for (int n = 0; n < 12; ++n) {
                ids.push_back("job-" + std::to_string(n));
                wire::Json spec = job(ids.back(), kShapes[n % 3], 1 + random() % 4, 1);
                if (n % 3 == 2) services.push_back(ids.back());
                if (n % 2 == 0) spec["crew"] = "blue";
                if (kind == "left over" && n % 6 == 0) spec = wide(ids.back());
                world.submit(spec);
                world.run_until(world.now() + upto(5'000));
            }
            world.run_until(world.now() + 20'000);
            world.calm();
            ends(world, services, 250'000);
            lost += world.met().at_once.count(kind) != 0 ? world.met().at_once.at(kind) : 0;
        }
        EXPECT_GT(lost, seeds / 2) << kind;
        EXPECT_GT(ended, seeds / 4) << kind;
        EXPECT_GT(asked, seeds / 6) << kind;
    }
}

// A job is cancelled whose first checkpoint is on record and counts as unknown: nothing of it was
// sent, so it leaves the book with its end, which may be heard of before the answer comes. What one
// transaction leaves over is dropped all the same.
TEST(Ends, LeftOverOfWhatNeverBegan) {
    std::size_t met = 0;
    for (std::uint64_t seed = 1; seed <= 60 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Trouble t;
        t.at_once = 1;
        t.at_once_of = "checkpoint";
        World world(seed, t);
        world.submit(wide("job-1"));
        while (world.records("run/") == 0 && world.now() < 60'000)
            world.run_until(world.now() + 50);
        met += world.records("run/") > 4 ? 1 : 0;
        world.ask_to_cancel("job-1");
        world.run_until(world.now() + 8'000);
        EXPECT_EQ(world.final_state("job-1"), "withdrawn");
        EXPECT_EQ(world.starts(), 0u);
        EXPECT_EQ(world.records("run/") + world.records("open/"), 0u);
    }
    EXPECT_GT(met, 50u);
}

// An open record is read before the job's end and heard of after it: from a list, or with a block
// that is taken back while its holder ends the job. The book takes the job for one that waits, and
// keeps places and its team's limit for it until it hears that the record is gone.
TEST(Ends, ARecordReadBeforeTheEnd) {
    std::size_t met = 0;
    for (std::uint64_t seed = 1; seed <= 40 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        auto upto = [&](Millis most) { return static_cast<Millis>(random() % most); };
        const bool lists = seed % 2 == 0;
        Trouble t;
        t.slow_drops = lists ? 5'000 : 12'000;
        World world(seed, t, 2);
        std::vector<std::string> ids;
        while (world.now() < 90'000 && !HasFailure()) {
            ids.push_back("job-" + std::to_string(ids.size()));
            world.submit(job(ids.back(), kShapes[random() % 2], 1 + random() % 3, 1));
            if (lists && random() % 3 == 0) world.list_open(500 + upto(6'000));
            if (!lists && random() % 6 == 0) world.end_holders();
            for (int n = 0; n < 20; ++n) {
                world.run_until(world.now() + 200);
                met += ghosts(world).empty() ? 0 : 1;
            }
        }
        world.calm();
        ends(world, {}, 200'000);
    }
    EXPECT_GT(met, 40u);
}

// One job, from its beginning to its end.
struct Life {
    wire::Json spec;
    std::uint64_t seed;
    Millis asked = kNever;  // to cancel it
    bool lost = false;      // the answer of its end, and its leader in that spell
    Millis completed = 0, told = 0;
    std::string end = {};
    std::size_t lost_ends = 0;
};

void live(Life& l) {
    const std::string id = wire::text(l.spec, "id").value();
    World world(l.seed, {});
    if (l.lost) world.hold_seats();
    world.submit(l.spec);
    const Millis from = std::min<Millis>(l.asked, 60'000);
    world.run_until(from - 1'000);
    if (l.lost) {
        Trouble t;
        t.at_once = 0.7;
        t.at_once_of = "end";
        world.begin(t);
        world.on_at_once = [&](const std::string&) {
            ++l.lost_ends;
            world.after(static_cast<Millis>(l.seed * 37 + l.asked * 13) % 2'500, [&] {
                if (l.asked % 3 == 0) world.crash_leader();
                if (l.asked % 3 == 1) world.freeze_leader(6'000);
            });
        };
    }
    world.run_until(from);
    if (l.asked != kNever) world.ask_to_cancel(id);
    world.run_until(from + (l.lost ? 40'000 : 5'000));
    l.completed = world.completed_at(id);
    l.told = world.final_at(id);
    l.end = world.final_state(id);
    if (l.asked == kNever) return;
    EXPECT_NE(l.end, "") << "neither done nor cancelled; " << world.what_runs()
                         << world.book_says();
    world.run_until(world.now() + 10'000);
    EXPECT_EQ(world.final_state(id), l.end);
    EXPECT_EQ(world.records("open/") + world.records("run/"), 0u);
}

// A cancellation meets the end of a job's last task: asked for within every few milliseconds of
// the completion, of its report and of the transaction that tells it. There is one end, told soon;
// the world asserts that done means all tasks done, that nothing is left of what is cancelled and
// nothing of it starts later, and that no end is written twice.
TEST(Ends, CancelledAsTheLastTaskEnds) {
    std::size_t done = 0, withdrawn = 0, met = 0, lost = 0;
    for (std::uint64_t seed = 1; seed <= 9 && !HasFailure(); ++seed) {
        const std::string shape = kShapes[seed % 3];
        Life whole{job("job-1", shape, 1 + (seed - 1) / 3, 1), seed};
        live(whole);
        if (shape != "standing") {
            ASSERT_EQ(whole.end, "done");
            // A worker's report here comes within 3.7 s; completions that wait for company do not
            // hold up the last.
            EXPECT_LE(whole.told - whole.completed, 3'700 + 300);
        } else {
            whole.told = 20'000;  // it runs, or is about to
            whole.completed = 12'000 + static_cast<Millis>(seed) * 300;
        }
        std::vector<Millis> moments;
        for (Millis d = -40; d <= 24; d += 2) moments.push_back(whole.told + d);
        for (Millis d = -30; d <= 30; d += 10) moments.push_back(whole.completed + d);
        for (const Millis asked : moments) {
            for (const bool lossy : {false, true}) {
                if (HasFailure()) return;
                SCOPED_TRACE(testing::Message() << shape << ", seed " << seed << ", asked at "
                                                << asked << (lossy ? ", answers lost" : ""));
                Life l{whole.spec, seed, asked, lossy};
                live(l);
                EXPECT_LE(l.told - asked, lossy ? 40'000 : 1'500);
                (l.end == "done" ? done : withdrawn) += 1;
                met += l.end == "done" && asked <= l.told ? 1 : 0;
                lost += l.lost_ends;
            }
        }
    }
    EXPECT_GT(done, 200u);
    EXPECT_GT(withdrawn, 200u);
    EXPECT_GT(met, 60u);
    EXPECT_GT(lost, 200u);
}

// Claims of the seat and of duties, their moves, holds and releases: only the answer is lost, and
// what the controller asked for is found on record as if it were another's. It neither leads twice
// nor waits for ever; duties are acted under by one at a time (the town asserts both).
TEST(Ends, OwnSeatsAndDutiesAreFoundTaken) {
    std::size_t seats = 0, duties_moved = 0, holds = 0, cleaned = 0, runs = 0;
    for (std::uint64_t seed = 1; seed <= 40 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        Town town(seed, 3 + seed % 3);
        town.run_until(8'000);
        town.at_once = 0.3 + 0.1 * static_cast<double>(seed % 4);
        while (town.now() < 90'000 && !HasFailure()) {
            std::size_t who = std::min(town.leader(), town.size() - 1);
            switch (random() % 4) {
                case 0:
                    town.crash(who, 200 + random() % 4'000);
                    break;
                case 1:
                    town.freeze(who, 1'000 + random() % 8'000);
                    break;
                case 2:
                    town.cut(who, Town::Road::cloud, 4'000 + random() % 8'000, random() % 2 == 0);
                    break;
                case 3:
                    town.crash(std::min(town.holder(Duty::cleaning), town.size() - 1), 1'000);
                    break;
            }
            // Left over, and for whoever has the duty of cleaning.
            for (int i = 0; i < 9; ++i)
                town.put("run/job-" + std::to_string(100'000 + ++runs) + "/0", {{"done", 0}});
            town.run_until(town.now() + 2'000 + random() % 10'000);
        }
        seats += town.at_once_of("lead/seat");
        duties_moved += town.at_once_of("duty/");
        holds += town.at_once_of("hold");
        cleaned += town.at_once_of("run/");
        town.at_once = 0;
        // A hold's life, an election and a charge's end.
        town.run_until(town.now() + 20'000);
        EXPECT_LT(town.leader(), town.size());
        for (Duty d : duties::kAll) EXPECT_LT(town.holder(d), town.size()) << name(d);
    }
    EXPECT_GT(seats, 80u);
    EXPECT_GT(duties_moved, 200u);
    EXPECT_GT(holds, 1'000u);
    EXPECT_GT(cleaned, 100u);
}

}  // namespace
