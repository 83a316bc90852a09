// Once the troubles are over, no job is left waiting for 90 s while a machine that fits has room
// and its team is under its limit (docs/design/waiting.md). The world says what would fit.
#include <gtest/gtest.h>

#include "tests/world.h"

namespace {

using namespace nickelramp;
using test::job;
using test::Trouble;
using test::World;

constexpr Millis kLongest = 90'000;

Trouble full() {
    Trouble t;
    t.refuse_hire = 1;  // nothing new can be rented
    return t;
}

// A day of two kinds of trouble, with all shapes of jobs; then all of it is over, and half of the
// days the cloud is full by then.
Millis day(std::uint64_t seed) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    auto upto = [&](Millis most) { return static_cast<Millis>(random() % most); };
    Trouble t;
    bool spoilt = false, deaf = false, cut = false;
    for (std::uint64_t kind : {seed % 8, seed / 8 % 8}) {
        if (kind == 0) t.sick = 0.6;
        if (kind == 1) spoilt = true;
        if (kind == 2) t.refuse_hire = 0.5, t.lost_commit = 0.2, t.late_cloud = 0.2;
        if (kind == 3) deaf = true;
        if (kind == 4) cut = true;
        if (kind == 5) t.holder_dies = 0.03, t.lost_back = 0.3, t.lost_grant = 0.3;
        if (kind == 6) t.machine_dies = 0.05, t.takeover = 0.03, t.linger = 0.5;
        if (kind == 7)
            t.late_copy = 0.3, t.restarts = 0.02, t.lost_direct = 0.2, t.held_direct = 0.1;
    }
    World world(seed, t, seed % 3 == 0 || t.holder_dies > 0 ? 2 : 0);
    const char* shapes[] = {"sweep", "ensemble", "sweep", "standing"};
    int jobs = 0;
    auto submit = [&] {
        const std::string id = "job-" + std::to_string(jobs);
        wire::Json spec = job(id, shapes[jobs % 4], 1 + random() % 5, 1 + random() % 2);
        if (jobs % 4 == 3) spec["legs"] = 1 + random() % 2, spec["cards"] = 1;
        if (random() % 2 == 0) spec["crew"] = "blue";
        if (random() % 4 == 0)
            spec["scatter"] = true;
        else if (random() % 4 == 0)
            spec["one_zone"] = true;
        if (random() % 5 == 0) spec["yard"] = random() % 2 == 0 ? "a" : "b";
        if (random() % 3 == 0) spec["standby"] = true;
        if (random() % 4 == 0 && spec["legs"] != 5) spec["rigs"] = wire::Json::array({"g4"});
        if (random() % 6 == 0) spec["urgency"] = "best_effort";
        if (spoilt && jobs % 3 == 1) world.spoil(id);
        world.submit(spec);
        ++jobs;
    };
    const Millis end = 120'000 + upto(120'000);
    while (world.now() < end && !testing::Test::HasFailure()) {
        submit();
        if (random() % 4 == 0) world.cancel("job-" + std::to_string(upto(jobs)));
        const auto names = world.working_machines();
        if (deaf && !names.empty() && random() % 2 == 0) {
            const std::string& name = names[upto(static_cast<Millis>(names.size()))];
            const Millis until = std::min(end, world.now() + 5'000 + upto(60'000));
            random() % 2 == 0 ? world.deafen(name, until) : world.mute(name, until);
        }
        if (cut && random() % 4 == 0) {
            world.cut({random() % 2 == 0 ? "a" : "b", 0.3 + 0.35 * static_cast<double>(upto(3)),
                       random() % 2 == 0, random() % 2 == 0, false, world.now(),
                       std::min(end, world.now() + 5'000 + upto(50'000))});
        }
        world.run_until(world.now() + 2'000 + upto(12'000));
    }
    if (seed % 5 == 0) world.take_over();
    world.calm();
    world.repair();
    if (seed % 2 == 0) world.begin(full());
    world.expect_no_wait(kLongest);
    for (int n = 0; n < 12 && !testing::Test::HasFailure(); ++n) {
        if (n % 3 == 0) submit();
        world.run_until(world.now() + 20'000);
    }
    return world.longest_wait();
}

TEST(Waiting, NoJobIsLeftWaitingOnceTroublesAreOver) {
    std::size_t waited = 0;
    Millis longest = 0;
    for (std::uint64_t seed = 1; seed <= 64 && !HasFailure(); ++seed) {
        const Millis wait = day(seed);
        waited += wait > 5'000 ? 1 : 0;
        longest = std::max(longest, wait);
    }
    EXPECT_GT(waited, 15u);
    EXPECT_LT(longest, kLongest);
}

// All machines fail what is put on them, again and again, until they are repaired.
TEST(Waiting, BackOffsEndSoonAfterTheTroubleDoes) {
    for (std::uint64_t seed = 1; seed <= 6 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        Trouble t;
        t.sick = 1;
        World world(seed, t);
        world.submit(job("job-0", "sweep", 6, 1));
        world.run_until(400'000);
        for (const auto& [id, j] : world.leader()->open_jobs()) EXPECT_GT(j->back_offs, 4u);
        world.calm();
        world.repair();
        world.expect_no_wait(kLongest);
        const Millis from = world.now();
        while (world.final_state("job-0").empty() && world.now() < from + 200'000 && !HasFailure())
            world.run_until(world.now() + 1'000);
        EXPECT_LT(world.now() - from, kLongest);
    }
}

// A job with a mistake and one without want the only place there is.
TEST(Waiting, AJobWithAMistakeLeavesTheOnlyPlaceToOthers) {
    for (std::uint64_t seed = 1; seed <= 6 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        World world(seed, {});
        wire::Json bad = job("job-0", "sweep", 1, 2), good = job("job-1", "sweep", 1, 2);
        wire::Json stays = job("job-2", "standing", 1, 2);  // so that the machine does too
        bad["yard"] = good["yard"] = stays["yard"] = "b";
        bad["urgency"] = "urgent";
        world.spoil("job-0");
        world.submit(stays);
        world.run_until(35'000);
        world.begin(full());
        world.submit(bad);
        world.run_until(36'000);
        world.submit(good);
        world.expect_no_wait(kLongest);
        world.run_until(240'000);
        EXPECT_EQ(world.final_state("job-1"), "done") << world.what_runs() << world.book_says();
    }
}

// Room that is kept for other work while the cloud answers nobody: blank machines for a gang that
// its team's limit keeps waiting; a type that some work has no choice but to use.
TEST(Waiting, WhatIsKeptForOtherWorkIsNotKeptForEver) {
    for (std::uint64_t seed = 1; seed <= 8 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        const bool blank = seed % 2 == 0;
        World world(seed, {}, 0,
                    {{"g4", 16, 4, 64, 50, 1, blank ? 10.0 : 20.0, 4, 10, {"a", "b"}},
                     {"g2", 8, 2, 32, 50, 1, 6, 3, 10, {"a"}}});
        wire::Json stays = job("job-0", "standing", 3, 2), gang = job("job-1", "ensemble", 3, 4);
        wire::Json other = job("job-2", "ensemble", 4, 4);  // leaves blank machines behind
        stays["yard"] = "a";
        other["crew"] = "blue";
        gang["rigs"] = other["rigs"] = wire::Json::array({"g4"});
        if (blank) world.submit(stays);
        world.submit(other);
        while (world.final_state("job-2").empty() && world.now() < 120'000)
            world.run_until(world.now() + 100);
        Trouble t;
        t.cloud_down = true;
        world.begin(t);
        if (blank) world.submit(gang);  // six of the team's twelve are in use
        world.run_until(world.now() + 1'000);
        wire::Json array = job("job-3", "sweep", 1, 1);
        array["standby"] = blank;
        if (blank) array["yard"] = "b";
        world.submit(array);
        world.expect_no_wait(kLongest);
        world.run_until(world.now() + 110'000);
        EXPECT_EQ(world.final_state("job-3"), "done") << world.what_runs() << world.book_says();
        EXPECT_GT(world.longest_wait(), 50'000) << blank;  // it was kept until then
    }
}

// Grants do not arrive, so the holder of a block never hears of a job that it was given.
TEST(Waiting, AJobThatItsHolderNeverHeardOfComesBack) {
    std::size_t lost = 0;
    for (std::uint64_t seed = 1; seed <= 8 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        World world(seed, {}, 2);
        world.submit(job("job-0", "ensemble", 4, 2));  // leaves machines to lend
        while (world.lent() == 0 && world.now() < 200'000) world.run_until(world.now() + 200);
        Trouble t;
        t.lost_grant = 1;
        world.begin(t);
        for (int n = 1; n <= 4; ++n) world.submit(job("job-" + std::to_string(n), "sweep", 2, 1));
        world.expect_no_wait(kLongest);
        world.run_until(world.now() + 2'000);
        for (const auto& [id, j] : world.leader()->open_jobs()) lost += j->lent_to != kNone ? 1 : 0;
        world.run_until(world.now() + 110'000);
        for (int n = 1; n <= 4; ++n)
            EXPECT_EQ(world.final_state("job-" + std::to_string(n)), "done") << world.book_says();
    }
    EXPECT_GT(lost, 6u);
}

// The only record of a task names a machine that went under the leader before this one.
TEST(Waiting, WhatRanOnAMachineThatIsLongGoneIsStartedSoon) {
    for (std::uint64_t seed = 1; seed <= 6 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        World world(seed, {});
        wire::Json one = job("job-0", "sweep", 1, 1), stays = job("job-1", "standing", 1, 1);
        one["yard"] = stays["yard"] = "b";
        world.lengthen("job-0", 40'000);
        world.submit(one);
        world.run_until(25'000);
        ASSERT_EQ(world.running("b"), 1u);
        world.begin(full());
        world.take_away("b");
        world.run_until(70'000);
        world.take_over();
        ASSERT_EQ(world.leader()->open_jobs().at("job-0")->live, 1u);  // as the record has it
        world.calm();
        world.submit(stays);
        world.expect_no_wait(35'000);
        world.run_until(180'000);
        EXPECT_EQ(world.final_state("job-0"), "done") << world.book_says();
    }
}

// Half of a scattered gang fits, the other half nowhere: nothing is stopped or kept for it.
TEST(Waiting, NoRoomIsKeptForHalfAGang) {
    for (std::uint64_t seed = 1; seed <= 4 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        Trouble t;
        t.full_zone = "b";
        World world(seed, t);
        for (int n = 0; n < 4; ++n) {
            wire::Json low = job("job-" + std::to_string(n), "standing", 1, 4);
            low["crew"] = "blue";
            low["urgency"] = "best_effort";
            world.submit(low);
        }
        world.run_until(45'000);
        ASSERT_EQ(world.running("a"), 4u);
        world.begin(full());
        wire::Json gang = job("job-9", "ensemble", 3, 4);
        gang["scatter"] = true;
        world.submit(gang);
        world.expect_no_wait(kLongest);
        world.run_until(240'000);
        EXPECT_EQ(world.running("a"), 4u) << world.what_runs();
    }
}

// What its own team keeps free for a gang is not kept from the others for longer.
TEST(Waiting, WhatIsGatheredForAGangIsNotGatheredForEver) {
    for (std::uint64_t seed = 1; seed <= 4 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        World world(seed, {});
        wire::Json array = job("job-0", "sweep", 5, 2);  // ten of twelve
        array["urgency"] = "urgent";
        world.lengthen("job-0", 900'000);
        world.submit(array);
        world.run_until(30'000);
        world.submit(job("job-1", "ensemble", 4, 2));
        world.run_until(182'000);
        ASSERT_EQ(world.leader()->open_jobs().at("job-1")->live, 0u);
        world.submit(job("job-2", "sweep", 1, 1));
        world.expect_no_wait(kLongest);
        const Millis from = world.now();
        while (world.final_state("job-2").empty() && world.now() < from + 120'000 && !HasFailure())
            world.run_until(world.now() + 500);
        EXPECT_GT(world.longest_wait(), 20'000);  // it was gathered
        EXPECT_LT(world.longest_wait(), jobs::kMostHeld + 10'000);
    }
}

// A holder's long job keeps its block, where others would fit that can't be lent.
TEST(Waiting, ABlockIsTakenBackWhenOthersNeedItsRoom) {
    std::size_t kept = 0;
    for (std::uint64_t seed = 1; seed <= 8 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        World world(seed, {}, 2);
        world.submit(job("job-0", "ensemble", 4, 2));  // leaves machines to lend
        while (world.lent() == 0 && world.now() < 200'000) world.run_until(world.now() + 200);
        world.lengthen("job-1", 900'000);
        world.submit(job("job-1", "sweep", 1, 1));
        world.run_until(world.now() + 8'000);
        if (world.leader()->open_jobs().at("job-1")->lent_to == kNone) continue;
        ++kept;
        world.begin(full());
        for (int n = 2; n < 8; ++n) {
            wire::Json replica = job("job-" + std::to_string(n), "standing", 1, 2);
            if (n % 2 == 0) replica["crew"] = "blue";
            world.submit(replica);
        }
        world.expect_no_wait(kLongest);
        world.run_until(world.now() + 150'000);
    }
    EXPECT_GT(kept, 4u);
}

// Very many machines of a kind have processors left and no memory; the one that fits is the last.
TEST(Waiting, TheOneThatFitsIsFoundAmongMany) {
    World world(1, {}, 0, {{"m", 64, 0, 8, 50, 1, 10, 4, 10, {"a"}}});
    wire::Json many = job("job-0", "standing", 320, 0), one = job("job-1", "sweep", 1, 0);
    many["mem_gb"] = 6.0;
    world.submit(many);
    world.run_until(60'000);
    ASSERT_EQ(world.running("a"), 320u);
    world.submit(one);
    world.expect_no_wait(kLongest);
    world.run_until(200'000);
    EXPECT_EQ(world.final_state("job-1"), "done");
}

}  // namespace
