// Tests of two faults at the same time (docs/design/combined-faults.md). Each test counts how often
// its situation occurred and fails if it was too rare. The simulation asserts the rules.
#include "tests/combined_faults.h"

#include <gtest/gtest.h>

namespace {

using namespace nickelramp;
using test::add;
using test::bounded_random;
using test::ClusterSimulation;
using test::expect_all_finish;
using test::Faults;
using test::job;
using test::run_faulty_day;
using test::run_mixed_jobs;
using test::unfinished;

// The key-value store rejects the requests of the leader only, and another leader confirms
// cancellations. Then the store is down for longer than cancel_s while workers continue to send
// heartbeats to the old leader.
class OutageAfterFailover {
  public:
    explicit OutageAfterFailover(std::uint64_t seed)
        : seed_(seed),
          random_(seed),
          simulation_(seed, faults_of(seed)),
          commands_blocked_(seed % 3 == 0) {
        simulation_.simulate_leader_leases();
        ids_ = run_mixed_jobs(simulation_, random_, 9);
        const Millis cancel = seconds(test::simulation_settings().cancel_s);
        begins_ = simulation_.now() + bounded_random(3'000, random_);
        rejection_ = 2'000 + bounded_random(38'000, random_);
        outage_length_ = cancel + 2'000 + bounded_random(15'000, random_);
        outage_at_ = begins_ + bounded_random(16'000, random_);
    }

    // Runs until the store is available again, and requests cancellations at random times.
    void run() {
        simulation_.run_until(begins_);
        simulation_.reject_leader_at_state_service(rejection_);
        block_commands();
        terms_ = simulation_.term_count();
        for (const std::string& id : ids_) {
            if (random_() % 5 != 0) simulation_.request_cancel_until_answered(id);
            const Millis next = simulation_.now() + bounded_random(2'400, random_);
            if (!down_ && next >= outage_at_) {
                simulation_.run_until(std::max(simulation_.now(), outage_at_));
                begin_outage();
                add_third_fault(next);
            }
            simulation_.run_until(next);
        }
        if (!down_) begin_outage();
        another_leader_confirmed_ = confirmed_ > 0 && simulation_.term_count() > terms_;
        while (!simulation_.state_service_up()) simulation_.run_until(simulation_.now() + 1'000);
    }

    // Cancels all jobs and asserts that each gets a final state soon.
    void expect_cancellations_confirmed() {
        for (const std::string& id : ids_) simulation_.request_cancel_until_answered(id);
        // Unreachable machines may get replies for two leases, and their last lease runs for one
        // more.
        const bool reachable = seed_ % 7 != 2 && seed_ % 5 != 2 && !commands_blocked_;
        const Millis lease = seconds(test::simulation_settings().lease_s);
        simulation_.run_until(simulation_.now() +
                              (reachable ? 25'000 : 25'000 + 3 * lease + 5'000));
        EXPECT_TRUE(unfinished(simulation_, ids_).empty())
            << "no final state: " << unfinished(simulation_, ids_).front() << "; "
            << simulation_.describe_running();
    }

    bool another_leader_confirmed() const { return another_leader_confirmed_; }
    const ClusterSimulation& simulation() const { return simulation_; }

  private:
    static Faults faults_of(std::uint64_t seed) {
        Faults faults;
        if (seed % 5 == 1) faults.unknown_commits = 0.15;
        if (seed % 5 == 2) {
            faults.lost_command_replies = 0.15;
            faults.delayed_commands = 0.1;
            faults.refused_commands = 0.2;
        }
        if (seed % 5 == 3) {
            faults.late_heartbeat_copies = 0.4;
            faults.lost_heartbeats = 0.1;
        }
        return faults;
    }

    // Blocks the commands of all leaders to some workers, which therefore stay with the old leader.
    void block_commands() {
        for (const std::string& name : simulation_.working_machines()) {
            if (commands_blocked_ && (seed_ % 6 == 0 || random_() % 2 == 0))
                simulation_.block_commands(name,
                                           begins_ + 20'000 + bounded_random(90'000, random_));
        }
    }

    void begin_outage() {
        confirmed_ = ids_.size() - unfinished(simulation_, ids_).size();
        simulation_.take_state_service_down(outage_length_);
        down_ = true;
    }

    void add_third_fault(Millis now) {
        if (seed_ % 7 == 0) simulation_.crash_leader();
        if (seed_ % 7 == 1) simulation_.freeze_leader(bounded_random(30'000, random_));
        if (seed_ % 7 == 2)
            simulation_.partition({"b", 0.5, false, true, false, now, now + 40'000});
    }

    std::uint64_t seed_;
    std::mt19937_64 random_;
    ClusterSimulation simulation_;
    bool commands_blocked_;
    std::vector<std::string> ids_;
    Millis begins_ = 0, rejection_ = 0, outage_at_ = 0, outage_length_ = 0;
    bool down_ = false, another_leader_confirmed_ = false;
    std::size_t confirmed_ = 0, terms_ = 0;
};

// Covers all orders of rejection, failover, confirmation and outage, some with a third fault. The
// simulation asserts that a cancellation is confirmed only when no task of the job is left.
TEST(CombinedFaults, FailoverDuringAStateServiceOutage) {
    std::size_t confirmed_before_outage = 0, beside_old_leader = 0, by_old_leader = 0;
    for (std::uint64_t seed = 1; seed <= 160 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        OutageAfterFailover scenario(seed);
        scenario.run();
        scenario.expect_cancellations_confirmed();
        confirmed_before_outage += scenario.another_leader_confirmed() ? 1 : 0;
        beside_old_leader +=
            scenario.simulation().cancellations_confirmed_while_old_leaders_respond();
        by_old_leader += scenario.simulation().replies_by_old_leaders();
    }
    EXPECT_GT(confirmed_before_outage, 50u);
    EXPECT_GT(beside_old_leader, 100u);
    EXPECT_GT(by_old_leader, 300u);
}

// An old heartbeat, possibly from an earlier incarnation or attempt, arrives after newer ones. It
// arrives at the leader, at shard holders and partition responders, and at new leaders that have
// not received the newer ones.
TEST(CombinedFaults, OldHeartbeatsAfterNewerOnes) {
    Faults faults;
    faults.late_heartbeat_copies = 0.6;
    faults.lost_heartbeats = 0.1;
    faults.machine_failures_per_s = 0.01;
    ClusterSimulation::Coverage coverage;
    for (std::uint64_t seed = 200; seed < 260 && !HasFailure(); ++seed)
        add(coverage,
            run_faulty_day(seed, faults, seed % 2 == 0 ? 1 : 0, test::end_some_incarnations));
    EXPECT_GT(coverage.copies_of_old_incarnations, 1'000u);
    EXPECT_GT(coverage.copies_of_old_attempts, 100u);
}

// Leaders fail while a machine with long tasks receives no commands, or neither commands nor
// replies. Its tasks are started on other machines only when its lease has certainly expired
// (otherwise the simulation reports ran_twice), and soon after that.
TEST(CombinedFaults, FailoversWhileMachinesAreUnreachable) {
    const wire::Settings settings = test::simulation_settings();
    std::size_t restarted = 0;
    for (std::uint64_t seed = 300; seed < 330 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        ClusterSimulation simulation(seed, {}, seed % 3 == 0 ? 1 : 0);
        simulation.simulate_leader_leases();
        simulation.submit(job("job-2", "standing", 4, 2));
        simulation.submit(job("job-5", "standing", 2, 1));
        simulation.run_until(45'000);
        const std::size_t before = simulation.running_tasks("a") + simulation.running_tasks("b");
        const std::size_t starts = simulation.started_tasks();
        const std::string unreachable = simulation.working_machines().front();
        if (seed % 3 == 1)
            simulation.block_commands(unreachable, kNever);  // its heartbeats are answered
        else
            simulation.block_inbound(unreachable, kNever);
        for (int terms = 0; terms < 3; ++terms) {
            simulation.run_until(simulation.now() + bounded_random(6'000, random));
            if (terms == 1 && seed % 2 == 0)
                simulation.reject_leader_at_state_service(30'000);
            else
                simulation.crash_leader();
            simulation.run_until(simulation.now() + 6'000);
        }
        // The last leader counts from the start of its term: two leases in which others may have
        // replied, and one more.
        simulation.run_until(simulation.now() + seconds(3 * settings.lease_s) + 25'000);
        EXPECT_GE(simulation.running_tasks("a") + simulation.running_tasks("b"), before);
        restarted += simulation.started_tasks() > starts ? 1 : 0;
    }
    EXPECT_GE(restarted, 15u);
}

// The old leader can reach its workers and users, but neither the key-value store nor the other
// controllers, for longer than it may respond. The new leader cancels jobs meanwhile.
TEST(CombinedFaults, ALeaderThatReachesWorkersAndUsersOnly) {
    std::size_t beside_old_leader = 0;
    for (std::uint64_t seed = 400; seed < 430 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        ClusterSimulation simulation(seed, {});
        simulation.simulate_leader_leases();
        const auto ids = run_mixed_jobs(simulation, random, 9);
        simulation.reject_leader_at_state_service(90'000);
        for (const std::string& name : simulation.working_machines())
            if (seed % 2 == 0) simulation.block_commands(name, simulation.now() + 50'000);
        for (const std::string& id : ids) {
            simulation.run_until(simulation.now() + bounded_random(6'000, random));
            if (random() % 2 == 0) simulation.request_cancel_until_answered(id);
        }
        simulation.run_until(simulation.now() + 60'000);
        beside_old_leader += simulation.cancellations_confirmed_while_old_leaders_respond();
        expect_all_finish(simulation, ids, 200'000);
    }
    EXPECT_GT(beside_old_leader, 40u);
}

// Submits 20 jobs of two or three tasks and replaces the leader at random times meanwhile.
std::vector<std::string> submit_small_jobs(ClusterSimulation& simulation, std::mt19937_64& random) {
    std::vector<std::string> ids;
    for (int n = 0; n < 20; ++n) {
        ids.push_back("job-" + std::to_string(3 * n));
        wire::Json spec = job(ids.back(), n % 4 == 3 ? "ensemble" : "sweep", 2 + n % 2, 1);
        if (n % 2 == 0) spec["crew"] = "blue";
        if (n % 3 == 0) spec["scatter"] = true;
        simulation.submit(spec);
        simulation.run_until(simulation.now() + 500 + bounded_random(4'000, random));
        if (simulation.now() <= 20'000 || random() % 4 != 0) continue;
        if (random() % 2 == 0)
            simulation.crash_leader();
        else
            simulation.reject_leader_at_state_service(5'000 + bounded_random(20'000, random));
    }
    return ids;
}

// The tasks of a job end at very different times, and the leader changes in between, before the
// first completions are recorded. A job is recorded as done only when all its tasks are done
// (otherwise the simulation reports not_done), and soon after that.
TEST(CombinedFaults, FewTasksThatEndFarApart) {
    ClusterSimulation::Coverage coverage;
    for (std::uint64_t seed = 500; seed < 540 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        std::mt19937_64 random(seed);
        Faults faults;
        if (seed % 2 == 0) faults.unknown_commits = 0.2;
        ClusterSimulation simulation(seed, faults);
        simulation.simulate_leader_leases();
        const auto ids = submit_small_jobs(simulation, random);
        simulation.clear_faults();
        simulation.run_until(simulation.now() + 15'000);  // a new leader is elected meanwhile
        // Workers send heartbeats only every 3 s, and no event makes them send one earlier.
        EXPECT_TRUE(simulation.jobs_without_final_state(10'000).empty())
            << simulation.jobs_without_final_state(10'000).front();
        expect_all_finish(simulation, ids, 200'000);
        add(coverage, simulation.coverage());
    }
    EXPECT_GT(coverage.unrecorded_completions, 50u);
}

// A command or its reply is delayed by seconds up to a minute. The worker executes the command, or
// refuses it because its attempt was abandoned, its leader was replaced or the worker's incarnation
// has ended.
TEST(CombinedFaults, CommandsDelayedForSeconds) {
    Faults faults;
    faults.delayed_commands = 0.25;
    faults.lost_command_replies = 0.1;
    ClusterSimulation::Coverage coverage;
    for (std::uint64_t seed = 600; seed < 720 && !HasFailure(); ++seed)
        add(coverage,
            run_faulty_day(seed, faults, seed % 3 == 0 ? 1 : 0, test::end_some_incarnations));
    EXPECT_GT(coverage.delayed_commands_executed, 100u);
    EXPECT_GT(coverage.delayed_commands_refused, 500u);
}

// Transactions of leaders, shard holders and users that get no reply are applied late: after newer
// ones of the same controller, and in some cases after their leader was replaced.
TEST(CombinedFaults, TransactionsAppliedLate) {
    Faults faults;
    faults.unknown_commits = 0.35;
    ClusterSimulation::Coverage coverage;
    for (std::uint64_t seed = 720; seed < 840 && !HasFailure(); ++seed)
        add(coverage, run_faulty_day(seed, faults, seed % 3 == 0 ? 2 : 0));
    EXPECT_GT(coverage.late_commits_applied, 30u);
    EXPECT_GT(coverage.late_commits_refused, 800u);
}

// Submits four jobs of one task per second for two minutes and cancels a quarter of them. One gang
// is submitted in the middle.
class ManySmallJobs {
  public:
    explicit ManySmallJobs(std::uint64_t seed)
        : random_(seed), simulation_(seed, faults()), leader_crashes_(seed % 2 == 0) {
        simulation_.simulate_leader_leases();
    }

    void run() {
        for (int n = 0; n < kJobs && !testing::Test::HasFailure(); ++n) {
            submit(n);
            simulation_.run_until(simulation_.now() + 250);
            send_due_cancellations();
            if (leader_crashes_ && (n == 160 || n == 320)) simulation_.crash_leader();
            measure_cancellations();
            most_unfinished_ = std::max(most_unfinished_, unfinished(simulation_, ids_).size());
            if (n == 400) {
                EXPECT_EQ(simulation_.final_state("job-240"), "done")
                    << simulation_.describe_cluster_state();
            }
        }
        writes_ = simulation_.state_changes();
    }

    void expect_all_finish_soon() {
        expect_all_finish(simulation_, ids_, 60'000);
        measure_cancellations();
        EXPECT_LE(longest_cancellation_, 10'000);  // includes a failover
        EXPECT_LE(most_unfinished_, 200u);
    }

    std::size_t jobs() const { return ids_.size(); }
    // The number of writes until the last job was submitted.
    std::size_t writes() const { return writes_; }
    std::size_t withdrawn() const {
        return static_cast<std::size_t>(std::count_if(ids_.begin(), ids_.end(), [&](auto& id) {
            return simulation_.final_state(id) == "withdrawn";
        }));
    }

  private:
    static constexpr int kJobs = 480, kGang = 240;

    static Faults faults() {
        Faults faults;
        faults.state_writes_per_s = 40;
        return faults;
    }

    void submit(int n) {
        ids_.push_back("job-" + std::to_string(n));
        wire::Json spec =
            n == kGang ? job(ids_.back(), "ensemble", 4, 2) : job(ids_.back(), "sweep", 1, 0.25);
        if (n % 2 == 0) spec["crew"] = "blue";
        simulation_.submit(spec);
        if (n != kGang && random_() % 4 == 0)
            cancellations_.emplace(simulation_.now() + bounded_random(12'000, random_),
                                   ids_.back());
    }

    void send_due_cancellations() {
        while (!cancellations_.empty() && cancellations_.begin()->first <= simulation_.now()) {
            const std::string& id = cancellations_.begin()->second;
            requested_at_.emplace(id, simulation_.now());
            simulation_.request_cancel_until_answered(id);
            cancellations_.erase(cancellations_.begin());
        }
    }

    // Updates the longest time that an unconfirmed cancellation has been pending.
    void measure_cancellations() {
        std::erase_if(requested_at_, [&](const auto& request) {
            return !simulation_.final_state(request.first).empty();
        });
        for (const auto& [id, requested_at] : requested_at_)
            longest_cancellation_ =
                std::max(longest_cancellation_, simulation_.now() - requested_at);
    }

    std::mt19937_64 random_;
    ClusterSimulation simulation_;
    bool leader_crashes_;
    std::vector<std::string> ids_;
    std::multimap<Millis, std::string> cancellations_;  // future requests, by time
    std::map<std::string, Millis> requested_at_;        // of jobs without a final state
    std::size_t most_unfinished_ = 0, writes_ = 0;
    Millis longest_cancellation_ = 0;
};

// The key-value store limits the write rate, and leaders crash in some runs. No job is lost, the
// number of open jobs stays bounded, cancellations are confirmed soon, and the gang gets its slots.
TEST(CombinedFaults, OneTaskJobsFourASecondAQuarterCancelled) {
    std::size_t withdrawn = 0, jobs = 0, writes = 0;
    for (std::uint64_t seed = 900; seed < 908 && !HasFailure(); ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        ManySmallJobs scenario(seed);
        scenario.run();
        scenario.expect_all_finish_soon();
        jobs += scenario.jobs();
        writes += scenario.writes();
        withdrawn += scenario.withdrawn();
    }
    EXPECT_GT(withdrawn, 400u);
    // Two writes for the submission of a job, one for its start, three for its end, one for a
    // cancellation, and some for machines and failovers.
    EXPECT_LE(writes, jobs * 7);
}

}  // namespace
