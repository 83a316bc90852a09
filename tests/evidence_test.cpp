// What a worker's messages prove, against a plain model of workers that start again and of a
// network that brings copies late; and in the simulated world: machines that hear nothing, copies,
// and workers that are back at once with their numbers anew.
#include <gtest/gtest.h>
#include <rapidcheck.h>

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
using workers::Mark;
using workers::Proof;

// Every message has the moment at which it was made; whatever is taken for proven must have been
// made after everything that was proven before, and after the book came to be in charge.
TEST(Evidence, NothingIsProvenByWhatWasMadeBefore) {
    struct Message {
        wire::Report report;
        std::size_t made = 0;
    };
    std::size_t fresh = 0, anew = 0, copies = 0, hints = 0;
    EXPECT_TRUE(rc::check([&] {
        const auto events = *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 1'000));
        Contact contact;
        std::vector<Message> sent;  // all that were ever made
        std::size_t moment = 0, proven = 0, life = 1;
        std::uint64_t session = 1, seq = 0, seen = 0, given = 1'000;
        Millis now = 1'000;
        contact.begin(given, now);
        std::size_t charged = 0;  // the moment since which the book is in charge
        auto make = [&] {
            Message m;
            m.report.session = session;
            m.report.seq = ++seq;
            m.report.token = seen;
            m.made = ++moment;
            return m;
        };
        auto judge = [&](const Message& m, Proof p) {
            test::test_trace().add(now, "proof", m.made, static_cast<int>(p));
            fresh += p == Proof::fresh;
            anew += p == Proof::anew;
            copies += p == Proof::copy;
            hints += p == Proof::hint;
            if (!workers::proves(p)) return;
            RC_ASSERT(m.made > proven && m.made > charged);
            if (p == Proof::anew) RC_ASSERT(life > 1);
            proven = m.made;
        };
        for (int e : events) {
            now += 500;
            if (e < 450) {  // a report that arrives, and its answer too or not
                sent.push_back(make());
                const Proof p = contact.reported(sent.back().report, false, now);
                judge(sent.back(), p);
                if (p != Proof::copy && e % 3 != 0) seen = std::max(seen, given);
            } else if (e < 600) {  // one that is lost, for now
                sent.push_back(make());
            } else if (e < 800) {  // a copy of anything that was ever said
                if (sent.empty()) continue;
                const Message& m = sent[static_cast<std::size_t>(e * 7919) % sent.size()];
                judge(m, contact.reported(m.report, false, now));
            } else if (e < 920) {  // a request of the book's and its answer
                const Mark asked = contact.asked();
                if (e % 4 == 0) {  // a report of meanwhile is heard first
                    sent.push_back(make());
                    judge(sent.back(), contact.reported(sent.back().report, false, now));
                }
                seen = std::max(seen, given);
                sent.push_back(make());
                const Message answer = sent.back();
                Mark newest{session, seq};
                if (e % 5 == 0) {  // overtaken by a report that was made later, and is heard first
                    sent.push_back(make());
                    const Proof later = contact.reported(sent.back().report, false, now);
                    judge(sent.back(), later);
                    if (workers::proves(later)) newest = {session, seq};
                }
                const Proof p = contact.answered(answer.report, asked, now, now);
                judge(answer, p);
                RC_ASSERT(contact.newest() == newest);
                if (p == Proof::anew) contact.raise(++given, now);
            } else if (e < 950) {  // its lease has ended
                ++session;
            } else if (e < 985) {  // it is back at once
                ++life;
                session = 1;
                seq = seen = 0;
            } else if (e < 992) {  // another book is in charge
                given += 1'000;
                contact.begin(given, now);
                charged = moment;
                proven = 0;
            } else {
                contact.raise(++given, now);
            }
        }
        // One answer, and everything is known again.
        const Mark asked = contact.asked();
        seen = given;
        sent.push_back(make());
        RC_ASSERT(workers::proves(contact.answered(sent.back().report, asked, now, now)));
    }));
    EXPECT_GT(fresh, 2'000u);
    EXPECT_GT(anew, 100u);
    EXPECT_GT(copies, 1'000u);
    EXPECT_GT(hints, 100u);
}

// What arrives shows that the machine is there, not that it can be reached.
TEST(Evidence, AMachineThatHearsNothingIsDeafUntilSomethingReachesIt) {
    Contact c;
    c.begin(10, 1'000);
    EXPECT_EQ(c.answered(report(1, 1, 10), {}, 1'000, 1'001), Proof::fresh);
    for (Millis t : {4'000, 7'000, 10'000, 13'000}) {
        EXPECT_EQ(c.reported(report(1, static_cast<std::uint64_t>(t), 10), false, t), Proof::fresh);
        c.answer(20'000, t);
    }
    EXPECT_EQ(c.hearing(5'000, 5'000), Hearing::sound);
    EXPECT_EQ(c.hearing(5'000, 13'000), Hearing::deaf);
    // Answers that do not arrive must not make its lease seem longer for ever.
    EXPECT_TRUE(c.worth_an_answer(20'000, 14'000));
    EXPECT_FALSE(c.worth_an_answer(20'000, 14'001));
    EXPECT_EQ(c.reported(report(1, 13'001, 10), true, 14'000), Proof::fresh);
    EXPECT_EQ(c.hearing(5'000, 14'000), Hearing::sound);
    EXPECT_TRUE(c.worth_an_answer(20'000, 14'000));
}

TEST(Evidence, ALeaseThatEndsThoughItWasAnsweredShowsThatAnswersAreLost) {
    Contact c;
    c.begin(10, 1'000);
    EXPECT_EQ(c.answered(report(1, 1, 10), {}, 1'000, 1'001), Proof::fresh);
    c.answer(20'000, 15'000);
    EXPECT_EQ(c.answered(report(2, 9, 10), c.asked(), 22'000, 22'001), Proof::fresh);
    EXPECT_EQ(c.hearing(5'000, 22'001), Hearing::deaf);  // commands do arrive
    EXPECT_FALSE(c.worth_an_answer(20'000, 22'001));
    // One that stood still for so long has lost it by itself.
    Contact d;
    d.begin(10, 1'000);
    EXPECT_EQ(d.answered(report(1, 1, 10), {}, 1'000, 1'001), Proof::fresh);
    d.answer(20'000, 15'000);
    EXPECT_EQ(d.answered(report(2, 9, 10), d.asked(), 36'000, 36'001), Proof::fresh);
    EXPECT_EQ(d.hearing(5'000, 36'001), Hearing::sound);
}

// A service of four, an array and a gang over some machines, all of it running.
std::unique_ptr<World> town(std::uint64_t seed, Trouble trouble = {}, std::uint32_t share = 0) {
    auto world = std::make_unique<World>(seed, trouble, share);
    world->submit(job("job-1", "standing", 4, 4));
    world->submit(job("job-2", "ensemble", 2, 2));
    wire::Json array = job("job-3", "sweep", 30, 1);
    array["crew"] = "blue";
    world->submit(array);
    world->run_until(60'000);
    return world;
}

// Without the guard: its reports kept it alive for ever, and what was on it was never started
// again.
TEST(Evidence, WhatIsOnADeafMachineIsStartedElsewhere) {
    for (std::uint64_t seed : {11, 12, 13}) {
        SCOPED_TRACE(seed);
        auto world = town(seed);
        const std::string deaf = world->working_machines().front();
        const std::size_t before = world->running("a") + world->running("b");
        world->deafen(deaf, kNever);
        world->run_until(world->now() + 12'000);
        EXPECT_TRUE(world->removed(deaf));
        world->run_until(world->now() + 40'000);
        EXPECT_GE(world->running("a") + world->running("b"), std::min<std::size_t>(before, 4));
    }
}

// While the cloud is down and cannot give it back: what is on it is started elsewhere when its
// lease has ended, which its own reports tell.
TEST(Evidence, ADeafMachinesLeaseEndsThoughTheCloudIsDown) {
    for (std::uint64_t seed : {61, 62, 63}) {
        SCOPED_TRACE(seed);
        World world(seed, {});
        wire::Json array = job("job-0", "sweep", 1'500, 1);
        array["crew"] = "blue";  // may be stopped for a replica
        world.submit(array);
        world.submit(job("job-1", "standing", 1, 4));
        world.run_until(60'000);
        const auto& attempts = world.leader()->open_jobs().at("job-1")->attempts;
        ASSERT_EQ(attempts.size(), 1u);
        const Index was = attempts.front()->machine;
        Trouble down;
        down.cloud_down = true;
        world.begin(down);
        world.deafen(world.leader()->roster().at(was)->name, kNever);
        // Half a lease of doubt, a lease, and a place elsewhere.
        world.run_until(world.now() + 50'000);
        EXPECT_TRUE(std::any_of(attempts.begin(), attempts.end(), [&](const auto& a) {
            return a->machine != was && a->state == jobs::AttemptState::running;
        }));
    }
}

// Answers reach it, and keep its lease; commands do not. Without a name of its own it looked sound:
// what was placed on it waited for a start that never came, over and over.
TEST(Evidence, AMachineThatHearsNoCommandsKeepsWhatItHasAndGetsNothingNew) {
    Contact c;
    c.begin(10, 1'000);
    EXPECT_EQ(c.answered(report(1, 1, 10), {}, 1'000, 1'001), Proof::fresh);
    c.unanswered(2'000);
    EXPECT_EQ(c.reported(report(1, 2, 10), true, 6'900), Proof::fresh);
    EXPECT_EQ(c.hearing(5'000, 7'000), Hearing::sound);
    EXPECT_EQ(c.hearing(5'000, 7'001), Hearing::partly);
    EXPECT_EQ(c.answered(report(1, 3, 10), c.asked(), 7'100, 7'101), Proof::fresh);
    EXPECT_EQ(c.hearing(5'000, 7'102), Hearing::sound);
    for (std::uint64_t seed : {14, 15, 16}) {
        SCOPED_TRACE(seed);
        auto world = town(seed);
        const std::string name = world->working_machines().front();
        const std::size_t killed = world->killed_by_lease();
        world->mute(name, kNever);
        // The others hear none for a moment, which says nothing yet.
        for (const std::string& other : world->working_machines())
            if (other != name) world->mute(other, world->now() + 4'000);
        for (int n = 10; n < 16; ++n) {
            wire::Json more = job("job-" + std::to_string(n), "sweep", 4, 1);
            more["crew"] = "blue";
            world->submit(more);
        }
        world->take_over();  // a new leader finds it so, too
        world->run_until(world->now() + 60'000);
        std::size_t named = 0;
        for (const auto* m : world->leader()->roster().all())
            named += m->hearing == Hearing::partly ? 1 : 0;
        EXPECT_EQ(named, world->removed(name) ? 0u : 1u);
        EXPECT_EQ(world->killed_by_lease(), killed);
        for (int n = 10; n < 16; ++n)
            EXPECT_EQ(world->final_state("job-" + std::to_string(n)), "done") << n;
        // Orders in answers still work, and what is empty goes back.
        world->cancel("job-1");
        world->cancel("job-2");
        world->cancel("job-3");
        world->run_until(world->now() + 60'000);
        EXPECT_FALSE(world->final_state("job-1").empty());
        EXPECT_TRUE(world->removed(name));
    }
}

// Two machines and no third: the one that hears no commands is empty first, and what was placed on
// it began nowhere, also when the other came free.
TEST(Evidence, NothingIsPlacedWhereNoCommandArrives) {
    for (std::uint64_t seed : {81, 82, 83}) {
        SCOPED_TRACE(seed);
        World world(seed, {}, 0, {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a"}}});
        admin::Options o;
        o.keep_margin = o.hire_margin = o.spot_margin = o.replica_margin = 0;
        world.set_options(o);
        world.submit(job("job-1", "standing", 1, 4));
        world.submit(job("job-2", "standing", 1, 4));
        world.run_until(40'000);
        ASSERT_EQ(world.running("a"), 2u);
        Trouble full;
        full.full_zone = "a";
        world.begin(full);
        const auto& attempts = world.leader()->open_jobs().at("job-1")->attempts;
        const Index at = attempts.front()->machine;
        world.mute(world.leader()->roster().at(at)->name, kNever);
        world.cancel("job-1");  // its stop goes with an answer
        world.run_until(world.now() + 12'000);
        ASSERT_FALSE(world.final_state("job-1").empty());
        world.submit(job("job-3", "sweep", 1, 4));
        world.run_until(world.now() + 6'000);
        world.cancel("job-2");
        world.run_until(world.now() + 25'000);
        EXPECT_EQ(world.final_state("job-3"), "done") << world.what_runs() << world.book_says();
    }
}

// Given up by rations, as any trouble that a zone's machines share; when it is over, those that are
// left are sound again.
TEST(Evidence, ADeafZoneIsNotGivenUpAtOnce) {
    World world(21, {});
    for (int n = 0; n < 12; ++n) {
        wire::Json j = job("job-" + std::to_string(n), "standing", 2, 0);
        j["cores"] = 8.0;
        j["scatter"] = true;
        world.submit(j);
    }
    world.run_until(100'000);
    std::size_t there = 0;
    for (const std::string& name : world.working_machines()) {
        if (world.zone_of(name) != "b") continue;
        world.deafen(name, 112'000);
        ++there;
    }
    ASSERT_GE(there, 5u);
    const std::size_t running = world.running("b");
    world.run_until(111'000);
    EXPECT_LE(world.returned("b"), 1u);
    std::size_t deaf = 0;
    for (const auto* m : world.leader()->roster().all()) deaf += m->hearing != Hearing::sound;
    EXPECT_GE(deaf, there - 1);
    world.run_until(150'000);
    for (const auto* m : world.leader()->roster().all()) EXPECT_EQ(m->hearing, Hearing::sound);
    EXPECT_EQ(world.running("b"), running);
    EXPECT_EQ(world.killed_by_lease(), 0u);
}

// A worker that is back before anybody missed it: what was on it is started again at once, though
// its numbers are smaller than those that are known.
TEST(Evidence, AWorkerThatIsBackAtOnceIsHeard) {
    for (std::uint64_t seed : {31, 32, 33}) {
        SCOPED_TRACE(seed);
        auto world = town(seed);
        const std::size_t starts = world->starts(), returned = world->returned();
        const std::string name = world->working_machines().front();
        const std::size_t tasks = world->tasks_on(name);
        world->restart_machine(name);
        world->copy(name, false, 700);  // of its former life
        world->run_until(world->now() + 8'000);
        EXPECT_GE(world->starts(), starts + tasks);
        EXPECT_EQ(world->returned(), returned);  // and it was not given up for it
        world->cancel("job-1");
        world->run_until(world->now() + 200'000);
        EXPECT_EQ(world->final_state("job-2"), "done");
        EXPECT_EQ(world->final_state("job-3"), "done");
    }
}

// Neither a grave nor a new leader takes a copy for a machine.
TEST(Evidence, CopiesWakeNobody) {
    auto world = town(41);
    const std::string gone = world->working_machines().front();
    world->kill_machine(gone);
    world->run_until(world->now() + 60'000);
    ASSERT_EQ(world->leader()->roster().find(gone), nullptr);
    world->copy(gone, false, 1'000);
    world->run_until(world->now() + 2'000);
    EXPECT_EQ(world->leader()->roster().find(gone), nullptr);
    world->take_over();
    world->run_until(world->now() + 20'000);
    const std::size_t rented = world->rented();
    for (int i = 0; i < 20; ++i) world->copy(gone, i % 2 == 0, 1'000 + 500 * i);
    world->run_until(world->now() + 30'000);
    EXPECT_EQ(world->copies(), 21u);
    const workers::Machine* m = world->leader()->roster().find(gone);
    EXPECT_TRUE(m == nullptr || (m->strange && m->up_at == 0));
    EXPECT_EQ(world->rented(), rented);
}

// A machine known from a copy alone is none that work could wait for: others are hired at once.
TEST(Evidence, NobodyCountsOnAStranger) {
    auto world = town(45);
    std::vector<std::string> gone;
    for (const std::string& name : world->working_machines()) gone.push_back(name);
    for (const std::string& name : gone) world->kill_machine(name);
    world->run_until(world->now() + 60'000);
    for (const std::string& name : gone) ASSERT_TRUE(world->removed(name));
    world->take_over();
    world->run_until(world->now() + 3'000);
    for (const std::string& name : gone) world->copy(name, false, 10);
    world->run_until(world->now() + 20);
    const std::size_t rented = world->rented();
    wire::Json gang = job("job-9", "ensemble", 4, 4);
    gang["crew"] = "blue";
    world->cancel("job-3");  // of the same team: its limit is the gang's
    world->submit(gang);
    world->run_until(world->now() + 1'500);
    EXPECT_GE(world->rented(), rented + 4);
}

// What is on a machine that dies is not kept alive by what it said before.
TEST(Evidence, CopiesKeepNobodyAlive) {
    auto world = town(51);
    const std::string dead = world->working_machines().front();
    for (int i = 1; i < 60; ++i) world->copy(dead, i % 2 == 0, 700 * i);
    world->kill_machine(dead);
    world->run_until(world->now() + 30'000);
    EXPECT_TRUE(world->removed(dead));
    EXPECT_GT(world->copies(), 20u);
    EXPECT_EQ(world->answered_copies(), 0u);  // or its lease would seem to last
}

// All of it at once, with leaders that are replaced, lost messages, holders that end.
void busy_day(std::uint64_t seed, Trouble trouble, std::uint32_t share) {
    SCOPED_TRACE("seed " + std::to_string(seed));
    World world(seed, trouble, share);
    std::mt19937_64 random(seed);
    std::vector<std::string> ids;
    for (int n = 0; n < 12; ++n) {
        const char* shapes[] = {"sweep", "ensemble", "standing"};
        ids.push_back("job-" + std::to_string(n));
        wire::Json spec = job(ids.back(), shapes[random() % 3], 1 + random() % 6, 1 + random() % 2);
        if (n % 3 == 0) spec["crew"] = "blue";
        world.submit(spec);
        world.run_until(world.now() + static_cast<Millis>(random() % 9'000));
        for (const std::string& name : world.working_machines()) {
            if (random() % 25 == 0) world.deafen(name, world.now() + 5'000 + random() % 60'000);
            if (trouble.restarts > 0 && random() % 25 == 0) world.restart_machine(name);
        }
        if (random() % 4 == 0) world.take_over();
        if (random() % 5 == 0) world.cancel(ids[random() % ids.size()]);
        if (testing::Test::HasFailure()) return;
    }
    world.calm();
    for (const std::string& id : ids) world.cancel(id);
    world.run_until(world.now() + 150'000);
    for (const std::string& id : ids) EXPECT_FALSE(world.final_state(id).empty()) << id;
}

TEST(Evidence, DeafMachinesCopiesAndTakeOvers) {
    Trouble t;
    t.late_copy = 0.3;
    t.lost_checkin = 0.05;
    t.lost_direct = 0.05;
    t.held_direct = 0.02;
    t.linger = 0.5;
    t.machine_dies = 0.01;
    for (std::uint64_t seed = 600; seed < 616; ++seed) busy_day(seed, t, seed % 2 == 0 ? 1 : 0);
}

// No commands that are held for long: a worker that has forgotten every token obeys them.
TEST(Evidence, WorkersThatStartAgainCopiesAndTakeOvers) {
    Trouble t;
    t.late_copy = 0.3;
    t.lost_checkin = 0.05;
    t.refused_direct = 0.05;
    t.restarts = 1;
    t.linger = 0.5;
    for (std::uint64_t seed = 700; seed < 716; ++seed) busy_day(seed, t, seed % 2 == 0 ? 1 : 0);
}

}  // namespace
