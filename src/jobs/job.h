// A job as the leader keeps it while it is open, and its records in the state service.
//
//   job/<id>          what the user was told; final states stay for good
//   open/<id>         the description, from acceptance until no task can be anywhere
//   run/<id>/<chunk>  64 tasks each: which are done, and where each attempt may be (the checkpoint)
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/names.h"
#include "base/owned_value.h"
#include "base/time.h"
#include "dependencies/dependency_automata.h"
#include "kvstore/types.h"
#include "wire/messages.h"

namespace nickelramp::cluster {
class ClusterState;
}

namespace nickelramp::jobs {

// Only the book changes these.
template <typename T>
using ClusterOwned = OwnedValue<T, cluster::ClusterState>;

inline constexpr std::uint32_t kChunkTasks = 64;

// A job that could start is held back for so long at the most by anything but machines and limits,
// whatever is kept for other work or doubted of it (docs/design/waiting.md).
inline constexpr Millis kMaxHoldBack = 60'000;

std::string job_key(const std::string& id);
std::string open_key(const std::string& id);
std::string run_key(const std::string& id, std::uint32_t chunk);
// "open/job-1" -> "job-1"; empty when the key has another form.
std::string job_id_of_open_key(const std::string& key);
bool parse_run_key(const std::string& key, std::string& id, std::uint32_t& chunk);

enum class JobState { open, cancelled, finishing, finished };
const char* name(JobState state);

// recording: the checkpoint that names it is on its way; nothing was sent.
// recorded:  committed; the start may go out.
// starting:  the start was sent, no report has shown the attempt yet.
// exited:    reported as exited; holds nothing, but the worker still knows it.
enum class AttemptState {
    recording,
    recorded,
    starting,
    fetching,
    waiting,
    running,
    saving,
    exited
};
const char* name(AttemptState state);

struct Attempt {
    Index job = kNone;
    std::uint32_t task = 0;
    std::uint32_t number = 0;  // attempt number, from 1
    Index machine = kNone;
    std::uint32_t place = 0;  // in its job's list
    ClusterOwned<AttemptState> state{AttemptState::recording};
    std::uint64_t token = 0;        // of the last start sent, or of the term that recorded it
    std::uint64_t incarnation = 0;  // of the machine when the start was sent
    std::uint64_t start_reply_sequence = 0;  // report number of the direct answer; 0: none came
    bool stop_sent = false;
    bool stop_wanted = false;  // a stop is wanted
    double stop_grace_s = 0;
    wire::ExitCause cause = wire::ExitCause::none;
    Millis placed_at = 0;
    Millis running_since = 0;         // 0: not yet seen running
    std::uint64_t commit_number = 0;  // the commit that carries it
    dependencies::Event start_event = kNone, end_event = kNone;

    bool live() const { return state != AttemptState::exited; }
};

struct Chunk {
    std::uint64_t version = 0;  // stamp of its record, 0: none
    std::uint64_t done = 0;     // bit a task, as known
    std::uint64_t done_in_commit = 0;
    std::uint64_t done_recorded = 0;
    bool dirty = false;
    bool uncertain = false;  // a write's outcome is unknown: read before writing again
};

// Task numbers that wait for their next attempt, with the number of the last one.
struct RetryTask {
    std::uint32_t task;
    std::uint32_t last_attempt;
};

// relaxed: will be in time, as the queue goes
// pressed: will miss an objective unless it goes first or more machines are hired
enum class ScheduleSlack { on_time, at_risk };

struct Urgency {
    int missed_objectives = 0;
    double waiting_work_s = 0;  // of the tasks that wait, in seconds
    Millis start_by = 0;
};

struct Job {
    Index index = kNone;
    wire::JobSpec spec;
    Index team = kNone, image = kNone, job_class = kNone, zone = kNone;
    std::vector<char> allowed_type;  // by type index
    // A place's price by type, ordinary and spot, in ordinary places of the cheapest type that
    // fits.
    std::vector<std::pair<double, double>> relative_cost;
    std::vector<std::uint32_t> places_on;  // tasks that a machine takes, by type
    Index cheapest_type = kNone;           // where a place costs least
    ClusterOwned<JobState> state{JobState::open};
    std::int64_t accepted_wall_ms = 0;
    Millis accepted_at = 0;     // the same on this process's steady clock
    std::uint64_t version = 0;  // stamp of open/<id>

    std::uint32_t next_unstarted_task = 0;  // tasks from here on were never started
    std::vector<RetryTask> retry_tasks;     // tasks to start again
    std::uint32_t completed_tasks = 0;
    std::map<std::uint32_t, Chunk> chunks;
    std::vector<std::unique_ptr<Attempt>> attempts;  // live or not yet forgotten
    ClusterOwned<std::uint32_t> live_attempts;       // attempts that may hold a place
    ClusterOwned<std::uint32_t> running_attempts;    // of them, those that were seen to run
    ClusterOwned<std::uint32_t>
        unconfirmed_attempts;  // those whose checkpoint is not committed yet
    ClusterOwned<std::uint32_t>
        uncommitted_attempts;      // and those that no transaction under way names either
    bool in_pending_list = false;  // in the list of those that want places
    bool commit_in_flight = false;
    std::uint64_t last_commit_number = 0;
    Millis retry_commit_at = 0;
    Millis committed_at = 0;               // the last checkpoint was sent
    Millis unsaved_completions_since = 0;  // completions that no record shows yet

    // Gangs: all members share the attempt's number.
    std::uint32_t gang_attempt = 0;
    bool gang_broken = false;     // the running attempt must end before the next
    Millis fits_limit_since = 0;  // while it waits; 0: its team's limit leaves too little for it

    // Trouble.
    std::vector<Index> failed_on;  // machines on which a task ended in error
    Millis backoff_until = 0;      // backed off
    std::uint32_t backoff_count = 0;
    bool on_trial = false;  // at fault, as it seems: one task at a time until one runs
    Millis capacity_withheld_since =
        0;  // room that fits it is kept for other work; 0: none was last time

    bool within_guaranteed_quota = false;
    Urgency urgency;
    ScheduleSlack slack = ScheduleSlack::at_risk;
    bool any_machine_type_allowed = false;  // the cloud has nothing but what is kept for other work
    double machine_share = 0;               // of a machine, that a task takes
    ClusterOwned<Index> delegated_shard{kNone};               // block whose holder has it
    std::uint64_t delegated_done = 0, delegated_running = 0;  // as the holder last said
    Millis delegation_confirmed_at = 0;                       // the holder said that it has it
    Millis unplaced_since = 0;                                // first time no place was found
    std::vector<Index> reserved_machines;                     // machines where room was made for it
    Millis reservations_since = 0;                            // 0: none since it last got a place
    Millis next_preemption_at = 0;                            // not again before
    bool preemption_under_way = false;                        // enough was found the last time
    bool avoids_expensive_machines = false;                   // leaves dear machines alone for now

    dependencies::DependencyAutomata dependencies;
    dependencies::Event accepted_event = kNone, cancelled_event = kNone;

    // Is room that is kept for other work to be kept from it still?
    bool may_withhold_capacity(Millis now) const {
        return capacity_withheld_since == 0 || now - capacity_withheld_since <= kMaxHoldBack;
    }

    bool is_gang() const { return spec.shape == wire::Shape::gang; }
    bool all_attempts_recorded() const {
        return unconfirmed_attempts == 0;
    }  // only such gangs are started
    bool is_service() const { return spec.shape == wire::Shape::service; }
    double relative_cost_of(Index type, bool spot) const {
        if (type >= relative_cost.size()) return 1;
        return spot ? relative_cost[type].second : relative_cost[type].first;
    }
    bool is_done(std::uint32_t task) const;
    void mark_done(std::uint32_t task);
    // Of those that want a place, the ones that it may have at once.
    std::uint32_t placeable_tasks() const {
        const std::uint32_t all = unplaced_tasks();
        if (!on_trial || all == 0) return all;
        return live_attempts > 0 ? 0 : is_gang() ? all : 1;
    }
    // Tasks that want a place now. A gang wants all or none.
    std::uint32_t unplaced_tasks() const {
        if (state != JobState::open || delegated_shard != kNone) return 0;
        if (is_gang()) return live_attempts == 0 && completed_tasks == 0 ? spec.tasks : 0;
        return spec.tasks - next_unstarted_task + static_cast<std::uint32_t>(retry_tasks.size());
    }
};

// Records.
wire::Json encode_open_record(const wire::Json& spec, std::int64_t accepted_wall_ms,
                              bool cancelled);
struct OpenRecord {
    wire::JobSpec spec;
    std::int64_t accepted_wall_ms = 0;
    bool cancelled = false;         // and its user was told so at once, as earlier versions did
    bool cancel_requested = false;  // its user will be told when nothing of it is left
};
std::optional<OpenRecord> decode_open_record(const wire::Json& value);

struct RunEntry {
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    bool started = false;  // its start may have been sent; otherwise the attempt is over
    std::string machine;
};
struct RunRecord {
    std::uint64_t done = 0;
    std::vector<RunEntry> entries;
};
wire::Json encode_run_record(const RunRecord& r);
std::optional<RunRecord> decode_run_record(const wire::Json& value);

}  // namespace nickelramp::jobs
