// Machines, zones and controllers that come within reach or go out of it: machines that are up at
// once, mute ones, a zone cut off and all controllers away for longer than a lease, leaders that
// follow one another quickly, jobs bound to one zone (docs/design/meetings.md). Each test counts
// that its meeting came about; the world asserts the rules.
#include <gtest/gtest.h>

#include "tests/world.h"
#include "workers/contact.h"

namespace {

using namespace nickelramp;
using test::job;
using test::report;
using test::Trouble;
using test::World;
using workers::Contact;
using workers::Hearing;

const Millis kLease = seconds(test::world_settings().lease_s);
// A lease that somebody else may have given is over: two of answers, one more, drift, a second.
const Millis kOver = 3 * kLease + 2'000;

void each_seed(std::uint64_t from, std::uint64_t count,
               const std::function<void(std::uint64_t)>& day) {
    for (std::uint64_t seed = from; seed < from + count && !testing::Test::HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        day(seed);
    }
}

struct Day {
    Day(std::uint64_t seed, const Trouble& trouble, std::uint32_t share = 0)
        : random(seed), world(seed, trouble, share) {
        world.hold_seats();
    }
    Millis upto(Millis most) { return static_cast<Millis>(random() % static_cast<unsigned>(most)); }
    void run(Millis length) { world.run_until(world.now() + length); }
    void enter(const std::string& shape, std::uint32_t tasks, double gpus,
               const wire::Json& more = {}) {
        wire::Json spec = job("job-" + std::to_string(ids.size()), shape, tasks, gpus);
        if (ids.size() % 2 == 0) spec["crew"] = "blue";
        if (more.is_object()) spec.update(more);
        ids.push_back(spec["id"]);
        services.push_back(shape == "standing");
        world.submit(spec);
    }
    std::string untold() const {
        std::string out;
        for (std::size_t n = 0; n < ids.size(); ++n)
            if (world.final_state(ids[n]).empty() && wanted(n)) out += ids[n] + " ";
        return out;
    }
    bool wanted(std::size_t n) const { return !services[n] || asked.count(ids[n]) != 0; }
    void cancel(std::size_t n) {
        asked.insert(ids[n]);
        world.ask_to_cancel(ids[n]);
    }
    void cancel_some(unsigned part) {
        for (std::size_t n = 0; n < ids.size(); ++n)
            if (random() % part == 0) cancel(n);
    }
    // All that was asked for is told, and what can end has ended.
    void ends(Millis within) {
        world.calm();
        const Millis from = world.now();
        while (world.now() < from + within && !untold().empty() && !testing::Test::HasFailure())
            run(500);
        EXPECT_EQ(untold(), "") << world.what_runs() << world.book_says();
    }
    void all_end(Millis within) {
        for (std::size_t n = 0; n < ids.size(); ++n)
            if (services[n]) cancel(n);
        ends(within);
    }
    // Four services of two, three gangs and an array.
    void enter_mix(std::uint32_t array, bool one_zone = false) {
        for (int n = 0; n < 4; ++n) enter("standing", 2, 1, {{"scatter", n % 2 == 0}});
        for (int n = 0; n < 3; ++n) enter("ensemble", 2 + random() % 3, 1);
        enter("sweep", array, 1, {{"one_zone", one_zone}});
    }
    // Of the mix, all that nobody has cancelled.
    void services_run() {
        std::size_t replicas = 0;
        for (std::size_t n = 0; n < 4; ++n) replicas += wanted(n) ? 0 : 2;
        EXPECT_GE(running(), replicas) << world.what_runs() << world.book_says();
    }
    std::size_t running() const { return world.running("a") + world.running("b"); }

    std::mt19937_64 random;
    World world;
    std::vector<std::string> ids;
    std::vector<bool> services;
    std::set<std::string> asked;
};

// Up 0.3 to 2 s after the rental request has come to the cloud: the report comes before the
// rental's answer, work is placed at once, and the leader ends while the transactions that say so
// are late or only their answers lost. The next one's list lacks the machine, or calls it booting,
// or still shows what was returned.
TEST(Reach, MachinesUpWithinTwoSeconds) {
    std::size_t inherited = 0, unlisted = 0, booting = 0, unanswered = 0, late = 0;
    each_seed(1, 70, [&](std::uint64_t seed) {
        Trouble t;
        t.boot_least = 300;
        t.boot_most = 2'000;
        t.list_lag = 3'000;  // or twice that
        t.lost_commit = 0.3;
        t.lost_cloud = 0.4;
        if (seed % 3 == 0) t.late_cloud = 0.2;
        if (seed % 4 == 0) t.lost_checkin = 0.1;
        Day day(seed, t, seed % 5 == 0 ? 1 : 0);
        const char* shapes[] = {"sweep", "ensemble", "standing"};
        for (std::size_t n = 0; n < 14; ++n) {
            day.enter(shapes[day.random() % 3], 1 + day.random() % 6, 1 + day.random() % 2);
            day.run(300 + day.upto(6'000));
            if (day.random() % 3 == 0) {
                inherited += day.world.working_machines().size();
                day.world.crash_leader();
            }
            if (day.random() % 4 == 0) day.cancel(day.random() % day.ids.size());
        }
        day.world.calm();
        day.all_end(250'000);
        const World::Met& m = day.world.met();
        unlisted += m.unlisted;
        booting += m.booting;
        unanswered += m.unanswered;
        late += m.late_applied + m.late_refused;
    });
    EXPECT_GT(unlisted, 15u);
    EXPECT_GT(booting, 10u);
    EXPECT_GT(unanswered, 300u);
    EXPECT_GT(late, 100u);
    EXPECT_GT(inherited, 300u);
}

// An answer shows that it is there and renews nothing.
TEST(Reach, WhatAnswersAndDoesNotReportIsMute) {
    Contact c;
    c.begin(10, 1'000);
    EXPECT_EQ(c.reported(report(1, 1, 10), false, 2'000), workers::Proof::fresh);
    c.answer(kLease, 2'000);
    std::uint64_t seq = 1;
    for (Millis t = 6'000; t <= 16'000; t += 5'000) {
        EXPECT_EQ(c.answered(report(1, ++seq, 10), c.asked(), t, t), workers::Proof::fresh);
        EXPECT_EQ(c.hearing(5'000, t), Hearing::sound);
        EXPECT_EQ(c.renewed_at(), 2'000);
    }
    EXPECT_FALSE(c.mute(kLease, 16'000));
    EXPECT_TRUE(c.mute(kLease, 16'001));
    EXPECT_EQ(c.reported(report(1, ++seq, 10), false, 16'002), workers::Proof::fresh);
    EXPECT_FALSE(c.mute(kLease, 60'000));
}

// Nothing is started on it again and again only to end with its lease; cancellations are carried
// out there at once; it goes back, or, while the cloud is down, stays without work.
TEST(Reach, MuteMachines) {
    std::size_t lost = 0, told = 0, stopped = 0;
    each_seed(100, 40, [&](std::uint64_t seed) {
        Day day(seed, {}, seed % 3 == 0 ? 1 : 0);
        for (int n = 0; n < 4; ++n) day.enter("standing", 2, 2);
        day.enter("ensemble", 3, 1);
        day.run(40'000);
        const std::size_t before = day.running(), killed = day.world.killed_by_lease();
        const std::string mute = day.world.working_machines()[seed % 3];
        const std::size_t there = day.world.tasks_on(mute), stops = day.world.stops();
        day.world.mute_reports(mute, kNever);
        Trouble t;
        t.cloud_down = seed % 2 == 0;
        day.world.begin(t);
        if (seed % 4 >= 2) day.world.crash_leader();
        // Half a lease until it is known, as much of a new leader's.
        day.run(2 * kLease + 15'000);
        EXPECT_EQ(day.world.removed(mute), !t.cloud_down);
        EXPECT_TRUE(!t.cloud_down || day.world.tasks_on(mute) == 0) << day.world.what_runs();
        EXPECT_GE(day.running(), before) << day.world.what_runs() << day.world.book_says();
        // Each of its tasks once, and what a new leader placed on it before it knew.
        EXPECT_LE(day.world.killed_by_lease() - killed, 2 * there);
        lost += day.world.killed_by_lease() - killed;
        stopped += day.world.stops() - stops;
        // Those that are mute from now on run what is called off.
        for (const std::string& name : day.world.working_machines())
            if (day.random() % 2 == 0) day.world.mute_reports(name, day.world.now() + 60'000);
        for (std::size_t n = 0; n < 4; n += 2) day.cancel(n);
        day.run(3'000);
        told += day.world.final_state(day.ids[0]).empty() ? 0 : 1;
        EXPECT_EQ(day.untold(), "");
        day.all_end(kOver + 25'000);
    });
    EXPECT_GT(lost, 5u);
    EXPECT_GT(stopped, 40u);  // in time to save
    EXPECT_EQ(told, 40u);
}

// Each for longer than a lease, while leaders change and jobs are cancelled: a zone with a
// controller is cut off, all controllers are away, the machines of a zone or half of all are mute.
// Nothing is there twice (the world looks), and then everything goes on soon: machines answer the
// new leader, so that nothing waits for leases that it cannot know.
TEST(Reach, OutOfReachForLongerThanALease) {
    std::size_t killed = 0, by_deputies = 0, mutes = 0;
    each_seed(150, 120, [&](std::uint64_t seed) {
        const std::uint64_t how = seed / 3;
        Day day(seed, {}, seed % 4 < 3 ? 1 : 0);
        day.enter_mix(16, seed % 5 == 0);
        day.run(38'000 + day.upto(4'000));
        const Millis from = day.world.now(), until = from + kLease + 2'000 + day.upto(2 * kLease);
        if (seed % 3 == 0) {
            day.world.cut({"b", 1, false, how % 2 == 0, how % 4 != 0, from, until});
        } else if (seed % 3 == 1) {
            // Crashed, frozen or refused; nobody begins before the state service is back.
            day.world.state_down(until - from);
            if (seed % 4 < 3 && how % 2 == 0) day.world.end_holders();
            if (how % 3 == 0) day.world.freeze_leader(until - from);
            if (how % 3 == 1) day.world.refuse_leader(until - from + 10'000);
            if (how % 3 != 0) day.run(day.upto(9'000)), day.world.crash_leader();
        }
        for (const std::string& name : day.world.working_machines()) {
            if (seed % 3 != 2) continue;
            if (how % 2 == 0 ? day.random() % 2 == 0 : day.world.zone_of(name) != "b") continue;
            day.world.mute_reports(name, until);
            ++mutes;
        }
        while (day.world.now() < until) {
            day.run(std::min<Millis>(2'000 + day.upto(11'000), until - day.world.now()));
            if (seed % 3 != 1 && day.random() % 2 == 0) day.world.crash_leader();
            day.cancel_some(6);
        }
        killed += day.world.killed_by_lease();
        by_deputies += day.world.answered_by_deputies();
        day.run(6'000);  // somebody leads
        day.ends(60'000);
        day.run(25'000);
        day.services_run();
        day.all_end(30'000);
    });
    EXPECT_GT(killed, 200u);
    EXPECT_GT(by_deputies, 100u);
    EXPECT_GT(mutes, 60u);
}

// Ten leaders in two minutes, also with outages of the state service in between. Each counts what
// it cannot reach from its own beginning, so that waits do not add up, but begin again: whatever
// was asked for is told within three leases of the last one's.
TEST(Reach, TenLeadersInTwoMinutes) {
    std::size_t terms = 0, out_of_reach = 0;
    each_seed(300, 40, [&](std::uint64_t seed) {
        Day day(seed, {}, seed % 4 == 0 ? 1 : 0);
        day.enter_mix(20);
        day.run(40'000);
        for (const std::string& name : day.world.working_machines()) {
            const unsigned kind = day.random() % 12;
            out_of_reach += kind < 4 ? 1 : 0;
            if (kind == 0) day.world.deafen(name, kNever);
            if (kind == 1) day.world.mute(name, kNever);
            if (kind == 2) day.world.mute_reports(name, kNever);
            if (kind == 3) day.world.kill_machine(name);
        }
        Trouble t;
        t.cloud_down = seed % 3 == 0;
        day.world.begin(t);
        const std::size_t first = day.world.terms();
        for (int n = 0; n < 10; ++n) {
            if (seed % 2 == 0 && n % 3 == 1) day.world.state_down(3'000 + day.upto(5'000));
            day.world.crash_leader();
            day.cancel_some(12);
            day.run(11'000 + day.upto(1'000));
        }
        terms += day.world.terms() - first;
        day.run(6'000);
        day.ends(kOver + 25'000);
        day.run(kOver + 25'000);
        day.services_run();
        day.all_end(kOver + 25'000);
    });
    EXPECT_GE(terms, 360u);
    EXPECT_GT(out_of_reach, 30u);
}

// Jobs bound to one zone lose machines in all ways while the leader changes. What is left of them
// holds them in their zone until it is gone (the world calls wrong_place otherwise); then those
// without a yard move, and those with one wait for room there.
TEST(Reach, JobsOfOneZoneLoseMachines) {
    std::size_t moved = 0, waited = 0;
    each_seed(400, 60, [&](std::uint64_t seed) {
        Day day(seed, {}, seed % 4 == 0 ? 1 : 0);
        const wire::Json one = {{"one_zone", true}}, yard = {{"yard", "b"}};
        for (int n = 0; n < 3; ++n) day.enter("standing", 2, 1 + n % 2, one);
        for (int n = 0; n < 2; ++n) day.enter("standing", 1, 2, yard);
        day.enter("ensemble", 4, 1, one);
        day.enter("sweep", 14, 1, one);
        day.enter("sweep", 6, 1, yard);
        day.run(20'000 + day.upto(22'000));
        const std::size_t before = day.world.running("b");
        const bool cut = seed % 5 == 0, for_good = seed % 2 == 0;
        const Millis from = day.world.now(), back = from + kLease + day.upto(3 * kLease);
        for (const auto* m : day.world.leader()->roster().all()) {
            if (cut || day.world.zone_of(m->name) != "b") continue;
            if (for_good || day.random() % 2 == 0) day.world.kill_machine(m->name);
        }
        if (cut) day.world.cut({"b", 1, false, false, false, from, for_good ? kNever : back});
        if (seed % 5 == 1) day.world.take_away("b");
        Trouble t;
        if (for_good) t.full_zone = "b";
        day.world.begin(t);
        for (int n = 0; n < 3; ++n) {
            day.run(day.upto(9'000));
            if (day.random() % 2 == 0) day.world.crash_leader();
            if (n == 1) day.enter("ensemble", 3, 1, one);
        }
        day.run(kOver + 45'000);
        for (std::size_t n = 0; n < 3; ++n) {
            auto& attempts = day.world.leader()->open_jobs().at(day.ids[n])->attempts;
            const auto runs = std::count_if(attempts.begin(), attempts.end(), [](const auto& a) {
                return a->state == jobs::AttemptState::running;
            });
            EXPECT_EQ(runs, 2) << day.ids[n] << day.world.what_runs() << day.world.book_says();
            moved += for_good && before > 0 ? 1 : 0;
        }
        if (for_good && !cut) {
            EXPECT_EQ(day.world.running("b"), 0u);
            ++waited;
            day.world.calm();
            day.run(45'000);
            EXPECT_GE(day.world.running("b"), 2u) << day.world.book_says();
        }
        if (!for_good) day.all_end(kOver + 60'000);
    });
    EXPECT_GT(moved, 20u);
    EXPECT_GT(waited, 10u);
}

// A new leader's first list shows what its predecessor has just returned, as booting even: nothing
// is to wait for that.
TEST(Reach, NobodyWaitsForWhatAStaleListShows) {
    std::size_t ghosts = 0;
    each_seed(520, 30, [&](std::uint64_t seed) {
        Trouble t;
        t.list_lag = 3'000;
        t.boot_least = 300, t.boot_most = 2'000;
        World world(seed, t, 0, {{"g4", 16, 4, 64, 50, 1, 10, 4, 60, {"a", "b"}}});
        admin::Options o;
        o.keep_margin = o.hire_margin = o.spot_margin = o.replica_margin = 0;
        world.set_options(o);
        world.submit(job("job-1", "sweep", 1, 4));
        while (world.returned() == 0 && world.now() < 100'000) world.run_until(world.now() + 100);
        // Its return is on no record any more.
        world.run_until(world.now() + 3'000 + static_cast<Millis>(seed % 20) * 100);
        const std::size_t before = world.met().ghosts;
        world.take_over();
        world.run_until(world.now() + 500);
        ghosts += world.met().ghosts - before;
        world.submit(job("job-2", "standing", 1, 4));
        world.run_until(world.now() + 30'000);
        EXPECT_EQ(world.running("a") + world.running("b"), 1u) << world.book_says();
    });
    EXPECT_GT(ghosts, 10u);
}

// A list may be older than the one before: only one that is certainly later proves anything.
TEST(Reach, AListThatLacksAMachineMayBeTheOlderOne) {
    World world(560, {});
    world.run_until(10'000);
    world.leader()->on_hosts({{"i-9", "i-9", "g4", "a", false, wire::HostStatus::booting, 1}},
                             world.now(), world.now());
    world.run_until(20'000);  // others that lack it have come meanwhile
    EXPECT_NE(world.leader()->roster().find("i-9"), nullptr);
    world.run_until(26'000);
    EXPECT_EQ(world.leader()->roster().find("i-9"), nullptr);
}

// The zone with most room left has no machine more: the gang must not wait for it.
TEST(Reach, AGangOfOneZoneGoesWhereTheRestCanBeHad) {
    World world(500, {}, 0, {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}}});
    wire::Json first = job("job-1", "standing", 1, 1);
    first["yard"] = "a";
    world.submit(first);
    world.run_until(40'000);
    ASSERT_EQ(world.running("a"), 1u);
    Trouble full;
    full.full_zone = "a";
    world.begin(full);
    wire::Json gang = job("job-2", "ensemble", 4, 1);
    gang["one_zone"] = true;
    world.submit(gang);
    world.run_until(100'000);
    EXPECT_EQ(world.final_state("job-2"), "done") << world.what_runs() << world.book_says();
}

}  // namespace
