/// @file
/// A job as the leader or a shard holder keeps it, from acceptance until none of its tasks can be
/// running anywhere. Its keys and records in the key-value store: jobs/job_keys.h,
/// jobs/job_records.h.
#pragma once
#include <cstdint>
#include <map>
#include <memory>
#include <vector>

#include "base/names.h"
#include "base/time.h"
#include "dependencies/dependency_automata.h"
#include "jobs/attempt.h"
#include "jobs/cluster_owned.h"
#include "jobs/job_keys.h"
#include "jobs/job_records.h"
#include "wire/messages.h"

namespace nickelramp::jobs {

/// The longest time for which a job that could start is held back for any reason other than missing
/// machines or its team's limit: capacity reserved for other work, or a suspicion that the job is
/// faulty (docs/design/waiting-jobs.md).
inline constexpr Millis kMaxWithholdingTime = 60'000;

enum class JobState {
    open,       ///< accepted and not known to have ended
    cancelled,  ///< no more tasks are started; some may still be running
    finishing,  ///< ended; its final status is being written
    finished,   ///< its final status is recorded
};

/// Returns the state's name as shown in logs and on administration pages.
[[nodiscard]] const char* name(JobState state);

/// The state of kChunkTasks tasks that share a run record: as known here and as last written.
struct Chunk {
    std::uint64_t version = 0;         // of the run record; 0: there is none
    std::uint64_t done = 0;            // bit mask of the completed tasks
    std::uint64_t done_in_commit = 0;  // the same, as in the transaction in flight
    std::uint64_t done_recorded = 0;   // the same, as in the record
    bool dirty = false;                // the record is out of date
    bool uncertain = false;  // the outcome of a write is unknown; read it before the next write
};

/// A task to be started again.
struct RetryTask {
    std::uint32_t task;
    std::uint32_t last_attempt;  // number of its last known attempt; 0: none
};

/// Whether the job is expected to meet its objectives.
enum class ScheduleSlack {
    on_time,  ///< meets them in queue order
    at_risk,  ///< misses one unless it is scheduled first or machines are provisioned
};

/// How urgent a job is. Computed for every scheduler pass.
struct Urgency {
    int missed_objectives = 0;
    double waiting_work_s = 0;  // total run time of the waiting tasks
    Millis start_by = 0;        // latest start that meets every objective still attainable
};

/// The hourly cost of a slot on a machine type, relative to an on-demand slot of the cheapest type
/// on which the job fits. Infinite for types on which it does not fit.
struct RelativeCost {
    double on_demand = 1, spot = 1;
};

/// A job and its state. Created and destroyed by cluster::ClusterState. Other parts of the term
/// write the fields that they are responsible for, on the loop thread.
struct Job {
    // --- description, fixed at acceptance
    Index index = kNone;  // reused once the job is removed
    wire::JobSpec spec;
    Index team = kNone, image = kNone, job_class = kNone;
    Index zone = kNone;                 // kNone: any zone
    std::vector<char> allowed_type;     // by machine type
    std::int64_t accepted_wall_ms = 0;  // milliseconds of the wall clock
    Millis accepted_at = 0;             // on this process's steady clock
    std::uint64_t version = 0;          // of the record open/<id>

    // --- cost, set by the demand forecast
    std::vector<RelativeCost> relative_cost;   // by machine type
    std::vector<std::uint32_t> slots_by_type;  // tasks that fit on an empty machine
    Index cheapest_type = kNone;               // of the types on which it fits and is allowed
    double machine_share = 0;                  // fraction of such a machine that a task uses

    // --- tasks and attempts
    ClusterOwned<JobState> state{JobState::open};
    std::uint32_t next_unstarted_task = 0;  // this task and later ones were never started
    std::vector<RetryTask> retry_tasks;
    std::uint32_t completed_tasks = 0;
    std::vector<std::unique_ptr<Attempt>> attempts;  // live, or still listed by a worker
    ClusterOwned<std::uint32_t> live_attempts;
    ClusterOwned<std::uint32_t> running_attempts;      // live and reported as running
    ClusterOwned<std::uint32_t> unconfirmed_attempts;  // live, with a checkpoint not committed yet
    ClusterOwned<std::uint32_t> uncommitted_attempts;  // unconfirmed, in no transaction in flight
    std::uint32_t gang_attempt = 0;  // number of the current attempt of all members
    bool gang_broken = false;  // a member is gone; the others must end before the next attempt

    // --- checkpoints
    std::map<std::uint32_t, Chunk> chunks;
    bool commit_in_flight = false;
    std::uint64_t last_commit_number = 0;
    Millis retry_commit_at = 0;
    Millis committed_at = 0;               // when the last checkpoint was sent
    Millis unsaved_completions_since = 0;  // time of the first unrecorded completion; 0: none

    // --- scheduling
    bool in_pending_list = false;  // listed in ClusterState::pending_jobs()
    bool within_guaranteed_quota = false;
    Urgency urgency;
    ScheduleSlack slack = ScheduleSlack::at_risk;
    Millis unplaced_since = 0;              // first scheduler pass that found no slot; 0: none
    Millis capacity_withheld_since = 0;     // free slots are withheld for other jobs; 0: none are
    Millis fits_quota_since = 0;            // a waiting gang fits its team's quota; 0: it does not
    bool any_machine_type_allowed = false;  // the cloud offers only types withheld for other jobs
    bool avoids_expensive_machines = false;
    std::vector<Index> reserved_machines;  // machines on which tasks were preempted for it
    Millis reservations_since = 0;         // 0: no reservation since it last got a slot
    Millis next_preemption_at = 0;
    bool preemption_under_way = false;  // the last preemption frees enough capacity

    // --- failures
    std::vector<Index> failed_on;  // machines on which one of its tasks failed
    Millis backoff_until = 0;
    std::uint32_t backoff_count = 0;
    bool on_trial = false;  // suspected to be faulty; one task at a time until one runs well

    // --- delegation to a shard holder
    ClusterOwned<Index> delegated_shard{kNone};
    std::uint64_t delegated_done = 0, delegated_running = 0;  // counts last reported by the holder
    Millis delegation_confirmed_at = 0;  // when the holder last reported the job

    // --- event ordering
    dependencies::DependencyAutomata dependencies;
    dependencies::Event accepted_event = kNone, cancelled_event = kNone;

    [[nodiscard]] bool is_gang() const { return spec.shape == wire::Shape::gang; }
    [[nodiscard]] bool is_service() const { return spec.shape == wire::Shape::service; }
    /// Returns whether the checkpoints of all live attempts are committed. A gang starts only then.
    [[nodiscard]] bool all_attempts_recorded() const { return unconfirmed_attempts == 0; }
    /// Returns whether free slots may be withheld from this job for other jobs. They may not once
    /// they have been withheld for more than kMaxWithholdingTime.
    [[nodiscard]] bool may_withhold_capacity(Millis now) const {
        return capacity_withheld_since == 0 || now - capacity_withheld_since <= kMaxWithholdingTime;
    }
    /// Returns the relative cost of a slot on the type; 1 for a type that was not known when the
    /// job was added.
    [[nodiscard]] double relative_cost_of(Index type, bool spot) const;
    [[nodiscard]] bool is_done(std::uint32_t task) const;
    void mark_done(std::uint32_t task);
    /// Returns the number of tasks that need a slot now. A gang needs slots for all its tasks or
    /// for none.
    [[nodiscard]] std::uint32_t unplaced_tasks() const;
    /// Returns how many of the unplaced tasks may be placed at once. A job on trial runs one task
    /// at a time; a gang still needs all its slots.
    [[nodiscard]] std::uint32_t placeable_tasks() const;
};

}  // namespace nickelramp::jobs
