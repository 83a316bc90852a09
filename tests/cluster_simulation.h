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

#include "control/control_loop.h"
#include "control/shard_holder.h"
#include "lease/lease_guard.h"
#include "partition/partition_responder.h"
#include "tests/forwarding_simulation.h"
#include "tests/trace.h"
#include "wire/settings.h"

namespace nickelramp::test {

wire::Settings simulation_settings();

struct Faults {
    double lost_command_replies = 0;  // a direct message's answer is lost
    double delayed_commands = 0;      // a direct message arrives much later
    double unknown_commits = 0;       // a transaction's outcome is unknown: applied at once or late
    double lost_heartbeats = 0;       // a report or its answer is lost
    double late_heartbeat_copies = 0;  // a report comes once more, seconds to several leases late
    double worker_restarts_per_s =
        0;  // a second, for one machine: back at once, its numbers begin anew
    double refused_provisioning = 0;
    double faulty_machines = 0;         // machines that fail every task
    double machine_failures_per_s = 0;  // a second, for one machine
    double failovers_per_s = 0;         // a second
    double lingering_old_leaders = 0;   // share of deposed leaders that go on answering for a while
    double holder_failures_per_s = 0;   // a second
    double lost_peer_messages = 0;      // a message between controllers is lost
    double refused_commands = 0;        // a connection to a machine is refused
    Millis list_delay = 0;              // lists of the state service take up to so much longer
    double late_cloud_calls = 0;    // the cloud executes a rental or a return up to a minute later
    double lost_cloud_replies = 0;  // it executes it, and nobody hears
    Millis cloud_list_lag = 0;      // its lists are as old as that, or twice as old
    bool cloud_down = false;        // the cloud executes nothing
    std::string exhausted_zone = "";  // it has no machine left there
    double lost_commit_replies = 0;   // a transaction is applied, and only its answer is lost
    std::string lost_commit_replies_of =
        "";                            // of transactions of this kind only (what_of); empty: of any
    Millis deletion_notice_delay = 0;  // the leader hears of dropped open records so much later
    Millis min_boot = 5'000, max_boot = 15'000;
    double state_writes_per_s =
        0;                   // that the state service takes, a second's worth at once; 0: all
    Millis watch_delay = 0;  // changes of open records are heard up to so much later
    double copies_for_next_leader = 0;  // a report's copy is kept for the next leader
    double heartbeats_held_for_next_leader =
        0;                                  // a report arrives only when the next leader has acted
    bool holder_one_way_partition = false;  // holders are heard, and hear nothing
    double lost_shard_grants = 0;           // a grant to a holder is lost
};

// A part of a zone's machines that nobody outside the zone reaches for a while.
struct Partition {
    std::string zone;
    double share = 1;                  // of its machines
    bool freezes_machines = false;     // they stand still instead
    bool delays_commands = false;      // direct messages arrive when it is over, not never
    bool includes_controller = false;  // a controller is in there with them
    Millis from = 0, until = 0;
};

// What befalls the leader as it sends its n-th message to the state service or the cloud.
enum class SendFault {
    none,
    crash,   // it goes out, and the leader ends
    freeze,  // it goes out when the leader's term is long over
    delay    // it is executed much later; the leader goes on
};

class ClusterSimulation {
  public:
    ClusterSimulation(std::uint64_t seed, Faults faults, std::uint32_t share = 0,
                      std::vector<wire::MachineType> types = {});
    ~ClusterSimulation();

    Millis now() const { return now_; }
    void run_until(Millis t);
    void submit(const wire::Json& spec);
    void cancel(const std::string& id);
    // It was submitted with a mistake: all its tasks fail.
    void make_job_fail(const std::string& id) { failing_jobs_.insert(id); }
    // Its tasks run for so long.
    void set_task_duration(const std::string& id, Millis length) { task_durations_[id] = length; }
    void clear_faults() { faults_ = {}; }
    void set_faults(Faults faults) { faults_ = faults; }
    std::size_t released_machines(const std::string& zone = "") const;  // machines, to the cloud
    std::size_t accepted_shard_grants() const {
        return accepted_shard_grants_;
    }  // grants that a holder took up
    void fail_over();
    // From here on leaders hold a seat as the state service sees it: it refuses one of them, or is
    // down for all, holds end and are claimed, and whoever cannot hear of it goes on as its clock
    // allows.
    void simulate_leader_leases();
    // Workers report to so many controllers that forward to the leader, instead of to itself.
    void forward_heartbeats(std::size_t forwarders, ForwardingFaults faults);
    ForwardingSimulation& forwarding() { return *forwarding_; }
    void reject_leader_at_state_service(
        Millis length);  // the state service refuses it, and nobody else
    void take_state_service_down(Millis length);
    void interrupt_watch(Millis length);  // the leader's; then it reads all open records again
    bool state_service_up() const { return now_ >= state_service_down_until_; }
    void crash_leader();
    void freeze_leader(Millis length);
    // Its user asks, every second until the answer comes.
    void request_cancel_until_answered(const std::string& id);
    std::size_t cancellations_confirmed_beside_old_leaders() const {
        return cancellations_confirmed_beside_old_;
    }
    std::size_t replies_by_old_leaders() const { return replies_by_old_; }
    std::size_t term_count() const { return term_; }
    // How often a meeting came about.
    struct Coverage {
        std::size_t copies_of_old_incarnations = 0;  // copies from a session that is over
        std::size_t copies_of_old_attempts = 0;  // that list an attempt which another has followed
        std::size_t delayed_commands_executed = 0,
                    delayed_commands_refused = 0;  // commands, seconds late
        std::size_t late_commits_applied = 0,
                    late_commits_refused = 0;    // transactions, after they were given up
        std::size_t unrecorded_completions = 0;  // completions on no record as a leader ended
        // Machines at work that the cloud's list lacks, or calls booting; gone ones that it shows;
        // reports that came before the rental's answer.
        std::size_t working_but_unlisted = 0, working_but_listed_booting = 0, gone_but_listed = 0,
                    heartbeats_before_rental_reply = 0;
        std::map<std::string, std::size_t>
            lost_commit_replies;  // by kind: applied, and their answers lost
        // Kept reports as a leader began: all, of machines that are gone, of those that began anew.
        std::size_t held_copies = 0, held_copies_of_gone_machines = 0,
                    held_copies_of_old_incarnations = 0;
        std::size_t held_heartbeats_delivered = 0;  // that had been held back
        std::size_t cancellations_during_load = 0;  // changes after its first read, before its book
        Millis longest_wait = 0;                    // of those that expect_no_wait() speaks of
    };
    const Coverage& coverage() const { return coverage_; }
    // Called when a transaction of that kind has been applied and its answer lost.
    std::function<void(const std::string& kind)> on_commit_reply_lost;
    void after(Millis wait, std::function<void()> f) { at(now_ + wait, std::move(f)); }
    // The last task of a job that is done has completed; its final state is on record; 0: not yet.
    Millis completed_at(const std::string& id) const;
    Millis final_at(const std::string& id) const;
    std::size_t count_records(const std::string& prefix) const;
    // The leader's watch has missed changes: it reads all open records, and the answer, as they are
    // now, reaches it so much later.
    void reload_open_records(Millis after);
    // Jobs of which all has completed, and nobody is told for longer than that.
    std::vector<std::string> jobs_reported_late(Millis longer) const;
    void set_options(const admin::Options& options);
    void inject_at_send(std::size_t step, SendFault fault) {
        inject_at_send_ = sends_ + step;
        send_fault_ = fault;
    }
    bool injected() const { return sends_ >= inject_at_send_; }
    std::size_t provisioned_machines() const { return provisioned_machines_; }
    std::size_t recorded_intents() const;  // on record
    std::size_t state_changes() const {
        return state_changes_;
    }                        // that the state service was asked for
    void restart_holders();  // both; others begin at once
    std::size_t stopped_tasks() const { return stopped_tasks_; }
    void partition(const Partition& partition);
    void preempt_zone(const std::string& zone);  // the cloud does, all of its machines
    std::size_t tasks_killed_by_lease() const { return tasks_killed_by_lease_; }
    std::size_t running_tasks(const std::string& zone) const;
    std::string final_state(const std::string& id) const;  // "", "done", "withdrawn"
    std::size_t started_tasks() const { return started_tasks_; }
    std::size_t machines() const { return machines_.size(); }
    const std::vector<std::string>& provisioned_types() const {
        return provisioned_types_;
    }  // in order
    void kill_machine(const std::string& name);
    // It stops by itself, and the cloud's list says so.
    void fail_machine(const std::string& name);
    // Its worker is back at once, with its numbers anew and nothing on it.
    void restart_machine(const std::string& name);
    // Its reports arrive; no answer and no command reaches it.
    void block_inbound(const std::string& name, Millis until) {
        machines_[name]->inbound_blocked_until = until;
    }
    // Its reports are answered; no command reaches it.
    void block_commands(const std::string& name, Millis until) {
        machines_[name]->commands_blocked_until = until;
    }
    // It reaches no controller; commands reach it, and its answers to them arrive.
    void block_heartbeats(const std::string& name, Millis until) {
        machines_[name]->heartbeats_blocked_until = until;
    }
    const std::string& zone_of(const std::string& machine) { return machines_[machine]->zone; }
    std::vector<std::string> working_machines() const;
    std::size_t tasks_on(const std::string& machine) { return machines_[machine]->tasks.size(); }
    bool removed(const std::string& machine) { return machines_[machine]->removed; }
    // A copy of what it has just said, or of what it said first, reaches the leader after so long.
    void redeliver_heartbeat(const std::string& machine, bool first, Millis after);
    std::size_t heartbeat_copies() const { return heartbeat_copies_; }
    std::size_t answered_heartbeat_copies() const { return answered_heartbeat_copies_; }
    std::string any_machine();
    control::ControlLoop* leader();
    std::string inconsistent_job();  // a job that the leader's book or the records alone have
    bool leader_is_loading();        // a leader has begun, and has no book yet
    double gpus_used_by(
        const std::string& team) const;  // gpus, by what has a place on its machines
    std::size_t tasks_on_machines(const std::string& id) const;  // tasks of the job, likewise
    std::string describe_running() const;
    // From here on no job waits for longer than that while all that holds it back is the leader: a
    // task of it, or the whole gang, would fit a machine that is up, sound and reachable, and its
    // team's limit. Of a job that is given places, one at a time, each begins the wait anew.
    void expect_wait_below(Millis longer) { longest_wait_ = longer; }
    void repair_faulty_machines() {  // the sick machines
        for (auto& [name, m] : machines_) m->faulty = false;
    }
    Millis longest_wait() const { return coverage_.longest_wait; }
    std::string describe_cluster_state();

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
        bool spot = false, up = false, dead = false, faulty = false, removed = false;
        bool failed = false;
        std::uint64_t incarnation = 1, sequence = 0, token = 0;
        Millis lease_from = 0;
        std::map<TaskId, Task> tasks;
        std::set<std::string> images;
        std::set<std::tuple<std::string, std::uint32_t, std::uint32_t>>
            acknowledged_pending;  // until forgotten
        std::size_t target = 0;
        bool last_heartbeat_answered = false;  // its last report to that node was answered 200
        std::size_t forwarder = 0;
        std::uint64_t answered_term = 0;  // likewise, of its last report to that forwarder
        bool unanswered = false;
        bool named_in_rental_reply = false;  // a rental's answer named it
        Millis inbound_blocked_until = 0, commands_blocked_until = 0, heartbeats_blocked_until = 0;
        std::size_t process_generation = 0;
        wire::Heartbeat first, last;
        Millis provisioned_at = 0, up_at = kNever, removed_at = kNever;
    };
    struct Rental {
        std::string type, zone;
        bool spot = false;
        std::uint32_t count = 0;
        std::vector<std::string> machines;
    };
    struct Controller : cluster::ServiceGateway {
        ClusterSimulation* simulation = nullptr;
        std::size_t index = 0;  // in nodes_
        std::unique_ptr<control::ControlLoop> control_loop;
        std::unique_ptr<control::ShardHolder> shard_holder;  // of the two that never lead
        std::unique_ptr<partition::PartitionResponder> partition_responder;  // likewise
        Millis last_leader_status_at = 0;                                    // last heard
        std::uint64_t term = 0;
        bool leads = false;
        bool listed = false;  // it has read the cloud's list
        Millis responds_until = 0;
        // With seats: until when it certainly leads, by its own clock; what it has seen of the
        // state service; when its hold ends there; until when it is refused, and stands still.
        Millis leads_until = kNever, state_seen_at = 0, lease_end = 0, rejected_until = 0,
               frozen_until = 0;
        void commit(kvstore::Transaction,
                    std::function<void(Millis, const kvstore::CommitReply&)>) override;
        void read(const std::string&,
                  std::function<void(Millis, const kvstore::GetReply&)>) override;
        void list(const std::string&,
                  std::function<void(Millis, const kvstore::ListReply&)>) override;
        void send_commands(const std::string&, const std::string&, std::uint64_t, std::uint64_t,
                           const std::vector<wire::Command>&,
                           std::function<void(Millis, const cluster::CommandReply&)>) override;
        void provision_machines(const std::string&, const std::string&, const std::string&, bool,
                                std::uint32_t,
                                std::function<void(Millis, const cloud::ProvisionReply&)>) override;
        void release_machines(const std::vector<std::string>&,
                              std::function<void(Millis, bool)>) override;
        void on_role_fence_rejected(lease::Role role) override {
            trace("refuted", static_cast<int>(role));
        }
        void on_deposed(const std::string& why) override {
            trace("deposed");
            if (shard_holder)
                shard_holder->end(why);
            else
                leads = false;
        }
        template <typename... Fields>
        void trace(const char* kind, const Fields&... fields) {
            simulation->trace_.add(simulation->now_, kind, index, fields...);
        }
    };
    struct Stored {
        wire::Json value;
        std::uint64_t version = 0;
    };

    void at(Millis t, std::function<void()> f) { queue_.emplace(t, std::move(f)); }
    // What a leader has read so far: at what time and revision the first page, and where it is.
    struct LoadProgress {
        Millis began = 0;
        std::uint64_t revision = 0;
        std::map<std::string, Stored> records;
        std::string after;
        std::size_t prefix = 0;
    };
    void load(std::size_t index);
    void read_next_page(std::size_t index, std::shared_ptr<LoadProgress> got);
    void start_control_loop(std::size_t index, const LoadProgress& got);
    void deliver_held_heartbeats();
    void hold_for_next_leader(const wire::Heartbeat& heartbeat, std::size_t node, bool follows);
    Millis watch_delivery_time();  // when a change of now is heard
    void update_leader_leases();
    void renew_leader_lease(Controller& n);
    Controller* leader_by_lease();  // as the state service sees it; null: nobody
    // Counts them. Does its limit leave room?
    bool take_write_budget(std::size_t changes);
    void count_unrecorded_completions();
    bool state_service_answers(const Controller& n) const {
        return state_service_up() && now_ >= n.rejected_until;
    }
    // It may answer workers, as far as it knows.
    bool may_respond(const Controller& n) const;
    bool chance(double p) { return std::uniform_real_distribution<double>(0, 1)(random_) < p; }
    Millis delay(Millis most) {
        return 1 + static_cast<Millis>(random_() % static_cast<unsigned>(most));
    }
    kvstore::CommitReply apply_transaction(const kvstore::Transaction& transaction);
    bool loses_reply_of(const kvstore::Transaction& transaction);
    // When a call arrives at the cloud, and whether its answer is lost.
    struct CloudDelivery {
        Millis arrive = 0;
        bool lost = false;
    };
    CloudDelivery cloud_delivery();
    // How long the message that is being sent is held up, and what else befalls its sender.
    Millis send_fault();
    cloud::ProvisionReply provision(const std::string& request, const Rental& asked);
    void release(const std::vector<std::string>& names, std::uint64_t term);
    std::vector<wire::CloudInstance> cloud_list() const;
    void count_cloud_list();
    void on_cancel_confirmed(const std::string& id);
    void set_key(const std::string& key, const wire::Json& value);
    void notify_leader(const std::string& key, Millis after = 0);
    void start_holder(std::size_t n);
    void tick_holder(std::size_t n, std::uint64_t incarnation);
    void exchange_peer_messages();
    void tick_controller(std::size_t n);
    void send_heartbeat(const std::string& name, std::size_t life);
    machines::HeartbeatReply deliver_heartbeat(std::size_t node, const wire::Heartbeat& heartbeat,
                                               bool follows) {
        return deliver_heartbeat(node, heartbeat, machines::HeartbeatArrival{follows, now_});
    }
    machines::HeartbeatReply deliver_heartbeat(std::size_t node, const wire::Heartbeat& heartbeat,
                                               const machines::HeartbeatArrival& arrival);
    void send_heartbeat_through_forwarder(Machine& machine, const wire::Heartbeat& heartbeat);
    void receive_reply(const std::string& name, const machines::HeartbeatReply& reply, Millis sent,
                       std::uint64_t session, std::size_t life);
    void send_late_copies(const wire::Heartbeat& heartbeat);
    wire::Heartbeat make_heartbeat(Machine& machine);
    void execute(Machine& machine, const std::vector<wire::Command>& commands);
    void advance_tasks(Machine& machine);
    void kill_tasks(Machine& machine);
    void boot_completed(const std::string& name);
    void check_start(const Machine& machine, const TaskId& id);
    void check_all();
    bool would_fit(const std::string& id, const wire::JobSpec& spec) const;
    void check_waiting_jobs();
    // Is the machine out of reach, and of whom? Its zone's deputy is with it.
    const Partition* partition_of(const Machine& machine) const;
    bool can_reach(const Machine& machine, std::size_t node) const;
    std::string zone_of(std::size_t node) const { return node == 1 && share_ > 0 ? "b" : "a"; }
    bool responder_partitioned(std::size_t i) const;
    bool occupies_machine(const Task& t) const {
        return t.phase != "fetching" && t.phase != "exited";
    }

    Trace trace_;
    wire::Settings settings_;
    wire::Settings holder_settings_[2];
    std::uint32_t share_;
    std::size_t accepted_shard_grants_ = 0;
    std::uint64_t incarnations_ = 0;
    Faults faults_;
    std::mt19937_64 random_;
    Millis now_ = 0;
    std::multimap<Millis, std::function<void()>> queue_;
    std::map<std::string, Stored> keys_;
    std::uint64_t revision_ = 10;
    std::map<std::string, std::unique_ptr<Machine>> machines_;
    std::map<std::string, Rental> rentals_;
    admin::Options options_;
    std::size_t sends_ = 0, inject_at_send_ = SIZE_MAX;
    SendFault send_fault_ = SendFault::none;
    std::size_t provisioned_machines_ = 0;
    std::vector<std::string> provisioned_types_;
    std::vector<std::unique_ptr<Controller>> controllers_;
    std::unique_ptr<ForwardingSimulation> forwarding_;
    std::vector<wire::MachineType> types_;
    std::uint64_t term_ = 0;
    std::map<std::string, wire::JobSpec> specs_;
    std::set<std::string> failing_jobs_;
    std::map<std::string, Millis> task_durations_;
    std::set<std::string> cancel_requested_;   // their users asked to cancel them
    std::map<std::string, Millis> cancelled_;  // and were told when
    std::set<TaskId> done_;
    std::size_t started_tasks_ = 0;
    std::size_t stopped_tasks_ = 0;          // commands that ended a task
    std::size_t tasks_killed_by_lease_ = 0;  // tasks, by their leases
    std::size_t heartbeat_copies_ = 0, answered_heartbeat_copies_ = 0;
    std::vector<Partition> partitions_;
    std::size_t replies_by_responders_ = 0;
    bool leader_leases_ = false;
    Millis state_service_down_until_ = 0;
    std::size_t state_changes_ = 0;
    double write_budget_ = 0;  // of changes, as of budget_at_
    Millis write_budget_at_ = 0;
    std::size_t cancellations_confirmed_beside_old_ = 0, replies_by_old_ = 0;
    Coverage coverage_;
    Millis watched_at_ = 0, watch_lost_until_ = 0;
    struct HeldHeartbeat {
        wire::Heartbeat heartbeat;
        std::size_t controller = SIZE_MAX;  // it was held on its way there; else a copy, to all
        bool follows_reply = false;
        std::size_t process_generation = 0;
    };
    std::vector<HeldHeartbeat> held_heartbeats_;
    std::map<TaskId, std::uint32_t>
        latest_attempt_;  // the last attempt of each that came to be there
    std::map<TaskId, Millis> done_at_;
    std::map<std::string, Millis> final_at_;
    Millis watch_from_ = 0, listed_at_ = 0;
    Millis longest_wait_ = kNever;
    std::map<std::string, Millis> waits_since_;

  public:
    std::size_t replies_by_responders() const { return replies_by_responders_; }
};

wire::Json job(const std::string& id, const std::string& shape, std::uint32_t tasks, double gpus);
wire::Heartbeat report(std::uint64_t session, std::uint64_t seq, std::uint64_t token);

}  // namespace nickelramp::test
