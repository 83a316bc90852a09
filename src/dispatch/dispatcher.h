// The leader's book of one term: jobs, attempts, machines, and what to do next. It owns no sockets
// and reads no clock; time and messages are arguments, effects go through the outbox.
#pragma once
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "admin/metrics.h"
#include "admin/options.h"
#include "base/agenda.h"
#include "base/names.h"
#include "base/time.h"
#include "blocks/ledger.h"
#include "deputy/deputy.h"
#include "dispatch/guarantee.h"
#include "dispatch/outbox.h"
#include "domains/domains.h"
#include "fleet/forecast.h"
#include "fleet/market.h"
#include "jobs/job.h"
#include "peers/messages.h"
#include "placing/openings.h"
#include "placing/placer.h"
#include "wire/settings.h"
#include "workers/roster.h"

namespace nickelramp::dispatch {

struct TermInfo {
    std::uint64_t number = 0;
    std::string key;            // conditional transactions name it
    std::uint64_t version = 0;  // its stamp while this term lasts
};

// The leader's book has everything; a holder's only a block of machines and the jobs lent with it.
enum class Role { leader, holder };

struct CheckinAnswer {
    int status = 200;    // 200, 421, 503
    std::string holder;  // with 421: who answers for the machine
    std::uint64_t token = 0;
    std::vector<wire::Command> commands;
};

struct Team {
    double cpus = 0, gpus = 0;  // in use, from the start's sending until proven gone
};

class Dispatcher {
  public:
    Dispatcher(const wire::Settings& settings, TermInfo term, Outbox& outbox, Millis now,
               Role role = Role::leader);

    // Recovery, before anything else.
    void load_types(const std::vector<wire::MachineType>& types);
    void load_block(std::uint32_t n, blocks::Block block);
    // Before the blocks: the leader before this one had not heard the zone's machines since then.
    void expect_lost(const std::string& zone, Millis since);
    void load_job(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                  Millis now);
    void load_run(const std::string& id, std::uint32_t chunk, const jobs::RunRecord& record,
                  std::uint64_t version, Millis now);
    void start(Millis now);

    // News from the state service.
    void on_open_record(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                        Millis now);
    // While not confirmed as leader, nothing new is started.
    void set_confirmed(bool confirmed) { confirmed_ = confirmed; }

    // An open record has gone: whoever held the job has finished it.
    void on_open_dropped(const std::string& id);

    CheckinAnswer on_checkin(const wire::Report& report, Millis now);
    // A whole list, asked for at that time.
    void on_hosts(const std::vector<wire::Host>& hosts, Millis asked, Millis now);
    void tick(Millis now);

    // Sharing, the leader's side. A peer that can hold machines has been heard of; `clock_ms` is
    // its own and comes back in the grant, whose lease runs from then.
    void peer_heard(const peers::Status& status, Millis now);
    // The grants to send now; each renews a lease.
    std::vector<std::pair<std::string, peers::Grant>> grants(Millis view_fresh, Millis now);
    void on_news(const peers::News& news);
    // The leaves to send now, to those that may answer machines when the leader is out of reach.
    std::vector<std::pair<std::string, peers::Leave>> leaves(Millis view_fresh, Millis now);
    Millis answer_for() const { return deputies_.answer_for(); }
    std::vector<peers::Status::Lost> lost_zones(Millis now) const;
    void set_options(const admin::Options& options) { options_ = options; }

    // Sharing, the holder's side.
    void hold(const peers::Grant& grant, Millis now);
    void lent_job(const jobs::OpenRecord& record, std::uint64_t version,
                  const state::ListReply& runs, std::int64_t wall_ms, Millis now);
    void cancel_lent(const std::string& id, Millis now);
    const std::vector<std::string>& troubled() const { return troubled_; }

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
    bool cut_off() const { return domains_.alone(); }

    void set_metrics(admin::Metrics* metrics) { metrics_ = metrics; }
    // The jobs that wait, with the reason, and those past or about to pass an objective.
    wire::Json overview(Millis now) const;

    // For tests and administration.
    const workers::Roster& roster() const { return roster_; }
    const std::unordered_map<std::string, std::unique_ptr<jobs::Job>>& open_jobs() const {
        return jobs_;
    }

  private:
    using Job = jobs::Job;
    using Attempt = jobs::Attempt;
    using AttemptState = jobs::AttemptState;
    using Machine = workers::Machine;
    using MachineState = workers::MachineState;
    using Need = placing::Need;

    // intake.cpp
    Job* add_job(const jobs::OpenRecord& record, std::uint64_t version, std::int64_t wall_ms,
                 Millis now);
    void appraise(Job& j);
    Job* find_job(const std::string& id);
    void cancel(Job& j, Millis now);
    void set_job_state(Job& j, jobs::JobState s);
    void maybe_finish(Job& j, Millis now);
    void finish_commit(Job& j, Millis now);
    void maybe_drop(const std::string& id);
    void want_places(Job& j);
    void attend(Job& j, Millis now);
    void tend(Job& j, Millis now);
    void tend_jobs(Millis now);

    // attempts.cpp
    void set_attempt_state(Attempt& a, AttemptState s, Millis now);
    void set_machine_state(Machine& m, MachineState s);
    void occupy(Attempt& a, Job& j, Machine& m);
    void release(Attempt& a, Job& j);
    void refresh(Machine& m);
    void reserve(Machine& m, Job& j, Millis until);
    void drop_reservation(Machine& m);
    bool link_start(Job& j, Attempt& a);
    Attempt* place(Job& j, std::uint32_t task, std::uint32_t number, Machine& m, Millis now);
    void unplace(Attempt& a, Millis now);  // never sent
    void proven_gone(Attempt& a, Millis now);
    void exited(Attempt& a, wire::ExitCause cause, Millis now);
    void over(Job& j, Attempt& a, Millis now);
    void requeue(Job& j, const Attempt& a);
    void erase(Attempt& a);
    void want_gone(Attempt& a, double grace_s, Millis now);
    void stop_all(Job& j, Millis now);
    void stop_saving(Attempt& a, Millis now);  // the whole gang, if it is of one
    void drain_attempt(Attempt& a, Millis now);
    void break_gang(Job& j, Millis now);
    void note_error(Job& j, Machine& m, Millis now);
    Job& job_of(const Attempt& a) { return *slots_[a.job]; }
    Machine* machine_of(const Attempt& a) {
        return a.machine == kNone ? nullptr : roster_.at(a.machine);
    }

    // reports.cpp
    Machine* adopt(const std::string& name, Millis now);
    void identify(Machine& m, const std::string& address, const std::string& type,
                  const std::string& zone, bool spot);
    std::string kind_of(const Machine& m) const;  // for the log
    bool settled(const Attempt& a, const Machine& m) const;
    void absorb(Machine& m, const wire::Report& r, Millis now);
    void see(Attempt& a, const wire::TaskReport& t, Machine& m, Millis now);
    void join(Machine& m, Millis now);
    bool newer_leader(const wire::Report& r);

    // commands.cpp
    void stray_commands(Machine& m, const wire::Report& r, std::vector<wire::Command>& out);
    std::vector<wire::Command> standing_commands(Machine& m);
    void poke(Machine& m);  // it has something to be sent, at the end of this turn
    void flush_poked(Millis now);
    void flush(Machine& m, Millis now);
    void on_direct(const std::string& name, std::uint64_t token, const DirectReply& reply,
                   Millis now);
    void raise_token(Machine& m);
    void machine_gone(Machine& m, Millis now);

    // checkpoint.cpp
    bool gang_recorded(const Job& j) const;
    Millis commit_due(const Job& j) const;
    void commit_job(Job& j, Millis now);
    void on_job_commit(const std::string& id, std::uint64_t serial,
                       const std::vector<std::uint32_t>& chunks, const state::CommitReply& reply,
                       Millis now);
    void reread_chunk(Job& j, std::uint32_t chunk);
    void commit_blocks(Millis now);
    void drop_leftovers(Millis now);
    std::vector<state::Condition> conditions() const;
    bool superseded(const state::CommitReply& reply);

    // schedule.cpp
    void schedule(Millis now);
    bool try_job(Job& j, Millis now);
    bool place_some(Job& j, Millis now);
    bool place_gang(Job& j, Millis now);
    bool within_limit(const Job& j, std::uint32_t tasks) const;
    std::uint32_t room_in_limit(const Job& j) const;
    bool may_evict(const Attempt& a, const Job& j);
    bool make_room(Job& j, std::uint32_t tasks, Millis now);
    bool allowed(const Job& j, const Machine& m) const;
    bool may_get(const Job& j, const Machine& m, const Need& need, Millis now) const;
    bool leaves_alone(const Job& j, const Machine& m) const;
    bool kept_for_replicas(const Job& j, const Machine& m, double kept) const;
    std::vector<std::uint32_t> live_by_zone(const Job& j);  // its tasks
    std::vector<Machine*> fitting(const Job& j, const Need& need, Millis now);
    std::vector<Job*> queue(Millis now);
    void foresee(const std::vector<Job*>& queue, Millis now);
    double steady_above(const Job& j, Millis now);
    static bool dear(const Job& j, Index type, bool spot);
    bool left_to_others(const Job& j, Index type) const;
    bool all_refused(const Job& j, Millis now) const;
    jobs::Urgency urgency(const Job& j, Millis now) const;
    std::optional<Millis> start_due(const Job& j, const wire::Objective& o) const;

    // silence.cpp
    void set_silent(Machine& m, bool silent);
    void set_shaded(Machine& m, bool shaded);
    void look_at_domains(Millis now);
    void give_up_silent(Machine& m, Millis now);
    Millis likely_end(const Machine& m) const;
    bool movable(const Machine& m, const Attempt& a);
    void miss_from_list(const std::vector<wire::Host>& hosts, Millis asked, Millis now);

    // overview.cpp
    std::string why_waiting(const Job& j, Millis now) const;

    // sharing.cpp
    struct Peer {
        std::uint64_t incarnation = 0, clock_ms = 0;
        bool healthy = false;
        Millis heard_at = 0;
    };
    struct Room {
        Index machine = kNone;
        double cpus = 0, gpus = 0, memory_gb = 0;
    };
    // wanted: its record is being written; granted: leases are sent; ending: no more are sent, and
    // once the last has run out the block is taken back; reclaimed: its record is being rewritten;
    // reading: its jobs' records are read, until then its machines get nothing
    enum class LeaseState { wanted, granted, ending, reclaimed, reading };
    struct Lease {
        std::string holder;
        std::uint64_t incarnation = 0;
        LeaseState state = LeaseState::wanted;
        Millis over_at = 0;  // by then the holder has stopped, by its own clock
        Millis idle_since = 0;
        std::vector<Room> room;
        std::vector<std::string> jobs;
    };
    void set_lease_state(std::uint32_t block, Lease& l, LeaseState s);
    void share_machines(Millis now);
    bool lend_job(Job& j, Millis now);
    void check_leases(Millis now);
    void block_committed(std::uint32_t block, Millis now);
    void take_job_back(Job& j);
    void finish_reading(std::uint32_t block);
    void job_left(Job& j);
    void complete_load(Job& j, Millis now);

    // supply.cpp
    // What is wanted of a type of machine, by the work that costs least there, and what there is.
    struct Demand {
        fleet::Forecast spot;      // machines' worth of tasks that may use spot ones
        fleet::Forecast whole;     // tasks that want most of an ordinary machine, at once
        fleet::Forecast pressing;  // those of them that cannot wait for a boot
        double spot_room = 0;      // free on spot machines, in machines
        std::size_t blank = 0;     // ordinary machines with nothing on them
        std::size_t spare = 0;     // ordinary machines that whole-machine tasks could have at once
        bool sole = false;         // some work fits no other type
        bool whole_waiting = false;   // some wait that take a machine a task
        double flexible[2] = {0, 0};  // machines less what gangs and replicas hold; ordinary, spot
    };
    void plan_supply(const std::vector<Job*>& unplaced, Millis now);
    std::vector<std::uint32_t> places_soon_free() const;
    double expected_run_s(const Job& j) const;
    void learn_run(const Job& j, const Attempt& a, Millis now);
    void hire(const fleet::Kind& kind, std::uint32_t count);
    void on_hired(const std::string& request, const fleet::Kind& kind,
                  const fleet::HireReply& reply, Millis now);
    void watch_machines(Millis now);
    void watch_machine(Machine& m, Millis now);
    void return_machine(Machine& m, const char* why);
    void send_returns(Millis now);
    Millis idle_keep(const Machine& m, Millis now);
    bool whole(const Job& j) const;
    template <typename Leaves>
    double wanted_ahead(fleet::Forecast& arrivals, Index type, Leaves leaves, double margin,
                        Millis now);
    void note_replicas(const Job& j);
    double standing_wanted(Millis now);
    Demand& demand_of(Index type);
    bool keeps_blank(Index type, Millis now);
    std::size_t spare_wanted(Index type, Millis now);
    enum class Better { no, fuller, cheaper };
    Better better_for(const Job& j, const Machine& from, const Machine& to);
    double start_within_s(const Job& j) const;
    bool move_replicas(Machine& from, std::map<Machine*, Need>& planned, Millis now);
    void consolidate(Millis now);

    // Wraps a callback so that it does nothing once the term is over.
    template <typename F>
    auto guarded(F f) {
        return [alive = std::weak_ptr<char>(alive_), f = std::move(f)](auto&&... args) {
            if (alive.lock()) f(std::forward<decltype(args)>(args)...);
        };
    }

    const wire::Settings& settings_;
    TermInfo term_;
    Outbox& outbox_;
    std::shared_ptr<char> alive_ = std::make_shared<char>();
    Role role_;
    state::Condition held_;              // holder: its grant's record
    std::uint64_t inherited_token_ = 0;  // what was started before used at most this one
    std::vector<std::string> troubled_;
    std::map<std::string, Peer> peers_;
    std::map<std::uint32_t, Lease> leases_;  // by block
    admin::Options options_;
    admin::Metrics* metrics_ = nullptr;
    bool starving_ = false;  // jobs found no place when last looked
    bool started_ = false;
    bool confirmed_ = true;
    bool deposed_ = false;
    Millis began_ = 0;
    Millis inherited_lease_until_ = 0;  // leases that earlier terms may have given

    Names type_names_, zone_names_, image_names_, team_names_, class_names_;
    std::vector<wire::MachineType> types_;
    std::vector<wire::Team> team_rules_;
    std::vector<Team> teams_;

    std::unordered_map<std::string, std::unique_ptr<Job>> jobs_;
    std::vector<Job*> slots_;
    std::vector<Index> free_slots_;
    std::vector<Index> waiting_;  // jobs that want places
    Agenda job_agenda_;
    std::vector<std::unique_ptr<Guarantee>> guarantees_;  // by team
    workers::Roster roster_;
    placing::Openings openings_;
    Agenda machine_agenda_;
    std::set<Index> coming_, returning_;      // machines booting or joining; to be given back
    std::vector<std::uint32_t> machines_in_;  // by zone
    domains::Domains domains_;                // machines that report, and those that have ceased to
    std::set<Index> silent_;                  // those
    deputy::Deputies deputies_;
    std::map<Index, Millis> lost_since_;  // by zone, as the leader before this one saw it
    std::size_t sought_from_ = 0;         // where the search for victims goes on
    blocks::Ledger ledger_;
    bool blocks_in_flight_ = false;
    Millis retry_blocks_at_ = 0, next_blocks_at_ = 0;
    std::vector<std::string> leftovers_;  // run records of finished jobs to delete
    Millis retry_leftovers_at_ = 0;

    std::vector<Index> poked_;
    std::size_t directs_ = 0;  // messages to machines that are not answered yet
    bool dirty_ = true;        // something changed that the schedule depends on
    Millis next_pass_ = 0, next_supply_ = 0, next_share_ = 0;

    fleet::Market market_;
    struct Learned {
        double ran_s = 0, guessed_s = 0, weight = 0;
        std::uint32_t running = 0;  // tasks that will end by themselves
        double share = 0;           // of machines, that those take
        bool whole = false;         // they take a machine each
        bool spot = false;          // they may use spot machines
        Index type = kNone;         // where they cost least
        wire::Priority priority = wire::Priority::low;
        fleet::Forecast work;  // cpus of array tasks that arrive
    };
    std::vector<Learned> learned_;  // by class
    std::vector<Demand> demand_;    // by type
    // Room for replicas that are likely to come before another machine could boot.
    struct Standing {
        Need need;                 // the largest of them
        Index type = kNone;        // where the last costs least
        fleet::Forecast arrivals;  // replicas
        std::vector<std::pair<double, double>> dearness;
        double places = 0;  // free for them, on ordinary machines that are not dear
    };
    Standing standing_;
    double dear_to_hire_ = 0;  // cpus, beyond what is there and coming
    Index dear_for_ = kNone;   // a job that would use them
    Millis next_consolidation_ = 0;
    bool return_in_flight_ = false;
    Millis retry_return_at_ = 0;
};

}  // namespace nickelramp::dispatch
