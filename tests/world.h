// A simulated world around the dispatcher: state service, cloud and workers in simulated time, with
// lost, late and repeated messages. It is the slow plain model: it keeps what truly runs where and
// asserts the rules of the protocol at every step.
#pragma once
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "deputy/deputy.h"
#include "dispatch/dispatcher.h"
#include "dispatch/holding.h"
#include "duties/lease.h"
#include "tests/fan_in.h"
#include "tests/trace.h"
#include "wire/settings.h"

namespace nickelramp::test {

wire::Settings world_settings();

struct Trouble {
    double lost_direct = 0;   // a direct message's answer is lost
    double held_direct = 0;   // a direct message arrives much later
    double lost_commit = 0;   // a transaction's outcome is unknown: applied at once or late
    double lost_checkin = 0;  // a report or its answer is lost
    double late_copy = 0;     // a report comes once more, seconds to several leases late
    double restarts = 0;      // a second, for one machine: back at once, its numbers begin anew
    double refuse_hire = 0;
    double sick = 0;              // machines that fail every task
    double machine_dies = 0;      // a second, for one machine
    double takeover = 0;          // a second
    double linger = 0;            // share of deposed leaders that go on answering for a while
    double holder_dies = 0;       // a second
    double lost_back = 0;         // a message between controllers is lost
    double refused_direct = 0;    // a connection to a machine is refused
    Millis slow_lists = 0;        // lists of the state service take up to so much longer
    double late_cloud = 0;        // the cloud executes a rental or a return up to a minute later
    double lost_cloud = 0;        // it executes it, and nobody hears
    Millis list_lag = 0;          // its lists are as old as that, or twice as old
    bool cloud_down = false;      // the cloud executes nothing
    std::string full_zone = "";   // it has no machine left there
    double at_once = 0;           // a transaction is applied, and only its answer is lost
    std::string at_once_of = "";  // of transactions of this kind only (what_of); empty: of any
    Millis slow_drops = 0;        // the leader hears of dropped open records so much later
    Millis boot_least = 5'000, boot_most = 15'000;
    double changes_per_s = 0;  // that the state service takes, a second's worth at once; 0: all
    Millis slow_watch = 0;     // changes of open records are heard up to so much later
    double for_next = 0;       // a report's copy is kept for the next leader
    double held_checkin = 0;   // a report arrives only when the next leader has acted
    bool one_way = false;      // holders are heard, and hear nothing
    double lost_grant = 0;     // a grant to a holder is lost
};

// A part of a zone's machines that nobody outside the zone reaches for a while.
struct Cut {
    std::string zone;
    double part = 1;      // of its machines
    bool hangs = false;   // they stand still instead
    bool held = false;    // direct messages arrive when it is over, not never
    bool deputy = false;  // a controller is in there with them
    Millis from = 0, until = 0;
};

// What befalls the leader as it sends its n-th message to the state service or the cloud.
enum class Blow {
    none,
    crash,   // it goes out, and the leader ends
    freeze,  // it goes out when the leader's term is long over
    hold     // it is executed much later; the leader goes on
};

class World {
  public:
    World(std::uint64_t seed, Trouble trouble, std::uint32_t share = 0,
          std::vector<wire::MachineType> types = {});
    ~World();

    Millis now() const { return now_; }
    void run_until(Millis t);
    void submit(const wire::Json& spec);
    void cancel(const std::string& id);
    // It was submitted with a mistake: all its tasks fail.
    void spoil(const std::string& id) { spoilt_.insert(id); }
    // Its tasks run for so long.
    void lengthen(const std::string& id, Millis length) { lengths_[id] = length; }
    void calm() { trouble_ = {}; }
    void begin(Trouble trouble) { trouble_ = trouble; }
    std::size_t returned(const std::string& zone = "") const;  // machines, to the cloud
    std::size_t lent() const { return lent_; }                 // grants that a holder took up
    void take_over();
    // From here on leaders hold a seat as the state service sees it: it refuses one of them, or is
    // down for all, holds end and are claimed, and whoever cannot hear of it goes on as its clock
    // allows.
    void hold_seats();
    // Workers report to so many controllers that forward to the leader, instead of to itself.
    void forward_reports(std::size_t forwarders, FanInFaults faults);
    FanIn& fan_in() { return *fan_in_; }
    void refuse_leader(Millis length);  // the state service refuses it, and nobody else
    void state_down(Millis length);
    void lose_watch(Millis length);  // the leader's; then it reads all open records again
    bool state_up() const { return now_ >= down_until_; }
    void crash_leader();
    void freeze_leader(Millis length);
    // Its user asks, every second until the answer comes.
    void ask_to_cancel(const std::string& id);
    std::size_t told_beside_old_leaders() const { return told_beside_old_; }
    std::size_t answers_by_old_leaders() const { return answers_by_old_; }
    std::size_t terms() const { return term_; }
    // How often a meeting came about.
    struct Met {
        std::size_t copies_of_sessions = 0;  // copies from a session that is over
        std::size_t copies_of_attempts = 0;  // that list an attempt which another has followed
        std::size_t held_executed = 0, held_refused = 0;  // commands, seconds late
        std::size_t late_applied = 0, late_refused = 0;   // transactions, after they were given up
        std::size_t unrecorded = 0;  // completions on no record as a leader ended
        // Machines at work that the cloud's list lacks, or calls booting; gone ones that it shows;
        // reports that came before the rental's answer.
        std::size_t unlisted = 0, booting = 0, ghosts = 0, unanswered = 0;
        std::map<std::string, std::size_t> at_once;  // by kind: applied, and their answers lost
        // Kept reports as a leader began: all, of machines that are gone, of those that began anew.
        std::size_t kept = 0, kept_of_gone = 0, kept_of_lives = 0;
        std::size_t heard_held = 0;         // that had been held back
        std::size_t wishes_while_read = 0;  // changes after its first read, before its book
        Millis longest_wait = 0;            // of those that expect_no_wait() speaks of
    };
    const Met& met() const { return met_; }
    // Called when a transaction of that kind has been applied and its answer lost.
    std::function<void(const std::string& kind)> on_at_once;
    void after(Millis wait, std::function<void()> f) { at(now_ + wait, std::move(f)); }
    // The last task of a job that is done has completed; its final state is on record; 0: not yet.
    Millis completed_at(const std::string& id) const;
    Millis final_at(const std::string& id) const;
    std::size_t records(const std::string& prefix) const;
    // The leader's watch has missed changes: it reads all open records, and the answer, as they are
    // now, reaches it so much later.
    void list_open(Millis after);
    // Jobs of which all has completed, and nobody is told for longer than that.
    std::vector<std::string> told_late(Millis longer) const;
    void set_options(const admin::Options& options);
    void strike(std::size_t step, Blow blow) {
        strike_at_ = sends_ + step;
        blow_ = blow;
    }
    bool struck() const { return sends_ >= strike_at_; }
    std::size_t rented() const { return hired_; }
    std::size_t intents() const;                      // on record
    std::size_t changes() const { return changes_; }  // that the state service was asked for
    void end_holders();                               // both; others begin at once
    std::size_t stops() const { return stops_; }
    void cut(const Cut& c);
    void take_away(const std::string& zone);  // the cloud does, all of its machines
    std::size_t killed_by_lease() const { return killed_; }
    std::size_t running(const std::string& zone) const;
    std::string final_state(const std::string& id) const;  // "", "done", "withdrawn"
    std::size_t starts() const { return starts_; }
    std::size_t machines() const { return machines_.size(); }
    const std::vector<std::string>& hired_types() const { return hired_types_; }  // in order
    void kill_machine(const std::string& name);
    // It stops by itself, and the cloud's list says so.
    void fail_machine(const std::string& name);
    // Its worker is back at once, with its numbers anew and nothing on it.
    void restart_machine(const std::string& name);
    // Its reports arrive; no answer and no command reaches it.
    void deafen(const std::string& name, Millis until) { machines_[name]->deaf_until = until; }
    // Its reports are answered; no command reaches it.
    void mute(const std::string& name, Millis until) { machines_[name]->mute_until = until; }
    // It reaches no controller; commands reach it, and its answers to them arrive.
    void mute_reports(const std::string& name, Millis until) {
        machines_[name]->unheard_until = until;
    }
    const std::string& zone_of(const std::string& machine) { return machines_[machine]->zone; }
    std::vector<std::string> working_machines() const;
    std::size_t tasks_on(const std::string& machine) { return machines_[machine]->tasks.size(); }
    bool removed(const std::string& machine) { return machines_[machine]->removed; }
    // A copy of what it has just said, or of what it said first, reaches the leader after so long.
    void copy(const std::string& machine, bool first, Millis after);
    std::size_t copies() const { return copies_; }
    std::size_t answered_copies() const { return answered_copies_; }
    std::string any_machine();
    dispatch::Dispatcher* leader();
    std::string out_of_step();  // a job that the leader's book or the records alone have
    bool reading();             // a leader has begun, and has no book yet
    double uses(const std::string& team) const;  // gpus, by what has a place on its machines
    std::size_t on_machines(const std::string& id) const;  // tasks of the job, likewise
    std::string what_runs() const;
    // From here on no job waits for longer than that while all that holds it back is the leader: a
    // task of it, or the whole gang, would fit a machine that is up, sound and reachable, and its
    // team's limit. Of a job that is given places, one at a time, each begins the wait anew.
    void expect_no_wait(Millis longer) { longest_wait_ = longer; }
    void repair() {  // the sick machines
        for (auto& [name, m] : machines_) m->sick = false;
    }
    Millis longest_wait() const { return met_.longest_wait; }
    std::string book_says();

  private:
    struct Task {
        std::uint32_t attempt = 0;
        std::string phase;  // fetching, gathering, running, saving, exited
        std::string cause;
        Millis ready_at = 0, done_at = 0, waits_until = 0;
        std::uint64_t term = 0;  // whose leader started it
    };
    using TaskId = std::pair<std::string, std::uint32_t>;
    struct Machine {
        std::string name, type, zone;
        bool spot = false, up = false, dead = false, sick = false, removed = false;
        bool failed = false;
        std::uint64_t session = 1, seq = 0, token = 0;
        Millis lease_from = 0;
        std::map<TaskId, Task> tasks;
        std::set<std::string> images;
        std::set<std::tuple<std::string, std::uint32_t, std::uint32_t>> known;  // until forgotten
        std::size_t target = 0;
        bool follows = false;  // its last report to that node was answered 200
        std::size_t forwarder = 0;
        std::uint64_t follows_term = 0;  // likewise, of its last report to that forwarder
        bool unanswered = false;
        bool answered_for = false;  // a rental's answer named it
        Millis deaf_until = 0, mute_until = 0, unheard_until = 0;
        std::size_t life = 0;
        wire::Report first, last;
        Millis hired_at = 0, up_at = kNever, removed_at = kNever;
    };
    struct Rental {
        std::string type, zone;
        bool spot = false;
        std::uint32_t count = 0;
        std::vector<std::string> machines;
    };
    struct Node : book::Outbox {
        World* world = nullptr;
        std::size_t index = 0;  // in nodes_
        std::unique_ptr<dispatch::Dispatcher> book;
        std::unique_ptr<dispatch::Holding> holding;  // of the two that never lead
        std::unique_ptr<deputy::Deputy> deputy;      // likewise
        Millis leader_at = 0;                        // last heard
        std::uint64_t term = 0;
        bool leads = false;
        bool listed = false;  // it has read the cloud's list
        Millis answers_until = 0;
        // With seats: until when it certainly leads, by its own clock; what it has seen of the
        // state service; when its hold ends there; until when it is refused, and stands still.
        Millis trust_until = kNever, view = 0, hold_end = 0, refused_until = 0, frozen_until = 0;
        void commit(state::Txn, std::function<void(Millis, const state::CommitReply&)>) override;
        void read(const std::string&, std::function<void(Millis, const state::GetReply&)>) override;
        void list(const std::string&,
                  std::function<void(Millis, const state::ListReply&)>) override;
        void direct(const std::string&, const std::string&, std::uint64_t, std::uint64_t,
                    const std::vector<wire::Command>&,
                    std::function<void(Millis, const book::DirectReply&)>) override;
        void hire(const std::string&, const std::string&, const std::string&, bool, std::uint32_t,
                  std::function<void(Millis, const fleet::HireReply&)>) override;
        void give_back(const std::vector<std::string>&, std::function<void(Millis, bool)>) override;
        void refuted(duties::Duty d) override { trace("refuted", static_cast<int>(d)); }
        void deposed(const std::string& why) override {
            trace("deposed");
            if (holding)
                holding->end(why);
            else
                leads = false;
        }
        template <typename... Fields>
        void trace(const char* kind, const Fields&... fields) {
            world->trace_.add(world->now_, kind, index, fields...);
        }
    };
    struct Stored {
        wire::Json value;
        std::uint64_t version = 0;
    };

    void at(Millis t, std::function<void()> f) { queue_.emplace(t, std::move(f)); }
    // What a leader has read so far: at what time and revision the first page, and where it is.
    struct Reading {
        Millis began = 0;
        std::uint64_t revision = 0;
        std::map<std::string, Stored> records;
        std::string after;
        std::size_t prefix = 0;
    };
    void load(std::size_t index);
    void read_on(std::size_t index, std::shared_ptr<Reading> got);
    void begin_book(std::size_t index, const Reading& got);
    void replay_kept();
    void keep_for_next(const wire::Report& r, std::size_t node, bool follows);
    Millis watched();  // when a change of now is heard
    void tend_seats();
    void hold(Node& n);
    Node* leading();  // as the state service sees it; null: nobody
    // Counts them. Does its limit leave room?
    bool takes(std::size_t changes);
    void count_unrecorded();
    bool served(const Node& n) const { return state_up() && now_ >= n.refused_until; }
    // It may answer workers, as far as it knows.
    bool answers(const Node& n) const;
    bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
    Millis delay(Millis most) {
        return 1 + static_cast<Millis>(random_() % static_cast<unsigned>(most));
    }
    state::CommitReply apply(const state::Txn& txn);
    bool answer_lost_of(const state::Txn& txn);
    // When a call arrives at the cloud, and whether its answer is lost.
    struct Way {
        Millis arrive = 0;
        bool lost = false;
    };
    Way to_cloud();
    // How long the message that is being sent is held up, and what else befalls its sender.
    Millis blow();
    fleet::HireReply rent(const std::string& request, const Rental& asked);
    void take_back(const std::vector<std::string>& names, std::uint64_t term);
    std::vector<wire::Host> list() const;
    void count_list();
    void told_cancelled(const std::string& id);
    void set_key(const std::string& key, const wire::Json& value);
    void tell_leader(const std::string& key, Millis after = 0);
    void start_holder(std::size_t n);
    void tick_holder(std::size_t n, std::uint64_t incarnation);
    void back_channel();
    void tick_node(std::size_t n);
    void checkin(const std::string& name, std::size_t life);
    dispatch::CheckinAnswer hear(std::size_t node, const wire::Report& r, bool follows) {
        return hear(node, r, workers::Arrival{follows, now_});
    }
    dispatch::CheckinAnswer hear(std::size_t node, const wire::Report& r,
                                 const workers::Arrival& arrival);
    void report_through(Machine& m, const wire::Report& r);
    void receive(const std::string& name, const dispatch::CheckinAnswer& a, Millis sent,
                 std::uint64_t session, std::size_t life);
    void late_copies(const wire::Report& r);
    wire::Report report_of(Machine& m);
    void execute(Machine& m, const std::vector<wire::Command>& commands);
    void step(Machine& m);
    void kill_tasks(Machine& m);
    void comes_up(const std::string& name);
    void check_start(const Machine& m, const TaskId& id);
    void check_all();
    bool would_fit(const std::string& id, const wire::JobSpec& spec) const;
    void check_waits();
    // Is the machine out of reach, and of whom? Its zone's deputy is with it.
    const Cut* cut_of(const Machine& m) const;
    bool reaches(const Machine& m, std::size_t node) const;
    std::string zone_of(std::size_t node) const { return node == 1 && share_ > 0 ? "b" : "a"; }
    bool deputy_cut(std::size_t i) const;
    bool on_machine(const Task& t) const { return t.phase != "fetching" && t.phase != "exited"; }

    Trace trace_;
    wire::Settings settings_;
    wire::Settings holder_settings_[2];
    std::uint32_t share_;
    std::size_t lent_ = 0;
    std::uint64_t incarnations_ = 0;
    Trouble trouble_;
    std::mt19937_64 random_;
    Millis now_ = 0;
    std::multimap<Millis, std::function<void()>> queue_;
    std::map<std::string, Stored> keys_;
    std::uint64_t revision_ = 10;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::map<std::string, Rental> hires_;
    admin::Options options_;
    std::size_t sends_ = 0, strike_at_ = SIZE_MAX;
    Blow blow_ = Blow::none;
    std::size_t hired_ = 0;
    std::vector<std::string> hired_types_;
    std::vector<std::unique_ptr<Node>> nodes_;
    std::unique_ptr<FanIn> fan_in_;
    std::vector<wire::MachineType> types_;
    std::uint64_t term_ = 0;
    std::map<std::string, wire::JobSpec> specs_;
    std::set<std::string> spoilt_;
    std::map<std::string, Millis> lengths_;
    std::set<std::string> unwanted_;           // their users asked to cancel them
    std::map<std::string, Millis> cancelled_;  // and were told when
    std::set<TaskId> done_;
    std::size_t starts_ = 0;
    std::size_t stops_ = 0;   // commands that ended a task
    std::size_t killed_ = 0;  // tasks, by their leases
    std::size_t copies_ = 0, answered_copies_ = 0;
    std::vector<Cut> cuts_;
    std::size_t answered_by_deputies_ = 0;
    bool seats_ = false;
    Millis down_until_ = 0;
    std::size_t changes_ = 0;
    double budget_ = 0;  // of changes, as of budget_at_
    Millis budget_at_ = 0;
    std::size_t told_beside_old_ = 0, answers_by_old_ = 0;
    Met met_;
    Millis watched_at_ = 0, watch_lost_until_ = 0;
    struct Kept {
        wire::Report report;
        std::size_t node = SIZE_MAX;  // it was held on its way there; else a copy, to all
        bool follows = false;
        std::size_t life = 0;
    };
    std::vector<Kept> kept_;
    std::map<TaskId, std::uint32_t> latest_;  // the last attempt of each that came to be there
    std::map<TaskId, Millis> done_at_;
    std::map<std::string, Millis> final_at_;
    Millis watch_from_ = 0, listed_at_ = 0;
    Millis longest_wait_ = kNever;
    std::map<std::string, Millis> waits_since_;

  public:
    std::size_t answered_by_deputies() const { return answered_by_deputies_; }
};

wire::Json job(const std::string& id, const std::string& shape, std::uint32_t tasks, double gpus);
wire::Report report(std::uint64_t session, std::uint64_t seq, std::uint64_t token);

}  // namespace nickelramp::test
