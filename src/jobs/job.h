/// @file
/// A job as the acting controller keeps it, from acceptance until no task of it can run anywhere.
/// Keys and records of the key-value store: jobs/job_keys.h, jobs/job_records.h.
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

/// A job that could start is held back for so long at the most by anything but a lack of machines
/// and its team's limit, whatever is reserved for other work or suspected of the job
/// (docs/design/waiting-jobs.md).
inline constexpr Millis kMaxHoldBack = 60'000;

enum class JobState {
    open,       ///< accepted, and not known to be over
    cancelled,  ///< no task starts any more; some may still run
    finishing,  ///< over; its final status is being written
    finished,   ///< its final status is on record
};

/// The state's name in logs and on administration pages.
[[nodiscard]] const char* name(JobState state);

/// The run record of kChunkTasks tasks, as known and as written.
struct Chunk {
    std::uint64_t version = 0;         // of its record; 0: there is none
    std::uint64_t done = 0;            // a bit for each task that is done
    std::uint64_t done_in_commit = 0;  // the same in the transaction under way
    std::uint64_t done_recorded = 0;   // the same in the record
    bool dirty = false;                // the record lacks something
    bool uncertain = false;  // the outcome of a write is unknown: read before the next write
};

/// A task that is to be started again.
struct RetryTask {
    std::uint32_t task;
    std::uint32_t last_attempt;  // number of its last attempt; 0: none is known
};

/// Will the job start in time?
enum class ScheduleSlack {
    on_time,  ///< yes, in the order of the queue
    at_risk,  ///< it misses an objective unless it goes first or machines are provisioned
};

/// How urgent a job is; computed for every pass of the scheduler.
struct Urgency {
    int missed_objectives = 0;
    double waiting_work_s = 0;  // of the tasks that wait, in seconds of their run time
    Millis start_by = 0;        // the earliest objective that can still be met
};

/// The hourly cost of a slot on a machine type, relative to an on-demand slot of the cheapest type
/// on which the job fits; infinite where it does not fit.
struct RelativeCost {
    double on_demand = 1, spot = 1;
};

/// A job and all that is known of it. Created and destroyed by cluster::ClusterState; the other
/// parts of a term write the fields of their concern, on the loop thread.
struct Job {
    // --- description, fixed at acceptance
    Index index = kNone;  // while it is known; used again later
    wire::JobSpec spec;
    Index team = kNone, image = kNone, job_class = kNone;
    Index zone = kNone;                 // kNone: any
    std::vector<char> allowed_type;     // by machine type
    std::int64_t accepted_wall_ms = 0;  // milliseconds of the wall clock
    Millis accepted_at = 0;             // the same on this process's steady clock
    std::uint64_t version = 0;          // of the record open/<id>

    // --- cost, by the demand forecast
    std::vector<RelativeCost> relative_cost;   // by machine type
    std::vector<std::uint32_t> slots_by_type;  // tasks that an empty machine takes
    Index cheapest_type = kNone;               // of the types on which it fits and may run
    double machine_share = 0;                  // what a task takes of a machine of that type

    // --- tasks and attempts
    ClusterOwned<JobState> state{JobState::open};
    std::uint32_t next_unstarted_task = 0;  // tasks from here on were never started
    std::vector<RetryTask> retry_tasks;
    std::uint32_t completed_tasks = 0;
    std::vector<std::unique_ptr<Attempt>> attempts;  // live, or still listed by a worker
    ClusterOwned<std::uint32_t> live_attempts;
    ClusterOwned<std::uint32_t> running_attempts;      // of the live ones: seen running
    ClusterOwned<std::uint32_t> unconfirmed_attempts;  // of the live ones: not committed yet
    ClusterOwned<std::uint32_t> uncommitted_attempts;  // of those: in no transaction under way
    std::uint32_t gang_attempt = 0;                    // all members share the attempt's number
    bool gang_broken = false;  // a member is gone: the others must end before the next attempt

    // --- checkpoints
    std::map<std::uint32_t, Chunk> chunks;
    bool commit_in_flight = false;
    std::uint64_t last_commit_number = 0;
    Millis retry_commit_at = 0;
    Millis committed_at = 0;               // the last checkpoint was sent
    Millis unsaved_completions_since = 0;  // the first that no record shows; 0: none

    // --- scheduling
    bool in_pending_list = false;  // of ClusterState::pending_jobs()
    bool within_guaranteed_quota = false;
    Urgency urgency;
    ScheduleSlack slack = ScheduleSlack::at_risk;
    Millis unplaced_since = 0;           // first pass that found no slot; 0: none since
    Millis capacity_withheld_since = 0;  // free slots are withheld for other work; 0: none
    Millis fits_limit_since = 0;  // of a gang that waits: within its team's limit; 0: beyond it
    bool any_machine_type_allowed = false;  // the cloud offers only types withheld for other work
    bool avoids_expensive_machines = false;
    std::vector<Index> reserved_machines;  // on which tasks were preempted for it
    Millis reservations_since = 0;         // 0: none since it last got a slot
    Millis next_preemption_at = 0;
    bool preemption_under_way = false;  // the last preemption frees enough

    // --- failures
    std::vector<Index> failed_on;  // machines on which a task of it ended in error
    Millis backoff_until = 0;
    std::uint32_t backoff_count = 0;
    bool on_trial = false;  // the job seems at fault: one task at a time until one runs

    // --- delegation to a shard holder
    ClusterOwned<Index> delegated_shard{kNone};
    std::uint64_t delegated_done = 0, delegated_running = 0;  // as the holder last reported
    Millis delegation_confirmed_at = 0;                       // the holder reported the job

    // --- order of events
    dependencies::DependencyAutomata dependencies;
    dependencies::Event accepted_event = kNone, cancelled_event = kNone;

    [[nodiscard]] bool is_gang() const { return spec.shape == wire::Shape::gang; }
    [[nodiscard]] bool is_service() const { return spec.shape == wire::Shape::service; }
    /// Only then does a gang start.
    [[nodiscard]] bool all_attempts_recorded() const { return unconfirmed_attempts == 0; }
    /// May free slots be withheld from it for other work? Not for more than kMaxHoldBack.
    [[nodiscard]] bool may_withhold_capacity(Millis now) const {
        return capacity_withheld_since == 0 || now - capacity_withheld_since <= kMaxHoldBack;
    }
    /// 1 for a type that was not known when the job was added.
    [[nodiscard]] double relative_cost_of(Index type, bool spot) const;
    [[nodiscard]] bool is_done(std::uint32_t task) const;
    void mark_done(std::uint32_t task);
    /// Tasks that want a slot now. A gang wants all or none.
    [[nodiscard]] std::uint32_t unplaced_tasks() const;
    /// Those of them that may have one at once: a job on trial runs one task at a time.
    [[nodiscard]] std::uint32_t placeable_tasks() const;
};

}  // namespace nickelramp::jobs
