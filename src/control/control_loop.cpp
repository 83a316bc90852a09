#include "control/control_loop.h"

#include <set>

#include "control/overview_page.h"

namespace nickelramp::control {

using jobs::JobState;

namespace {
// The minimum time between two scheduling passes. Changes are collected meanwhile.
constexpr Millis kSchedulingInterval = 20;
// The interval is one millisecond longer for each group of this many pending jobs.
constexpr std::size_t kPendingJobsPerMillisecond = 4;
// The next scheduling pass runs at most this late even if nothing changed, because priorities also
// change with time.
constexpr Millis kMaxSchedulingDelay = 1'000;
// Short compared with the time that a machine takes to boot.
constexpr Millis kAutoscalingInterval = 250;
constexpr double kMillisPerSecond = 1'000;
}  // namespace

ControlLoop::ControlLoop(const wire::Settings& settings, TermInfo info, ServiceGateway& gateway,
                         Millis now, TermScope scope)
    : term_(settings, std::move(info), scope, gateway),
      cluster_(term_, *this, *this, now),
      forecast_(term_, cluster_),
      intent_log_(term_, *this),
      heartbeat_delegator_(settings),
      failure_detector_(term_, cluster_, heartbeat_delegator_),
      checkpoint_writer_(term_, cluster_, *this),
      shard_lease_writer_(term_, cluster_, *this, *this),
      lifecycle_(term_, cluster_, checkpoint_writer_),
      placement_rules_(term_, cluster_, forecast_),
      job_queue_(term_, cluster_, forecast_, placement_rules_, provisioning_),
      scheduler_(cluster_, forecast_, placement_rules_),
      shard_allocator_(term_, cluster_, *this, shard_lease_writer_, lifecycle_, forecast_,
                       placement_rules_),
      autoscaler_(term_, cluster_, *this, forecast_, placement_rules_, provisioning_, intent_log_,
                  failure_detector_),
      rebalancer_(term_, cluster_, placement_rules_),
      drain_planner_(term_, cluster_, forecast_, placement_rules_, failure_detector_),
      command_fence_(term_, cluster_, shard_lease_writer_.table()),
      reply_commands_(cluster_, command_fence_),
      command_sender_(term_, cluster_, *this, command_fence_, failure_detector_, *this),
      reachability_monitor_(settings),
      heartbeat_reconciler_(term_, cluster_, *this, command_fence_, reply_commands_,
                            command_sender_, reachability_monitor_, shard_allocator_,
                            shard_lease_writer_),
      machine_checker_(term_, cluster_, autoscaler_, command_sender_, failure_detector_,
                       heartbeat_delegator_, reachability_monitor_),
      started_at_(now),
      inherited_token_(shards::term_token(term_.info().number) - 1) {}

// --- recovery of the leader's state, before start()

// Adds a machine that belonged to another term or shard holder until now. It is probed to find out
// which tasks it runs.
void ControlLoop::inherit_machine(const shards::ShardMember& member, std::uint64_t token) {
    Machine* machine = cluster_.add_machine(member.name, started_at_);
    cluster_.set_machine_identity(*machine, member.address, member.type, member.zone, member.spot);
    machine->up_at = started_at_;
    machine->lease_until = cluster_.inherited_leases_expire_at();
    cluster_.take_control(*machine, token,
                          failure_detector_.last_reached_at(machine->zone, started_at_));
    cluster_.set_machine_state(*machine, MachineState::joining);
}

void ControlLoop::load_shard(std::uint32_t shard_number, shards::Shard shard) {
    shards::ShardLeaseTable& table = shard_lease_writer_.table();
    table.load_shard(shard_number, std::move(shard));
    const shards::Shard& loaded = table.shard(shard_number);
    for (const shards::ShardMember& member : loaded.members)
        inherit_machine(member, loaded.fencing_token);
}

void ControlLoop::load_intents(const std::string& key, const wire::Json& value,
                               std::uint64_t version) {
    const auto parsed = autoscaling::parse_intent_key(key);
    if (!parsed || parsed->second >= term_.info().number) return;
    autoscaler_.inherit_intents(parsed->first, intent_log_.load(parsed->first, key, value, version),
                                started_at_);
}

void ControlLoop::start(Millis now) {
    started_ = true;
    for (const auto& [id, job] : cluster_.jobs()) lifecycle_.complete_load(*job, now);
    tick(now);
}

// --- events, heartbeats and instance lists

void ControlLoop::on_machine_gone(const Machine& machine) {
    if (machine.type != kNone)
        provisioning_.on_machine_freed({machine.type, machine.zone, machine.spot});
    shard_lease_writer_.table().remove_machine(machine.name);
    intent_log_.remove(lease::Role::scale_in, machine.name);
}

void ControlLoop::on_first_run(const Job& job, const Attempt& attempt, Millis now) {
    if (metrics_ == nullptr || attempt.number != 1) return;
    metrics_->record_start(job.spec.job_class,
                           static_cast<double>(now - job.accepted_at) / kMillisPerSecond);
}

void ControlLoop::on_commands_rejected(CommandRejection rejection) {
    if (metrics_ != nullptr) metrics_->record_rejected_commands(name(rejection));
}

// Every job of the cluster state was read before the list was requested. A job that is missing from
// the list has therefore been deleted.
void ControlLoop::on_open_list(const kvstore::ListReply& all, std::int64_t wall_ms, Millis now) {
    std::set<std::string> deleted;
    for (const auto& [id, job] : cluster_.jobs()) deleted.insert(id);
    for (const kvstore::Entry& entry : all.entries) {
        deleted.erase(jobs::job_id_of_open_key(entry.key));
        if (const auto record = jobs::decode_open_record(entry.value))
            on_open_record(*record, entry.version, wall_ms, now);
    }
    for (const std::string& id : deleted) on_open_record_deleted(id, now);
}

machines::HeartbeatReply ControlLoop::on_heartbeat(const wire::Heartbeat& heartbeat,
                                                   const machines::HeartbeatArrival& arrival,
                                                   Millis now) {
    if (term_.superseded_by_token(heartbeat, now)) return machines::HeartbeatReply::misdirected();
    if (term_.is_over() || !started_) return machines::HeartbeatReply::unavailable();
    return heartbeat_reconciler_.on_heartbeat(heartbeat, arrival, now);
}

void ControlLoop::schedule_if_needed(Millis now) {
    if (cluster_.scheduling_needed() && now >= next_scheduling_at_) run_scheduling_pass(now);
}

void ControlLoop::on_instances_listed(const std::vector<wire::CloudInstance>& instances,
                                      Millis requested_at, Millis now) {
    autoscaler_.on_instances_listed(instances, now);
    if (!term_.is_shard_holder())
        failure_detector_.check_missing_instances(instances, requested_at, now);
}

void ControlLoop::on_peer_status(const peers::Status& status, Millis now) {
    heartbeat_delegator_.on_peer_status(status, term_.info().number, now);
    shard_allocator_.on_peer_status(status, now);
}

std::vector<partition::AddressedDelegation> ControlLoop::heartbeat_delegations(
    Millis cancellations_known_until, Millis now) {
    if (!term_.lease_confirmed(now)) return {};
    return heartbeat_delegator_.delegations(
        term_.info().number, shard_lease_writer_.table().highest_granted_token(),
        shard_allocator_.active_tokens(), cancellations_known_until, now);
}

// --- a leased shard, the holder's side

void ControlLoop::take_shard(const peers::ShardGrant& grant, Millis now) {
    term_.set_shard_condition(
        {shards::shard_key(static_cast<std::uint32_t>(grant.shard)), grant.shard_version});
    inherited_token_ = grant.token - 1;
    for (const shards::ShardMember& member : grant.machines) {
        inherit_machine(member, grant.token);
        Machine& machine = *cluster_.machine(member.name);
        machine.shard_recorded = true;
        command_sender_.queue(machine);
    }
    start(now);
}

void ControlLoop::add_delegated_job(const jobs::OpenRecord& record, std::uint64_t version,
                                    const kvstore::ListReply& runs, std::int64_t wall_ms,
                                    Millis now) {
    if (cluster_.job(record.spec.id) != nullptr) return;
    Job& job = cluster_.add_job(record, version, wall_ms, now);
    lifecycle_.load_checkpoints(runs, inherited_token_, now);
    lifecycle_.complete_load(job, now);
    if (cluster_.scheduling_needed()) run_scheduling_pass(now);
}

void ControlLoop::cancel_delegated_job(const std::string& id, Millis now) {
    Job* job = cluster_.job(id);
    if (job == nullptr || job->state == JobState::cancelled) return;
    // The record is read again because its current version is needed to finish the job.
    term_.gateway().read(jobs::open_key(id),
                         term_.guarded([this](Millis read_at, const kvstore::GetReply& reply) {
                             const auto record = reply.status == kvstore::Status::ok
                                                     ? jobs::decode_open_record(reply.entry.value)
                                                     : std::nullopt;
                             if (record && cluster_.job(record->spec.id) != nullptr)
                                 on_open_record(*record, reply.entry.version, 0, read_at);
                             command_sender_.send_queued(read_at);
                         }));
    // The running tasks are stopped without waiting for the record.
    lifecycle_.cancel(*job, now);
    command_sender_.send_queued(now);
}

// --- ticks and scheduling passes

void ControlLoop::tick(Millis now) {
    if (!started_ || term_.is_over()) return;
    failure_detector_.update(now);
    machine_checker_.check_machines(now);
    if (!term_.is_shard_holder()) {
        rebalancer_.consolidate(now);
        shard_allocator_.allocate_shards(now);
        shard_allocator_.check_leases(now);
        shard_lease_writer_.write(now);
        autoscaler_.run_due_work(now);
        drain_planner_.advance(now);
    }
    lifecycle_.delete_leftover_records(now);
    lifecycle_.run_due_jobs(now);
    command_sender_.send_queued(now);
    if (cluster_.scheduling_needed() || now >= next_scheduling_at_ + kMaxSchedulingDelay)
        run_scheduling_pass(now);
}

// Processes all jobs that have tasks to place, once each and in queue order.
void ControlLoop::run_scheduling_pass(Millis now) {
    if (!started_ || term_.is_over()) return;
    cluster_.clear_scheduling_request();
    lifecycle_.run_due_jobs(now);
    // A long queue is processed less often.
    next_scheduling_at_ =
        now + kSchedulingInterval +
        static_cast<Millis>(cluster_.pending_jobs().size() / kPendingJobsPerMillisecond);
    std::vector<Job*> unplaced;
    forecast_.clear_whole_machines_wanted();
    cluster_.expire_quota_reservations(now);
    const std::vector<Job*> order = job_queue_.ordered_jobs(now);
    job_queue_.forecast(order, now);
    for (Job* job : order) {
        place_or_delegate(*job, now);
        if (job->placeable_tasks() == 0) continue;
        if (job->unplaced_since == 0) job->unplaced_since = now;
        unplaced.push_back(job);
        forecast_.add_whole_machines_wanted(*job);
    }
    scale_out_if_due(unplaced, now);
    command_sender_.send_queued(now);
}

// Delegates the whole job to a shard holder, or places its tasks and writes a checkpoint.
void ControlLoop::place_or_delegate(Job& job, Millis now) {
    if (!term_.lease_confirmed(now) || shard_allocator_.delegate_job(job, now)) return;
    scheduler_.place_job(job, now);
    if (now >= checkpoint_writer_.next_write_at(job))
        checkpoint_writer_.write(job, now);
    else
        lifecycle_.schedule_next_wake_up(job, now);
}

void ControlLoop::scale_out_if_due(const std::vector<Job*>& unplaced, Millis now) {
    if (!term_.lease_confirmed(now) || term_.is_shard_holder()) return;
    shard_allocator_.set_jobs_starving(!unplaced.empty(), now);
    shard_allocator_.check_leases(now);
    if (now >= next_autoscaling_at_) {
        next_autoscaling_at_ = now + kAutoscalingInterval;
        autoscaler_.scale_out(unplaced, job_queue_.shortage(), now);
    } else if (!unplaced.empty()) {
        cluster_.request_scheduling();
    }
}

// --- status for users and operators

ControlLoop::Progress ControlLoop::progress(const std::string& id) const {
    const Job* job = cluster_.job(id);
    if (job == nullptr) return {};
    if (job->delegated_shard != kNone) return {true, job->delegated_done, job->delegated_running};
    return {true, job->completed_tasks, job->running_attempts};
}

ControlLoop::Summary ControlLoop::summary() const {
    Summary summary;
    for (const auto& [id, job] : cluster_.jobs()) {
        if (job->state == JobState::open) {
            ++summary.open_jobs;
            summary.waiting_tasks += job->unplaced_tasks();
        }
        summary.live_attempts += job->live_attempts;
    }
    for (const Machine* machine : cluster_.machines())
        ++summary.machines[static_cast<std::size_t>(machine->state.get())];
    return summary;
}

wire::Json ControlLoop::overview(Millis now) const {
    return OverviewPage(term_, cluster_, forecast_, placement_rules_, shard_allocator_, intent_log_)
        .render(now);
}

}  // namespace nickelramp::control
