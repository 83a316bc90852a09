/// @file
/// The state of the cluster as one term knows it: jobs, attempts and machines.
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

/// What a team uses of its quota: all live attempts, and all tasks of jobs that are delegated.
struct TeamUsage {
    double cpus = 0, gpus = 0;
    double array_cpus = 0, array_gpus = 0;  // of that, what arrays use
};

/// Owns the jobs, attempts and machines of a term, and has the only functions that change their
/// states, with all sums and indices over them. An attempt counts on its machine and for its team
/// from its placement until it is proven gone.
///
/// It decides nothing: the scheduler, the autoscaler, the control loop and the other parts of a
/// term read it and call it. It owns no sockets and reads no clock; every function is called on the
/// loop thread with the time. Functions do not fail, unless stated: what is passed must belong to
/// it. Functions that end an attempt may destroy the attempt, and its job if that is finished.
class ClusterState {
  public:
    using Jobs = std::unordered_map<std::string, std::unique_ptr<Job>>;

    /// The references must live longer.
    ClusterState(TermContext& term, ClusterObserver& observer, ControlActions& actions, Millis now);

    // --- queries: names, types and teams

    /// By type index; a type that the cloud does not list has a name only.
    [[nodiscard]] const std::vector<wire::MachineType>& types() const { return types_; }
    [[nodiscard]] const Names& type_names() const { return type_names_; }
    [[nodiscard]] const Names& zones() const { return zone_names_; }
    [[nodiscard]] const Names& classes() const { return class_names_; }
    [[nodiscard]] const wire::Team& team_rule(Index team) const { return team_rules_[team]; }
    [[nodiscard]] const TeamUsage& team_usage(Index team) const { return team_usage_[team]; }

    // --- queries: jobs

    [[nodiscard]] const Jobs& jobs() const { return jobs_; }
    /// Null if there is none.
    [[nodiscard]] Job* job(const std::string& id) const;
    /// Null if no job has the index now.
    [[nodiscard]] Job* job_by_index(Index index) const { return jobs_by_index_[index]; }
    [[nodiscard]] Job& job_of(const Attempt& attempt) const { return *jobs_by_index_[attempt.job]; }
    /// Jobs with tasks that want a slot, in no order, and perhaps some that have just got the last.
    [[nodiscard]] const std::vector<Index>& pending_jobs() const { return pending_jobs_; }
    /// The job's live attempts by zone.
    [[nodiscard]] std::vector<std::uint32_t> live_tasks_by_zone(const Job& job) const;

    // --- queries: machines

    [[nodiscard]] const machines::MachineRegistry& registry() const { return registry_; }
    [[nodiscard]] const std::vector<Machine*>& machines() const { return registry_.all(); }
    /// Null if there is none.
    [[nodiscard]] Machine* machine(const std::string& name) const { return registry_.find(name); }
    /// Null once the machine is gone.
    [[nodiscard]] Machine* machine_by_index(Index index) const { return registry_.by_index(index); }
    /// Null once the machine is gone.
    [[nodiscard]] Machine* machine_of(const Attempt& attempt) const {
        return attempt.machine == kNone ? nullptr : registry_.by_index(attempt.machine);
    }
    [[nodiscard]] bool is_tombstoned(const std::string& name) const {
        return registry_.is_tombstoned(name);
    }
    /// Leases that earlier terms may have given to workers have expired by then.
    [[nodiscard]] Millis inherited_leases_expire_at() const { return inherited_leases_expire_at_; }
    /// The machine's type and zone, for the log.
    [[nodiscard]] std::string describe_kind(const Machine& machine) const;
    [[nodiscard]] const placement::FreeCapacityIndex& free_capacity() const {
        return free_capacity_;
    }
    /// Machines that boot or join.
    [[nodiscard]] const std::set<Index>& provisioning_machines() const {
        return provisioning_machines_;
    }
    /// Machines that are to be released.
    [[nodiscard]] const std::set<Index>& releasing_machines() const { return releasing_machines_; }
    /// Machines that are unresponsive, outbound-only or inbound-only.
    [[nodiscard]] const std::set<Index>& unresponsive_machines() const {
        return unresponsive_machines_;
    }
    /// By zone, of those whose zone is known.
    [[nodiscard]] const std::vector<std::uint32_t>& machine_count_by_zone() const {
        return machine_count_by_zone_;
    }
    /// Machines of a shard that the leader is to release; only a shard holder has any.
    [[nodiscard]] const std::vector<std::string>& unhealthy_machines() const {
        return unhealthy_machines_;
    }
    [[nodiscard]] std::size_t unverified_machine_count() const { return unverified_machine_count_; }

    /// Does a heartbeat that does not list the attempt prove that it is gone? Not while a start of
    /// it may still arrive.
    [[nodiscard]] static bool absence_is_conclusive(const Attempt& attempt, const Machine& machine);

    // --- requests to the scheduler

    /// Has anything changed on which placement depends?
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

    // --- loading, and what enters while a term lasts

    void set_machine_types(const std::vector<wire::MachineType>& types);
    Index intern_zone(const std::string& name) { return zone_names_.add(name); }
    /// Adds a job that was accepted or is on record. `version`: of its record; `wall_ms`: the wall
    /// clock's time at `now`.
    Job& add_job(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                 Millis now);
    /// Applies a run record of the job. The attempts that it names count until proven gone; only a
    /// heartbeat that shows a token higher than `token` can prove that.
    void load_checkpoint(Job& job, std::uint32_t chunk, const jobs::RunRecord& record,
                         std::uint64_t version, std::uint64_t token, Millis now);
    /// Call after the last of its run records: finds the tasks that are still to be started.
    void finish_loading(Job& job);
    /// Forgets what its run records said, which are about to be loaded again.
    void reload_job(Job& job);

    // --- jobs

    void set_job_state(Job& job, jobs::JobState state);
    /// Starts nothing more of it, and stops what may run.
    void cancel_job(Job& job, Millis now);
    /// Adds the job to pending_jobs(), if it has tasks that want a slot.
    void enqueue_job(Job& job);
    /// Removes jobs from pending_jobs() that have none.
    void prune_pending_jobs();
    /// Destroys a finished job once no attempt of it is left on any machine.
    void remove_job(const std::string& id);
    /// All its tasks count for its team until it is over or reclaimed.
    void delegate_job(Job& job, Index shard);
    void reclaim_job(Job& job);
    /// The job is to be looked at again by then (JobLifecycle).
    void wake_at(const Job& job, Millis at) { job_deadlines_.schedule(job.index, at); }
    [[nodiscard]] std::vector<Index> take_due_jobs(Millis now) {
        return take_due(job_deadlines_, now);
    }

    // --- attempts

    /// Places a task on the machine. Null, and nothing changes, if the job's dependencies do not
    /// accept the start: the job is cancelled, or an earlier attempt is not proven gone.
    Attempt* add_attempt(Job& job, std::uint32_t task, std::uint32_t number, Machine& machine,
                         Millis now);
    /// The transaction under way with this number names the attempt.
    void attempt_in_commit(Attempt& attempt, std::uint64_t commit);
    /// That transaction failed, or its outcome is unknown.
    void attempt_not_committed(Attempt& attempt);
    /// Its checkpoint is committed: the start may be sent.
    void attempt_recorded(Attempt& attempt, Millis now);
    void attempt_start_sent(Attempt& attempt, const Machine& machine, Millis now);
    /// The start certainly did not arrive.
    void attempt_start_not_delivered(Attempt& attempt, Millis now);
    /// What a heartbeat of its machine lists of it.
    void apply_task_report(Attempt& attempt, const wire::TaskReport& task, Machine& machine,
                           Millis now);
    /// The attempt is proven gone. Destroys it, and its job if that is finished.
    void attempt_gone(Attempt& attempt, Millis now);
    /// Stops the attempt, which has so many seconds to save. One that was never sent is gone at
    /// once.
    void request_stop(Attempt& attempt, double grace_s, Millis now);
    void stop_all_attempts(Job& job, Millis now);
    /// Stops the attempt, the whole gang if it is of one, with time to save if its job can.
    void checkpoint_and_stop(Attempt& attempt, Millis now);
    /// Its machine is drained: replicas and gangs move, what can save does, the rest runs on.
    void drain_attempt(Attempt& attempt, Millis now);

    // --- machines

    /// The machine with this name, added if it is new: provisioned late or by another term, or
    /// named by a record.
    Machine* add_machine(const std::string& name, Millis now);
    /// Sets type, zone and kind, unless they are known, and the address, unless it is empty.
    void set_machine_identity(Machine& machine, const std::string& address, const std::string& type,
                              const std::string& zone, bool spot);
    void set_machine_state(Machine& machine, MachineState state);
    void set_reachability(Machine& machine, machines::Reachability reachability);
    /// It has sent its first heartbeat.
    void machine_up(Machine& machine, Millis now);
    /// Known from messages of unknown age only: nothing counts on it.
    void set_unverified(Machine& machine, bool unverified);
    /// This term controls the machine from now on, under that token. `reached`: see
    /// WorkerChannel::take_control().
    void take_control(Machine& machine, std::uint64_t token, Millis reached);
    /// Replaces the token by a higher one, so that commands under way have no effect.
    void raise_token(Machine& machine, std::uint64_t token, Millis now);
    /// Its zone is lost: nothing is placed on it before it is heard again.
    void set_suspected(Machine& machine, bool suspected);
    /// Reserves the machine, on which tasks were preempted, for the job.
    void reserve_machine(Machine& machine, Job& job, Millis until);
    void release_reservation(Machine& machine);
    /// The leader releases the machine; a shard holder drains it and reports it as unhealthy.
    void release_machine(Machine& machine, ReleaseReason reason);
    /// It gets no new tasks; its attempts are drained. `why` is for the log.
    void drain_machine(Machine& machine, const std::string& why, Millis now);
    /// The machine is proven gone, with all attempts on it. Destroys it and leaves a tombstone.
    void machine_gone(Machine& machine, Millis now);
    /// The machine is to be looked at again by then (ControlLoop).
    void wake_at(const Machine& machine, Millis at) {
        machine_deadlines_.schedule(machine.index, at);
    }
    [[nodiscard]] std::vector<Index> take_due_machines(Millis now) {
        return take_due(machine_deadlines_, now);
    }

  private:
    // Teams and time.
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
    void note_runs_well(Job& job, Machine& machine);

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
    std::vector<wire::Team> team_rules_;
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
