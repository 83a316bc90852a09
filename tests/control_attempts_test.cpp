// Tests the order in which a task is placed, recorded in a checkpoint, sent to its machine and
// ended.
#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

#include "tests/control_fixture.h"

namespace {

using namespace nickelramp;
using jobs::Attempt;
using jobs::AttemptState;
using jobs::Job;
using kvstore::Status;
using machines::Machine;
using test::committed;
using test::ControlFixture;
using test::RecordingGateway;

// The next attempt of a task is accepted only after the previous one is gone, and no attempt is
// accepted after a cancellation.
TEST(ControlParts, NoTaskIsPlacedTwice) {
    ControlFixture fixture;
    Machine& machine = fixture.add_ready_machine("m-1", "plain", "a");
    Job& job = fixture.add_job(test::job("job-1", "sweep", 2, 0));
    ASSERT_NE(fixture.cluster.add_attempt(job, 0, 1, machine, 10), nullptr);
    EXPECT_EQ(fixture.cluster.add_attempt(job, 0, 2, machine, 20), nullptr);
    EXPECT_EQ(machine.live_attempts, 1u);
    fixture.cluster.attempt_gone(*job.attempts.front(), 30);
    EXPECT_NE(fixture.cluster.add_attempt(job, 0, 2, machine, 40), nullptr);
    fixture.cluster.cancel_job(job, 50);
    EXPECT_EQ(fixture.cluster.add_attempt(job, 1, 1, machine, 60), nullptr)
        << "attempt accepted after a cancellation";
}

// Guards against a loop over destroyed attempts: if no member of a gang was sent yet, stopping the
// first member also ends the others.
TEST(ControlParts, AGangThatWasNeverSentIsStoppedAsAWhole) {
    ControlFixture fixture;
    fixture.add_ready_machine("m-1", "g4", "a");
    Job& job = fixture.add_job(test::job("job-1", "ensemble", 3, 1));
    ASSERT_TRUE(fixture.scheduler.place_job(job, 1000));
    ASSERT_EQ(job.attempts.size(), 3u);
    fixture.cluster.stop_all_attempts(job, 1100);
    EXPECT_EQ(job.live_attempts, 0u);
    EXPECT_TRUE(job.attempts.empty());
    EXPECT_TRUE(fixture.scheduler.place_job(job, 1200)) << "it may start again";
    EXPECT_EQ(job.attempts.front()->number, 2u);
}

// No start command is sent before its checkpoint is known to be committed. If the outcome of a
// commit is unknown, the record is read before the checkpoint is written again.
TEST(ControlParts, ACheckpointPrecedesEveryStart) {
    ControlFixture fixture;
    fixture.add_ready_machine("m-1", "plain", "a");
    Job& job = fixture.add_job(test::job("job-1", "sweep", 1, 0), 0, 5);
    ASSERT_TRUE(fixture.scheduler.place_job(job, 1000));
    fixture.checkpoint_writer.write(job, 1000);
    fixture.command_sender.send_queued(1000);
    EXPECT_TRUE(fixture.gateway.command_messages.empty());
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    std::map<std::string, std::uint64_t> conditions;
    for (const auto& condition : fixture.gateway.commits.front().transaction.conditions)
        conditions[condition.key] = condition.version;
    EXPECT_EQ(conditions, (std::map<std::string, std::uint64_t>{
                              {"lead/term", 70}, {"open/job-1", 5}, {"run/job-1/0", 0}}));
    EXPECT_EQ(fixture.checkpoint_writer.next_write_at(job), kNever) << "a transaction is in flight";
    RecordingGateway::answer(fixture.gateway.commits, 2000,
                             kvstore::CommitReply{});  // an unknown outcome
    fixture.command_sender.send_queued(2000);
    EXPECT_TRUE(fixture.gateway.command_messages.empty());
    const Millis retry_at = fixture.checkpoint_writer.next_write_at(job);
    ASSERT_LT(retry_at, kNever);
    fixture.checkpoint_writer.write(job, retry_at);
    EXPECT_TRUE(fixture.gateway.commits.empty());
    ASSERT_EQ(fixture.gateway.reads.size(), 1u);
    kvstore::GetReply found;
    found.status = Status::ok;
    found.entry = {"run/job-1/0", {}, 81, false};
    RecordingGateway::answer(fixture.gateway.reads, retry_at + 300, found);
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    EXPECT_EQ(fixture.gateway.commits.front().transaction.conditions.back().version, 81u);
    RecordingGateway::answer(fixture.gateway.commits, retry_at + 400, committed(90));
    ASSERT_EQ(fixture.gateway.command_messages.size(), 1u);
    EXPECT_EQ(fixture.gateway.command_messages.front().commands.size(), 1u);
}

// After a conflict on the term's record no command is sent.
TEST(ControlParts, AnEndedTermWritesAndStartsNothing) {
    ControlFixture fixture;
    fixture.add_ready_machine("m-1", "plain", "a");
    Job& job = fixture.add_job(test::job("job-1", "sweep", 1, 0));
    fixture.scheduler.place_job(job, 1000);
    fixture.checkpoint_writer.write(job, 1000);
    kvstore::CommitReply lost;
    lost.status = Status::conflict;
    lost.failed_conditions = {"lead/term"};
    RecordingGateway::answer(fixture.gateway.commits, 1100, lost);
    EXPECT_TRUE(fixture.term.is_over());
    EXPECT_EQ(fixture.gateway.ended, "lead/term has changed");
    fixture.command_sender.send_queued(1200);
    EXPECT_TRUE(fixture.gateway.command_messages.empty());
}

// The final status is written in the transaction that deletes the job's records. Records that do
// not fit into the transaction are deleted later. A cancelled job is finished once its last task
// has ended.
TEST(ControlParts, AFinalStatusIsWrittenOnceNoTaskIsLeft) {
    ControlFixture fixture;  // the settings allow six writes in a transaction
    Machine& machine = fixture.add_ready_machine("m-1", "g4", "a");
    wire::Json spec = test::job("job-1", "sweep", 64 * 8, 0);
    Job& job = fixture.add_job(spec);
    for (std::uint32_t chunk = 0; chunk < 8; ++chunk) job.chunks[chunk].version = 3 + chunk;
    Attempt* attempt = fixture.cluster.add_attempt(job, 0, 1, machine, 10);
    fixture.cluster.attempt_recorded(*attempt, 20);
    fixture.cluster.attempt_start_sent(*attempt, machine, 30);
    fixture.lifecycle.cancel(job, 40);
    EXPECT_TRUE(fixture.gateway.commits.empty()) << "a task may still be running";
    fixture.cluster.attempt_gone(*attempt, 50);
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    const kvstore::Transaction& transaction = fixture.gateway.commits.front().transaction;
    EXPECT_EQ(transaction.writes.size(), 6u);
    EXPECT_EQ(transaction.writes[0].key, "job/job-1");
    EXPECT_EQ(wire::text_field(*transaction.writes[0].value, "final"), "withdrawn");
    EXPECT_EQ(transaction.writes[1].key, "open/job-1");
    RecordingGateway::answer(fixture.gateway.commits, 60, committed(0));
    EXPECT_EQ(fixture.cluster.job("job-1"), nullptr);
    std::set<std::string> deleted;
    for (Millis now = 100; now < 2000; now += 100) {
        fixture.lifecycle.delete_leftover_records(now);
        while (!fixture.gateway.commits.empty()) {
            for (const auto& write : fixture.gateway.commits.front().transaction.writes)
                deleted.insert(write.key);
            RecordingGateway::answer(fixture.gateway.commits, now, committed(0));
        }
    }
    EXPECT_EQ(deleted,
              (std::set<std::string>{"run/job-1/4", "run/job-1/5", "run/job-1/6", "run/job-1/7"}));
}

// A gang completes as a whole, but the previous leader may have recorded only some of its tasks as
// done. If the machines of the others are gone, no further attempt and no heartbeat would end the
// gang.
TEST(ControlParts, AGangRecordedAsPartlyDoneIsDone) {
    ControlFixture fixture;
    Job& job = fixture.add_job(test::job("job-1", "ensemble", 130, 0));
    jobs::RunRecord done, started;
    done.done = UINT64_MAX;
    for (std::uint32_t task = 64; task < 128; ++task)
        started.entries.push_back({task, 1, true, "m-9"});
    fixture.cluster.load_checkpoint(job, 0, done, 3, 0, 10);
    fixture.cluster.load_checkpoint(job, 1, started, 4, 0, 10);
    EXPECT_TRUE(fixture.gateway.commits.empty());
    fixture.lifecycle.complete_load(job, 20);
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    EXPECT_EQ(
        wire::text_field(*fixture.gateway.commits.front().transaction.writes[0].value, "final"),
        "done");
}

// Commands that certainly did not arrive are sent again under the same token. Commands that may
// still be in flight are first fenced by a higher token.
TEST(ControlParts, LostCommandsAreFencedRefusedOnesAreNot) {
    for (const bool lost : {false, true}) {
        ControlFixture fixture;
        Machine& machine = fixture.add_ready_machine("m-1", "plain", "a");
        Job& job = fixture.add_job(test::job("job-1", "sweep", 1, 0));
        Attempt* attempt = fixture.cluster.add_attempt(job, 0, 1, machine, 1000);
        fixture.cluster.attempt_recorded(*attempt, 1000);
        fixture.command_sender.send_queued(1000);
        fixture.command_sender.queue(machine);
        fixture.command_sender.send_queued(1001);
        ASSERT_EQ(fixture.gateway.command_messages.size(), 1u) << "one message in flight";
        const std::uint64_t token = machine.token;
        auto done = fixture.gateway.command_messages.front().done;
        fixture.gateway.command_messages.clear();
        cluster::CommandReply reply;
        reply.delivery = lost ? cluster::DeliveryStatus::unknown : cluster::DeliveryStatus::refused;
        done(1100, reply);
        EXPECT_EQ(attempt->state, lost ? AttemptState::starting : AttemptState::recorded);
        EXPECT_EQ(machine.token, lost ? token + 1 : token);
        EXPECT_TRUE(fixture.gateway.command_messages.empty()) << "sent before the back-off ended";
        fixture.command_sender.queue(machine);
        fixture.command_sender.send_queued(2000);
        ASSERT_EQ(fixture.gateway.command_messages.size(), 1u);
        EXPECT_EQ(fixture.gateway.command_messages.front().commands.size(), lost ? 0u : 1u);
        EXPECT_EQ(fixture.gateway.command_messages.front().token, machine.token);
    }
}

}  // namespace
