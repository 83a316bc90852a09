// Tests of transactions that are applied but whose replies are lost, and of events that coincide
// with the end of a job (docs/design/combined-faults.md). Each test counts how often its situation
// occurs and fails if it occurs too rarely.
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

// Returns the jobs that the leader still counts as open although their final status is recorded.
std::vector<std::string> stale_open_jobs(ClusterSimulation& simulation) {
    std::vector<std::string> out;
    if (simulation.leader() == nullptr) return out;
    for (const auto& [id, j] : simulation.leader()->open_jobs())
        if (j->state == jobs::JobState::open && !simulation.final_state(id).empty())
            out.push_back(id);
    return out;
}

// Cancels the services and expects that all jobs end within the given time, and that afterwards
// neither open records nor the leader's cluster state contain any job.
void expect_all_jobs_end(ClusterSimulation& simulation, const std::vector<std::string>& services,
                         Millis within) {
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

// A job with more checkpoint records than one transaction deletes.
wire::Json job_with_many_records(const std::string& id) {
    wire::Json spec = job(id, "sweep", 260, 0);
    spec["cores"] = 0.02;
    spec["mem_gb"] = 0.01;
    return spec;
}

// For one kind of transaction after the other, transactions are applied but their replies are lost,
// so that the writer treats the outcome as unknown. In the meantime users cancel jobs, and the
// leader crashes, freezes or is rejected by the state service. The next leader then reads writes
// whose outcome the previous leader did not know.
TEST(JobCompletion, SurvivesTransactionsWhoseRepliesAreLost) {
    struct Kind {
        std::string name;
        std::uint64_t seeds;
    };
    const Kind kinds[] = {
        {"checkpoint", 40}, {"end", 40}, {"left over", 20}, {"block", 40}, {"intent", 40}};
    for (const auto& [kind, seeds] : kinds) {
        std::size_t lost_replies = 0, leader_failures = 0, cancel_requested = 0;
        for (std::uint64_t seed = 1; seed <= seeds && !HasFailure(); ++seed) {
            SCOPED_TRACE(kind + ", seed " + std::to_string(seed));
            std::mt19937_64 random(seed);
            auto random_below = [&](Millis bound) { return static_cast<Millis>(random() % bound); };
            Faults faults;
            faults.lost_commit_replies = 0.5;
            faults.lost_commit_replies_of = kind;
            // Deletions of open records are also seen late.
            if (kind == "end" && seed % 2 == 0) faults.deletion_notice_delay = 6'000;
            ClusterSimulation simulation(seed, faults, kind == "block" || seed % 3 == 0 ? 1 : 0);
            simulation.simulate_leader_leases();
            std::vector<std::string> ids, services;
            int interruptions = 0;
            simulation.on_commit_reply_lost = [&](const std::string&) {
                if (interruptions == 4 || random() % 2 == 0) return;
                ++interruptions;
                simulation.after(random_below(2'500), [&] {
                    if (random() % 2 == 0) {
                        simulation.request_cancel_until_answered(ids[random() % ids.size()]);
                        ++cancel_requested;
                    }
                    if (seed % 4 == 0) return;
                    ++leader_failures;
                    if (seed % 4 == 1) simulation.crash_leader();
                    if (seed % 4 == 2) simulation.freeze_leader(1'000 + random_below(12'000));
                    if (seed % 4 == 3)
                        simulation.reject_leader_at_state_service(1'000 + random_below(20'000));
                });
            };
            for (int n = 0; n < 12; ++n) {
                ids.push_back("job-" + std::to_string(n));
                wire::Json spec = job(ids.back(), kShapes[n % 3], 1 + random() % 4, 1);
                if (n % 3 == 2) services.push_back(ids.back());
                if (n % 2 == 0) spec["crew"] = "blue";
                if (kind == "left over" && n % 6 == 0) spec = job_with_many_records(ids.back());
                simulation.submit(spec);
                simulation.run_until(simulation.now() + random_below(5'000));
            }
            simulation.run_until(simulation.now() + 20'000);
            simulation.clear_faults();
            expect_all_jobs_end(simulation, services, 250'000);
            lost_replies += simulation.coverage().lost_commit_replies.count(kind) != 0
                                ? simulation.coverage().lost_commit_replies.at(kind)
                                : 0;
        }
        EXPECT_GT(lost_replies, seeds / 2) << kind;
        EXPECT_GT(leader_failures, seeds / 4) << kind;
        EXPECT_GT(cancel_requested, seeds / 6) << kind;
    }
}

// A job is cancelled after its first checkpoint was applied, while the outcome of that write is
// unknown to the leader. No attempt was sent to a machine, so the job is removed when its end is
// recorded, which the watch may report before the reply arrives. Checkpoint records that do not fit
// into the final transaction must still be deleted.
TEST(JobCompletion, RecordsOfAttemptsThatNeverStartedAreCleanedUp) {
    std::size_t occurrences = 0;
    for (std::uint64_t seed = 1; seed <= 60 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Faults faults;
        faults.lost_commit_replies = 1;
        faults.lost_commit_replies_of = "checkpoint";
        ClusterSimulation simulation(seed, faults);
        simulation.submit(job_with_many_records("job-1"));
        while (simulation.count_records("run/") == 0 && simulation.now() < 60'000)
            simulation.run_until(simulation.now() + 50);
        occurrences += simulation.count_records("run/") > 4 ? 1 : 0;
        simulation.request_cancel_until_answered("job-1");
        simulation.run_until(simulation.now() + 8'000);
        EXPECT_EQ(simulation.final_state("job-1"), "withdrawn");
        EXPECT_EQ(simulation.started_tasks(), 0u);
        EXPECT_EQ(simulation.count_records("run/") + simulation.count_records("open/"), 0u);
    }
    EXPECT_GT(occurrences, 50u);
}

// An open record is read before the job's end but processed after it. It comes from a list, or is
// read when a shard is reclaimed while its holder finishes the job. The leader takes the job for a
// waiting one, and reserves capacity and team quota for it until it learns that the open record is
// deleted.
TEST(JobCompletion, ARecordReadBeforeTheEndDoesNotReviveTheJob) {
    std::size_t occurrences = 0;
    for (std::uint64_t seed = 1; seed <= 40 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        auto random_below = [&](Millis bound) { return static_cast<Millis>(random() % bound); };
        const bool reload_records = seed % 2 == 0;
        Faults faults;
        faults.deletion_notice_delay = reload_records ? 5'000 : 12'000;
        ClusterSimulation simulation(seed, faults, 2);
        std::vector<std::string> ids;
        while (simulation.now() < 90'000 && !HasFailure()) {
            ids.push_back("job-" + std::to_string(ids.size()));
            const char* shape = kShapes[random() % 2];
            const auto tasks = 1 + random() % 3;
            simulation.submit(job(ids.back(), shape, tasks, 1));
            if (reload_records && random() % 3 == 0)
                simulation.reload_open_records(500 + random_below(6'000));
            if (!reload_records && random() % 6 == 0) simulation.restart_holders();
            for (int n = 0; n < 20; ++n) {
                simulation.run_until(simulation.now() + 200);
                occurrences += stale_open_jobs(simulation).empty() ? 0 : 1;
            }
        }
        simulation.clear_faults();
        expect_all_jobs_end(simulation, {}, 200'000);
    }
    EXPECT_GT(occurrences, 40u);
}

// Input and results of one simulation of a single job.
struct JobRun {
    wire::Json spec;
    std::uint64_t seed;
    Millis cancel_requested = kNever;  // when its cancellation is requested
    // Replies to final transactions are lost, and the leader fails while their outcome is unknown.
    bool lost_replies = false;
    Millis tasks_completed_at = 0, final_status_at = 0;
    std::string final_status = {};
    std::size_t lost_final_replies = 0;
};

void simulate_job(JobRun& job_run) {
    const std::string id = wire::text_field(job_run.spec, "id").value();
    ClusterSimulation simulation(job_run.seed, {});
    if (job_run.lost_replies) simulation.simulate_leader_leases();
    simulation.submit(job_run.spec);
    const Millis from = std::min<Millis>(job_run.cancel_requested, 60'000);
    simulation.run_until(from - 1'000);
    if (job_run.lost_replies) {
        Faults faults;
        faults.lost_commit_replies = 0.7;
        faults.lost_commit_replies_of = "end";
        simulation.set_faults(faults);
        simulation.on_commit_reply_lost = [&](const std::string&) {
            ++job_run.lost_final_replies;
            simulation.after(
                static_cast<Millis>(job_run.seed * 37 + job_run.cancel_requested * 13) % 2'500,
                [&] {
                    if (job_run.cancel_requested % 3 == 0) simulation.crash_leader();
                    if (job_run.cancel_requested % 3 == 1) simulation.freeze_leader(6'000);
                });
        };
    }
    simulation.run_until(from);
    if (job_run.cancel_requested != kNever) simulation.request_cancel_until_answered(id);
    simulation.run_until(from + (job_run.lost_replies ? 40'000 : 5'000));
    job_run.tasks_completed_at = simulation.completed_at(id);
    job_run.final_status_at = simulation.final_at(id);
    job_run.final_status = simulation.final_state(id);
    if (job_run.cancel_requested == kNever) return;
    EXPECT_NE(job_run.final_status, "")
        << "neither done nor cancelled; " << simulation.describe_running()
        << simulation.describe_cluster_state();
    simulation.run_until(simulation.now() + 10'000);
    EXPECT_EQ(simulation.final_state(id), job_run.final_status);
    EXPECT_EQ(simulation.count_records("open/") + simulation.count_records("run/"), 0u);
}

// A cancellation coincides with the end of a job's last task: it is requested at intervals of a few
// milliseconds around the completion, its report and the transaction with the final status. The job
// gets one final status, and soon. The simulation checks that a job is done only if all its tasks
// are done, that no task of a cancelled job is left or starts later, and that no final status is
// written twice.
TEST(JobCompletion, CancellationAsTheLastTaskEnds) {
    std::size_t done = 0, withdrawn = 0, occurrences = 0, lost_replies = 0;
    for (std::uint64_t seed = 1; seed <= 9 && !HasFailure(); ++seed) {
        const std::string shape = kShapes[seed % 3];
        JobRun uncancelled{job("job-1", shape, 1 + (seed - 1) / 3, 1), seed};
        simulate_job(uncancelled);
        if (shape != "standing") {
            ASSERT_EQ(uncancelled.final_status, "done");
            // Workers report within 3.7 s here. The delay with which completions are recorded
            // together does not apply to the last one.
            EXPECT_LE(uncancelled.final_status_at - uncancelled.tasks_completed_at, 3'700 + 300);
        } else {
            uncancelled.final_status_at = 20'000;  // the service is running or about to start
            uncancelled.tasks_completed_at = 12'000 + static_cast<Millis>(seed) * 300;
        }
        std::vector<Millis> cancel_times;
        for (Millis offset = -40; offset <= 24; offset += 2)
            cancel_times.push_back(uncancelled.final_status_at + offset);
        for (Millis offset = -30; offset <= 30; offset += 10)
            cancel_times.push_back(uncancelled.tasks_completed_at + offset);
        for (const Millis cancel_requested : cancel_times) {
            for (const bool lossy : {false, true}) {
                if (HasFailure()) return;
                SCOPED_TRACE(testing::Message()
                             << shape << ", seed " << seed << ", cancellation requested at "
                             << cancel_requested << (lossy ? ", replies lost" : ""));
                JobRun job_run{uncancelled.spec, seed, cancel_requested, lossy};
                simulate_job(job_run);
                EXPECT_LE(job_run.final_status_at - cancel_requested, lossy ? 40'000 : 1'500);
                (job_run.final_status == "done" ? done : withdrawn) += 1;
                occurrences +=
                    job_run.final_status == "done" && cancel_requested <= job_run.final_status_at
                        ? 1
                        : 0;
                lost_replies += job_run.lost_final_replies;
            }
        }
    }
    EXPECT_GT(done, 200u);
    EXPECT_GT(withdrawn, 200u);
    EXPECT_GT(occurrences, 60u);
    EXPECT_GT(lost_replies, 200u);
}

// Replies are lost to transactions that claim the leader key or a role, move a role to another
// controller or release it, and to requests for leases. The writes are applied, so the controller
// finds its own claim recorded as if it were another's. It must neither lead twice nor wait
// forever, and only one controller at a time may act under a role. ElectionSimulation asserts that
// there is one leader, and one controller acting under each role.
TEST(JobCompletion, LeadersFindTheirOwnLeaderKeyAndRolesTaken) {
    std::size_t lost_leader_key_replies = 0, lost_role_replies = 0, lost_lease_replies = 0,
                lost_cleanup_replies = 0, leftover_records = 0;
    for (std::uint64_t seed = 1; seed <= 40 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        ElectionSimulation simulation(seed, 3 + seed % 3);
        simulation.run_until(8'000);
        simulation.lost_write_replies = 0.3 + 0.1 * static_cast<double>(seed % 4);
        while (simulation.now() < 90'000 && !HasFailure()) {
            std::size_t controller = std::min(simulation.leader(), simulation.size() - 1);
            switch (random() % 4) {
                case 0:
                    simulation.crash(controller, 200 + random() % 4'000);
                    break;
                case 1:
                    simulation.freeze(controller, 1'000 + random() % 8'000);
                    break;
                case 2: {
                    const auto duration = 4'000 + random() % 8'000;
                    const bool held = random() % 2 == 0;
                    simulation.partition(controller, ElectionSimulation::Link::cloud, duration,
                                         held);
                    break;
                }
                case 3:
                    simulation.crash(std::min(simulation.role_holder(Role::garbage_collection),
                                              simulation.size() - 1),
                                     1'000);
                    break;
            }
            // Leftover records, which the holder of the garbage collection role deletes.
            for (int i = 0; i < 9; ++i)
                simulation.set_key("run/job-" + std::to_string(100'000 + ++leftover_records) + "/0",
                                   {{"done", 0}});
            simulation.run_until(simulation.now() + 2'000 + random() % 10'000);
        }
        lost_leader_key_replies += simulation.lost_write_replies_of("lead/seat");
        lost_role_replies += simulation.lost_write_replies_of("duty/");
        lost_lease_replies += simulation.lost_write_replies_of("hold");
        lost_cleanup_replies += simulation.lost_write_replies_of("run/");
        simulation.lost_write_replies = 0;
        // Enough time for a lease and a role assignment to expire and for an election.
        simulation.run_until(simulation.now() + 20'000);
        EXPECT_LT(simulation.leader(), simulation.size());
        for (Role role : lease::kAllRoles)
            EXPECT_LT(simulation.role_holder(role), simulation.size()) << name(role);
    }
    EXPECT_GT(lost_leader_key_replies, 80u);
    EXPECT_GT(lost_role_replies, 200u);
    EXPECT_GT(lost_lease_replies, 1'000u);
    EXPECT_GT(lost_cleanup_replies, 100u);
}

}  // namespace
