// Transactions that are carried out at once and only whose answer is lost, and what meets the end
// of a job (docs/design/combined-faults.md). Each test counts that its meeting came about.
#include <gtest/gtest.h>

#include "tests/cluster_simulation.h"
#include "tests/election_simulation.h"

namespace {

using namespace nickelramp;
using lease::Role;
using test::ClusterSimulation;
using test::ElectionSimulation;
using test::Faults;
using test::job;

const char* const kShapes[] = {"sweep", "ensemble", "standing"};

// What the leader still counts as open although its end is on record.
std::vector<std::string> ghosts(ClusterSimulation& simulation) {
    std::vector<std::string> out;
    if (simulation.leader() == nullptr) return out;
    for (const auto& [id, j] : simulation.leader()->open_jobs())
        if (j->state == jobs::JobState::open && !simulation.final_state(id).empty())
            out.push_back(id);
    return out;
}

// Everything ends by itself but for the services, which are cancelled; it is told, and no record or
// book keeps anything of it.
void ends(ClusterSimulation& simulation, const std::vector<std::string>& services, Millis within) {
    auto open = [&] { return simulation.count_records("open/") > 0; };
    for (const std::string& id : services) simulation.request_cancel_until_answered(id);
    const Millis until = simulation.now() + within;
    while (simulation.now() < until && open() && !testing::Test::HasFailure())
        simulation.run_until(simulation.now() + 1'000);
    EXPECT_FALSE(open()) << simulation.describe_running() << simulation.describe_cluster_state();
    simulation.run_until(simulation.now() + 15'000);
    ASSERT_NE(simulation.leader(), nullptr);
    EXPECT_TRUE(simulation.leader()->open_jobs().empty()) << simulation.describe_cluster_state();
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
TEST(JobCompletion, SurvivesTransactionsWhoseRepliesAreLost) {
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
            Faults faults;
            faults.lost_commit_replies = 0.5;
            faults.lost_commit_replies_of = kind;
            // Nor is an end heard of at once.
            if (kind == "end" && seed % 2 == 0) faults.deletion_notice_delay = 6'000;
            ClusterSimulation simulation(seed, faults, kind == "block" || seed % 3 == 0 ? 1 : 0);
            simulation.simulate_leader_leases();
            std::vector<std::string> ids, services;
            int strikes = 0;
            simulation.on_commit_reply_lost = [&](const std::string&) {
                if (strikes == 4 || random() % 2 == 0) return;
                ++strikes;
                simulation.after(upto(2'500), [&] {
                    if (random() % 2 == 0) {
                        simulation.request_cancel_until_answered(ids[random() % ids.size()]);
                        ++asked;
                    }
                    if (seed % 4 == 0) return;
                    ++ended;
                    if (seed % 4 == 1) simulation.crash_leader();
                    if (seed % 4 == 2) simulation.freeze_leader(1'000 + upto(12'000));
                    if (seed % 4 == 3)
                        simulation.reject_leader_at_state_service(1'000 + upto(20'000));
                });
            };
            for (int n = 0; n < 12; ++n) {
                ids.push_back("job-" + std::to_string(n));
                wire::Json spec = job(ids.back(), kShapes[n % 3], 1 + random() % 4, 1);
                if (n % 3 == 2) services.push_back(ids.back());
                if (n % 2 == 0) spec["crew"] = "blue";
                if (kind == "left over" && n % 6 == 0) spec = wide(ids.back());
                simulation.submit(spec);
                simulation.run_until(simulation.now() + upto(5'000));
            }
            simulation.run_until(simulation.now() + 20'000);
            simulation.clear_faults();
            ends(simulation, services, 250'000);
            lost += simulation.coverage().lost_commit_replies.count(kind) != 0
                        ? simulation.coverage().lost_commit_replies.at(kind)
                        : 0;
        }
        EXPECT_GT(lost, seeds / 2) << kind;
        EXPECT_GT(ended, seeds / 4) << kind;
        EXPECT_GT(asked, seeds / 6) << kind;
    }
}

// A job is cancelled whose first checkpoint is on record and counts as unknown: nothing of it was
// sent, so it leaves the book with its end, which may be heard of before the answer comes. What one
// transaction leaves over is dropped all the same.
TEST(JobCompletion, RecordsOfAttemptsThatNeverStartedAreCleanedUp) {
    std::size_t met = 0;
    for (std::uint64_t seed = 1; seed <= 60 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Faults faults;
        faults.lost_commit_replies = 1;
        faults.lost_commit_replies_of = "checkpoint";
        ClusterSimulation simulation(seed, faults);
        simulation.submit(wide("job-1"));
        while (simulation.count_records("run/") == 0 && simulation.now() < 60'000)
            simulation.run_until(simulation.now() + 50);
        met += simulation.count_records("run/") > 4 ? 1 : 0;
        simulation.request_cancel_until_answered("job-1");
        simulation.run_until(simulation.now() + 8'000);
        EXPECT_EQ(simulation.final_state("job-1"), "withdrawn");
        EXPECT_EQ(simulation.started_tasks(), 0u);
        EXPECT_EQ(simulation.count_records("run/") + simulation.count_records("open/"), 0u);
    }
    EXPECT_GT(met, 50u);
}

// An open record is read before the job's end and heard of after it: from a list, or with a block
// that is taken back while its holder ends the job. The book takes the job for one that waits, and
// keeps places and its team's limit for it until it hears that the record is gone.
TEST(JobCompletion, ARecordReadBeforeTheEndDoesNotReviveTheJob) {
    std::size_t met = 0;
    for (std::uint64_t seed = 1; seed <= 40 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        auto upto = [&](Millis most) { return static_cast<Millis>(random() % most); };
        const bool lists = seed % 2 == 0;
        Faults faults;
        faults.deletion_notice_delay = lists ? 5'000 : 12'000;
        ClusterSimulation simulation(seed, faults, 2);
        std::vector<std::string> ids;
        while (simulation.now() < 90'000 && !HasFailure()) {
            ids.push_back("job-" + std::to_string(ids.size()));
            simulation.submit(job(ids.back(), kShapes[random() % 2], 1 + random() % 3, 1));
            if (lists && random() % 3 == 0) simulation.reload_open_records(500 + upto(6'000));
            if (!lists && random() % 6 == 0) simulation.restart_holders();
            for (int n = 0; n < 20; ++n) {
                simulation.run_until(simulation.now() + 200);
                met += ghosts(simulation).empty() ? 0 : 1;
            }
        }
        simulation.clear_faults();
        ends(simulation, {}, 200'000);
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
    const std::string id = wire::text_field(l.spec, "id").value();
    ClusterSimulation simulation(l.seed, {});
    if (l.lost) simulation.simulate_leader_leases();
    simulation.submit(l.spec);
    const Millis from = std::min<Millis>(l.asked, 60'000);
    simulation.run_until(from - 1'000);
    if (l.lost) {
        Faults faults;
        faults.lost_commit_replies = 0.7;
        faults.lost_commit_replies_of = "end";
        simulation.set_faults(faults);
        simulation.on_commit_reply_lost = [&](const std::string&) {
            ++l.lost_ends;
            simulation.after(static_cast<Millis>(l.seed * 37 + l.asked * 13) % 2'500, [&] {
                if (l.asked % 3 == 0) simulation.crash_leader();
                if (l.asked % 3 == 1) simulation.freeze_leader(6'000);
            });
        };
    }
    simulation.run_until(from);
    if (l.asked != kNever) simulation.request_cancel_until_answered(id);
    simulation.run_until(from + (l.lost ? 40'000 : 5'000));
    l.completed = simulation.completed_at(id);
    l.told = simulation.final_at(id);
    l.end = simulation.final_state(id);
    if (l.asked == kNever) return;
    EXPECT_NE(l.end, "") << "neither done nor cancelled; " << simulation.describe_running()
                         << simulation.describe_cluster_state();
    simulation.run_until(simulation.now() + 10'000);
    EXPECT_EQ(simulation.final_state(id), l.end);
    EXPECT_EQ(simulation.count_records("open/") + simulation.count_records("run/"), 0u);
}

// A cancellation meets the end of a job's last task: asked for within every few milliseconds of
// the completion, of its report and of the transaction that tells it. There is one end, told soon;
// the world asserts that done means all tasks done, that nothing is left of what is cancelled and
// nothing of it starts later, and that no end is written twice.
TEST(JobCompletion, CancellationAsTheLastTaskEnds) {
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
TEST(JobCompletion, LeadersFindTheirOwnLeaderKeyAndRolesTaken) {
    std::size_t seats = 0, duties_moved = 0, holds = 0, cleaned = 0, runs = 0;
    for (std::uint64_t seed = 1; seed <= 40 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        ElectionSimulation simulation(seed, 3 + seed % 3);
        simulation.run_until(8'000);
        simulation.lost_write_replies = 0.3 + 0.1 * static_cast<double>(seed % 4);
        while (simulation.now() < 90'000 && !HasFailure()) {
            std::size_t who = std::min(simulation.leader(), simulation.size() - 1);
            switch (random() % 4) {
                case 0:
                    simulation.crash(who, 200 + random() % 4'000);
                    break;
                case 1:
                    simulation.freeze(who, 1'000 + random() % 8'000);
                    break;
                case 2:
                    simulation.partition(who, ElectionSimulation::Link::cloud,
                                         4'000 + random() % 8'000, random() % 2 == 0);
                    break;
                case 3:
                    simulation.crash(std::min(simulation.role_holder(Role::garbage_collection),
                                              simulation.size() - 1),
                                     1'000);
                    break;
            }
            // Left over, and for whoever has the duty of cleaning.
            for (int i = 0; i < 9; ++i)
                simulation.set_key("run/job-" + std::to_string(100'000 + ++runs) + "/0",
                                   {{"done", 0}});
            simulation.run_until(simulation.now() + 2'000 + random() % 10'000);
        }
        seats += simulation.lost_write_replies_of("lead/seat");
        duties_moved += simulation.lost_write_replies_of("duty/");
        holds += simulation.lost_write_replies_of("hold");
        cleaned += simulation.lost_write_replies_of("run/");
        simulation.lost_write_replies = 0;
        // A hold's life, an election and a charge's end.
        simulation.run_until(simulation.now() + 20'000);
        EXPECT_LT(simulation.leader(), simulation.size());
        for (Role role : lease::kAllRoles)
            EXPECT_LT(simulation.role_holder(role), simulation.size()) << name(role);
    }
    EXPECT_GT(seats, 80u);
    EXPECT_GT(duties_moved, 200u);
    EXPECT_GT(holds, 1'000u);
    EXPECT_GT(cleaned, 100u);
}

}  // namespace
