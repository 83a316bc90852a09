// The parts of a term, each to be asked at its own interface: what they ask of the world is kept
// until a test answers it, and what they say upwards reaches those that it concerns.
#pragma once
#include <deque>
#include <functional>
#include <string>
#include <tuple>
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

// Everything that was asked, oldest first.
struct RecordingGateway : cluster::ServiceGateway {
    template <typename Reply>
    using Done = std::function<void(Millis, const Reply&)>;
    struct Direct {
        std::string machine;
        std::uint64_t token, session;
        std::vector<wire::Command> commands;
        Done<cluster::CommandReply> done;
    };
    struct Hire {
        std::string request, type, zone;
        bool spot;
        std::uint32_t count;
        Done<cloud::ProvisionReply> done;
    };
    std::deque<std::pair<kvstore::Transaction, Done<kvstore::CommitReply>>> commits;
    std::deque<std::pair<std::string, Done<kvstore::GetReply>>> reads;
    std::deque<std::pair<std::string, Done<kvstore::ListReply>>> lists;
    std::deque<Direct> command_messages;
    std::deque<Hire> provision_calls;
    std::deque<std::pair<std::vector<std::string>, std::function<void(Millis, bool)>>>
        release_calls;
    std::vector<lease::Role> refutations;
    std::string ended;

    void commit(kvstore::Transaction transaction, Done<kvstore::CommitReply> done) override {
        test_trace().add(0, "commit", traced(transaction));
        commits.emplace_back(std::move(transaction), std::move(done));
    }
    void read(const std::string& key, Done<kvstore::GetReply> done) override {
        test_trace().add(0, "get", key);
        reads.emplace_back(key, std::move(done));
    }
    void list(const std::string& prefix, Done<kvstore::ListReply> done) override {
        test_trace().add(0, "list", prefix);
        lists.emplace_back(prefix, std::move(done));
    }
    void send_commands(const std::string& machine, const std::string& address, std::uint64_t token,
                       std::uint64_t session, const std::vector<wire::Command>& commands,
                       Done<cluster::CommandReply> done) override {
        test_trace().add(0, "direct", machine, address, token, session, traced(commands));
        command_messages.push_back({machine, token, session, commands, std::move(done)});
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
        release_calls.emplace_back(names, std::move(done));
    }
    void on_role_fence_rejected(lease::Role role) override {
        test_trace().add(0, "refuted", static_cast<int>(role));
        refutations.push_back(role);
    }
    void on_deposed(const std::string& why) override {
        test_trace().add(0, "deposed");
        ended = why;
    }

    // Answers the oldest of a kind and forgets it.
    template <typename Asked, typename Reply>
    static void answer(std::deque<Asked>& asked, Millis now, const Reply& reply) {
        ASSERT_FALSE(asked.empty()) << "nothing was asked";
        const Asked front = std::move(asked.front());
        asked.pop_front();
        if constexpr (requires { front.done; })
            front.done(now, reply);
        else
            front.second(now, reply);
    }
};

struct ControlFixture : cluster::ClusterObserver,
                        cluster::ControlActions,
                        sharding::ShardLeaseWriter::Listener,
                        control::CommandSender::Listener,
                        autoscaling::IntentLog::Listener {
    explicit ControlFixture(wire::Settings s = simulation_settings(),
                            std::vector<wire::MachineType> t = {})
        : settings(std::move(s)) {
        if (t.empty()) {
            t = {{"g4", 16, 4, 64, 50, 1, 10, 4, 10, {"a", "b"}},
                 {"plain", 8, 0, 32, 50, 1, 1, 0.4, 10, {"a", "b"}}};
        }
        cluster.set_machine_types(t);
        for (lease::Role role : lease::kAllRoles)
            term.set_role_fence(role, 60 + static_cast<unsigned>(role));
    }

    wire::Settings settings;
    RecordingGateway gateway;
    cluster::TermContext term{
        settings, {7, "lead/term", 70}, cluster::TermScope::whole_cluster, gateway};
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
    control::CommandSender command_sender{term, cluster, *this, failure_detector, *this};
    std::vector<std::pair<int, int>> counted{4};  // by zone: up, silent
    std::size_t heartbeats = 0;

    void on_job_added(jobs::Job& job) override { forecast.on_job_added(job); }
    void on_machine_counts_changed(Index zone, int up, int silent) override {
        counted[zone].first += up;
        counted[zone].second += silent;
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
    void on_shard_recorded(std::uint32_t block, Millis now) override {
        shard_allocator.on_shard_recorded(block, now);
    }
    void on_intents_recorded(lease::Role role, const std::vector<std::string>& names,
                             Millis now) override {
        autoscaler.on_intents_recorded(role, names, now);
    }
    // What is to be asked of the cloud gets on record.
    void record_intents(Millis now) {
        intent_log.write(now);
        while (!gateway.commits.empty()) {
            kvstore::CommitReply ok;
            ok.status = kvstore::Status::ok;
            ok.revision = ++revision;
            RecordingGateway::answer(gateway.commits, now, ok);
        }
    }
    std::uint64_t revision = 1000;
    void on_command_reply(machines::Machine&, const wire::Heartbeat&, Millis) override {
        ++heartbeats;
    }

    // A machine that may be given tasks.
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
    jobs::Job& add_job(const wire::Json& spec, Millis now = 0, std::uint64_t version = 1) {
        const auto parsed = wire::parse_job(spec);
        EXPECT_TRUE(parsed) << parsed.error().message();
        jobs::Job& job = cluster.add_job({*parsed, now, false, false}, version, now, now);
        cluster.enqueue_job(job);
        return job;
    }
};

}  // namespace nickelramp::test
