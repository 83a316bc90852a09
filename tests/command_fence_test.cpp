// Tests that nothing that was sent for an attempt can take effect once the attempt may be started
// elsewhere, is recorded as ended or is forgotten, and what happens at the last fencing token.
#include "control/command_fence.h"

#include <gtest/gtest.h>

#include <set>
#include <tuple>

#include "control/heartbeat_reconciler.h"
#include "tests/control_fixture.h"

namespace {

using namespace nickelramp;
using cluster::TermScope;
using control::CommandFence;
using control::CommandRejection;
using jobs::Attempt;
using jobs::AttemptState;
using jobs::Job;
using machines::HeartbeatReply;
using machines::Machine;
using test::ControlFixture;
using test::RecordingGateway;
using wire::Command;
using wire::ExitCause;
using wire::TaskPhase;

// What a worker checks before it executes commands, and what it reports.
class FakeWorker {
  public:
    explicit FakeWorker(const Machine& machine) : name_(machine.name), token_(machine.token) {}

    // Returns whether the message was executed.
    bool execute(const RecordingGateway::CommandMessage& message) {
        if (message.token < token_ || message.incarnation != incarnation_) return false;
        execute(message.token, message.commands);
        return true;
    }
    void receive(const HeartbeatReply& reply) {
        if (reply.status == machines::kHeartbeatAccepted && reply.token >= token_)
            execute(reply.token, reply.commands);
    }
    void exit_all(ExitCause cause) {
        for (auto& [id, report] : tasks_) {
            report.phase = TaskPhase::exited;
            report.cause = cause;
        }
    }
    void restart() {
        tasks_.clear();
        sequence_ = token_ = 0;
    }
    wire::Heartbeat report() {
        wire::Heartbeat heartbeat;
        heartbeat.machine = name_;
        heartbeat.address = name_ + ":1";
        heartbeat.type = "plain";
        heartbeat.zone = "a";
        heartbeat.incarnation = incarnation_;
        heartbeat.sequence = ++sequence_;
        heartbeat.token = token_;
        for (const auto& [id, task] : tasks_) heartbeat.tasks.push_back(task);
        return heartbeat;
    }
    std::size_t starts() const { return starts_; }
    std::uint64_t token() const { return token_; }

  private:
    using AttemptId = std::tuple<std::string, std::uint32_t, std::uint32_t>;

    void execute(std::uint64_t token, const std::vector<Command>& commands) {
        token_ = token;
        for (const Command& command : commands) {
            const AttemptId id{command.job, command.task, command.attempt};
            if (command.op == Command::Op::forget) tasks_.erase(id);
            if (command.op != Command::Op::start || tasks_.count(id) != 0) continue;
            ++starts_;
            tasks_[id] = {command.job, command.task, command.attempt, TaskPhase::running};
        }
    }

    std::string name_;
    std::uint64_t incarnation_ = 1, sequence_ = 10, token_ = 0;
    std::map<AttemptId, wire::TaskReport> tasks_;
    std::size_t starts_ = 0;
};

// One machine with its worker, under the control of a leader or a shard holder.
struct FencedMachine : ControlFixture {
    explicit FencedMachine(TermScope term_scope = TermScope::whole_cluster)
        : ControlFixture(test::simulation_settings(), {}, term_scope) {
        term.confirm_lease_until(kNever);
    }

    control::ReachabilityMonitor reachability_monitor{settings};
    control::ReplyCommands reply_commands{cluster, command_fence};
    control::HeartbeatReconciler reconciler{term,
                                            cluster,
                                            *this,
                                            command_fence,
                                            reply_commands,
                                            command_sender,
                                            reachability_monitor,
                                            shard_allocator,
                                            shard_lease_writer};
    Machine& machine = add_ready_machine("m-1", "plain", "a");
    FakeWorker worker{machine};
    Millis now = 1'000;

    void on_command_reply(Machine& from, const wire::Heartbeat& heartbeat, Millis at) override {
        reconciler.on_command_reply(from, heartbeat, at);
    }
    // Places an attempt whose checkpoint is committed, and sends its start command.
    Attempt* place(Job& job, std::uint32_t number) {
        Attempt* attempt = cluster.add_attempt(job, 0, number, machine, now);
        if (attempt == nullptr) return nullptr;
        cluster.attempt_recorded(*attempt, now);
        command_sender.send_queued(now);
        return attempt;
    }
    // Takes the oldest message in flight.
    RecordingGateway::CommandMessage take_message() {
        auto message = gateway.command_messages.front();
        gateway.command_messages.pop_front();
        return message;
    }
    // Delivers the message to the worker, and the worker's reply.
    void deliver(const RecordingGateway::CommandMessage& message) {
        cluster::CommandReply reply;
        reply.delivery = cluster::DeliveryStatus::delivered;
        reply.executed = worker.execute(message);
        reply.heartbeat = worker.report();
        message.done(now += 5, reply);
    }
    // Sends a heartbeat of the worker and delivers the reply.
    HeartbeatReply exchange_heartbeat() {
        const machines::HeartbeatArrival arrival{true, now};
        now += 500;
        const HeartbeatReply reply = reconciler.on_heartbeat(worker.report(), arrival, now);
        worker.receive(reply);
        return reply;
    }
};

bool forgets(const HeartbeatReply& reply) {
    return std::any_of(reply.commands.begin(), reply.commands.end(),
                       [](const Command& command) { return command.op == Command::Op::forget; });
}

TEST(CommandFence, ACopyOfAStartCommandIsRejectedOnceItsAttemptIsForgotten) {
    FencedMachine fixture;
    Job& job = fixture.add_job(test::job("job-1", "sweep", 1, 0));
    ASSERT_NE(fixture.place(job, 1), nullptr);
    const auto start = fixture.take_message();
    fixture.deliver(start);
    fixture.worker.exit_all(ExitCause::stopped);
    const HeartbeatReply reply = fixture.exchange_heartbeat();
    EXPECT_TRUE(forgets(reply));
    EXPECT_GT(reply.token, start.token);
    EXPECT_FALSE(fixture.worker.execute(start));
    EXPECT_EQ(fixture.worker.starts(), 1u);
    fixture.exchange_heartbeat();
    EXPECT_TRUE(job.attempts.empty()) << "a heartbeat without the attempt proves that it is gone";
}

TEST(CommandFence, AStartNeedNotWaitForTheTokenOfAForgetCommand) {
    FencedMachine fixture;
    Job& first = fixture.add_job(test::job("job-1", "sweep", 1, 0));
    Job& second = fixture.add_job(test::job("job-2", "sweep", 1, 0));
    ASSERT_NE(fixture.place(first, 1), nullptr);
    fixture.deliver(fixture.take_message());
    fixture.worker.exit_all(ExitCause::stopped);
    const HeartbeatReply reply = fixture.reconciler.on_heartbeat(
        fixture.worker.report(), machines::HeartbeatArrival{true, fixture.now}, fixture.now);
    ASSERT_NE(fixture.place(second, 1), nullptr);
    ASSERT_EQ(fixture.gateway.command_messages.size(), 1u);
    const auto start = fixture.take_message();
    EXPECT_EQ(start.token, reply.token);
    fixture.deliver(start);
    fixture.worker.receive(reply);
    EXPECT_EQ(fixture.worker.starts(), 2u);
}

TEST(CommandFence, CommandsThatAHigherTokenOvertakesAreSentAgainAtOnce) {
    FencedMachine fixture;
    Job& job = fixture.add_job(test::job("job-1", "sweep", 1, 0));
    Attempt* attempt = fixture.place(job, 1);
    const auto overtaken = fixture.take_message();
    fixture.command_fence.advance_token(fixture.machine, fixture.now);
    fixture.exchange_heartbeat();
    ASSERT_GT(fixture.worker.token(), overtaken.token);
    fixture.deliver(overtaken);
    ASSERT_EQ(fixture.gateway.command_messages.size(), 1u);
    const auto again = fixture.take_message();
    EXPECT_EQ(again.token, fixture.machine.token);
    ASSERT_EQ(again.commands.size(), 1u);
    EXPECT_EQ(again.commands.front().attempt, attempt->number);
    fixture.deliver(again);
    EXPECT_EQ(fixture.worker.starts(), 1u);
    EXPECT_EQ(attempt->state, AttemptState::running);
    EXPECT_EQ(fixture.rejections, std::vector{CommandRejection::token});
    EXPECT_EQ(fixture.machine.command_failures, 0u);
    EXPECT_EQ(fixture.command_sender.commands_lost_since(), kNever);
}

TEST(CommandFence, AnAttemptOfARestartedWorkerIsGoneOnlyOnceItsStartIsFenced) {
    for (const bool copy_arrives : {false, true}) {
        FencedMachine fixture;
        Job& job = fixture.add_job(test::job("job-1", "sweep", 1, 0));
        ASSERT_NE(fixture.place(job, 1), nullptr);
        const auto start = fixture.take_message();
        fixture.deliver(start);
        fixture.worker.restart();
        fixture.command_sender.probe(fixture.machine, fixture.now += 2'000);
        fixture.command_sender.send_queued(fixture.now);
        fixture.deliver(fixture.take_message());
        ASSERT_EQ(job.live_attempts, 1u) << "a copy of its start may arrive now";
        if (copy_arrives) fixture.worker.execute(start);
        while (!fixture.gateway.command_messages.empty()) fixture.deliver(fixture.take_message());
        EXPECT_EQ(job.live_attempts, copy_arrives ? 1u : 0u);
        EXPECT_FALSE(fixture.worker.execute(start));
    }
}

// Runs a task that is stopped, until the worker has forgotten it.
void run_one_task(FencedMachine& fixture, const std::string& id) {
    Job& job = fixture.add_job(test::job(id, "sweep", 1, 0));
    ASSERT_NE(fixture.place(job, 1), nullptr);
    const auto start = fixture.take_message();
    fixture.deliver(start);
    fixture.worker.exit_all(ExitCause::stopped);
    const HeartbeatReply reply = fixture.exchange_heartbeat();
    ASSERT_TRUE(forgets(reply)) << "the worker's reports would grow";
    ASSERT_GT(reply.token, start.token);
    ASSERT_FALSE(fixture.worker.execute(start));
    fixture.exchange_heartbeat();
    ASSERT_TRUE(job.attempts.empty());
}

TEST(CommandFence, ShortTasksOnOneMachineGoOnWhenAGrantHasNoTokensLeft) {
    constexpr int kTasks = 3 * 4'096;
    FencedMachine fixture;
    const std::uint64_t first_token = fixture.machine.token;
    for (int n = 0; n < kTasks && !HasFailure(); ++n)
        run_one_task(fixture, "job-" + std::to_string(n));
    EXPECT_EQ(fixture.worker.starts(), static_cast<std::size_t>(kTasks));
    EXPECT_GT(fixture.machine.token >> shards::kGrantShift, first_token >> shards::kGrantShift);
    EXPECT_EQ(shards::term_of(fixture.machine.token), 7u);
    EXPECT_TRUE(fixture.gateway.commits.empty()) << "tokens cost no writes";
    const std::uint64_t next_grant = fixture.shard_lease_writer.table().grant_to_machine();
    EXPECT_GT(next_grant, fixture.machine.token);
}

TEST(CommandFence, AShardHolderWithoutTokensLeavesTheMachineToTheLeader) {
    FencedMachine fixture(TermScope::single_shard);
    Job& job = fixture.add_job(test::job("job-1", "sweep", 1, 0));
    while (!shards::is_last_of_grant(fixture.machine.token))
        fixture.command_fence.advance_token(fixture.machine, fixture.now);
    ASSERT_NE(fixture.place(job, 1), nullptr);
    fixture.deliver(fixture.take_message());
    fixture.worker.exit_all(ExitCause::stopped);
    const std::uint64_t last_token = fixture.machine.token;
    EXPECT_FALSE(forgets(fixture.exchange_heartbeat()));
    EXPECT_EQ(fixture.machine.token, last_token);
    EXPECT_EQ(fixture.cluster.unhealthy_machines(), std::vector<std::string>{"m-1"});
    EXPECT_EQ(job.live_attempts, 0u) << "the exit itself is known";
}

TEST(CommandFence, ALeaderWithoutGrantsEndsItsTerm) {
    FencedMachine fixture;
    shards::ShardLeaseTable& table = fixture.shard_lease_writer.table();
    std::uint64_t highest = 0;
    for (std::uint64_t token = table.grant_to_machine(); token != 0;
         token = table.grant_to_machine())
        highest = token;
    EXPECT_EQ(shards::term_of(highest), 7u);
    while (!shards::is_last_of_grant(fixture.machine.token))
        fixture.command_fence.advance_token(fixture.machine, fixture.now);
    EXPECT_EQ(fixture.gateway.ended, "");
    const std::uint64_t last_token = fixture.machine.token;
    fixture.command_fence.advance_token(fixture.machine, fixture.now);
    EXPECT_EQ(fixture.machine.token, last_token);
    EXPECT_EQ(fixture.gateway.ended, "the term has no fencing tokens left");
}

}  // namespace
