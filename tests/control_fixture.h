/// @file
/// The components of a leader's term, each of which a test can call at its own interface. Requests
/// to the key-value store, to workers and to the cloud are recorded until the test replies to them.
/// Notifications between components are delivered.
#pragma once
#include <deque>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "autoscaling/autoscaler.h"
#include "control/command_sender.h"
#include "lifecycle/job_lifecycle.h"
#include "scheduling/job_queue.h"
#include "scheduling/scheduler.h"
#include "sharding/shard_allocator.h"
#include "sharding/shard_lease_writer.h"
#include "tests/cluster_simulation.h"
#include "tests/trace.h"

namespace nickelramp::test {

// Returns the reply to a transaction that was executed at this revision.
inline kvstore::CommitReply committed(std::uint64_t revision) {
    kvstore::CommitReply reply;
    reply.status = kvstore::Status::ok;
    reply.revision = revision;
    return reply;
}

// Records every request, oldest first. The test replies with answer().
struct RecordingGateway : cluster::ServiceGateway {
    template <typename Reply>
    using Done = std::function<void(Millis, const Reply&)>;
    struct CommitCall {
        kvstore::Transaction transaction;
        Done<kvstore::CommitReply> done;
    };
    struct ReadCall {
        std::string key;
        Done<kvstore::GetReply> done;
    };
    struct ListCall {
        std::string prefix;
        Done<kvstore::ListReply> done;
    };
    struct CommandMessage {
        std::string machine;
        std::uint64_t token, incarnation;
        std::vector<wire::Command> commands;
        Done<cluster::CommandReply> done;
    };
    struct ProvisionCall {
        std::string request, type, zone;
        bool spot;
        std::uint32_t count;
        Done<cloud::ProvisionReply> done;
    };
    struct ReleaseCall {
        std::vector<std::string> machines;
        std::function<void(Millis, bool)> done;
    };
    std::deque<CommitCall> commits;
    std::deque<ReadCall> reads;
    std::deque<ListCall> lists;
    std::deque<CommandMessage> command_messages;
    std::deque<ProvisionCall> provision_calls;
    std::deque<ReleaseCall> release_calls;
    std::vector<lease::Role> rejected_roles;  // whose fences made a transaction fail
    std::string ended;                        // why the term ended, empty if it has not

    void commit(kvstore::Transaction transaction, Done<kvstore::CommitReply> done) override {
        test_trace().add(0, "commit", traced(transaction));
        commits.push_back({std::move(transaction), std::move(done)});
    }
    void read(const std::string& key, Done<kvstore::GetReply> done) override {
        test_trace().add(0, "get", key);
        reads.push_back({key, std::move(done)});
    }
    void list(const std::string& prefix, Done<kvstore::ListReply> done) override {
        test_trace().add(0, "list", prefix);
        lists.push_back({prefix, std::move(done)});
    }
    void send_commands(const std::string& machine, const std::string& address, std::uint64_t token,
                       std::uint64_t incarnation, const std::vector<wire::Command>& commands,
                       Done<cluster::CommandReply> done) override {
        test_trace().add(0, "direct", machine, address, token, incarnation, traced(commands));
        command_messages.push_back({machine, token, incarnation, commands, std::move(done)});
    }
    void provision_machines(const std::string& request, const std::string& type,
                            const std::string& zone, bool spot, std::uint32_t count,
                            Done<cloud::ProvisionReply> done) override {
        test_trace().add(0, "rent", request, type, zone, spot, count);
        provision_calls.push_back({request, type, zone, spot, count, std::move(done)});
    }
    void release_machines(const std::vector<std::string>& names,
                          std::function<void(Millis, bool)> done) override {
        test_trace().add(0, "return", names);
        release_calls.push_back({names, std::move(done)});
    }
    void on_role_fence_rejected(lease::Role role) override {
        test_trace().add(0, "refuted", static_cast<int>(role));
        rejected_roles.push_back(role);
    }
    void on_deposed(const std::string& why) override {
        test_trace().add(0, "deposed");
        ended = why;
    }

    // Removes the oldest request from the queue and replies to it.
    template <typename Call, typename Reply>
    static void answer(std::deque<Call>& calls, Millis now, const Reply& reply) {
        ASSERT_FALSE(calls.empty()) << "no such request is pending";
        const Call oldest = std::move(calls.front());
        calls.pop_front();
        oldest.done(now, reply);
    }
};

// Machine counts of a zone, as reported to the observer.
struct MachineCounts {
    int up = 0, unresponsive = 0;
    bool operator==(const MachineCounts&) const = default;
};

// All components of a leader's term 7, connected as in the control loop.
struct ControlFixture : cluster::ClusterObserver,
                        cluster::ControlActions,
                        sharding::ShardLeaseWriter::Listener,
                        control::CommandSender::Listener,
                        autoscaling::IntentLog::Listener {
    explicit ControlFixture(wire::Settings initial_settings = simulation_settings(),
                            std::vector<wire::MachineType> types = {},
                            cluster::TermScope term_scope = cluster::TermScope::whole_cluster)
        : settings(std::move(initial_settings)), scope(term_scope) {
        if (types.empty()) {
            types = {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}},
                     {"plain", 8, 0, 32, 50, 1, 1, 0.4, 10, {"a", "b"}}};
        }
        cluster.set_machine_types(types);
        for (lease::Role role : lease::kAllRoles)
            term.set_role_fence(role, 60 + static_cast<unsigned>(role));
    }

    wire::Settings settings;
    cluster::TermScope scope;
    RecordingGateway gateway;
    cluster::TermContext term{settings, {7, "lead/term", 70}, scope, gateway};
    cluster::ClusterState cluster{term, *this, *this, 0};
    forecast::DemandForecast forecast{term, cluster};
    cloud::ProvisioningTracker provisioning;
    autoscaling::IntentLog intent_log{term, *this};
    partition::HeartbeatDelegator heartbeat_delegator{settings};
    failure::FailureDetector failure_detector{term, cluster, heartbeat_delegator};
    lifecycle::CheckpointWriter checkpoint_writer{term, cluster, *this};
    sharding::ShardLeaseWriter shard_lease_writer{term, cluster, *this, *this};
    lifecycle::JobLifecycle lifecycle{term, cluster, checkpoint_writer};
    scheduling::PlacementRules placement_rules{term, cluster, forecast};
    scheduling::JobQueue job_queue{term, cluster, forecast, placement_rules, provisioning};
    scheduling::Scheduler scheduler{cluster, forecast, placement_rules};
    sharding::ShardAllocator shard_allocator{
        term, cluster, *this, shard_lease_writer, lifecycle, forecast, placement_rules};
    autoscaling::Autoscaler autoscaler{term,       cluster,         *this,
                                       forecast,   placement_rules, provisioning,
                                       intent_log, failure_detector};
    control::CommandFence command_fence{term, cluster, shard_lease_writer.table()};
    control::CommandSender command_sender{term,          cluster,          *this,
                                          command_fence, failure_detector, *this};
    std::vector<MachineCounts> machine_counts{4};  // by zone
    std::size_t heartbeats = 0;

    void on_job_added(jobs::Job& job) override { forecast.on_job_added(job); }
    void on_machine_counts_changed(Index zone, int up, int unresponsive) override {
        machine_counts[zone].up += up;
        machine_counts[zone].unresponsive += unresponsive;
    }
    void on_machine_changed(machines::Machine& machine) override {
        forecast.on_machine_changed(machine);
    }
    void on_machine_gone(const machines::Machine&) override {}
    void on_task_running_changed(const jobs::Job& job, bool begins) override {
        forecast.on_task_running_changed(job, begins);
    }
    void on_first_run(const jobs::Job&, const jobs::Attempt&, Millis) override {}
    void on_task_completed(const jobs::Job& job, const jobs::Attempt& attempt,
                           Millis now) override {
        forecast.on_task_completed(job, attempt, now);
    }
    void queue_commands(machines::Machine& machine) override { command_sender.queue(machine); }
    void advance_job(jobs::Job& job, Millis now) override { lifecycle.advance_job(job, now); }
    void send_queued_commands(Millis now) override { command_sender.send_queued(now); }
    void schedule_if_needed(Millis) override {}
    void on_machine_granted(machines::Machine&, Millis) override {}
    void on_shard_recorded(std::uint32_t shard, Millis now) override {
        shard_allocator.on_shard_recorded(shard, now);
    }
    void on_intents_recorded(lease::Role role, const std::vector<std::string>& names,
                             Millis now) override {
        autoscaler.on_intents_recorded(role, names, now);
    }
    // Writes the intents and replies to all pending transactions that they were executed.
    void record_intents(Millis now) {
        intent_log.write(now);
        while (!gateway.commits.empty())
            RecordingGateway::answer(gateway.commits, now, committed(++revision));
    }
    std::uint64_t revision = 1000;
    void on_command_reply(machines::Machine&, const wire::Heartbeat&, Millis) override {
        ++heartbeats;
    }
    void on_commands_rejected(control::CommandRejection rejection) override {
        rejections.push_back(rejection);
    }
    std::vector<control::CommandRejection> rejections;

    // Adds a machine that accepts tasks under the token of this term.
    machines::Machine& add_ready_machine(const std::string& name, const std::string& type,
                                         const std::string& zone, bool spot = false,
                                         Millis now = 0) {
        machines::Machine* machine = cluster.add_machine(name, now);
        cluster.set_machine_identity(*machine, name + ":1", type, zone, spot);
        machine->up_at = 1;
        cluster.take_control(*machine, shards::term_token(7), now);
        wire::Heartbeat heartbeat;
        heartbeat.incarnation = heartbeat.sequence = 1;
        heartbeat.token = machine->token;
        EXPECT_EQ(machine->channel.on_heartbeat(heartbeat, false, now),
                  machines::EvidenceFreshness::fresh);
        machine->shard_recorded = true;
        cluster.set_machine_state(*machine, machines::MachineState::ready);
        return *machine;
    }
    // Adds a job that was accepted at `now` and waits for slots.
    jobs::Job& add_job(const wire::Json& spec, Millis now = 0, std::uint64_t version = 1) {
        const auto parsed = wire::parse_job(spec);
        EXPECT_TRUE(parsed) << parsed.error().message();
        jobs::Job& job = cluster.add_job({*parsed, now, false, false}, version, now, now);
        cluster.enqueue_job(job);
        return job;
    }
};

}  // namespace nickelramp::test
