// One term's decisions put together: the book, the parts around it, and what a report, a tick or an
// answer sets off, in which order. It owns no sockets and reads no clock; time and messages are
// arguments, effects go through the outbox. docs/design.md has the map of the parts.
#pragma once
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "admin/metrics.h"
#include "admin/options.h"
#include "autoscaling/autoscaler.h"
#include "autoscaling/intent_log.h"
#include "autoscaling/rebalancer.h"
#include "cloud/provisioning_tracker.h"
#include "cluster/cluster_state.h"
#include "control/command_sender.h"
#include "drain/planner.h"
#include "failure/failure_detector.h"
#include "forecast/demand_forecast.h"
#include "lifecycle/checkpoint_writer.h"
#include "lifecycle/job_lifecycle.h"
#include "machines/heartbeat_reply.h"
#include "machines/worker_capacity.h"
#include "partition/heartbeat_delegator.h"
#include "partition/partition_responder.h"
#include "peers/messages.h"
#include "scheduling/job_queue.h"
#include "scheduling/placement_rules.h"
#include "scheduling/scheduler.h"
#include "sharding/shard_allocator.h"
#include "sharding/shard_lease_writer.h"
#include "wire/settings.h"

namespace nickelramp::control {

using cluster::CommandReply;
using cluster::DeliveryStatus;
using cluster::ServiceGateway;
using cluster::TermInfo;
using cluster::TermScope;

class ControlLoop : private cluster::ClusterObserver,
                    private cluster::ControlActions,
                    private sharding::ShardLeaseWriter::Listener,
                    private CommandSender::Listener,
                    private autoscaling::IntentLog::Listener {
  public:
    ControlLoop(const wire::Settings& settings, TermInfo info, ServiceGateway& gateway, Millis now,
                TermScope role = TermScope::whole_cluster);

    // Recovery, before anything else.
    void set_machine_types(const std::vector<wire::MachineType>& types) {
        cluster_.set_machine_types(types);
    }
    void load_shard(std::uint32_t n, shards::Shard shard);
    // Before the blocks: the leader before this one had not heard the zone's machines since then.
    void expect_lost_zone(const std::string& zone, Millis since) {
        failure_detector_.expect_lost_zone(cluster_.intern_zone(zone), since);
    }
    void load_job(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                  Millis now) {
        cluster_.add_job(record, version, wall_ms, now);
    }
    void load_checkpoint(const std::string& id, std::uint32_t chunk, const jobs::RunRecord& record,
                         std::uint64_t version, Millis now) {
        lifecycle_.load_checkpoint(id, chunk, record, version, inherited_token_, now);
    }
    // After blocks and types: what earlier terms had on record as asked of the cloud.
    void load_intents(const std::string& key, const wire::Json& value, std::uint64_t version);
    void start(Millis now);

    // News from the state service.
    void on_open_record(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                        Millis now) {
        lifecycle_.on_open_record(record, version, wall_ms, now);
    }
    // All of them, where the watch has missed changes.
    void on_open_list(const kvstore::ListReply& all, std::int64_t wall_ms, Millis now);
    void on_open_record_deleted(const std::string& id, Millis now) {
        shard_allocator_.on_open_record_deleted(id);
        lifecycle_.on_open_record_deleted(id, now);
    }
    // What the controllers can take reports from; asked before each tick.
    void set_worker_capacity(const machines::WorkerCapacity& enrolment) {
        worker_capacity_ = enrolment;
        autoscaler_.set_max_machines(enrolment.max_machines);
    }
    // Beyond that nothing new is started.
    void confirm_lease_until(Millis until) { term_.confirm_lease_until(until); }
    void set_role_fence(lease::Role role, std::uint64_t fence) {
        term_.set_role_fence(role, fence);
    }

    machines::HeartbeatReply on_heartbeat(const wire::Heartbeat& heartbeat,
                                          const machines::HeartbeatArrival& arrival, Millis now);
    // Of a report that came straight from its worker.
    machines::HeartbeatReply on_heartbeat(const wire::Heartbeat& heartbeat, bool follows,
                                          Millis now) {
        return on_heartbeat(heartbeat, machines::HeartbeatArrival{follows, now}, now);
    }
    // A whole list, asked for at that time.
    void on_instances_listed(const std::vector<wire::CloudInstance>& hosts, Millis asked,
                             Millis now);
    void tick(Millis now);

    // Sharing, the leader's side.
    void on_peer_status(const peers::Status& status, Millis now);
    std::vector<sharding::AddressedGrant> shard_renewals(Millis view_fresh, Millis now) {
        return shard_allocator_.renewals(view_fresh, now);
    }
    void on_shard_status(const peers::ShardStatus& shard_status, Millis now) {
        shard_allocator_.on_shard_status(shard_status, now);
    }
    // The leaves to send now, to those that may answer machines when the leader is out of reach.
    std::vector<partition::AddressedDelegation> heartbeat_delegations(Millis view_fresh,
                                                                      Millis now);
    Millis max_response_window() const { return heartbeat_delegator_.response_window(); }
    std::vector<peers::Status::LostZone> lost_zones(Millis now) const {
        return failure_detector_.lost_zones(now);
    }
    void set_options(const admin::Options& options) { term_.set_options(options); }

    // Sharing, the holder's side.
    void take_shard(const peers::ShardGrant& grant, Millis now);
    void add_delegated_job(const jobs::OpenRecord& record, std::uint64_t version,
                           const kvstore::ListReply& runs, std::int64_t wall_ms, Millis now);
    void cancel_delegated_job(const std::string& id, Millis now);
    const std::vector<std::string>& unhealthy_machines() const {
        return cluster_.unhealthy_machines();
    }

    // What users and operators see.
    struct Progress {
        bool known = false;
        std::uint64_t done = 0, running = 0;
    };
    Progress progress(const std::string& id) const;
    struct Summary {
        std::size_t open_jobs = 0, waiting_tasks = 0, live_attempts = 0;
        std::size_t machines[7] = {};
    };
    Summary summary() const;
    // Most machines of every zone have fallen silent: rather this node's trouble than theirs.
    bool all_zones_unresponsive() const { return failure_detector_.all_mostly_unresponsive(); }
    // Reports arrive through other controllers, and no command of this one's reaches a machine:
    // somebody else had better lead.
    bool commands_lost(Millis now) const;
    void set_metrics(admin::Metrics* metrics) { metrics_ = metrics; }
    // The jobs that wait, with the reason, and those past or about to pass an objective.
    wire::Json overview(Millis now) const;

    drain::Planner& drain_planner() { return drain_planner_; }

    // For tests and administration.
    const machines::MachineRegistry& registry() const { return cluster_.registry(); }
    const cluster::ClusterState::Jobs& open_jobs() const { return cluster_.jobs(); }

  private:
    using Job = jobs::Job;
    using Attempt = jobs::Attempt;
    using AttemptState = jobs::AttemptState;
    using Machine = machines::Machine;
    using MachineState = machines::MachineState;

    // What the parts say upwards.
    void on_job_added(Job& job) override { forecast_.on_job_added(job); }
    void on_machine_counts_changed(Index zone, int up, int silent) override {
        failure_detector_.adjust_counts(zone, up, silent);
    }
    void on_machine_changed(Machine& machine) override { forecast_.on_machine_changed(machine); }
    void on_machine_gone(const Machine& machine) override;
    void on_task_running_changed(const Job& job, bool begins) override {
        forecast_.on_task_running_changed(job, begins);
    }
    void on_first_run(const Job& job, const Attempt& attempt, Millis now) override;
    void on_task_completed(const Job& job, const Attempt& attempt, Millis now) override {
        forecast_.on_task_completed(job, attempt, now);
    }
    void queue_commands(Machine& machine) override { command_sender_.queue(machine); }
    void advance_job(Job& job, Millis now) override { lifecycle_.advance_job(job, now); }
    void send_queued_commands(Millis now) override { command_sender_.send_queued(now); }
    void schedule_if_needed(Millis now) override;
    void on_machine_granted(Machine& machine, Millis now) override { join_machine(machine, now); }
    void on_shard_recorded(std::uint32_t block, Millis now) override {
        shard_allocator_.on_shard_recorded(block, now);
    }
    void on_intents_recorded(lease::Role role, const std::vector<std::string>& names,
                             Millis now) override {
        autoscaler_.on_intents_recorded(role, names, now);
    }
    void on_command_reply(Machine& machine, const wire::Heartbeat& heartbeat, Millis now) override;

    // reports.cpp
    // `session`: of what was known before.
    void apply_heartbeat(Machine& machine, const wire::Heartbeat& heartbeat, std::uint64_t session,
                         bool anew, Millis now);
    void on_machine_reached(Machine& machine, Millis now);
    machines::Reachability reachability_of(const Machine& machine, Millis now) const;
    void probe(Machine& machine, Millis now);
    machines::HeartbeatReply handle_unproven_heartbeat(Machine& machine,
                                                       machines::EvidenceFreshness freshness,
                                                       Millis now);
    Millis unresponsive_timeout() const;
    void join_machine(Machine& machine, Millis now);

    // watch.cpp
    void check_machines(Millis now);
    void check_machine(Machine& machine, Millis now);
    void probe_unverified_machines(Millis now);
    void check_boot(Machine& machine, Millis now);
    void check_idle(Machine& machine, Millis now);

    // dispatcher.cpp
    void inherit_machine(const shards::ShardMember& member, std::uint64_t token);
    void run_scheduling_pass(Millis now);

    // overview.cpp
    std::string waiting_reason(const Job& job, Millis now) const;

    cluster::TermContext term_;
    cluster::ClusterState cluster_;
    forecast::DemandForecast forecast_;
    cloud::ProvisioningTracker provisioning_;
    autoscaling::IntentLog intent_log_;
    partition::HeartbeatDelegator heartbeat_delegator_;
    failure::FailureDetector failure_detector_;
    lifecycle::CheckpointWriter checkpoint_writer_;
    sharding::ShardLeaseWriter shard_lease_writer_;
    lifecycle::JobLifecycle lifecycle_;
    scheduling::PlacementRules placement_rules_;
    scheduling::JobQueue job_queue_;
    scheduling::Scheduler scheduler_;
    sharding::ShardAllocator shard_allocator_;
    autoscaling::Autoscaler autoscaler_;
    autoscaling::Rebalancer rebalancer_;
    drain::Planner drain_planner_;
    CommandSender command_sender_;

    admin::Metrics* metrics_ = nullptr;
    machines::WorkerCapacity worker_capacity_;
    bool started_ = false;
    Millis started_at_ = 0;
    std::size_t next_probe_index_ = 0;
    std::uint64_t inherited_token_ = 0;  // what was started before used at most this one
    Millis next_scheduling_at_ = 0, next_autoscaling_at_ = 0, next_probe_at_ = 0;
};

}  // namespace nickelramp::control
