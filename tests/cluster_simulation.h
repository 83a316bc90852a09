// A cluster in simulated time around the real control loop.
#pragma once
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "control/control_loop.h"
#include "control/shard_holder.h"
#include "lease/lease_guard.h"
#include "partition/partition_responder.h"
#include "tests/forwarding_simulation.h"
#include "tests/rule_checker.h"
#include "tests/simulated_cloud.h"
#include "tests/simulated_jobs.h"
#include "tests/simulated_key_value_store.h"
#include "tests/simulated_network.h"
#include "tests/simulated_workers.h"
#include "tests/simulation_context.h"
#include "tests/waiting_job_checker.h"
#include "wire/settings.h"

namespace nickelramp::test {

/// Two zones and two teams, and short leases.
wire::Settings simulation_settings();

/// A job as users submit it, of team "red" with shape "sweep" (an array), "ensemble" (a gang) or
/// "standing" (a service).
wire::Json job(const std::string& id, const std::string& shape, std::uint32_t tasks, double gpus);

/// A heartbeat with these and nothing else.
wire::Heartbeat report(std::uint64_t incarnation, std::uint64_t sequence, std::uint64_t token);

/// Runs real control loops, shard holders and partition responders against a simulated key-value
/// store, cloud, network and workers. Faults (simulation_faults.h) are injected at random or by the
/// methods below. RuleChecker asserts the rules at every step, so that a test needs only submit
/// jobs and let time pass.
class ClusterSimulation {
  public:
    using Coverage = SimulationCoverage;

    /// `delegated`: so many machines are leased to each of two shard holders; 0: there are none.
    /// Without `types` there are two machine types.
    ClusterSimulation(std::uint64_t seed, Faults faults, std::uint32_t delegated = 0,
                      std::vector<wire::MachineType> types = {});
    ~ClusterSimulation();

    // --- Time and faults.

    [[nodiscard]] Millis now() const { return context_.now(); }
    /// Runs everything up to that time. Returns early once the test has failed.
    void run_until(Millis time);
    void after(Millis wait, std::function<void()> event) { context_.after(wait, std::move(event)); }
    void clear_faults() { context_.faults = {}; }
    void set_faults(Faults faults) { context_.faults = std::move(faults); }
    [[nodiscard]] const Coverage& coverage() const { return context_.coverage; }

    // --- Jobs and their users.

    void submit(const wire::Json& spec);
    void cancel(const std::string& id);
    /// The user asks again every second until the job has a final state.
    void request_cancel_until_answered(const std::string& id);
    /// It was submitted with a mistake: all its tasks fail.
    void make_job_fail(const std::string& id) { jobs_.make_fail(id); }
    void set_task_duration(const std::string& id, Millis length) {
        jobs_.set_task_duration(id, length);
    }
    /// "" while there is none, "done" or "withdrawn".
    [[nodiscard]] std::string final_state(const std::string& id) const {
        return store_.final_state(id);
    }
    /// When its last task completed; 0 before that.
    [[nodiscard]] Millis completed_at(const std::string& id) const {
        return jobs_.completed_at(id);
    }
    /// When its final state was recorded; 0 before that.
    [[nodiscard]] Millis final_at(const std::string& id) const { return jobs_.final_at(id); }
    /// Jobs that completed longer ago than that and have no final state.
    [[nodiscard]] std::vector<std::string> jobs_reported_late(Millis longer) const;
    /// From here on asserts that no job waits for longer than that while only the leader holds it
    /// back (see WaitingJobChecker).
    void expect_wait_below(Millis longest);
    [[nodiscard]] Millis longest_wait() const { return context_.coverage.longest_wait; }

    // --- Tasks.

    [[nodiscard]] std::size_t started_tasks() const { return checker_.started_tasks(); }
    /// Tasks that a stop command ended.
    [[nodiscard]] std::size_t stopped_tasks() const { return workers_.stopped_tasks(); }
    [[nodiscard]] std::size_t tasks_killed_by_lease() const {
        return workers_.tasks_killed_by_lease();
    }
    [[nodiscard]] std::size_t running_tasks(const std::string& zone) const {
        return workers_.running_tasks(zone);
    }
    /// Tasks of the job that occupy a machine.
    [[nodiscard]] std::size_t tasks_on_machines(const std::string& id) const {
        return workers_.tasks_of(id);
    }
    [[nodiscard]] double gpus_used_by(const std::string& team) const {
        return workers_.gpus_used_by(team);
    }

    // --- Machines and the cloud.

    [[nodiscard]] std::size_t machines() const { return workers_.all().size(); }
    /// Machines that are up and have tasks, by name.
    [[nodiscard]] std::vector<std::string> working_machines() const {
        return workers_.working_machines();
    }
    /// One of working_machines(), or "".
    [[nodiscard]] std::string any_machine() const;
    [[nodiscard]] const std::string& zone_of(const std::string& machine) {
        return workers_.machine(machine).zone;
    }
    [[nodiscard]] std::size_t tasks_on(const std::string& machine) {
        return workers_.machine(machine).tasks.size();
    }
    [[nodiscard]] bool removed(const std::string& machine) {
        return workers_.machine(machine).removed;
    }
    [[nodiscard]] std::size_t provisioned_machines() const { return cloud_.provisioned_machines(); }
    /// Of one zone, or of all.
    [[nodiscard]] std::size_t released_machines(const std::string& zone = "") const {
        return cloud_.released_machines(zone);
    }
    /// The type of every provisioning request, in order.
    [[nodiscard]] const std::vector<std::string>& provisioned_types() const {
        return provisioned_types_;
    }
    /// It stops, and the cloud lists it as before.
    void kill_machine(const std::string& name) { workers_.kill(workers_.machine(name)); }
    /// It stops, and the cloud lists it as failed.
    void fail_machine(const std::string& name);
    /// Its worker is back at once, its counters begin again and nothing runs on it.
    void restart_machine(const std::string& name);
    /// No machine fails its tasks any more.
    void repair_faulty_machines() { workers_.repair_faulty(); }
    /// The cloud takes away all machines of the zone.
    void preempt_zone(const std::string& zone) { workers_.preempt_zone(zone); }

    // --- The network.

    void partition(const Partition& partition) { network_.add(partition); }
    /// Its heartbeats arrive; no reply and no command reaches it.
    void block_inbound(const std::string& name, Millis until) {
        workers_.machine(name).inbound_blocked_until = until;
    }
    /// Its heartbeats are answered; no command reaches it.
    void block_commands(const std::string& name, Millis until) {
        workers_.machine(name).commands_blocked_until = until;
    }
    /// Its heartbeats arrive nowhere; commands reach it, and its replies to them arrive.
    void block_heartbeats(const std::string& name, Millis until) {
        workers_.machine(name).heartbeats_blocked_until = until;
    }
    /// A copy of the machine's last heartbeat, or of its first, reaches the leader after so long.
    /// Asserts that the leader sends no commands in reply.
    void redeliver_heartbeat(const std::string& machine, bool first, Millis after);
    [[nodiscard]] std::size_t heartbeat_copies() const { return heartbeat_copies_; }
    [[nodiscard]] std::size_t answered_heartbeat_copies() const {
        return answered_heartbeat_copies_;
    }
    /// Workers report to so many forwarding controllers instead of to the leader itself.
    void forward_heartbeats(std::size_t forwarders, ForwardingFaults faults);
    ForwardingSimulation& forwarding() { return *forwarding_; }

    // --- Controllers.

    /// The leader's control loop; null while nobody leads or it is still loading its records.
    control::ControlLoop* leader();
    /// A leader has been elected and has not read all records yet.
    [[nodiscard]] bool leader_is_loading();
    [[nodiscard]] std::size_t term_count() const { return term_; }
    /// Another controller is elected at once.
    void fail_over();
    /// From here on leaders hold a lease in the key-value store: they renew it, lose it when the
    /// store is unreachable for them, and a cut-off leader acts only as long as its clock allows.
    void simulate_leader_leases();
    /// Ends without notice; with leases, the next leader is elected when its lease has expired.
    void crash_leader();
    void freeze_leader(Millis length);
    /// What happens to the leader as it sends its `step`-th message from here on to the key-value
    /// store or the cloud.
    void inject_at_send(std::size_t step, SendFault fault);
    /// inject_at_send() has taken effect.
    [[nodiscard]] bool injected() const { return sends_ >= inject_at_send_; }
    /// Both shard holders end, and others begin.
    void restart_holders();
    void set_options(const admin::Options& options);
    /// Shard grants that a holder took up.
    [[nodiscard]] std::size_t accepted_shard_grants() const { return accepted_shard_grants_; }
    /// Cancellations that were confirmed while an earlier leader still responded to workers.
    [[nodiscard]] std::size_t cancellations_confirmed_beside_old_leaders() const {
        return cancellations_confirmed_beside_old_;
    }
    /// Replies 200 to heartbeats by leaders of an earlier term.
    [[nodiscard]] std::size_t replies_by_old_leaders() const { return replies_by_old_; }
    /// Replies 200 to heartbeats by partition responders.
    [[nodiscard]] std::size_t replies_by_responders() const { return replies_by_responders_; }

    // --- The key-value store.

    /// It refuses the leader, and nobody else.
    void reject_leader_at_state_service(Millis length);
    /// It answers nobody.
    void take_state_service_down(Millis length);
    [[nodiscard]] bool state_service_up() const { return store_.up(); }
    /// The leader's watch ends, and it reads all open records when it is back.
    void interrupt_watch(Millis length);
    /// The leader's watch has missed changes: it reads all open records, as they are now, and the
    /// reply reaches it so much later.
    void reload_open_records(Millis after);
    [[nodiscard]] std::size_t count_records(const std::string& prefix) const {
        return store_.count(prefix);
    }
    /// Provisioning intents on record.
    [[nodiscard]] std::size_t recorded_intents() const { return store_.intents(); }
    /// Writes that the store was asked for.
    [[nodiscard]] std::size_t state_changes() const { return store_.writes(); }
    /// Called when a transaction of that kind (commit_kind()) was applied and its reply lost.
    std::function<void(const std::string& kind)> on_commit_reply_lost;

    // --- For messages of failures.

    /// A job that only the leader's cluster state or only the store has; "" if there is none.
    std::string inconsistent_job();
    [[nodiscard]] std::string describe_running() const { return workers_.describe(); }
    /// The jobs as the leader knows them.
    std::string describe_cluster_state();

  private:
    struct Controller;  // tests/cluster_simulation_controller.h
    /// What a new leader has read so far of the records.
    struct LoadProgress {
        Millis began = 0;            // when it read the first page
        std::uint64_t revision = 0;  // of the first page
        std::map<std::string, SimulatedKeyValueStore::StoredValue> records;
        std::size_t prefix = 0;  // the list that is being read
        std::string after;       // the last key of the pages so far
    };
    /// When a call arrives at the cloud, and whether its reply is lost.
    struct CloudDelivery {
        Millis arrive_at = 0;
        bool lost = false;
    };
    /// How a transaction travels to the store and its reply back.
    struct CommitDelivery {
        Millis arrive_at = 0;
        bool late = false;                // it arrives after it was given up
        bool lost = false;                // the reply is lost
        bool only_reply_is_lost = false;  // because of the fault lost_commit_replies
    };
    /// How commands travel to a machine and the reply back.
    struct CommandDelivery {
        Millis arrive_at = 0;
        bool delayed = false;  // because of the fault delayed_commands
        bool lost = false;     // the reply is lost
    };
    /// A heartbeat that is delivered once the next leader begins.
    struct HeldHeartbeat {
        wire::Heartbeat heartbeat;
        std::size_t controller = SIZE_MAX;  // the one it was sent to; SIZE_MAX: a copy, to all
        bool follows_reply = false;
        std::size_t process_generation = 0;
    };
    /// A heartbeat that a worker has sent, and the life of the worker that sent it.
    struct SentHeartbeat {
        std::string machine;
        Millis sent_at = 0;
        std::uint64_t incarnation = 0;
        std::size_t process_generation = 0;
    };

    // Shard holders, which are the controllers 0 and 1 (cluster_simulation_holders.cpp).
    void start_holder(std::size_t index);
    void tick_holder(std::size_t index, std::uint64_t incarnation);
    [[nodiscard]] std::size_t holder_index(const std::string& name) const;
    void exchange_peer_messages();
    void send_holder_status(std::size_t index);
    void send_heartbeat_delegations();
    void send_shard_grants();
    bool loses_message_to_holder(std::size_t index);

    // Leaders (cluster_simulation_leaders.cpp).
    Controller* leading_controller();
    void depose_leader();
    void load(std::size_t index);
    void read_next_page(std::size_t index, std::shared_ptr<LoadProgress> progress);
    bool read_page(LoadProgress& progress);
    void start_control_loop(std::size_t index, const LoadProgress& progress);
    void load_records(control::ControlLoop& control_loop, const LoadProgress& progress);
    void tick_controller(std::size_t index);
    Millis send_fault();

    // Leases of leaders (cluster_simulation_leases.cpp).
    void update_leader_leases();
    void renew_leader_lease(Controller& controller);
    [[nodiscard]] bool state_service_answers(const Controller& controller) const;
    [[nodiscard]] bool may_respond(const Controller& controller) const;
    [[nodiscard]] bool responds(const Controller& controller) const;
    void count_unrecorded_completions();

    // The key-value store and the leader's watch (cluster_simulation_store.cpp).
    void on_record_write(const std::string& key, const kvstore::Json& value);
    void on_record_delete(const std::string& key);
    Millis watch_delivery_time();
    void notify_leader(const std::string& key, Millis after = 0);
    bool loses_reply_of(const kvstore::Transaction& transaction);
    CommitDelivery commit_delivery(const kvstore::Transaction& transaction);
    void apply_commit(const kvstore::Transaction& transaction, const CommitDelivery& delivery,
                      const std::function<void(Millis, const kvstore::CommitReply&)>& done);

    // Calls to the cloud and commands to workers (cluster_simulation_calls.cpp).
    CloudDelivery cloud_delivery();
    CommandDelivery command_delivery(const std::string& machine);
    std::optional<cluster::CommandReply> execute_commands(
        const std::string& machine, std::uint64_t token, std::uint64_t incarnation,
        const std::vector<wire::Command>& commands, bool delayed);

    // Heartbeats (cluster_simulation_heartbeats.cpp, cluster_simulation_held_heartbeats.cpp).
    void on_machine_booted(const std::string& name);
    void send_heartbeat(const std::string& name, std::size_t process_generation);
    void send_to_target(const SimulatedMachine& machine, const wire::Heartbeat& heartbeat,
                        bool follows_reply);
    void on_heartbeat_refused(SimulatedMachine& machine, const machines::HeartbeatReply& reply);
    void send_to_forwarder(SimulatedMachine& machine, const wire::Heartbeat& heartbeat);
    void receive_reply(const SentHeartbeat& sent, const machines::HeartbeatReply& reply);
    machines::HeartbeatReply deliver_heartbeat(std::size_t controller,
                                               const wire::Heartbeat& heartbeat,
                                               bool follows_reply) {
        return deliver_heartbeat(controller, heartbeat,
                                 machines::HeartbeatArrival{follows_reply, now()});
    }
    machines::HeartbeatReply deliver_heartbeat(std::size_t controller,
                                               const wire::Heartbeat& heartbeat,
                                               const machines::HeartbeatArrival& arrival);
    void send_late_copies(const wire::Heartbeat& heartbeat);
    void deliver_late_copy(const wire::Heartbeat& heartbeat);
    void hold_for_next_leader(const wire::Heartbeat& heartbeat, std::size_t controller,
                              bool follows_reply);
    void deliver_held_heartbeats();
    void count_held_heartbeat(const HeldHeartbeat& held);
    void deliver_held_heartbeat(const HeldHeartbeat& held);

    // A call that is never executed or answered arrives then.
    static constexpr Millis kAfterTheEnd = 1'000'000'000;

    SimulationContext context_;
    wire::Settings settings_;
    std::vector<wire::MachineType> types_;
    SimulatedJobs jobs_;
    SimulatedNetwork network_;
    SimulatedWorkers workers_;
    SimulatedCloud cloud_;
    SimulatedKeyValueStore store_;
    RuleChecker checker_;
    WaitingJobChecker waiting_jobs_;

    std::uint32_t delegated_machines_;
    wire::Settings holder_settings_[2];
    std::uint64_t holder_incarnations_ = 0;
    std::size_t accepted_shard_grants_ = 0;

    std::vector<std::unique_ptr<Controller>> controllers_;
    std::uint64_t term_ = 0;
    bool leader_leases_ = false;
    admin::Options options_;
    std::size_t sends_ = 0, inject_at_send_ = SIZE_MAX;
    SendFault send_fault_ = SendFault::none;
    std::vector<std::string> provisioned_types_;

    Millis watch_delivered_at_ = 0;      // the last change so far; they arrive in order
    Millis watch_lost_until_ = 0;        // it delivers nothing
    Millis watch_from_ = 0;              // it goes on then, after a list of all open records
    Millis open_records_listed_at_ = 0;  // when that list was read

    std::unique_ptr<ForwardingSimulation> forwarding_;
    std::vector<HeldHeartbeat> held_heartbeats_;
    std::size_t heartbeat_copies_ = 0, answered_heartbeat_copies_ = 0;
    std::size_t replies_by_old_ = 0, replies_by_responders_ = 0;
    std::size_t cancellations_confirmed_beside_old_ = 0;
};

}  // namespace nickelramp::test
