// The book of one term: jobs, attempts and machines, and the only functions that change their
// states. What may hold a place counts here from the start's recording until it is proven gone. It
// decides nothing: the parts around it read it and call it. It owns no sockets and reads no clock.
#pragma once
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/deadline_queue.h"
#include "base/names.h"
#include "cluster/cluster_observer.h"
#include "cluster/guaranteed_quota.h"
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

struct TeamUsage {
    double cpus = 0, gpus = 0;              // in use, from the start's sending until proven gone
    double array_cpus = 0, array_gpus = 0;  // of that, what arrays have
};

class ClusterState {
  public:
    ClusterState(TermContext& term, ClusterObserver& observer, ControlActions& actions, Millis now);

    // --- reading
    const std::vector<wire::MachineType>& types() const { return types_; }
    const Names& type_names() const { return type_names_; }
    const Names& zones() const { return zone_names_; }
    const Names& classes() const { return class_names_; }
    const wire::Team& team_rule(Index team) const { return team_rules_[team]; }
    const TeamUsage& team_usage(Index team) const { return team_usage_[team]; }
    // The gang for which what comes free in the team's limit is gathered; null: none.
    const Job* quota_reserved_for(Index team) const;
    void reserve_quota(const Job& gang, Millis now);
    void release_reserved_quota(const Job& gang);
    // A team gathers for so long in one go, whichever gangs it is for, and then pauses.
    bool may_reserve_quota(Index team, Millis now) const;
    void pause_quota_reservation(const Job& gang, Millis now);
    void expire_quota_reservations(Millis now);  // where that is over

    using Jobs = std::unordered_map<std::string, std::unique_ptr<Job>>;
    const Jobs& jobs() const { return jobs_; }
    Job* job(const std::string& id) const;
    Job* job_by_index(Index i) const { return job_slots_[i]; }  // null: no job has the slot now
    Job& job_of(const Attempt& attempt) const { return *job_slots_[attempt.job]; }
    // Jobs that want places, and at times some that have just got the last.
    const std::vector<Index>& pending_jobs() const { return pending_jobs_; }
    std::vector<std::uint32_t> live_tasks_by_zone(const Job& job) const;  // its tasks

    const machines::MachineRegistry& registry() const { return registry_; }
    const std::vector<Machine*>& machines() const { return registry_.all(); }
    Machine* machine(const std::string& name) const { return registry_.find(name); }
    Machine* machine_by_index(Index i) const { return registry_.by_index(i); }
    Machine* machine_of(const Attempt& attempt) const {
        return attempt.machine == kNone ? nullptr : registry_.by_index(attempt.machine);
    }
    // Leases that earlier terms may have given are over by then.
    Millis inherited_leases_expire_at() const { return inherited_leases_expire_at_; }
    bool is_tombstoned(const std::string& name) const { return registry_.is_tombstoned(name); }
    std::string describe_kind(const Machine& machine) const;  // for the log
    const placement::FreeCapacityIndex& free_capacity() const { return free_capacity_; }
    const std::set<Index>& provisioning_machines() const {
        return provisioning_machines_;
    }  // booting or joining
    const std::set<Index>& releasing_machines() const {
        return releasing_machines_;
    }  // to be given back
    const std::set<Index>& unresponsive_machines() const {
        return unresponsive_machines_;
    }  // silent or deaf
    const std::vector<std::uint32_t>& machine_count_by_zone() const {
        return machine_count_by_zone_;
    }  // by zone
    const std::vector<std::string>& unhealthy_machines() const {
        return unhealthy_machines_;
    }  // a holder's machines

    // Can a report without the attempt be believed? Not while a start of it may still arrive.
    static bool absence_is_conclusive(const Attempt& attempt, const Machine& machine) {
        return machine.channel.token() > attempt.token || attempt.start_reply_sequence != 0 ||
               machine.channel.newest_proven().incarnation > attempt.incarnation;
    }

    // Has anything changed that the schedule depends on?
    bool scheduling_needed() const { return scheduling_needed_; }
    void request_scheduling() { scheduling_needed_ = true; }
    void clear_scheduling_request() { scheduling_needed_ = false; }

    // --- what is there
    void set_machine_types(const std::vector<wire::MachineType>& types);
    Index intern_zone(const std::string& name) { return zone_names_.add(name); }
    // A machine that the book did not have: a late hire, another term's, or one named by a record.
    Machine* add_machine(const std::string& name, Millis now);
    void set_machine_identity(Machine& machine, const std::string& address, const std::string& type,
                              const std::string& zone, bool spot);
    Job& add_job(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                 Millis now);
    // A checkpoint read again: what it names counts until proven gone. Only a report under a token
    // beyond this one can show that it is not there.
    void load_checkpoint(Job& job, std::uint32_t chunk, const jobs::RunRecord& record,
                         std::uint64_t version, std::uint64_t token, Millis now);
    void finish_loading(Job& job);  // that was the last of its records

    // --- jobs
    void set_job_state(Job& job, jobs::JobState state);
    void cancel_job(Job& job, Millis now);
    void enqueue_job(Job& job);  // it joins the list of those that the schedule looks at
    // Takes those off the list that have nothing to start.
    void prune_pending_jobs();
    // Forgets a finished job when no attempt of it is left on any machine.
    void remove_job(const std::string& id);
    // All of it counts against its team until it is over or back.
    void delegate_job(Job& job, Index block);
    void reclaim_job(Job& job);
    // Gives a job that comes back its records anew.
    void reload_job(Job& job);
    void wake_at(const Job& job, Millis at) { job_deadlines_.schedule(job.index, at); }
    std::vector<Index> take_due_jobs(Millis now) { return take_due(job_deadlines_, now); }

    // --- attempts
    Attempt* add_attempt(Job& job, std::uint32_t task, std::uint32_t number, Machine& machine,
                         Millis now);
    // The transaction with this number names it, or does not after all.
    void attempt_in_commit(Attempt& attempt, std::uint64_t commit);
    void attempt_not_committed(Attempt& attempt);
    void attempt_recorded(Attempt& attempt, Millis now);
    void attempt_start_sent(Attempt& attempt, const Machine& machine, Millis now);
    void attempt_start_not_delivered(Attempt& attempt, Millis now);
    void apply_task_report(Attempt& attempt, const wire::TaskReport& task, Machine& machine,
                           Millis now);
    void attempt_gone(Attempt& attempt, Millis now);
    void request_stop(Attempt& attempt, double grace_s, Millis now);
    void stop_all_attempts(Job& job, Millis now);
    void checkpoint_and_stop(Attempt& attempt, Millis now);  // the whole gang, if it is of one
    void drain_attempt(Attempt& attempt, Millis now);

    // --- machines
    void set_machine_state(Machine& machine, MachineState state);
    void set_reachability(Machine& machine, machines::Reachability reachability);
    void machine_up(Machine& machine, Millis now);
    // Known from reports of unknown age only: nobody counts on it.
    void set_unverified(Machine& machine, bool strange);
    std::size_t unverified_machine_count() const { return unverified_machine_count_; }
    // This book answers for it from here on, under that token.
    void take_control(Machine& machine, std::uint64_t token, Millis reached);
    void raise_token(Machine& machine, std::uint64_t token, Millis now);
    // In a zone that goes dark nothing is placed on machines that are not heard again.
    void set_suspected(Machine& machine, bool shaded);
    void reserve_machine(Machine& machine, Job& job, Millis until);
    void release_reservation(Machine& machine);
    void release_machine(Machine& machine, const char* why);
    // It gets nothing more. Whoever can save does so in time, replicas move, and the rest goes on
    // until its end.
    void drain_machine(Machine& machine, const std::string& why, Millis now);
    void machine_gone(Machine& machine, Millis now);
    void wake_at(const Machine& machine, Millis at) {
        machine_deadlines_.schedule(machine.index, at);
    }
    std::vector<Index> take_due_machines(Millis now) { return take_due(machine_deadlines_, now); }

  private:
    void set_attempt_state(Attempt& attempt, AttemptState state, Millis now);
    void allocate(Attempt& attempt, Job& job, Machine& machine);
    void deallocate(Attempt& attempt, Job& job);
    void adjust_team_usage(const Job& job, double tasks);  // of its team's limit
    void update_free_capacity(Machine& machine);
    bool link_start_dependencies(Job& job, Attempt& attempt);
    void attempt_exited(Attempt& attempt, wire::ExitCause cause, Millis now);
    void attempt_finished(Job& job, Attempt& attempt, Millis now);
    void requeue_task(Job& job, const Attempt& attempt);
    void erase_attempt(Attempt& attempt);
    void stop_each_attempt(Job& job, double grace_s, Millis now);
    void break_gang(Job& job, Millis now);
    void record_task_error(Job& job, const Attempt& attempt, Machine& machine, Millis now);
    void add_team(const wire::Team& rule);
    static std::vector<Index> take_due(DeadlineQueue& agenda, Millis now);

    TermContext& term_;
    ClusterObserver& observer_;
    ControlActions& actions_;
    bool scheduling_needed_ = true;
    Millis inherited_leases_expire_at_;

    Names type_names_, zone_names_, image_names_, team_names_, class_names_;
    std::vector<wire::MachineType> types_;
    std::vector<wire::Team> team_rules_;
    std::vector<TeamUsage> team_usage_;
    struct QuotaReservation {
        Index gang = kNone;
        Millis since = -kNever;  // this spell's beginning
    };
    std::vector<QuotaReservation> quota_reservations_;                 // by team
    std::vector<std::unique_ptr<GuaranteedQuota>> guaranteed_quotas_;  // by team

    Jobs jobs_;
    std::vector<Job*> job_slots_;
    std::vector<Index> free_job_slots_;
    std::vector<Index> pending_jobs_;
    DeadlineQueue job_deadlines_;

    machines::MachineRegistry registry_;
    placement::FreeCapacityIndex free_capacity_;
    DeadlineQueue machine_deadlines_;
    std::set<Index> provisioning_machines_, releasing_machines_, unresponsive_machines_;
    std::size_t unverified_machine_count_ = 0;
    std::vector<std::uint32_t> machine_count_by_zone_;
    std::vector<std::string> unhealthy_machines_;
};

}  // namespace nickelramp::cluster
