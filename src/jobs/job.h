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
#include "base/owned.h"
#include "base/time.h"
#include "links/links.h"
#include "state/client.h"
#include "wire/messages.h"

namespace nickelramp::book {
class Book;
}

namespace nickelramp::jobs {

// Only the book changes these.
template <typename T>
using Kept = Owned<T, book::Book>;

inline constexpr std::uint32_t kChunkTasks = 64;

// A job that could start is held back for so long at the most by anything but machines and limits,
// whatever is kept for other work or doubted of it (docs/design/waiting.md).
inline constexpr Millis kMostHeld = 60'000;

std::string job_key(const std::string& id);
std::string open_key(const std::string& id);
std::string run_key(const std::string& id, std::uint32_t chunk);
// "open/job-1" -> "job-1"; empty when the key has another form.
std::string id_of_open_key(const std::string& key);
bool parse_run_key(const std::string& key, std::string& id, std::uint32_t& chunk);

enum class JobState { open, cancelled, finishing, finished };
const char* name(JobState s);

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
const char* name(AttemptState s);

struct Attempt {
    Index job = kNone;
    std::uint32_t task = 0;
    std::uint32_t number = 0;  // attempt number, from 1
    Index machine = kNone;
    std::uint32_t place = 0;  // in its job's list
    Kept<AttemptState> state{AttemptState::recording};
    std::uint64_t token = 0;         // of the last start sent, or of the term that recorded it
    std::uint64_t session = 0;       // of the machine when the start was sent
    std::uint64_t answered_seq = 0;  // report number of the direct answer; 0: none came
    bool told_stop = false;
    bool must_go = false;  // a stop is wanted
    double grace_s = 0;
    wire::ExitCause cause = wire::ExitCause::none;
    Millis placed_at = 0;
    Millis running_since = 0;     // 0: not yet seen running
    std::uint64_t in_commit = 0;  // the commit that carries it
    links::Event start_event = kNone, gone_event = kNone;

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
struct Waiting {
    std::uint32_t task;
    std::uint32_t last_attempt;
};

// relaxed: will be in time, as the queue goes
// pressed: will miss an objective unless it goes first or more machines are hired
enum class Patience { relaxed, pressed };

struct Urgency {
    int missed = 0;
    double work = 0;  // of the tasks that wait, in seconds
    Millis start_by = 0;
};

struct Job {
    Index index = kNone;
    wire::JobSpec spec;
    Index team = kNone, image = kNone, job_class = kNone, zone = kNone;
    std::vector<char> allowed_type;  // by type index
    // A place's price by type, ordinary and spot, in ordinary places of the cheapest type that
    // fits.
    std::vector<std::pair<double, double>> dearness;
    std::vector<std::uint32_t> places_on;  // tasks that a machine takes, by type
    Index best_type = kNone;               // where a place costs least
    Kept<JobState> state{JobState::open};
    std::int64_t accepted_wall_ms = 0;
    Millis accepted_at = 0;     // the same on this process's steady clock
    std::uint64_t version = 0;  // stamp of open/<id>

    std::uint32_t next_fresh = 0;  // tasks from here on were never started
    std::vector<Waiting> waiting;  // tasks to start again
    std::uint32_t done = 0;
    std::map<std::uint32_t, Chunk> chunks;
    std::vector<std::unique_ptr<Attempt>> attempts;  // live or not yet forgotten
    Kept<std::uint32_t> live;                        // attempts that may hold a place
    Kept<std::uint32_t> running;                     // of them, those that were seen to run
    Kept<std::uint32_t> recording;                   // those whose checkpoint is not committed yet
    Kept<std::uint32_t> unrecorded;  // and those that no transaction under way names either
    bool queued = false;             // in the list of those that want places
    bool commit_in_flight = false;
    std::uint64_t commits = 0;
    Millis retry_commit_at = 0;
    Millis committed_at = 0;      // the last checkpoint was sent
    Millis done_dirty_since = 0;  // completions that no record shows yet

    // Gangs: all members share the attempt's number.
    std::uint32_t gang_attempt = 0;
    bool gang_broken = false;     // the running attempt must end before the next
    Millis fits_limit_since = 0;  // while it waits; 0: its team's limit leaves too little for it

    // Trouble.
    std::vector<Index> failed_on;  // machines on which a task ended in error
    Millis hold_until = 0;         // backed off
    std::uint32_t back_offs = 0;
    bool on_trial = false;      // at fault, as it seems: one task at a time until one runs
    Millis withheld_since = 0;  // room that fits it is kept for other work; 0: none was last time

    bool within_guarantee = false;
    Urgency urgency;
    Patience patience = Patience::pressed;
    bool anywhere = false;       // the cloud has nothing but what is kept for other work
    double share = 0;            // of a machine, that a task takes
    Kept<Index> lent_to{kNone};  // block whose holder has it
    std::uint64_t lent_done = 0, lent_running = 0;  // as the holder last said
    Millis lent_named_at = 0;                       // the holder said that it has it
    Millis starved_since = 0;                       // first time no place was found
    std::vector<Index> reserved;                    // machines where room was made for it
    Millis reserves_since = 0;                      // 0: none since it last got a place
    Millis make_room_at = 0;                        // not again before
    bool room_coming = false;                       // enough was found the last time
    bool avoids_dear = false;                       // leaves dear machines alone for now

    links::Links links;
    links::Event accepted_event = kNone, cancelled_event = kNone;

    // Is room that is kept for other work to be kept from it still?
    bool may_be_withheld(Millis now) const {
        return withheld_since == 0 || now - withheld_since <= kMostHeld;
    }

    bool gang() const { return spec.shape == wire::Shape::gang; }
    bool recorded_whole() const { return recording == 0; }  // only such gangs are started
    bool service() const { return spec.shape == wire::Shape::service; }
    double dearness_of(Index type, bool spot) const {
        if (type >= dearness.size()) return 1;
        return spot ? dearness[type].second : dearness[type].first;
    }
    bool is_done(std::uint32_t task) const;
    void mark_done(std::uint32_t task);
    // Of those that want a place, the ones that it may have at once.
    std::uint32_t wanted() const {
        const std::uint32_t all = unstarted();
        if (!on_trial || all == 0) return all;
        return live > 0 ? 0 : gang() ? all : 1;
    }
    // Tasks that want a place now. A gang wants all or none.
    std::uint32_t unstarted() const {
        if (state != JobState::open || lent_to != kNone) return 0;
        if (gang()) return live == 0 && done == 0 ? spec.tasks : 0;
        return spec.tasks - next_fresh + static_cast<std::uint32_t>(waiting.size());
    }
};

// Records.
wire::Json open_record(const wire::Json& spec, std::int64_t accepted_wall_ms, bool cancelled);
struct OpenRecord {
    wire::JobSpec spec;
    std::int64_t accepted_wall_ms = 0;
    bool cancelled = false;  // and its user was told so at once, as earlier versions did
    bool unwanted = false;   // its user will be told when nothing of it is left
};
std::optional<OpenRecord> read_open(const wire::Json& value);

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
wire::Json run_record(const RunRecord& r);
std::optional<RunRecord> read_run(const wire::Json& value);

}  // namespace nickelramp::jobs
