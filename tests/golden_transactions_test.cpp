// Tests the recorded transactions of a term in small scenarios: conditions, keys, values and
// request class.
#include "control/shard_holder.h"
#include "election/election.h"
#include "peers/messages.h"
#include "roles/garbage_collector.h"
#include "roles/role_assigner.h"
#include "tests/control_fixture.h"
#include "tests/golden.h"

namespace {

using namespace nickelramp;
using jobs::AttemptState;
using lease::Role;
using test::ControlFixture;
using test::job;
using test::RecordingGateway;
using wire::Json;

class GoldenTransactions : public test::golden::Recorded {
  protected:
    static kvstore::CommitReply committed(std::uint64_t revision) {
        kvstore::CommitReply reply;
        reply.status = kvstore::Status::ok;
        reply.revision = revision;
        return reply;
    }
    // Records the oldest pending transaction and answers it.
    void record_and_answer(const std::string& entry, ControlFixture& fixture, Millis now,
                           std::uint64_t revision) {
        ASSERT_FALSE(fixture.gateway.commits.empty()) << entry;
        transaction(entry, fixture.gateway.commits.front().transaction);
        RecordingGateway::answer(fixture.gateway.commits, now, committed(revision));
    }
};

TEST_F(GoldenTransactions, CheckpointsOfAnArray) {
    ControlFixture fixture;
    fixture.add_ready_machine("m-0", "g4", "a");
    fixture.add_ready_machine("m-1", "plain", "b");
    jobs::Job& j = fixture.add_job(job("job-1", "sweep", 70, 0), 1000, 31);
    fixture.scheduler.place_job(j, 1000);
    fixture.checkpoint_writer.write(j, 1000);
    record_and_answer("starts", fixture, 1010, 80);
    // Some tasks have completed, others have failed and wait for their next attempt.
    std::size_t n = 0;
    for (auto& attempt : std::vector<jobs::Attempt*>{j.attempts[0].get(), j.attempts[1].get(),
                                                     j.attempts[2].get()}) {
        fixture.cluster.attempt_start_sent(*attempt, *fixture.cluster.machine_of(*attempt), 1020);
        const auto cause = n++ < 2 ? wire::ExitCause::done : wire::ExitCause::error;
        fixture.cluster.apply_task_report(
            *attempt,
            {"job-1", attempt->task, attempt->number, wire::TaskPhase::exited, cause, false},
            *fixture.cluster.machine_of(*attempt), 1100);
    }
    fixture.checkpoint_writer.write(j, 30'000);
    record_and_answer("completions and failures", fixture, 30'010, 90);
}

TEST_F(GoldenTransactions, CheckpointOfAGangAndAService) {
    ControlFixture fixture;
    for (const char* name : {"m-0", "m-1", "m-2"}) fixture.add_ready_machine(name, "g4", "a");
    jobs::Job& gang = fixture.add_job(job("job-1", "ensemble", 3, 4), 1000, 31);
    fixture.scheduler.place_job(gang, 1000);
    fixture.checkpoint_writer.write(gang, 1000);
    record_and_answer("gang", fixture, 1010, 80);
    ControlFixture q;
    q.add_ready_machine("m-0", "plain", "a");
    jobs::Job& service = q.add_job(job("job-2", "standing", 2, 0), 1000, 32);
    q.scheduler.place_job(service, 1000);
    q.checkpoint_writer.write(service, 1000);
    record_and_answer("service of production", q, 1010, 80);
}

TEST_F(GoldenTransactions, EndsOfJobs) {
    ControlFixture fixture;
    fixture.add_ready_machine("m-0", "g4", "a");
    jobs::Job& j = fixture.add_job(job("job-1", "sweep", 1, 0), 1000, 31);
    fixture.scheduler.place_job(j, 1000);
    fixture.checkpoint_writer.write(j, 1000);
    RecordingGateway::answer(fixture.gateway.commits, 1010, committed(80));
    jobs::Attempt& attempt = *j.attempts[0];
    fixture.cluster.attempt_start_sent(attempt, *fixture.cluster.machine_of(attempt), 1020);
    fixture.cluster.apply_task_report(
        attempt, {"job-1", 0, 1, wire::TaskPhase::exited, wire::ExitCause::done, false},
        *fixture.cluster.machine_of(attempt), 1100);
    fixture.lifecycle.advance_job(j, 1100);
    record_and_answer("done", fixture, 1110, 90);
    jobs::Job& never = fixture.add_job(job("job-2", "sweep", 3, 0), 1000, 32);
    fixture.lifecycle.cancel(never, 2000);
    record_and_answer("cancelled before it began", fixture, 2010, 91);
}

TEST_F(GoldenTransactions, EndOfAJobWithMoreRecordsThanATransactionTakes) {
    ControlFixture fixture;
    jobs::Job& j = fixture.add_job(job("job-1", "sweep", 640, 0), 1000, 31);
    for (std::uint32_t chunk = 0; chunk < 10; ++chunk)
        fixture.lifecycle.load_checkpoint("job-1", chunk, {0, {}}, 40 + chunk, 1, 1000);
    fixture.lifecycle.cancel(j, 2000);
    record_and_answer("cancelled", fixture, 2010, 90);
    fixture.lifecycle.delete_leftover_records(3000);
    record_and_answer("leftovers", fixture, 3010, 91);
}

TEST_F(GoldenTransactions, ShardLeasesAndReclaims) {
    ControlFixture fixture;
    fixture.add_ready_machine("m-0", "g4", "a");
    fixture.add_ready_machine("m-1", "plain", "b", true);
    fixture.shard_lease_writer.table().add_machine({"m-0", "m-0:1", "g4", "a", false});
    fixture.shard_lease_writer.table().add_machine({"m-1", "m-1:1", "plain", "b", true});
    fixture.shard_lease_writer.write(500);
    record_and_answer("first", fixture, 510, 80);
    const std::uint32_t lent = fixture.shard_lease_writer.table().lease_out({"m-1"}, "holder-0");
    fixture.shard_lease_writer.write(1000);
    record_and_answer("lent", fixture, 1010, 81);
    fixture.shard_lease_writer.table().reclaim(lent);
    fixture.shard_lease_writer.write(2000);
    record_and_answer("taken back", fixture, 2010, 82);
    shards::Shard earlier;
    earlier.version = 70;
    earlier.holder = "other";
    earlier.fencing_token = 5;
    earlier.members = {{"m-9", "m-9:1", "g4", "a", false}};
    fixture.shard_lease_writer.table().load_shard(9, earlier);
    fixture.shard_lease_writer.write(3000);
    record_and_answer("of an earlier term", fixture, 3010, 83);
}

TEST_F(GoldenTransactions, IntentsAndThoseOfEarlierTerms) {
    ControlFixture fixture;
    fixture.intent_log.load(
        Role::scale_out, "intent/renting/6",
        autoscaling::encode_intents(Role::scale_out, {{"t6f1-1", "g4", "a", false, 2}}), 55);
    ASSERT_TRUE(fixture.intent_log.add(Role::scale_out, {"t7f60-1", "plain", "b", true, 3}));
    ASSERT_TRUE(fixture.intent_log.add(Role::scale_in, {"m-1", "", "", false, 0}));
    fixture.intent_log.write(1000);
    record_and_answer("renting", fixture, 1010, 80);
    record_and_answer("returning", fixture, 1010, 81);
    fixture.intent_log.remove(Role::scale_in, "m-1");
    fixture.intent_log.write(5000);
    fixture.intent_log.write(9000);
    record_and_answer("returning, settled", fixture, 9010, 82);
}

TEST_F(GoldenTransactions, ConditionsOfAShardHolder) {
    const wire::Settings settings = test::simulation_settings();
    RecordingGateway record;
    cluster::TermContext term{
        settings, {7, "lead/term", 70}, cluster::TermScope::single_shard, record};
    term.set_shard_condition({shards::shard_key(3), 81});
    term.set_role_fence(Role::scale_out, 60);
    kvstore::Transaction txn;
    txn.conditions = term.conditions();
    transaction("grant", txn);
    txn.conditions = term.conditions(Role::scale_out);
    transaction("grant and duty", txn);
}

// A shard leased together with a job, in the form in which the leader grants it and its holder
// accepts it.
TEST_F(GoldenTransactions, AShardLeasedWithAJob) {
    ControlFixture fixture;
    admin::Options options;
    options.delegated_machines = 2;
    options.idle_retention_margin = options.replica_margin = 0;
    fixture.term.set_options(options);
    for (const char* name : {"m-0", "m-1", "m-2", "m-3"}) {
        fixture.add_ready_machine(name, "plain", "a");
        fixture.shard_lease_writer.table().add_machine(
            {name, std::string(name) + ":1", "plain", "a", false});
    }
    fixture.shard_lease_writer.write(500);
    RecordingGateway::answer(fixture.gateway.commits, 510, committed(80));
    peers::Status status;
    status.from = "holder-0";
    status.incarnation = 3;
    status.clock_ms = 900;
    fixture.shard_allocator.on_peer_status(status, 1000);
    fixture.shard_allocator.allocate_shards(1000);
    record_and_answer("block", fixture, 1010, 81);
    fixture.shard_allocator.delegate_job(fixture.add_job(job("job-2", "sweep", 8, 0)), 1100);
    const auto grants = fixture.shard_allocator.renewals(900, 1200);
    ASSERT_EQ(grants.size(), 1u);
    bytes("grant", peers::encode(grants[0].grant).frame);

    wire::Settings settings = test::simulation_settings();
    settings.name = "holder-0";
    RecordingGateway record;
    control::ShardHolder shard_holder(settings, election::kTermKey, record, 3);
    shard_holder.on_grant(grants[0].grant, fixture.cluster.types(), 0, 1000);
    ASSERT_EQ(record.reads.size(), 1u);
    text("read by the holder", record.reads.front().key);
    kvstore::GetReply open;
    open.status = kvstore::Status::ok;
    open.entry = {"open/job-2", jobs::encode_open_record(job("job-2", "sweep", 8, 0), 0), 32,
                  false};
    RecordingGateway::answer(record.reads, 1010, open);
    ASSERT_EQ(record.lists.size(), 1u);
    text("listed by the holder", record.lists.front().prefix);
    kvstore::ListReply none;
    none.status = kvstore::Status::ok;
    RecordingGateway::answer(record.lists, 1020, none);
    const auto shard_status = shard_holder.status();
    ASSERT_TRUE(shard_status);
    bytes("news", peers::encode(*shard_status).frame);
}

// A store without role records. The test answers the transactions.
struct RoleRecords : roles::RoleRecordStore {
    std::vector<kvstore::Transaction> sent;
    std::vector<CommitDone> answers;
    void commit(kvstore::Transaction transaction, CommitDone done) override {
        sent.push_back(std::move(transaction));
        answers.push_back(std::move(done));
    }
    void list_roles(ListDone done) override {
        kvstore::ListReply none;
        none.status = kvstore::Status::ok;
        none.revision = 50;
        done(1000, none);
    }
};

struct IgnoringFenceObserver : roles::FenceObserver {
    void on_fence_changed(Role, std::uint64_t) override {}
};

TEST_F(GoldenTransactions, RoleRecords) {
    RoleRecords records;
    IgnoringFenceObserver fences;
    auto& sent = records.sent;
    auto& answers = records.answers;
    roles::RoleAssigner assigner("ramper-0", 99, records, fences);
    assigner.start_leading({"lead/term", 70}, 12, 1000);
    ASSERT_EQ(sent.size(), 1u);
    transaction("claimed", sent[0]);
    answers[0](1010, committed(80));
    assigner.transfer(Role::garbage_collection, {"ramper-1", 88, 13});
    ASSERT_EQ(sent.size(), 2u);
    transaction("given away", sent[1]);
    answers[1](1020, committed(81));
    assigner.transfer_back(Role::garbage_collection);
    ASSERT_EQ(sent.size(), 3u);
    transaction("taken back", sent[2]);
}

// Answers at once with run records of two jobs, of which one has ended.
struct CollectedStore : roles::GarbageCollectionStore {
    std::vector<kvstore::Transaction> sent;
    std::vector<std::string> asked;
    Millis now = 1000;
    lease::LeaseGuard<lease::GarbageCollection> guard{[this] { return now; },
                                                      [] {
                                                          return lease::Lease{63, kNever};
                                                      }};
    roles::GarbageCollector collector{6, *this};

    void list_page(const std::string& prefix, const std::string& after, std::size_t limit,
                   ListDone done) override {
        asked.push_back(prefix + " after '" + after + "' " + std::to_string(limit));
        kvstore::ListReply reply;
        reply.status = kvstore::Status::ok;
        reply.revision = 70;
        reply.more = true;
        if (prefix == "run/")
            reply.entries = {{"run/job-1/0", {}, 31, false}, {"run/job-2/0", {}, 32, false}};
        if (prefix == "open/") reply.entries = {{"open/job-2", {}, 33, false}};
        if (prefix == roles::kCursorKey)
            reply.entries = {{prefix, {{"after", "run/job-0/0"}, {"rounds", 4}}, 34, false}};
        done(now, reply);
    }
    void commit_garbage_collection(const Proof&, kvstore::Transaction transaction,
                                   CommitDone done) override {
        sent.push_back(std::move(transaction));
        kvstore::CommitReply reply;
        reply.status = kvstore::Status::ok;
        reply.revision = 90;
        done(now, reply);
    }
    bool has_spare_budget() const override { return true; }
};

TEST_F(GoldenTransactions, RecordsDeletedByGarbageCollectionAndItsCursor) {
    CollectedStore store;
    for (int i = 0; i < 20; ++i) {
        store.collector.run_due_work(store.guard.prove(), store.now);
        store.now += 5000;
    }
    ASSERT_GT(store.sent.size(), 16u);
    transaction("dropped", store.sent[0]);
    transaction("cursor", store.sent[16]);
    ASSERT_GT(store.asked.size(), 4u);
    std::string asked;
    for (std::size_t i = 0; i < 5; ++i) asked += store.asked[i] + "\n";
    text("pages", asked);
}

// The key-value store of an election: there is no leader, and the previous term is 6.
struct ElectionStore : election::ElectionStore {
    std::vector<kvstore::Transaction> sent;
    std::string calls;
    bool first = false;  // whether there is no previous term
    void list(const std::string& prefix,
              std::function<void(Millis, const kvstore::ListReply&)> done) override {
        calls += "list " + prefix + "\n";
        kvstore::ListReply reply;
        reply.status = kvstore::Status::ok;
        reply.revision = 60;
        done(1000, reply);
    }
    void watch(const std::string& prefix, std::uint64_t after, Millis wait,
               std::function<void(Millis, const kvstore::ListReply&)>) override {
        calls += "watch " + prefix + " after " + std::to_string(after) + " for " +
                 std::to_string(wait) + "\n";
    }
    void get(const std::string& key,
             std::function<void(Millis, const kvstore::GetReply&)> done) override {
        calls += "get " + key + "\n";
        kvstore::GetReply reply;
        reply.status = first ? kvstore::Status::missing : kvstore::Status::ok;
        if (!first) reply.entry = {key, {{"term", 6}, {"node", "ramper-2"}}, 55, false};
        done(2000, reply);
    }
    void commit(const kvstore::Transaction& transaction,
                std::function<void(Millis, const kvstore::CommitReply&)>) override {
        sent.push_back(transaction);
    }
    void grant_lease(Millis life,
                     std::function<void(Millis, const kvstore::LeaseReply&)> done) override {
        calls += "lease for " + std::to_string(life) + "\n";
        kvstore::LeaseReply reply;
        reply.status = kvstore::Status::ok;
        reply.lease_id = 12;
        done(2010, reply);
    }
    void renew_lease(std::uint64_t,
                     std::function<void(Millis, const kvstore::LeaseReply&)>) override {}
    void revoke_lease(std::uint64_t) override {}
};

struct IgnoringElectionObserver : election::ElectionObserver {
    void on_elected(std::uint64_t, std::uint64_t) override {}
    void on_lease_confirmed(Millis) override {}
    void on_deposed() override {}
    void on_leader_changed(const std::string&) override {}
};

TEST_F(GoldenTransactions, LeaderAndTermKeys) {
    for (bool first : {false, true}) {
        ElectionStore store;
        store.first = first;
        IgnoringElectionObserver observer;
        election::Election election(store, observer, "ramper-0", 1, [](Millis) {});
        election.start();
        election.run_due_work(2000);
        ASSERT_EQ(store.sent.size(), 1u);
        transaction(first ? "the first term" : "a later term", store.sent[0]);
        if (!first) text("calls", store.calls);
    }
}

}  // namespace
