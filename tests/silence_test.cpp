// Silence that many machines share: what is given up, who goes on answering, and what becomes of
// it. Properties are tried on random days whose failures shrink; seeds are fixed.
#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>

#include "deputy/deputy.h"
#include "domains/domains.h"
#include "tests/world.h"

namespace {

using namespace nickelramp;
using domains::Domain;
using domains::Domains;
using domains::Silent;
using domains::Sky;
using test::Cut;
using test::job;
using test::Trouble;
using test::World;

const int kSeeded = setenv("RC_PARAMS", "seed=11 max_success=300", 0);

// Whatever falls silent and comes back, and whoever asks for how many: outside clear weather no
// more is given up than the ration, and in the dark nothing whose lease lasts longer than a move
// takes.
TEST(Silence, GivingUpIsRationed) {
    ASSERT_EQ(kSeeded, 0);
    EXPECT_TRUE(rc::check([] {
        Domains d(5, 31);
        const int up = *rc::gen::inRange(8, 400);
        d.count(0, up, 0);
        int silent = 0, given = 0;
        Millis now = 1'000, cloudy_since = 0;
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
            rc::gen::pair(rc::gen::inRange(0, 100), rc::gen::inRange(0, 30)));
        for (auto [percent, asks] : steps) {
            const int wanted = up * percent / 100;
            d.count(0, 0, wanted - silent);
            silent = wanted;
            now += 500;
            d.look(now);
            const Sky sky = d.sky(0);
            test::test_trace().add(now, "sky", static_cast<int>(sky));
            RC_ASSERT((sky == Sky::dark) ==
                      (silent * 2 > up || (silent >= 4 && silent >= 0.3 * up)));
            if (sky == Sky::clear) {
                cloudy_since = given = 0;
                RC_ASSERT(d.give_up(0, {}, 0, now));
                continue;
            }
            if (cloudy_since == 0) cloudy_since = now;
            for (int i = 0; i < asks; ++i) {
                Silent s;
                s.stuck = i % 7 == 0;
                s.firm = i % 2 == 0;
                s.lease_until = now + 20'000;
                const bool yes = d.give_up(0, s, 10'000, now);
                given += yes ? 1 : 0;
                test::test_trace().add(now, "give-up", yes);
                if (sky == Sky::dark) RC_ASSERT(!yes || s.stuck);
            }
            const double rate = std::max(1.0, 0.02 * up);
            RC_ASSERT(given <= rate * (2 + static_cast<double>(now - cloudy_since) / 1000.0) + 1);
        }
    }));
}

TEST(Silence, ReplicasAreMovedBeforeTheirLeaseEndsAndMachinesKeptForABoot) {
    Domain d(12'500);
    d.count(100, 0);
    d.count(0, 60);
    ASSERT_TRUE(d.look(1'000));
    ASSERT_EQ(d.sky(), Sky::dark);
    Silent replicas, arrays;
    replicas.replicas = true;
    replicas.lease_until = arrays.lease_until = 40'000;
    const Millis boot = 60'000;
    EXPECT_FALSE(d.give_up(replicas, boot, 20'000));
    EXPECT_TRUE(d.give_up(replicas, boot, 30'000));
    // Their leases free them by themselves; the machine may come back with its images.
    EXPECT_FALSE(d.give_up(arrays, boot, 99'000));
    EXPECT_TRUE(d.give_up(arrays, boot, 101'000));
}

TEST(Silence, ALeaderIsAloneOnlyWhenNoZoneAnswers) {
    Domains d(5, 31);
    d.count(0, 50, 0);
    d.count(1, 50, 50);
    EXPECT_FALSE(d.alone());
    d.count(0, 0, 30);
    EXPECT_TRUE(d.alone());
}

// The leader believes a lease to be over only when it is, whatever deputies did meanwhile: they are
// cut off, come back, end and begin anew; messages are lost; the worker takes any answer.
TEST(Silence, ALeaseIsOverOnlyWhenNobodyCanHaveRenewedIt) {
    std::size_t overs = 0, renewals = 0;
    EXPECT_TRUE(rc::check([&] {
        wire::Settings s = test::world_settings();
        s.peers = {{"holder-0", "a", "x"}, {"holder-1", "b", "x"}};
        deputy::Deputies leader(s);
        struct Peer {
            std::unique_ptr<deputy::Deputy> deputy;
            std::uint64_t incarnation = 0;
            Millis leader_at = 0;
            bool cut = false;
        };
        Peer peers[2];
        for (Peer& p : peers) p.deputy = std::make_unique<deputy::Deputy>(s);
        std::uint64_t incarnations = 0;
        for (Peer& p : peers) p.incarnation = ++incarnations;
        wire::Report report;
        report.session = 1;
        report.token = blocks::grant_token(7, 3);
        Millis lease_until = 0;  // as the leader's own answers let it last
        Millis really = 0;       // as the worker has it
        bool heard = true;       // the worker reaches the leader
        const auto days = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 60));
        Millis now = 10'000;
        std::size_t k = 0;
        for (int second = 0; second < 200; ++second, now += 1'000) {
            const int event = k < days.size() ? days[k] : 99;
            ++k;
            if (event < 2) peers[event].cut = !peers[event].cut;
            if (event == 2) heard = !heard;
            if (event == 3 || event == 4) {
                Peer& p = peers[event - 3];
                p.deputy = std::make_unique<deputy::Deputy>(s);
                p.incarnation = ++incarnations;
                p.leader_at = 0;
            }
            const bool lost = event >= 5 && event < 10;  // the leader's leaves, on the way
            for (int i = 0; i < 2; ++i) {
                if (peers[i].cut) continue;
                peers::Status status;
                status.from = s.peers[static_cast<std::size_t>(i)].name;
                status.incarnation = peers[i].incarnation;
                status.clock_ms = static_cast<std::uint64_t>(now + 5'000 * (i + 1));
                peers[i].deputy->tell(status, now + 5'000 * (i + 1));
                leader.heard(status, 7, now);
            }
            for (auto& [to, leave] :
                 leader.leaves(7, blocks::grant_token(7, 9), {}, now - 300, now)) {
                Peer& p = peers[to == "holder-0" ? 0 : 1];
                const Millis theirs = now + 5'000 * (to == "holder-0" ? 1 : 2);
                if (p.cut || lost) continue;
                p.leader_at = theirs;
                p.deputy->on_leave(leave, p.incarnation, theirs);
            }
            if (now >= really && lease_until != 0 && leader.over(lease_until, now)) {
                ++overs;
                break;  // its tasks may be elsewhere by now
            }
            RC_ASSERT(lease_until == 0 || !leader.over(lease_until, now));
            if (lease_until != 0 && now >= really) continue;  // the next session
            if (heard && event % 3 != 0) {
                lease_until = now + longer(seconds(s.lease_s)) + 500;
                really = now + seconds(s.lease_s);
                continue;
            }
            for (int i = 0; i < 2; ++i) {
                const Millis theirs = now + 5'000 * (i + 1);
                peers[i].deputy->look(peers[i].leader_at, peers[i].leader_at, theirs);
                ++report.seq;
                if (!peers[i].deputy->answer(report, true, theirs)) continue;
                really = now + seconds(s.lease_s);
                ++renewals;
            }
        }
    }));
    EXPECT_GT(overs, 20u);
    EXPECT_GT(renewals, 100u);
}

TEST(Silence, ADeputyAnswersOnlyWhatItsLeaveCovers) {
    wire::Settings s = test::world_settings();
    deputy::Deputy d(s);
    peers::Leave l;
    l.from = "leader";
    l.term = 7;
    l.incarnation = 3;
    l.asked_ms = 10'000;
    l.clock_ms = 1;
    l.view_age_ms = 500;
    l.answer_ms = 30'000;
    l.highest = blocks::grant_token(7, 5);
    l.lent = {blocks::grant_token(7, 4)};
    wire::Report r;
    r.session = 1;
    r.token = blocks::grant_token(7, 2) + 9;
    auto answers = [&](Millis now) {
        d.look(10'000, 10'000, now);
        ++r.seq;
        return d.answer(r, true, now);
    };
    EXPECT_FALSE(answers(20'000));  // no leave
    d.on_leave(l, 4, 10'100);       // of another process
    EXPECT_FALSE(answers(20'000));
    d.on_leave(l, 3, 10'100);
    EXPECT_FALSE(answers(12'000));  // the leader may well be there
    EXPECT_EQ(answers(20'000), r.token);
    EXPECT_TRUE(answers(39'000));
    EXPECT_FALSE(answers(39'500));  // its knowledge is too old
    for (std::uint64_t token : {blocks::grant_token(6, 2), blocks::grant_token(8, 2),
                                blocks::grant_token(7, 4) + 1, blocks::grant_token(7, 6)}) {
        r.token = token;
        EXPECT_FALSE(answers(20'000)) << token;
    }
}

// A calm day of replicas, five machines and more in each of two zones.
std::unique_ptr<World> settled(std::uint64_t seed, std::uint32_t share) {
    auto world = std::make_unique<World>(seed, Trouble{}, share);
    for (int n = 0; n < 12; ++n) {
        auto j = job("job-" + std::to_string(n), "standing", 2, 0);
        j["cores"] = 8.0;
        j["scatter"] = true;
        world->submit(j);
    }
    world->run_until(100'000);
    return world;
}

// The service once returned every machine of a zone within ten seconds of its being cut off.
TEST(Silence, AZoneThatIsCutOffForLessThanALeaseLosesNothing) {
    auto world = settled(401, 0);
    const std::size_t before = world->running("b"), starts = world->starts();
    ASSERT_GE(before, 10u);
    world->cut({.zone = "b", .held = true, .from = 100'000, .until = 115'000});
    world->run_until(150'000);
    EXPECT_EQ(world->running("b"), before);
    EXPECT_EQ(world->killed_by_lease(), 0u);
    EXPECT_EQ(world->starts(), starts);
}

TEST(Silence, ADeputyInsideKeepsAZoneGoingForLongerThanALease) {
    auto world = settled(402, 1);
    const std::size_t before = world->running("b"), starts = world->starts();
    ASSERT_GE(before, 10u);
    world->cut({.zone = "b", .deputy = true, .from = 100'000, .until = 135'000});
    world->run_until(110'000);
    world->take_over();  // and the successor minds what it cannot know
    world->run_until(170'000);
    EXPECT_EQ(world->running("b"), before);
    EXPECT_EQ(world->killed_by_lease(), 0u);
    EXPECT_EQ(world->starts(), starts);
    EXPECT_GT(world->answered_by_deputies(), 10u);
}

// Nobody is inside, and the zone comes back half a boot after its leases ended. Its machines are
// still there, with their images: every second one was once returned at the leases' end, for arrays
// that the lease frees anyway, or for one replica of several that had a place elsewhere.
TEST(Silence, AZoneThatComesBackSoonAfterItsLeasesFindsItsMachines) {
    for (std::uint64_t seed = 430; seed < 434 && !HasFailure(); ++seed) {
        SCOPED_TRACE(seed);
        auto world = settled(seed, 0);
        for (int n = 0; n < 6; ++n) {
            // Three replicas: of two in one zone, one may go to the other.
            auto j = job("job-" + std::to_string(50 + n), "standing", 3, 0);
            j["cores"] = 2.0;
            j["scatter"] = true;
            world->submit(j);
            world->submit(job("job-" + std::to_string(60 + n), "sweep", 8, 1));
        }
        world->run_until(112'000);
        const std::size_t before = world->running("a") + world->running("b");
        ASSERT_GE(before, 30u);
        const std::size_t returned = world->returned("b");
        world->cut({.zone = "b", .held = true, .from = 112'000, .until = 137'000});
        world->run_until(136'000);
        EXPECT_EQ(world->returned("b"), returned) << "of the zone that will be back";
        world->run_until(165'000);
        EXPECT_GE(world->running("b"), 12u);
    }
}

// Parts of a zone that are cut off or hang, for less and more than a lease, with and without a
// deputy inside, in pairs, with a take-over in the middle: no rule breaks, and all ends.
TEST(Silence, CutsOfEveryKindInPairs) {
    std::uint64_t seed = 500;
    for (double part : {0.1, 0.4, 1.0}) {
        for (Millis length : {8'000, 30'000, 55'000}) {
            for (int kind = 0; kind < 4; ++kind) {
                if (HasFailure()) return;
                SCOPED_TRACE(testing::Message()
                             << "part " << part << " for " << length << " kind " << kind);
                World world(++seed, {}, 1);
                std::vector<std::string> ids, replicas;
                std::mt19937_64 random(seed);
                auto enter = [&](int n) {
                    const char* shapes[] = {"standing", "sweep", "ensemble"};
                    auto j = job("job-" + std::to_string(n), shapes[n % 3], 1 + random() % 4,
                                 1 + static_cast<double>(random() % 2));
                    if (n % 3 == 0) j["scatter"] = true;
                    if (n % 3 == 2) j["one_zone"] = true;
                    if (n % 4 == 1) j["standby"] = true;
                    ids.push_back(j["id"]);
                    if (n % 3 == 0) replicas.push_back(ids.back());
                    world.submit(j);
                };
                for (int n = 0; n < 9; ++n) enter(n);
                world.run_until(40'000);
                Cut first{"b", part, kind == 1, kind == 2, kind == 3, 40'000, 40'000 + length};
                Cut second{kind % 2 == 0 ? "a" : "b", 0.4, kind != 1, false, false, 50'000, 65'000};
                world.cut(first);
                world.cut(second);
                for (int n = 9; n < 15; ++n) {
                    world.run_until(world.now() + 3'000);
                    enter(n);
                    if (n == 11) world.cancel(replicas.front());
                    if (n == 12 && seed % 2 == 0) world.take_over();
                }
                world.run_until(130'000);
                for (const auto& id : replicas) world.cancel(id);
                auto open = [&] {
                    std::string out;
                    for (const auto& id : ids) out += world.final_state(id).empty() ? id + " " : "";
                    return out;
                };
                while (!open().empty() && world.now() < 1'200'000 && !HasFailure()) {
                    world.run_until(world.now() + 5'000);
                }
                EXPECT_EQ(open(), "") << world.what_runs();
            }
        }
    }
}

// Spot machines that were taken without notice are gone from the cloud's list: that is known long
// before a lease is over, however many are silent.
TEST(Silence, WhatTheCloudNoLongerListsIsGone) {
    auto world = settled(403, 0);
    const std::size_t before = world->running("b"), starts = world->starts();
    world->take_away("b");
    world->run_until(118'000);  // the last leases would end at 120 s
    for (const auto* m : world->leader()->roster().all())
        EXPECT_EQ(m->hearing, workers::Hearing::sound) << m->name;
    world->run_until(150'000);
    EXPECT_EQ(world->starts(), starts + before);
}

}  // namespace
