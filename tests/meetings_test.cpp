// Two troubles that meet (docs/design/meetings.md). Each test counts that the meeting came about,
// and fails if it did not; the world keeps what truly runs where and asserts the rules.
#include <gtest/gtest.h>

#include "tests/world.h"

namespace {

using namespace nickelramp;
using test::job;
using test::Trouble;
using test::World;

// Services, arrays with long tasks and gangs, all of it running.
std::vector<std::string> fill(World& world, std::mt19937_64& random, int jobs) {
    std::vector<std::string> ids;
    const char* shapes[] = {"sweep", "ensemble", "standing"};
    for (int n = 0; n < jobs; ++n) {
        ids.push_back("job-" + std::to_string(n));
        wire::Json spec = job(ids.back(), shapes[n % 3], 1 + random() % 4, 1);
        if (n % 2 == 0) spec["crew"] = "blue";
        if (n % 4 == 0) spec["scatter"] = true;
        world.submit(spec);
    }
    world.run_until(45'000);
    return ids;
}

std::vector<std::string> untold(const World& world, const std::vector<std::string>& ids) {
    std::vector<std::string> out;
    for (const std::string& id : ids) {
        if (world.final_state(id).empty()) out.push_back(id);
    }
    return out;
}

// The gap: the state service refuses the leader alone, another confirms cancellations, then it is
// down for all for longer than cancel_s while workers go on reporting to the old one. All orders of
// refusal, take-over, confirmation and outage, and with a third trouble in it. What is told is
// told of jobs of which nothing is left (the world looks at every machine at that moment), and what
// was asked for is told soon after the state service is back.
TEST(Meetings, TheGap) {
    const Millis cancel = seconds(test::world_settings().cancel_s);
    std::size_t gaps = 0, beside = 0, by_old = 0;
    for (std::uint64_t seed = 1; seed <= 160 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        auto upto = [&](Millis most) { return static_cast<Millis>(random() % most); };
        Trouble t;
        if (seed % 5 == 1) t.lost_commit = 0.15;
        if (seed % 5 == 2) t.lost_direct = 0.15, t.held_direct = 0.1, t.refused_direct = 0.2;
        if (seed % 5 == 3) t.late_copy = 0.4, t.lost_checkin = 0.1;
        World world(seed, t);
        world.hold_seats();
        const auto ids = fill(world, random, 9);
        const Millis from = world.now() + upto(3'000);
        const Millis refused = 2'000 + upto(38'000), length = cancel + 2'000 + upto(15'000);
        const Millis outage = from + upto(16'000);
        world.run_until(from);
        world.refuse_leader(refused);
        // Commands do not reach these, whoever sends them: their workers stay with the old leader.
        const bool muted = seed % 3 == 0;
        for (const std::string& name : world.working_machines())
            if (muted && (seed % 6 == 0 || random() % 2 == 0))
                world.mute(name, from + 20'000 + upto(90'000));
        bool down = false;
        std::size_t told = 0;
        const std::size_t terms = world.terms();
        for (const std::string& id : ids) {
            if (random() % 5 != 0) world.ask_to_cancel(id);
            const Millis next = world.now() + upto(2'400);
            if (!down && next >= outage) {
                world.run_until(std::max(world.now(), outage));
                told = ids.size() - untold(world, ids).size();
                world.state_down(length);
                down = true;
                if (seed % 7 == 0) world.crash_leader();
                if (seed % 7 == 1) world.freeze_leader(upto(30'000));
                if (seed % 7 == 2) world.cut({"b", 0.5, false, true, false, next, next + 40'000});
            }
            world.run_until(next);
        }
        if (!down) {
            told = ids.size() - untold(world, ids).size();
            world.state_down(length);
        }
        gaps += told > 0 && world.terms() > terms ? 1 : 0;
        while (!world.state_up()) world.run_until(world.now() + 1'000);
        for (const std::string& id : ids) world.ask_to_cancel(id);
        // Whoever could not be reached may have been answered for two leases and lives one more.
        const bool reachable = seed % 7 != 2 && seed % 5 != 2 && !muted;
        const Millis lease = seconds(test::world_settings().lease_s);
        world.run_until(world.now() + (reachable ? 25'000 : 25'000 + 3 * lease + 5'000));
        EXPECT_TRUE(untold(world, ids).empty())
            << "not told: " << untold(world, ids).front() << "; " << world.what_runs();
        beside += world.told_beside_old_leaders();
        by_old += world.answers_by_old_leaders();
    }
    EXPECT_GT(gaps, 50u);
    EXPECT_GT(beside, 100u);
    EXPECT_GT(by_old, 300u);
}

// Everything ends: what is done or cancelled is told, and services, every third as fill() has it,
// are cancelled.
void ends(World& world, const std::vector<std::string>& ids, Millis within) {
    world.calm();
    for (const std::string& id : ids)
        if (std::stoi(id.substr(4)) % 3 == 2) world.ask_to_cancel(id);
    const Millis until = world.now() + within;
    while (world.now() < until && !untold(world, ids).empty() && !testing::Test::HasFailure())
        world.run_until(world.now() + 2'000);
    EXPECT_TRUE(untold(world, ids).empty()) << "not told: " << untold(world, ids).front() << "; "
                                            << world.what_runs() << world.book_says();
}

// Answers to some do not arrive for longer than a lease: their sessions end.
void end_sessions(World& world, std::mt19937_64& random) {
    for (const std::string& name : world.working_machines())
        if (random() % 10 == 0) world.deafen(name, world.now() + 24'000);
}

// A day of one trouble that goes on and of leaders that are refused, end or stand still; users
// cancel a third of the jobs.
World::Met day(std::uint64_t seed, const Trouble& trouble, std::uint32_t share = 0,
               const std::function<void(World&, std::mt19937_64&)>& more = {}) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    auto upto = [&](Millis most) { return static_cast<Millis>(random() % most); };
    World world(seed, trouble, share);
    world.hold_seats();
    const auto ids = fill(world, random, 12);
    for (int n = 0; n < 6 && !testing::Test::HasFailure(); ++n) {
        if (random() % 2 == 0) world.ask_to_cancel(ids[random() % ids.size()]);
        if (more) more(world, random);
        switch (random() % 4) {
            case 0:
                world.refuse_leader(2'000 + upto(38'000));
                break;
            case 1:
                world.crash_leader();
                break;
            case 2:
                world.freeze_leader(1'000 + upto(20'000));
                break;
            case 3:
                world.state_down(500 + upto(15'000));
                break;
        }
        world.run_until(world.now() + 3'000 + upto(12'000));
    }
    ends(world, ids, 300'000);
    return world.met();
}

void add(World::Met& sum, const World::Met& m) {
    sum.copies_of_sessions += m.copies_of_sessions;
    sum.copies_of_attempts += m.copies_of_attempts;
    sum.held_executed += m.held_executed;
    sum.held_refused += m.held_refused;
    sum.late_applied += m.late_applied;
    sum.late_refused += m.late_refused;
    sum.unrecorded += m.unrecorded;
}

// An old report arrives after newer ones, also from an earlier session or attempt, at the leader,
// at holders and deputies, at successors that have heard nothing newer yet.
TEST(Meetings, OldReportsAfterNewerOnes) {
    Trouble t;
    t.late_copy = 0.6;
    t.lost_checkin = 0.1;
    t.machine_dies = 0.01;
    World::Met met;
    for (std::uint64_t seed = 200; seed < 260 && !HasFailure(); ++seed)
        add(met, day(seed, t, seed % 2 == 0 ? 1 : 0, end_sessions));
    EXPECT_GT(met.copies_of_sessions, 1'000u);
    EXPECT_GT(met.copies_of_attempts, 100u);
}

// A leader ends, and the next, while machines with long tasks cannot be reached or do not hear the
// new leader's answers. What is on them is started elsewhere only when its lease is certainly over
// (the world calls ran_twice otherwise), and then soon.
TEST(Meetings, LeadersEndWhileMachinesAreOutOfReach) {
    const wire::Settings s = test::world_settings();
    std::size_t restarted = 0;
    for (std::uint64_t seed = 300; seed < 330 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        World world(seed, {}, seed % 3 == 0 ? 1 : 0);
        world.hold_seats();
        world.submit(job("job-2", "standing", 4, 2));
        world.submit(job("job-5", "standing", 2, 1));
        world.run_until(45'000);
        const std::size_t before = world.running("a") + world.running("b");
        const std::size_t starts = world.starts();
        const std::string lost = world.working_machines().front();
        if (seed % 3 == 1) {
            world.mute(lost, kNever);  // its reports reach whoever it reports to
        } else {
            world.deafen(lost, kNever);
        }
        for (int terms = 0; terms < 3; ++terms) {
            world.run_until(world.now() + static_cast<Millis>(random() % 6'000));
            if (terms == 1 && seed % 2 == 0)
                world.refuse_leader(30'000);
            else
                world.crash_leader();
            world.run_until(world.now() + 6'000);
        }
        // The last of them counts from its own beginning: two leases of answers and one more.
        world.run_until(world.now() + seconds(3 * s.lease_s) + 25'000);
        EXPECT_GE(world.running("a") + world.running("b"), before);
        restarted += world.starts() > starts ? 1 : 0;
    }
    EXPECT_GE(restarted, 15u);
}

// The old leader keeps its workers and users, has lost the state service and the other controllers,
// and jobs are cancelled through the new one: longer than it may answer for.
TEST(Meetings, ALeaderWithWorkersAndUsersOnly) {
    std::size_t beside = 0;
    for (std::uint64_t seed = 400; seed < 430 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        World world(seed, {});
        world.hold_seats();
        const auto ids = fill(world, random, 9);
        world.refuse_leader(90'000);
        for (const std::string& name : world.working_machines())
            if (seed % 2 == 0) world.mute(name, world.now() + 50'000);
        for (const std::string& id : ids) {
            world.run_until(world.now() + static_cast<Millis>(random() % 6'000));
            if (random() % 2 == 0) world.ask_to_cancel(id);
        }
        world.run_until(world.now() + 60'000);
        beside += world.told_beside_old_leaders();
        ends(world, ids, 200'000);
    }
    EXPECT_GT(beside, 40u);
}

// Jobs of two or three tasks end far apart, and the leader changes in between, while completions
// are on no record yet. Done is told when all are (the world calls not_done otherwise), and soon.
TEST(Meetings, FewTasksThatEndFarApart) {
    World::Met met;
    for (std::uint64_t seed = 500; seed < 540 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        Trouble t;
        if (seed % 2 == 0) t.lost_commit = 0.2;
        World world(seed, t);
        world.hold_seats();
        std::vector<std::string> ids;
        for (int n = 0; n < 20; ++n) {
            ids.push_back("job-" + std::to_string(3 * n));
            wire::Json spec = job(ids.back(), n % 4 == 3 ? "ensemble" : "sweep", 2 + n % 2, 1);
            if (n % 2 == 0) spec["crew"] = "blue";
            if (n % 3 == 0) spec["scatter"] = true;
            world.submit(spec);
            world.run_until(world.now() + 500 + static_cast<Millis>(random() % 4'000));
            if (world.now() > 20'000 && random() % 4 == 0) {
                if (random() % 2 == 0)
                    world.crash_leader();
                else
                    world.refuse_leader(5'000 + static_cast<Millis>(random() % 20'000));
            }
        }
        world.calm();
        world.run_until(world.now() + 15'000);  // somebody leads
        // Reports come every 3 s here, and nothing brings one sooner.
        EXPECT_TRUE(world.told_late(10'000).empty()) << world.told_late(10'000).front();
        ends(world, ids, 200'000);
        add(met, world.met());
    }
    EXPECT_GT(met.unrecorded, 50u);
}

// A command or its answer is held for seconds up to a minute: it is executed, or refused, when its
// attempt was given up, its leader replaced, the worker's session over.
TEST(Meetings, CommandsThatAreHeldForSeconds) {
    Trouble t;
    t.held_direct = 0.25;
    t.lost_direct = 0.1;
    World::Met met;
    for (std::uint64_t seed = 600; seed < 720 && !HasFailure(); ++seed)
        add(met, day(seed, t, seed % 3 == 0 ? 1 : 0, end_sessions));
    EXPECT_GT(met.held_executed, 100u);
    EXPECT_GT(met.held_refused, 500u);
}

// Transactions without an answer, of leaders, holders and users, are carried out late, after newer
// ones of the same controller, and by then of a leader that is replaced.
TEST(Meetings, TransactionsThatAreCarriedOutLate) {
    Trouble t;
    t.lost_commit = 0.35;
    World::Met met;
    for (std::uint64_t seed = 720; seed < 840 && !HasFailure(); ++seed)
        add(met, day(seed, t, seed % 3 == 0 ? 2 : 0));
    EXPECT_GT(met.late_applied, 30u);
    EXPECT_GT(met.late_refused, 800u);
}

// Jobs of one task come four a second for two minutes, and a quarter of them is cancelled, with no
// more changes than the state service takes; leaders end meanwhile in some. Nothing is forgotten or
// piles up, what was called off is told soon, and a gang among them begins.
TEST(Meetings, OneTaskJobsFourASecondAQuarterCancelled) {
    std::size_t withdrawn = 0, jobs = 0, changes = 0;
    for (std::uint64_t seed = 900; seed < 908 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        Trouble t;
        t.changes_per_s = 40;
        World world(seed, t);
        world.hold_seats();
        std::vector<std::string> ids;
        std::map<std::string, Millis> asked;
        std::multimap<Millis, std::string> cancels;
        std::size_t most = 0;
        Millis longest = 0;
        auto look = [&] {
            std::erase_if(asked, [&](const auto& a) {
                if (!world.final_state(a.first).empty()) return true;
                longest = std::max(longest, world.now() - a.second);
                return false;
            });
        };
        for (int n = 0; n < 480 && !HasFailure(); ++n) {
            ids.push_back("job-" + std::to_string(n));
            wire::Json spec = job(ids.back(), n == 240 ? "ensemble" : "sweep", n == 240 ? 4 : 1,
                                  n == 240 ? 2 : 0.25);
            if (n % 2 == 0) spec["crew"] = "blue";
            world.submit(spec);
            if (n != 240 && random() % 4 == 0)
                cancels.emplace(world.now() + static_cast<Millis>(random() % 12'000), ids.back());
            world.run_until(world.now() + 250);
            while (!cancels.empty() && cancels.begin()->first <= world.now()) {
                asked.emplace(cancels.begin()->second, world.now());
                world.ask_to_cancel(cancels.begin()->second);
                cancels.erase(cancels.begin());
            }
            if (seed % 2 == 0 && (n == 160 || n == 320)) world.crash_leader();
            look();
            most = std::max(most, untold(world, ids).size());
            if (n == 400) {
                EXPECT_EQ(world.final_state("job-240"), "done") << world.book_says();
            }
        }
        jobs += ids.size();
        changes += world.changes();
        ends(world, ids, 60'000);
        look();
        EXPECT_LE(longest, 10'000);  // with a take-over between
        EXPECT_LE(most, 200u);
        for (const std::string& id : ids) withdrawn += world.final_state(id) == "withdrawn" ? 1 : 0;
    }
    EXPECT_GT(withdrawn, 400u);
    // Two for its submission, one for its start, three for its end, one for its being called off,
    // and what machines and take-overs cost.
    EXPECT_LE(changes, jobs * 7);
}

// Whatever meets whatever: each trouble with each, in one moment or seconds apart.
TEST(Meetings, EveryPair) {
    using Strike = std::function<void(World&, std::mt19937_64&)>;
    auto some = [](World& w, std::mt19937_64& random, std::size_t part, auto f) {
        for (const std::string& name : w.working_machines())
            if (random() % part == 0) f(name);
    };
    const std::pair<const char*, Strike> strikes[] = {
        {"refused", [](World& w, auto& r) { w.refuse_leader(2'000 + r() % 40'000); }},
        {"state down", [](World& w, auto& r) { w.state_down(1'000 + r() % 45'000); }},
        {"leader ends", [](World& w, auto&) { w.crash_leader(); }},
        {"leader ends twice",
         [](World& w, auto& r) {
             w.crash_leader();
             w.run_until(w.now() + 4'000 + r() % 1'000);
             w.crash_leader();
         }},
        {"leader stands still", [](World& w, auto& r) { w.freeze_leader(1'000 + r() % 40'000); }},
        {"copies",
         [](World& w, auto&) {
             Trouble t;
             t.late_copy = 0.6;
             w.begin(t);
         }},
        {"commands held",
         [](World& w, auto&) {
             Trouble t;
             t.held_direct = 0.3;
             w.begin(t);
         }},
        {"late writes",
         [](World& w, auto&) {
             Trouble t;
             t.lost_commit = 0.4;
             w.begin(t);
         }},
        {"deaf",
         [&](World& w, auto& r) {
             some(w, r, 3, [&](auto& name) { w.deafen(name, w.now() + 5'000 + r() % 60'000); });
         }},
        {"no commands",
         [&](World& w, auto& r) {
             some(w, r, 2, [&](auto& name) { w.mute(name, w.now() + 5'000 + r() % 60'000); });
         }},
        {"zone cut, held",
         [](World& w, auto& r) {
             w.cut({"b", 1, false, true, r() % 2 == 0, w.now(),
                    w.now() + 5'000 + static_cast<Millis>(r() % 50'000)});
         }},
        {"machines hang",
         [](World& w, auto& r) {
             w.cut({"a", 0.4, true, false, false, w.now(),
                    w.now() + 3'000 + static_cast<Millis>(r() % 40'000)});
         }},
        {"machines die",
         [&](World& w, auto& r) { some(w, r, 4, [&](auto& name) { w.kill_machine(name); }); }},
        {"workers back at once",
         [&](World& w, auto& r) { some(w, r, 4, [&](auto& name) { w.restart_machine(name); }); }},
        {"holders end", [](World& w, auto&) { w.end_holders(); }},
    };
    std::uint64_t seed = 1'000;
    for (const auto& [one, first] : strikes) {
        for (const auto& [other, second] : strikes) {
            if (HasFailure()) return;
            SCOPED_TRACE(testing::Message() << one << ", then " << other << ", seed " << ++seed);
            std::mt19937_64 random(seed);
            World world(seed, {}, 1);
            world.hold_seats();
            const auto ids = fill(world, random, 9);
            for (const std::string& id : ids)
                if (random() % 3 == 0) world.ask_to_cancel(id);
            first(world, random);
            const Millis apart[] = {0, 300, 3'000, 9'000};
            world.run_until(world.now() + apart[random() % 4]);
            second(world, random);
            for (const std::string& id : ids)
                if (random() % 3 == 0) world.ask_to_cancel(id);
            world.run_until(world.now() + 30'000);
            ends(world, ids, 250'000);
        }
    }
}

}  // namespace
