// One controller's work goes to another: what is in use at that moment, what is cancelled in it,
// and what is heard late (docs/design/meetings.md). Each test counts that its meeting came about.
#include <gtest/gtest.h>

#include "tests/world.h"

namespace {

using namespace nickelramp;
using test::job;
using test::Trouble;
using test::World;
using Random = std::mt19937_64;

const Millis kLease = seconds(test::world_settings().lease_s);
const Millis kCancel = seconds(test::world_settings().cancel_s);

// What was submitted, and what its users have asked to cancel.
struct Work {
    std::vector<std::string> ids, asked;
    std::map<std::string, std::uint32_t> services;  // with their tasks

    void submit(World& world, const std::string& shape, std::uint32_t tasks, const char* team) {
        ids.push_back("job-" + std::to_string(ids.size()));
        wire::Json spec = job(ids.back(), shape, tasks, 1);
        spec["crew"] = team;
        spec["standby"] = true;
        if (shape == "ensemble") spec["bundle"] = "img-" + ids.back();  // fetched by each member
        if (shape == "standing") services[ids.back()] = tasks;
        world.submit(spec);
    }
    // More than both teams may have at once: half of it services, the rest ends and is followed.
    void fill(World& world, int rounds) {
        for (int n = 0; n < rounds; ++n) {
            for (const char* team : {"red", "blue"}) {
                if (n < 2) submit(world, "standing", team[0] == 'r' ? 3 : 4, team);
                submit(world, "sweep", 8, team);
                submit(world, "ensemble", 2 + n % 3, team);
            }
        }
    }
    void ask(World& world, const std::string& id) {
        if (!world.final_state(id).empty()) return;
        world.ask_to_cancel(id);
        asked.push_back(id);
    }
};

// Troubles end then. What was cancelled is told soon, the rest ends or runs, and book and records
// agree. Whoever could not be reached may have been answered for two leases and lives one more.
void settles(World& world, const Work& work, Millis over) {
    world.run_until(std::max(world.now(), over));
    world.calm();
    auto wait = [&](Millis most, const std::function<std::string()>& missing) {
        const Millis until = world.now() + most;
        while (world.now() < until && !missing().empty() && !testing::Test::HasFailure())
            world.run_until(world.now() + 1'000);
        EXPECT_EQ(missing(), "") << world.what_runs() << world.book_says();
    };
    wait(25'000 + 3 * kLease + 5'000, [&]() -> std::string {
        for (const std::string& id : work.asked)
            if (world.final_state(id).empty()) return id + " is not told";
        return "";
    });
    wait(300'000, [&]() -> std::string {
        for (const std::string& id : work.ids) {
            auto service = work.services.find(id);
            if (!world.final_state(id).empty()) continue;
            if (service == work.services.end()) return id + " does not end";
            if (world.on_machines(id) < service->second) return id + " does not run";
        }
        return world.out_of_step();
    });
}

struct Blow {
    const char* name;
    std::function<void(World&, Random&)> strike;
};
const Blow kBlows[] = {
    {"none", [](World&, Random&) {}},
    {"refused", [](World& w, Random& r) { w.refuse_leader(5'000 + r() % 40'000); }},
    {"ends", [](World& w, Random&) { w.crash_leader(); }},
    {"stands still", [](World& w, Random& r) { w.freeze_leader(3'000 + r() % 30'000); }},
    {"ends twice",
     [](World& w, Random& r) {
         w.crash_leader();
         w.run_until(w.now() + 3'000 + r() % 5'000);
         w.crash_leader();
     }},
    {"refused, then down for all",
     [](World& w, Random& r) {
         w.refuse_leader(3'000 + r() % 40'000);
         w.run_until(w.now() + 500 + r() % 1'000);
         w.state_down(kCancel + 2'000);
     }},
};

// Both teams are at their limits with more to start, some machines can not be asked, the leader
// changes and jobs are cancelled. The world counts every task that has its image, wherever it is,
// at each start, and looks for what is left at each telling.
TEST(Handover, EachTeamAtItsLimit) {
    struct Machines {
        const char* name;
        std::function<void(World&, Random&, Millis)> befall;
    };
    auto some = [](World& w, Random& r, auto f) {
        for (const std::string& name : w.working_machines())
            if (r() % 2 == 0) f(name);
    };
    const Machines machines[] = {
        {"cut off",
         [](World& w, Random& r, Millis until) {
             w.cut({"a", 0.5, false, r() % 2 == 0, false, w.now(), until});
             w.cut({"b", 0.5, false, r() % 2 == 0, r() % 2 == 0, w.now(), until});
         }},
        {"hanging",
         [](World& w, Random& r, Millis until) {
             for (const char* zone : {"a", "b"})
                 w.cut({zone, 0.5, true, r() % 2 == 0, false, w.now(), until});
         }},
        {"deaf", [&](World& w, Random& r,
                     Millis until) { some(w, r, [&](auto& name) { w.deafen(name, until); }); }},
        {"mute", [&](World& w, Random& r,
                     Millis until) { some(w, r, [&](auto& name) { w.mute(name, until); }); }},
        {"dead",
         [&](World& w, Random& r, Millis) {
             some(w, r,
                  [&](auto& name) { r() % 2 == 0 ? w.kill_machine(name) : w.fail_machine(name); });
         }},
    };
    std::uint64_t seed = 2'000;
    std::size_t full = 0, changes = 0, told = 0, lent = 0;
    for (const Machines& m : machines) {
        for (const Blow& blow : kBlows) {
            for (std::uint32_t share = 0; share < 3; ++share) {
                if (HasFailure()) return;
                SCOPED_TRACE(testing::Message() << m.name << ", leader " << blow.name << ", seed "
                                                << ++seed << ", share " << share);
                Random random(seed);
                World world(seed, {}, share);
                world.hold_seats();
                Work work;
                work.fill(world, 4);
                world.run_until(35'000 + random() % 10'000);
                const std::size_t terms = world.terms();
                // Shorter than a lease and longer: it goes on, or has lost its tasks.
                const Millis until = world.now() + 4'000 + random() % 45'000;
                const bool before = random() % 2 == 0;
                double red = 0, blue = 0;
                if (before) m.befall(world, random, until);
                for (const std::string& id : work.ids) {
                    red = std::max(red, world.uses("red"));
                    blue = std::max(blue, world.uses("blue"));
                    if (random() % 3 == 0) work.ask(world, id);
                    if (id == work.ids[3]) blow.strike(world, random);
                    if (id == work.ids[3] && !before) m.befall(world, random, until);
                    if (share > 0 && random() % 12 == 0) world.end_holders();
                    world.run_until(world.now() + random() % 1'500);
                }
                settles(world, work, until + 1'000);
                full += red > 11 && blue > 15 ? 1 : 0;
                changes += world.terms() - terms;
                told += work.asked.size();
                lent += world.lent();
            }
        }
    }
    EXPECT_GT(full, 30u);
    EXPECT_GT(changes, 70u);
    EXPECT_GT(told, 300u);
    EXPECT_GT(lent, 100u);
}

// --- what changes hands

using Find = std::function<std::string(World&)>;  // a job in that moment; empty: not now

std::string find(World& world, const std::function<bool(const jobs::Job&)>& meets) {
    if (world.leader() == nullptr) return "";
    for (const auto& [id, j] : world.leader()->open_jobs())
        if (j->state == jobs::JobState::open && meets(*j)) return id;
    return "";
}

bool taking_back(World& world) {
    const auto& all = world.leader()->roster().all();
    return std::any_of(all.begin(), all.end(), [](const auto* m) { return m->unread; });
}

// A cancellation falls into the moment in which a job's work goes from one to another, alone or
// with a blow to the leader, and its holder may end as well.
TEST(Handover, CancelledWhileWorkChangesHands) {
    const std::pair<const char*, Find> moments[] = {
        {"records are read", [](World& w) { return w.reading() ? std::string("any") : ""; }},
        {"checkpoint under way",
         [](World& w) { return find(w, [](auto& j) { return j.commit_in_flight; }); }},
        {"gang half started",
         [](World& w) {
             return find(w, [](auto& j) {
                 auto waits = [](auto& a) { return a->state == jobs::AttemptState::waiting; };
                 const auto n = std::count_if(j.attempts.begin(), j.attempts.end(), waits);
                 return j.gang() && n > 0 && n < static_cast<long>(j.spec.tasks);
             });
         }},
        {"lent, not begun",
         [](World& w) {
             return find(w, [](auto& j) { return j.lent_to != kNone && j.lent_running == 0; });
         }},
        {"taken back",
         [](World& w) {
             return find(w, [&](auto& j) { return j.lent_to != kNone && taking_back(w); });
         }},
    };
    std::uint64_t seed = 3'000;
    std::map<std::string, std::size_t> met;
    std::size_t wishes = 0;
    for (const auto& [name, now] : moments) {
        for (const Blow& blow : kBlows) {
            for (int n = 0; n < 6; ++n) {
                if (HasFailure()) return;
                SCOPED_TRACE(testing::Message()
                             << name << ", leader " << blow.name << ", seed " << ++seed);
                Random random(seed);
                Trouble slow;
                slow.slow_lists = 700;
                slow.slow_watch = n % 2 == 0 ? 0 : 900;
                // Gangs that could be lent would be.
                const std::uint32_t share = name == moments[2].first ? 0 : 2;
                World world(seed, slow, share);
                world.hold_seats();
                Work work;
                work.fill(world, 1);
                world.run_until(20'000 + random() % 20'000);
                if (name == moments[0].first) world.crash_leader();
                std::string id;
                for (int step = 0; step < 1'500 && id.empty() && !HasFailure(); ++step) {
                    if (step % 60 == 0)
                        work.submit(world, step % 120 ? "sweep" : "ensemble", 3, "blue");
                    if (name == moments[4].first && step % 300 == 299) world.end_holders();
                    world.run_until(world.now() + 30);
                    id = now(world);
                }
                if (!id.empty()) ++met[name];
                if (id == "any") {
                    for (const std::string& each : work.ids)
                        if (random() % 2 == 0) work.ask(world, each);
                } else if (!id.empty()) {
                    work.ask(world, id);
                }
                if (share > 0 && random() % 3 == 0) world.end_holders();
                blow.strike(world, random);
                world.run_until(world.now() + 45'000);
                settles(world, work, 0);
                wishes += world.met().wishes_while_read;
            }
        }
    }
    for (const auto& [name, now] : moments) EXPECT_GT(met[name], 9u) << name;
    EXPECT_GT(wishes, 20u);
}

// A holder ends a job, and the leader hears of it when it has read the job's records for itself, as
// the block was taken back; or not at all, as its watch was lost. It had the job for good then, new
// or lent, with its part of the limit, and no transaction for it could succeed.
TEST(Handover, EndsThatAreHeardLateOrNever) {
    std::size_t met[2] = {};
    for (std::uint64_t seed = 4'000; seed < 4'100 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Random random(seed);
        const bool lost = seed % 2 != 0;
        Trouble slow;
        slow.slow_watch = lost ? 0 : 9'000;
        World world(seed, slow, 2);
        Work work;
        bool late = false;
        auto over = [&](bool lent) {
            return !find(world, [&](auto& j) {
                        return (j.lent_to != kNone) == lent &&
                               !world.final_state(j.spec.id).empty();
                    }).empty();
        };
        for (int step = 0; step < 1'200 && !HasFailure(); ++step) {
            if (step % 50 == 0) work.submit(world, step % 100 ? "sweep" : "ensemble", 3, "blue");
            if (lost && step % 150 == 100) world.lose_watch(14'900);
            if (!lost && over(true) && random() % 3 == 0) world.end_holders();
            world.run_until(world.now() + 100);
            late |= over(lost);
        }
        met[lost] += late ? 1 : 0;
        settles(world, work, 0);
    }
    EXPECT_GT(met[0], 10u);
    EXPECT_GT(met[1], 10u);
}

// A holder lets its block go, and the leader goes on granting it: it does not take it up again, and
// nobody has the jobs. It heard no grants for a while, or a machine of the block has failed, so
// that the block's record was written again and its transactions failed.
TEST(Handover, AHolderThatHasLetItsBlockGo) {
    std::size_t lent = 0;
    for (std::uint64_t seed = 5'000; seed < 5'080 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Random random(seed);
        World world(seed, {}, 2);
        Work work;
        std::string id;
        for (int step = 0; step < 600 && id.empty() && !HasFailure(); ++step) {
            if (step % 25 == 0) work.submit(world, "sweep", 4, "blue");
            world.run_until(world.now() + 200);
            id = find(world, [](auto& j) { return j.lent_to != kNone && j.lent_running > 0; });
        }
        lent += id.empty() ? 0 : 1;
        Trouble t;
        if (seed % 2 == 0) {
            t.one_way = true;
            world.begin(t);
        } else {
            for (const auto* m : world.leader()->roster().all())
                if (m->state == workers::MachineState::lent && random() % 2 == 0)
                    world.fail_machine(m->name);
        }
        for (int n = 0; n < 5; ++n) {
            work.submit(world, "sweep", 2, "blue");
            world.run_until(world.now() + 4'000);
        }
        settles(world, work, 0);
    }
    EXPECT_GT(lent, 15u);
}

// Reports of before reach every controller in the moment in which a leader begins, and again when
// it has acted; others are held back until then on their way. They are of earlier sessions and
// attempts, of machines that are gone and of workers that have begun anew.
TEST(Handover, OldReportsAtANewLeader) {
    World::Met met;
    for (std::uint64_t seed = 6'000; seed < 6'060 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Random random(seed);
        Trouble t;
        t.for_next = 0.4;
        t.held_checkin = 0.1;
        t.machine_dies = 0.02;
        t.slow_lists = seed % 2 == 0 ? 500 : 0;
        World world(seed, t, seed % 3);
        world.hold_seats();
        Work work;
        work.fill(world, 3);
        world.run_until(35'000);
        for (int n = 0; n < 5 && !HasFailure(); ++n) {
            for (const std::string& name : world.working_machines()) {
                if (random() % 8 == 0) world.restart_machine(name);
                if (random() % 8 == 0) world.deafen(name, world.now() + kLease + 4'000);
            }
            work.ask(world, work.ids[random() % work.ids.size()]);
            world.run_until(world.now() + random() % 20'000);
            kBlows[1 + random() % 4].strike(world, random);
            world.run_until(world.now() + 4'000 + random() % 9'000);
        }
        settles(world, work, world.now() + kLease + 4'000);
        met.kept += world.met().kept;
        met.kept_of_gone += world.met().kept_of_gone;
        met.kept_of_lives += world.met().kept_of_lives;
        met.heard_held += world.met().heard_held;
    }
    EXPECT_GT(met.kept, 2'000u);
    EXPECT_GT(met.kept_of_gone, 200u);
    EXPECT_GT(met.kept_of_lives, 500u);
    EXPECT_GT(met.heard_held, 300u);
}

}  // namespace
