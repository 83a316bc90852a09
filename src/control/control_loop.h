/// @file
/// Connects the components of one term: the cluster state and the components that read and change
/// it. Defines which of them run on a heartbeat, a tick or a reply, and in which order.
/// docs/design.md gives an overview of the components.
#pragma once
#include <array>
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
#include "control/command_fence.h"
#include "control/command_sender.h"
#include "control/heartbeat_reconciler.h"
#include "control/machine_checker.h"
#include "control/reachability_monitor.h"
#include "control/reply_commands.h"
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

/// The scheduler of a leader's term (TermScope::whole_cluster) or of one leased shard
/// (TermScope::single_shard, created by ShardHolder).
///
/// Owns all components of the term and forwards events between them. The components make the
/// decisions. Owns no sockets and reads no clock: messages and times (milliseconds of the steady
/// clock) are arguments, and requests are sent through ServiceGateway. Everything runs on the
/// controller's loop thread. The term is over once a token or record of another controller was
/// seen. The control loop then no longer changes anything and notifies its owner through
/// ServiceGateway::on_deposed. The owner may destroy it only while none of its callbacks is
/// running. Called by Controller, HeartbeatHandler and ShardHolder. `settings` and `gateway` must
/// outlive it.
///
/// Order of calls: set_machine_types, inherit_lost_zone, load_shard, load_intents, load_job and
/// load_checkpoint, then start, then all other functions.
class ControlLoop : private cluster::ClusterObserver,
                    private cluster::ControlActions,
                    private sharding::ShardLeaseWriter::Listener,
                    private CommandSender::Listener,
                    private autoscaling::IntentLog::Listener {
  public:
    ControlLoop(const wire::Settings& settings, TermInfo info, ServiceGateway& gateway, Millis now,
                TermScope scope = TermScope::whole_cluster);

    // --- recovery of the leader's state, before start()

    void set_machine_types(const std::vector<wire::MachineType>& types) {
        cluster_.set_machine_types(types);
    }
    /// Loads a shard record of the key-value store. Its machines are granted again and probed.
    void load_shard(std::uint32_t shard_number, shards::Shard shard);
    /// Records that the previous leader has received nothing from the zone's machines since
    /// `since`. Called before load_shard().
    void inherit_lost_zone(const std::string& zone, Millis since) {
        failure_detector_.inherit_lost_zone(cluster_.intern_zone(zone), since);
    }
    /// Loads an open job.
    /// @param wall_ms the current time by the wall clock, which the record's acceptance time uses.
    void load_job(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                  Millis now) {
        cluster_.add_job(record, version, wall_ms, now);
    }
    /// Loads a checkpoint of a loaded job. Each chunk has 64 tasks.
    void load_checkpoint(const std::string& id, std::uint32_t chunk, const jobs::RunRecord& record,
                         std::uint64_t version, Millis now) {
        lifecycle_.load_checkpoint(id, chunk, record, version, inherited_token_, now);
    }
    /// Loads a provisioning intent of an earlier term. Ignores records of this or a later term and
    /// keys that cannot be parsed. Called after load_shard() and set_machine_types().
    void load_intents(const std::string& key, const wire::Json& value, std::uint64_t version);
    /// Completes the recovery and runs the first tick.
    void start(Millis now);

    // --- changes in the key-value store

    /// Handles a written open record: a job was accepted or its cancellation was requested.
    void on_open_record(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                        Millis now) {
        lifecycle_.on_open_record(record, version, wall_ms, now);
    }
    /// Handles a list of all open records, which is read after the watch has missed changes.
    void on_open_list(const kvstore::ListReply& all, std::int64_t wall_ms, Millis now);
    void on_open_record_deleted(const std::string& id, Millis now) {
        shard_allocator_.on_open_record_deleted(id);
        lifecycle_.on_open_record_deleted(id, now);
    }

    // --- limits and options

    /// Sets how many workers the controllers can serve. Called before each tick.
    void set_worker_capacity(const machines::WorkerCapacity& capacity) {
        reachability_monitor_.set_worker_capacity(capacity);
        autoscaler_.set_max_machines(capacity.max_machines);
    }
    /// Sets until when the lease is confirmed. No task is started after that.
    void confirm_lease_until(Millis until) { term_.confirm_lease_until(until); }
    void set_role_fence(lease::Role role, std::uint64_t fence) {
        term_.set_role_fence(role, fence);
    }

    void set_options(const admin::Options& options) { term_.set_options(options); }
    /// Sets where start times are recorded; with null they are not. `metrics` must outlive the
    /// control loop.
    void set_metrics(admin::Metrics* metrics) { metrics_ = metrics; }

    // --- heartbeats, instance lists and ticks

    /// Handles a heartbeat and returns its reply: misdirected if another term or controller is
    /// responsible for the machine, unavailable before start() and while the responsible controller
    /// is unknown.
    [[nodiscard]] machines::HeartbeatReply on_heartbeat(const wire::Heartbeat& heartbeat,
                                                        const machines::HeartbeatArrival& arrival,
                                                        Millis now);
    /// Handles a heartbeat that was received directly from its worker. `follows_reply` is defined
    /// in HeartbeatArrival.
    [[nodiscard]] machines::HeartbeatReply on_heartbeat(const wire::Heartbeat& heartbeat,
                                                        bool follows_reply, Millis now) {
        return on_heartbeat(heartbeat, machines::HeartbeatArrival{follows_reply, now}, now);
    }
    /// Handles the cloud's complete list of instances, which was requested at `requested_at`.
    void on_instances_listed(const std::vector<wire::CloudInstance>& instances, Millis requested_at,
                             Millis now);
    /// Performs all work that is due. Called several times a second.
    void tick(Millis now);

    // --- shards and delegation, the leader's side

    void on_peer_status(const peers::Status& status, Millis now);
    /// Returns the grants to send now, by peer.
    /// @param cancellations_known_until the time up to which every cancellation is known.
    [[nodiscard]] std::vector<sharding::AddressedGrant> shard_renewals(
        Millis cancellations_known_until, Millis now) {
        return shard_allocator_.renewals(cancellations_known_until, now);
    }
    void on_shard_status(const peers::ShardStatus& shard_status, Millis now) {
        shard_allocator_.on_shard_status(shard_status, now);
    }
    /// Returns the heartbeat delegations to send now, by peer. There are none while the lease is
    /// not confirmed. `cancellations_known_until` is as in shard_renewals().
    [[nodiscard]] std::vector<partition::AddressedDelegation> heartbeat_delegations(
        Millis cancellations_known_until, Millis now);
    /// Returns how long this leader and its partition responders may go on replying to heartbeats
    /// while they cannot learn of cancellations.
    [[nodiscard]] Millis max_response_window() const {
        return heartbeat_delegator_.response_window();
    }
    /// Returns the zones that are lost. The next leader passes them to inherit_lost_zone().
    [[nodiscard]] std::vector<peers::Status::LostZone> lost_zones(Millis now) const {
        return failure_detector_.lost_zones(now);
    }

    // --- a leased shard, the holder's side

    /// Takes over the shard's machines and starts.
    void take_shard(const peers::ShardGrant& grant, Millis now);
    /// Adds a delegated job with its checkpoints, unless it was added before.
    void add_delegated_job(const jobs::OpenRecord& record, std::uint64_t version,
                           const kvstore::ListReply& runs, std::int64_t wall_ms, Millis now);
    /// Stops the job's tasks at once and reads its record again, because the record's current
    /// version is needed to finish the job.
    void cancel_delegated_job(const std::string& id, Millis now);
    /// Returns the machines of the shard that the leader should release.
    [[nodiscard]] const std::vector<std::string>& unhealthy_machines() const {
        return cluster_.unhealthy_machines();
    }

    // --- status for users and operators

    struct Progress {
        bool known = false;                   ///< false: no open job has the id
        std::uint64_t done = 0, running = 0;  ///< tasks
    };
    [[nodiscard]] Progress progress(const std::string& id) const;
    struct Summary {
        std::size_t open_jobs = 0, waiting_tasks = 0, live_attempts = 0;
        std::array<std::size_t, machines::kMachineStateCount> machines{};  ///< by MachineState
    };
    [[nodiscard]] Summary summary() const;
    /// Returns whether most machines of every zone are unresponsive. The fault is then more likely
    /// in this controller than in the machines.
    [[nodiscard]] bool all_zones_unresponsive() const {
        return failure_detector_.all_mostly_unresponsive();
    }
    /// Returns whether another controller should lead because heartbeats arrive through other
    /// controllers while no command of this one reaches a machine.
    [[nodiscard]] bool commands_lost(Millis now) const {
        return machine_checker_.commands_lost(now);
    }
    /// Returns the cluster state for the administration page (OverviewPage).
    [[nodiscard]] wire::Json overview(Millis now) const;

    drain::Planner& drain_planner() { return drain_planner_; }
    [[nodiscard]] const machines::MachineRegistry& registry() const { return cluster_.registry(); }
    [[nodiscard]] const cluster::ClusterState::Jobs& open_jobs() const { return cluster_.jobs(); }

  private:
    using Job = jobs::Job;
    using Attempt = jobs::Attempt;
    using Machine = machines::Machine;
    using MachineState = machines::MachineState;

    // cluster::ClusterObserver
    void on_job_added(Job& job) override { forecast_.on_job_added(job); }
    void on_machine_counts_changed(Index zone, int up, int unresponsive) override {
        failure_detector_.adjust_counts(zone, up, unresponsive);
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

    // cluster::ControlActions
    void queue_commands(Machine& machine) override { command_sender_.queue(machine); }
    void advance_job(Job& job, Millis now) override { lifecycle_.advance_job(job, now); }
    void send_queued_commands(Millis now) override { command_sender_.send_queued(now); }
    void schedule_if_needed(Millis now) override;

    // sharding::ShardLeaseWriter::Listener
    void on_machine_granted(Machine& machine, Millis now) override {
        heartbeat_reconciler_.join_machine(machine, now);
    }
    void on_shard_recorded(std::uint32_t shard, Millis now) override {
        shard_allocator_.on_shard_recorded(shard, now);
    }

    // autoscaling::IntentLog::Listener
    void on_intents_recorded(lease::Role role, const std::vector<std::string>& names,
                             Millis now) override {
        autoscaler_.on_intents_recorded(role, names, now);
    }

    // CommandSender::Listener
    void on_command_reply(Machine& machine, const wire::Heartbeat& heartbeat, Millis now) override {
        heartbeat_reconciler_.on_command_reply(machine, heartbeat, now);
    }
    void on_commands_rejected(CommandRejection rejection) override;

    void inherit_machine(const shards::ShardMember& member, std::uint64_t token);
    void run_scheduling_pass(Millis now);
    void place_or_delegate(Job& job, Millis now);
    void scale_out_if_due(const std::vector<Job*>& unplaced, Millis now);

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
    CommandFence command_fence_;
    ReplyCommands reply_commands_;
    CommandSender command_sender_;
    ReachabilityMonitor reachability_monitor_;
    HeartbeatReconciler heartbeat_reconciler_;
    MachineChecker machine_checker_;

    admin::Metrics* metrics_ = nullptr;
    bool started_ = false;
    Millis started_at_ = 0;              ///< when the control loop was created
    std::uint64_t inherited_token_ = 0;  ///< upper bound of earlier terms' and holders' tokens
    Millis next_scheduling_at_ = 0, next_autoscaling_at_ = 0;
};

}  // namespace nickelramp::control
