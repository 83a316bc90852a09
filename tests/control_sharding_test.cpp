// Tests of shard leases: their records, and the reclaiming of shards.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "tests/control_fixture.h"

namespace {

using namespace nickelramp;
using jobs::Job;
using kvstore::Status;
using machines::Machine;
using test::committed;
using test::ControlFixture;
using test::RecordingGateway;

peers::Status status_of_holder(std::uint64_t incarnation) {
    peers::Status status;
    status.from = "holder-0";
    status.incarnation = incarnation;
    status.clock_ms = 900;
    return status;
}

// Options that delegate two machines to a holder and keep none in reserve for other work.
admin::Options options_with_delegation() {
    admin::Options options;
    options.delegated_machines = 2;
    options.idle_retention_margin = options.replica_margin = 0;
    return options;
}

// Adds ready machines of the leader, each with four slots of two CPUs, and commits their shard
// record.
void add_recorded_machines(ControlFixture& fixture, int count) {
    for (int n = 0; n < count; ++n) {
        const std::string name = "m-" + std::to_string(n);
        fixture.add_ready_machine(name, "plain", "a");
        fixture.shard_lease_writer.table().add_machine({name, name + ":1", "plain", "a", false});
    }
    fixture.shard_lease_writer.write(500);
    RecordingGateway::answer(fixture.gateway.commits, 510, committed(11));
}

// A machine counts as granted only after the shard record that names it is committed. A record
// whose last write has an unknown outcome is read before it is written again.
TEST(ControlParts, ShardLeasesAreRecordedBeforeMachinesAreUsed) {
    ControlFixture fixture;
    Machine& machine = fixture.add_ready_machine("m-1", "plain", "a");
    machine.shard_recorded = false;
    fixture.shard_lease_writer.table().add_machine({"m-1", "m-1:1", "plain", "a", false});
    fixture.shard_lease_writer.write(1000);
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    EXPECT_TRUE(fixture.shard_lease_writer.write_in_flight());
    EXPECT_FALSE(machine.shard_recorded);
    RecordingGateway::answer(fixture.gateway.commits, 1100, kvstore::CommitReply{});
    EXPECT_FALSE(machine.shard_recorded);
    fixture.shard_lease_writer.write(1200);
    EXPECT_TRUE(fixture.gateway.reads.empty()) << "read before the retry delay has passed";
    fixture.shard_lease_writer.write(2000);
    EXPECT_TRUE(fixture.gateway.commits.empty());
    kvstore::GetReply missing;
    missing.status = Status::missing;
    RecordingGateway::answer(fixture.gateway.reads, 2100, missing);
    fixture.shard_lease_writer.write(2500);
    RecordingGateway::answer(fixture.gateway.commits, 2600, committed(9));
    EXPECT_TRUE(machine.shard_recorded);
}

// The state service of the test below. Any transaction may be applied at once, later or never, with
// or without an answer.
class UnreliableStore {
  public:
    explicit UnreliableStore(std::uint64_t seed) : random_(seed) {}

    void stop_failing() { fails_ = false; }
    // Returns the reply to a transaction; Status::unknown if the reply is lost.
    kvstore::CommitReply commit(const kvstore::Transaction& transaction) {
        enum Outcome : std::uint64_t { answered, answer_lost, request_lost, late, refused };
        const auto outcome = fails_ ? static_cast<Outcome>(random_() % 5) : answered;
        kvstore::CommitReply reply;
        if (outcome == answered || outcome == answer_lost) reply = apply(transaction);
        if (outcome == late) late_.push_back(transaction);
        if (outcome == refused) reply.status = Status::refused;
        return outcome == answered || outcome == refused ? reply : kvstore::CommitReply{};
    }
    kvstore::GetReply read(const std::string& key) {
        kvstore::GetReply reply;
        if (fails_ && random_() % 4 == 0) return reply;
        const auto found = versions.find(key);
        reply.status = found == versions.end() ? Status::missing : Status::ok;
        if (found != versions.end()) reply.entry = {key, values[key], found->second, false};
        return reply;
    }
    void apply_late() {
        for (const kvstore::Transaction& transaction : std::exchange(late_, {})) apply(transaction);
    }
    std::map<std::string, std::uint64_t> versions{{"lead/term", 70}};
    std::map<std::string, kvstore::Json> values;

  private:
    kvstore::CommitReply apply(const kvstore::Transaction& transaction) {
        kvstore::CommitReply reply;
        reply.status = Status::conflict;
        for (const kvstore::Condition& condition : transaction.conditions) {
            const auto found = versions.find(condition.key);
            if ((found == versions.end() ? 0 : found->second) != condition.version)
                reply.failed_conditions.push_back(condition.key);
        }
        if (!reply.failed_conditions.empty()) return reply;
        ++revision_;
        for (const kvstore::Write& write : transaction.writes) {
            versions[write.key] = revision_;
            values[write.key] = *write.value;
        }
        return committed(revision_);
    }

    std::minstd_rand random_;
    bool fails_ = true;
    std::uint64_t revision_ = 100;
    std::vector<kvstore::Transaction> late_;
};

// Answers all requests of the fixture and has it write until it has nothing to write.
void run_writes(ControlFixture& fixture, UnreliableStore& store, Millis& now, int steps) {
    for (int step = 0; step < steps; ++step) {
        now += 500;
        fixture.shard_lease_writer.write(now);
        while (!fixture.gateway.commits.empty() || !fixture.gateway.reads.empty()) {
            if (!fixture.gateway.commits.empty()) {
                const auto transaction = fixture.gateway.commits.front().transaction;
                RecordingGateway::answer(fixture.gateway.commits, now, store.commit(transaction));
            } else {
                const auto key = fixture.gateway.reads.front().key;
                RecordingGateway::answer(fixture.gateway.reads, now, store.read(key));
            }
        }
        if (step % 3 == 0) store.apply_late();
    }
}

// Guards against a transaction of several shards whose outcome is unknown: all but the last were
// marked as written, and their machines got no work for the rest of the term.
TEST(ControlParts, EveryShardOfABatchIsWrittenWhateverItsOutcome) {
    constexpr int kMachines = 150;  // in five shards
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE(seed);
        ControlFixture fixture;
        fixture.settings.state_txn_ops = 12;
        UnreliableStore store(seed);
        auto& table = fixture.shard_lease_writer.table();
        Millis now = 1000;
        for (int n = 0; n < kMachines; ++n) {
            const std::string name = "m-" + std::to_string(n);
            fixture.add_ready_machine(name, "plain", "a").shard_recorded = false;
            table.add_machine({name, name + ":1", "plain", "a", false});
            if (n == kMachines / 2) run_writes(fixture, store, now, 4);
        }
        run_writes(fixture, store, now, 12);
        store.apply_late();
        store.stop_failing();
        run_writes(fixture, store, now, 12);
        for (int n = 0; n < kMachines; ++n)
            EXPECT_TRUE(fixture.cluster.machine("m-" + std::to_string(n))->shard_recorded) << n;
        for (const auto& [number, shard] : table.shards()) {
            EXPECT_FALSE(shard.dirty);
            EXPECT_EQ(store.values[shards::shard_key(number)], shards::encode_shard(shard));
        }
        fixture.shard_lease_writer.write(now + 1000);
        EXPECT_TRUE(fixture.gateway.commits.empty()) << "a record was written twice";
        if (testing::Test::HasFailure()) return;
    }
}

// While no holder of the shard reclaim role is known, a reclaimed shard is not recorded. Guards
// against a fault in which the transaction had a condition on fence 0, which means that the role
// has no holder, and succeeded.
TEST(ControlParts, ShardsAreReclaimedUnderTheirRoleOnly) {
    ControlFixture fixture;
    auto& table = fixture.shard_lease_writer.table();
    for (const char* name : {"m-1", "m-2"}) table.add_machine({name, "x:1", "g4", "a", false});
    const std::uint32_t shard = table.lease_out({"m-1"}, "holder-0");
    fixture.shard_lease_writer.write(1000);
    fixture.record_intents(1000);  // answers all transactions
    table.reclaim(shard);
    fixture.term.set_role_fence(lease::Role::shard_reclaim, 0);
    fixture.shard_lease_writer.write(2000);
    EXPECT_TRUE(fixture.gateway.commits.empty());
    fixture.term.set_role_fence(lease::Role::shard_reclaim, 88);
    fixture.shard_lease_writer.write(3000);
    ASSERT_EQ(fixture.gateway.commits.size(), 1u);
    const auto& conditions = fixture.gateway.commits.front().transaction.conditions;
    EXPECT_TRUE(std::any_of(conditions.begin(), conditions.end(), [](const auto& condition) {
        return condition.key == "duty/reclaiming" && condition.version == 88;
    }));
}

// A shard is reclaimed in this order: its lease expires, its record is rewritten, the checkpoints
// of its jobs are read, and only then its machines are used.
TEST(ControlParts, AShardIsReclaimedRecordFirstThenJobsThenMachines) {
    ControlFixture fixture;
    fixture.term.set_options(options_with_delegation());
    add_recorded_machines(fixture, 4);
    fixture.shard_allocator.on_peer_status(status_of_holder(3), 1000);
    fixture.shard_allocator.allocate_shards(1000);
    ASSERT_EQ(fixture.shard_allocator.leases().size(), 1u);
    const auto& [shard, lease] = *fixture.shard_allocator.leases().begin();
    EXPECT_TRUE(fixture.shard_allocator.renewals(900, 1000).empty())
        << "the shard is not recorded yet";
    EXPECT_EQ(fixture.shard_allocator.holder_of(lease.capacity[0].machine), "");
    RecordingGateway::answer(fixture.gateway.commits, 1010, committed(11));
    ASSERT_EQ(fixture.shard_allocator.renewals(900, 1050).size(), 1u);
    EXPECT_EQ(fixture.shard_allocator.holder_of(lease.capacity[0].machine), "holder-0");
    Job& too_large = fixture.add_job(test::job("job-1", "sweep", 9, 0));  // there are eight slots
    EXPECT_FALSE(fixture.shard_allocator.delegate_job(too_large, 1100));
    Job& job = fixture.add_job(test::job("job-2", "sweep", 8, 0));
    EXPECT_TRUE(fixture.shard_allocator.delegate_job(job, 1100));
    Job& surplus_job = fixture.add_job(test::job("job-3", "sweep", 1, 0));
    EXPECT_FALSE(fixture.shard_allocator.delegate_job(surplus_job, 1100)) << "all slots are taken";
    EXPECT_EQ(fixture.cluster.team_usage(job.team).cpus, 16);
    // The holder's process has ended, and another process has its name.
    fixture.shard_allocator.on_peer_status(status_of_holder(4), 1200);
    fixture.shard_allocator.check_leases(1300);
    EXPECT_EQ(lease.state, sharding::ShardLeaseState::expiring);
    EXPECT_TRUE(fixture.gateway.commits.empty()) << "the lease may not have expired yet";
    fixture.shard_allocator.check_leases(1050 + with_clock_drift(4'000) + 1);
    EXPECT_EQ(lease.state, sharding::ShardLeaseState::reclaiming);
    fixture.shard_lease_writer.write(7000);
    EXPECT_TRUE(fixture.gateway.lists.empty());
    RecordingGateway::answer(fixture.gateway.commits, 7010, committed(12));
    EXPECT_EQ(lease.state, sharding::ShardLeaseState::recovering);
    Machine* machine = fixture.cluster.machine_by_index(lease.capacity[0].machine);
    EXPECT_TRUE(machine->recovering_jobs);
    ASSERT_EQ(fixture.gateway.lists.size(), 1u);
    kvstore::ListReply runs;
    runs.status = Status::ok;
    runs.entries = {
        {"run/job-2/0", jobs::encode_run_record({1, {{1, 1, true, machine->name}}}), 13, false}};
    RecordingGateway::answer(fixture.gateway.lists, 7100, runs);
    EXPECT_FALSE(machine->recovering_jobs);
    EXPECT_TRUE(fixture.shard_allocator.leases().empty());
    EXPECT_EQ(job.completed_tasks, 1u);
    EXPECT_EQ(job.live_attempts, 1u) << "the recorded attempt may be running";
    EXPECT_EQ(job.unplaced_tasks(), 6u);
    EXPECT_EQ(fixture.cluster.team_usage(job.team).cpus, 2);
}

}  // namespace
