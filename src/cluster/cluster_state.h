/// @file
/// The state of the cluster in one term: jobs, attempts and machines.
#pragma once
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/deadline_queue.h"
#include "base/names.h"
#include "cluster/cluster_observer.h"
#include "cluster/guaranteed_quota.h"
#include "cluster/quota_reservations.h"
#include "cluster/release_reason.h"
#include "cluster/term_context.h"
#include "jobs/job.h"
#include "machines/machine_registry.h"
#include "placement/free_capacity_index.h"
#include "placement/placement_cost.h"

namespace nickelramp::cluster {

using jobs::Attempt;
using jobs::AttemptState;
using jobs::Job;
using machines::Machine;
using machines::MachineState;

/// A team's quota usage: all live attempts and all tasks of delegated jobs.
struct TeamUsage {
    double cpus = 0, gpus = 0;
    double array_cpus = 0, array_gpus = 0;  // the part used by arrays
};

/// Owns the jobs, attempts and machines of a term. Only its functions change their states and the
/// totals and indices derived from them. An attempt uses resources of its machine and quota of its
/// team from its placement until it is proven gone.
///
/// It makes no decisions: those are made by the scheduler, the autoscaler, the control loop and
/// other parts of the term, which read and call it. It owns no sockets and reads no clock; every
/// function is called on the loop thread and gets the time as an argument. Functions do not fail
/// unless stated, and their arguments must belong to this object. Functions that end an attempt may
/// destroy the attempt, and its job if that is finished.
class ClusterState {
  public:
    using Jobs = std::unordered_map<std::string, std::unique_ptr<Job>>;

    /// The referenced objects must outlive this object.
    ClusterState(TermContext& term, ClusterObserver& observer, ControlActions& actions, Millis now);

    // --- queries: names, types and teams

    /// Machine types by type index. For a type that the cloud does not list only the name is set.
    [[nodiscard]] const std::vector<wire::MachineType>& types() const { return types_; }
    [[nodiscard]] const Names& type_names() const { return type_names_; }
    [[nodiscard]] const Names& zones() const { return zone_names_; }
    [[nodiscard]] const Names& classes() const { return class_names_; }
    [[nodiscard]] const wire::Team& team_quota(Index team) const { return team_quotas_[team]; }
    [[nodiscard]] const TeamUsage& team_usage(Index team) const { return team_usage_[team]; }

    // --- queries: jobs

    [[nodiscard]] const Jobs& jobs() const { return jobs_; }
    /// Returns the job with this id; null if there is none.
    [[nodiscard]] Job* job(const std::string& id) const;
    /// Returns the job that has the index now; null if there is none.
    [[nodiscard]] Job* job_by_index(Index index) const { return jobs_by_index_[index]; }
    [[nodiscard]] Job& job_of(const Attempt& attempt) const { return *jobs_by_index_[attempt.job]; }
    /// Jobs with unplaced tasks, in no particular order. Until the next prune_pending_jobs() it may
    /// list jobs that have none left.
    [[nodiscard]] const std::vector<Index>& pending_jobs() const { return pending_jobs_; }
    /// Returns the number of the job's live attempts by zone.
    [[nodiscard]] std::vector<std::uint32_t> live_tasks_by_zone(const Job& job) const;

    // --- queries: machines

    [[nodiscard]] const machines::MachineRegistry& registry() const { return registry_; }
    [[nodiscard]] const std::vector<Machine*>& machines() const { return registry_.all(); }
    /// Returns the machine with this name; null if there is none.
    [[nodiscard]] Machine* machine(const std::string& name) const { return registry_.find(name); }
    /// Returns null once the machine is gone.
    [[nodiscard]] Machine* machine_by_index(Index index) const { return registry_.by_index(index); }
    /// Returns null once the machine is gone.
    [[nodiscard]] Machine* machine_of(const Attempt& attempt) const {
        return attempt.machine == kNone ? nullptr : registry_.by_index(attempt.machine);
    }
    [[nodiscard]] bool is_tombstoned(const std::string& name) const {
        return registry_.is_tombstoned(name);
    }
    /// By this time all leases that earlier terms may have granted to workers have expired.
    [[nodiscard]] Millis inherited_leases_expire_at() const { return inherited_leases_expire_at_; }
    /// Returns the machine's price class, type and zone, for log messages.
    [[nodiscard]] std::string describe_kind(const Machine& machine) const;
    [[nodiscard]] const placement::FreeCapacityIndex& free_capacity() const {
        return free_capacity_;
    }
    /// Machines that are booting or joining.
    [[nodiscard]] const std::set<Index>& provisioning_machines() const {
        return provisioning_machines_;
    }
    /// Machines that are to be released.
    [[nodiscard]] const std::set<Index>& releasing_machines() const { return releasing_machines_; }
    /// Machines that are unresponsive, outbound-only or inbound-only.
    [[nodiscard]] const std::set<Index>& unresponsive_machines() const {
        return unresponsive_machines_;
    }
    /// The number of machines in each zone, without those whose zone is unknown.
    [[nodiscard]] const std::vector<std::uint32_t>& machine_count_by_zone() const {
        return machine_count_by_zone_;
    }
    /// Unhealthy machines of the shard, which the leader is to release. Empty except for a shard
    /// holder.
    [[nodiscard]] const std::vector<std::string>& unhealthy_machines() const {
        return unhealthy_machines_;
    }
    [[nodiscard]] std::size_t unverified_machine_count() const { return unverified_machine_count_; }

    // --- requests to the scheduler

    /// Returns whether anything that affects placement has changed.
    [[nodiscard]] bool scheduling_needed() const { return scheduling_needed_; }
    void request_scheduling() { scheduling_needed_ = true; }
    void clear_scheduling_request() { scheduling_needed_ = false; }

    // --- quota reservations (cluster/quota_reservations.h)

    [[nodiscard]] const Job* quota_reserved_for(Index team) const {
        return quota_reservations_.reserved_for(team);
    }
    [[nodiscard]] bool may_reserve_quota(Index team, Millis now) const {
        return quota_reservations_.may_reserve(team, now);
    }
    void reserve_quota(const Job& gang, Millis now) { quota_reservations_.reserve(gang, now); }
    void release_reserved_quota(const Job& gang) { quota_reservations_.release(gang); }
    void pause_quota_reservation(const Job& gang, Millis now) {
        quota_reservations_.pause(gang, now);
    }
    void expire_quota_reservations(Millis now) { quota_reservations_.expire(now); }

    // --- loading, and additions during a term

    void set_machine_types(const std::vector<wire::MachineType>& types);
    Index intern_zone(const std::string& name) { return zone_names_.add(name); }
    /// Adds a job that was just accepted or was loaded from its open record.
    /// @param version version of the record
    /// @param wall_ms wall clock time at `now`
    Job& add_job(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                 Millis now);
    /// Applies a run record of the job. The attempts that it names are treated as live until proven
    /// gone. A heartbeat can prove that only if it shows a token higher than `token`.
    void load_checkpoint(Job& job, std::uint32_t chunk, const jobs::RunRecord& record,
                         std::uint64_t version, std::uint64_t token, Millis now);
    /// Determines which tasks are still to be started. Call after the last load_checkpoint().
    void finish_loading(Job& job);
    /// Discards the state loaded from its run records, which are about to be loaded again.
    void reload_job(Job& job);

    // --- jobs

    void set_job_state(Job& job, jobs::JobState state);
    /// Cancels the job: none of its tasks is started any more, and all live attempts are stopped.
    void cancel_job(Job& job, Millis now);
    /// Adds the job to pending_jobs() if it has unplaced tasks.
    void enqueue_job(Job& job);
    /// Removes jobs without unplaced tasks from pending_jobs().
    void prune_pending_jobs();
    /// Destroys the job if it is finished and none of its attempts is left on any machine.
    void remove_job(const std::string& id);
    /// Delegates the job to a shard holder. All its tasks count towards its team's usage until the
    /// job has ended or is reclaimed.
    void delegate_job(Job& job, Index shard);
    void reclaim_job(Job& job);
    /// Schedules the next check of the job by JobLifecycle.
    void schedule_check(const Job& job, Millis at) { job_deadlines_.schedule(job.index, at); }
    [[nodiscard]] std::vector<Index> take_due_jobs(Millis now) {
        return take_due(job_deadlines_, now);
    }

    // --- attempts

    /// Places a task on the machine. Returns null and changes nothing if the job's dependencies
    /// reject the start because the job is cancelled or an earlier attempt is not proven gone.
    Attempt* add_attempt(Job& job, std::uint32_t task, std::uint32_t number, Machine& machine,
                         Millis now);
    /// Notes that the transaction in flight with this number records the attempt.
    void attempt_in_commit(Attempt& attempt, std::uint64_t commit);
    /// Notes that this transaction failed or that its outcome is unknown.
    void attempt_not_committed(Attempt& attempt);
    /// Notes that its checkpoint is committed. The start command may now be sent.
    void attempt_recorded(Attempt& attempt, Millis now);
    void attempt_start_sent(Attempt& attempt, Machine& machine, Millis now);
    /// Notes that the start command was not executed and never will be: it did not leave, or the
    /// worker rejects its token from now on. It may be sent again.
    void attempt_start_not_executed(Attempt& attempt, Millis now);
    /// Applies the attempt's entry in a heartbeat of its machine.
    void apply_task_report(Attempt& attempt, const wire::TaskReport& task, Machine& machine,
                           Millis now);
    /// Notes that the attempt is proven gone. Destroys it, and its job if that is finished.
    void attempt_gone(Attempt& attempt, Millis now);
    /// Stops the attempt after at most `grace_s` seconds to save its progress. An attempt whose
    /// start command was never sent is gone at once.
    void request_stop(Attempt& attempt, double grace_s, Millis now);
    void stop_all_attempts(Job& job, Millis now);
    /// Stops the attempt, or the whole gang that it belongs to, with time to save its progress if
    /// the job has checkpoints.
    void checkpoint_and_stop(Attempt& attempt, Millis now);
    /// Stops the attempt because its machine is being drained. Only replicas, gangs and tasks with
    /// checkpoints are stopped; other tasks run to their end.
    void drain_attempt(Attempt& attempt, Millis now);

    // --- machines

    /// Returns the machine with this name and adds it if it is new. It may have been provisioned
    /// late or by another term, or be known from a record only.
    Machine* add_machine(const std::string& name, Millis now);
    /// Sets the type, zone and price class if they are not known yet, and the address unless it is
    /// empty.
    void set_machine_identity(Machine& machine, const std::string& address, const std::string& type,
                              const std::string& zone, bool spot);
    void set_machine_state(Machine& machine, MachineState state);
    void set_reachability(Machine& machine, machines::Reachability reachability);
    /// Notes that the machine has sent its first heartbeat.
    void machine_up(Machine& machine, Millis now);
    /// Marks whether the machine is known only from messages of unknown age. Its capacity is then
    /// not relied on.
    void set_unverified(Machine& machine, bool unverified);
    /// Takes control of the machine for this term under the token. `reached` is the `reached_at` of
    /// WorkerChannel::take_control().
    void take_control(Machine& machine, std::uint64_t token, Millis reached);
    /// Replaces the token by a higher one, so that commands in flight have no effect. Start
    /// commands are sent once the worker has confirmed it.
    void raise_token(Machine& machine, std::uint64_t token, Millis now);
    /// Replaces the token by a higher one for all messages from now on. Unlike after raise_token(),
    /// the worker need not confirm it first.
    void advance_token(Machine& machine, std::uint64_t token, Millis now);
    /// Marks whether the machine is suspected because its zone is lost. Nothing is placed on it
    /// until a heartbeat or reply is received from it again.
    void set_suspected(Machine& machine, bool suspected);
    /// Reserves the machine for the job for which tasks on it were preempted.
    void reserve_machine(Machine& machine, Job& job, Millis until);
    void release_reservation(Machine& machine);
    /// Releases the machine. A shard holder drains it instead and reports it to the leader as
    /// unhealthy.
    void release_machine(Machine& machine, ReleaseReason reason);
    /// Drains the machine and its attempts. It gets no new tasks. `why` is for the log.
    void drain_machine(Machine& machine, const std::string& why, Millis now);
    /// Notes that the machine and all attempts on it are proven gone. Destroys it and leaves a
    /// tombstone.
    void machine_gone(Machine& machine, Millis now);
    /// Schedules the next check of the machine by ControlLoop.
    void schedule_check(const Machine& machine, Millis at) {
        machine_deadlines_.schedule(machine.index, at);
    }
    [[nodiscard]] std::vector<Index> take_due_machines(Millis now) {
        return take_due(machine_deadlines_, now);
    }

  private:
    // Teams and deadlines.
    void add_team(const wire::Team& rule);
    void adjust_team_usage(const Job& job, double tasks);
    [[nodiscard]] static std::vector<Index> take_due(DeadlineQueue& deadlines, Millis now);

    // Loading.
    void resolve_names(Job& job);
    void assign_index(Job& job);
    void load_run_entry(Job& job, const jobs::RunEntry& entry, std::uint64_t token, Millis now);
    void load_attempt(Job& job, const jobs::RunEntry& entry, std::uint64_t token, Millis now);

    // Attempts.
    void set_attempt_state(Attempt& attempt, AttemptState state, Millis now);
    [[nodiscard]] bool link_start_dependencies(Job& job, Attempt& attempt);
    void append_attempt(Job& job, Machine& machine, std::unique_ptr<Attempt> attempt);
    void allocate(Attempt& attempt, Job& job, Machine& machine);
    void deallocate(Attempt& attempt, Job& job);
    void clear_failure_suspicion(Job& job, Machine& machine);

    // Ends of attempts.
    void attempt_exited(Attempt& attempt, wire::ExitCause cause, Millis now);
    void task_completed(Job& job, const Attempt& attempt, Millis now);
    void attempt_finished(Job& job, Attempt& attempt, Millis now);
    void requeue_task(Job& job, const Attempt& attempt);
    void erase_attempt(Attempt& attempt);
    void stop_each_attempt(Job& job, double grace_s, Millis now);
    void break_gang(Job& job, Millis now);
    void record_task_error(Job& job, const Attempt& attempt, Machine& machine, Millis now);
    void put_on_trial(Job& job, const Attempt& attempt, Millis now);

    // Machines.
    void update_machine_indices(Machine& machine);
    void release_all_reservations(Job& job);
    void report_unhealthy(Machine& machine, ReleaseReason reason);

    TermContext& term_;
    ClusterObserver& observer_;
    ControlActions& actions_;
    bool scheduling_needed_ = true;
    Millis inherited_leases_expire_at_;

    Names type_names_, zone_names_, image_names_, team_names_, class_names_;
    std::vector<wire::MachineType> types_;
    std::vector<wire::Team> team_quotas_;
    std::vector<TeamUsage> team_usage_;
    std::vector<std::unique_ptr<GuaranteedQuota>> guaranteed_quotas_;  // by team

    Jobs jobs_;
    std::vector<Job*> jobs_by_index_;
    std::vector<Index> free_job_indices_;
    std::vector<Index> pending_jobs_;
    DeadlineQueue job_deadlines_;
    QuotaReservations quota_reservations_{jobs_by_index_};

    machines::MachineRegistry registry_;
    placement::FreeCapacityIndex free_capacity_;
    DeadlineQueue machine_deadlines_;
    std::set<Index> provisioning_machines_, releasing_machines_, unresponsive_machines_;
    std::size_t unverified_machine_count_ = 0;
    std::vector<std::uint32_t> machine_count_by_zone_;
    std::vector<std::string> unhealthy_machines_;
};

}  // namespace nickelramp::cluster
