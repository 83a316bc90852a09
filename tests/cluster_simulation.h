/// @file
/// A cluster in simulated time around real control loops. Tests submit jobs, inject faults and let
/// time pass.
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
#include "tests/request_repeater.h"
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

/// Returns settings with two zones, two teams and short leases.
wire::Settings simulation_settings();

/// Returns a job as users submit it, of team "red" and with shape "sweep" (an array), "ensemble" (a
/// gang) or "standing" (a service).
wire::Json job(const std::string& id, const std::string& shape, std::uint32_t tasks, double gpus);

/// Returns a heartbeat with these values and no tasks.
wire::Heartbeat make_heartbeat_without_tasks(std::uint64_t incarnation, std::uint64_t sequence,
                                             std::uint64_t token);

/// Runs real control loops, shard holders and partition responders against a simulated key-value
/// store, cloud, network and workers. Faults (simulation_faults.h) are injected at random or by the
/// methods below. RuleChecker asserts the rules at every step, so a test only needs to submit jobs
/// and let time pass.
class ClusterSimulation {
  public:
    using Coverage = SimulationCoverage;

    /// @param delegated the number of machines leased to each of two shard holders; 0: there are no
    ///     shard holders
    /// @param types the machine types; if empty, two default types
    ClusterSimulation(std::uint64_t seed, Faults faults, std::uint32_t delegated = 0,
                      std::vector<wire::MachineType> types = {});
    ~ClusterSimulation();

    // --- Time and faults.

    [[nodiscard]] Millis now() const { return context_.now(); }
    /// Runs all events up to `time`. Returns early once the test has failed.
    void run_until(Millis time);
    void after(Millis wait, std::function<void()> event) { context_.after(wait, std::move(event)); }
    void clear_faults() { context_.faults = {}; }
    void set_faults(Faults faults) { context_.faults = std::move(faults); }
    [[nodiscard]] const Coverage& coverage() const { return context_.coverage; }

    // --- Jobs and their users.

    void submit(const wire::Json& spec);
    void cancel(const std::string& id);
    /// Requests the cancellation every second until the job has a final state.
    void request_cancel_until_answered(const std::string& id);
    /// Makes all tasks of the job fail, as if it was submitted with a mistake.
    void make_job_fail(const std::string& id) { jobs_.make_fail(id); }
    void set_task_duration(const std::string& id, Millis length) {
        jobs_.set_task_duration(id, length);
    }
    /// Returns "done", "withdrawn" or, while there is no final state, "".
    [[nodiscard]] std::string final_state(const std::string& id) const {
        return store_.final_state(id);
    }
    /// Returns when the last task of the job completed; 0 before that.
    [[nodiscard]] Millis completed_at(const std::string& id) const {
        return jobs_.completed_at(id);
    }
    /// Returns when the final state of the job was recorded; 0 before that.
    [[nodiscard]] Millis final_at(const std::string& id) const { return jobs_.final_at(id); }
    /// Returns the jobs that completed more than `longer` ago and have no final state.
    [[nodiscard]] std::vector<std::string> jobs_without_final_state(Millis longer) const;
    /// From now on, asserts that no job waits for longer than `longest` while only the leader
    /// delays it (see WaitingJobChecker).
    void expect_wait_below(Millis longest);
    [[nodiscard]] Millis longest_wait() const { return context_.coverage.longest_wait; }

    // --- Tasks.

    [[nodiscard]] std::size_t started_tasks() const { return checker_.started_tasks(); }
    /// Returns the number of tasks that a stop command ended.
    [[nodiscard]] std::size_t stopped_tasks() const { return workers_.stopped_tasks(); }
    [[nodiscard]] std::size_t tasks_killed_by_lease() const {
        return workers_.tasks_killed_by_lease();
    }
    [[nodiscard]] std::size_t running_tasks(const std::string& zone) const {
        return workers_.running_tasks(zone);
    }
    /// Returns the number of tasks of the job that occupy a machine.
    [[nodiscard]] std::size_t tasks_on_machines(const std::string& id) const {
        return workers_.tasks_of(id);
    }
    [[nodiscard]] double gpus_used_by(const std::string& team) const {
        return workers_.gpus_used_by(team);
    }

    // --- Machines and the cloud.

    [[nodiscard]] std::size_t machines() const { return workers_.all().size(); }
    /// Returns the names of the machines that are up and have tasks.
    [[nodiscard]] std::vector<std::string> working_machines() const {
        return workers_.working_machines();
    }
    /// Returns one of working_machines(), or "" if there is none.
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
    /// Returns the number of machines released in a zone; if `zone` is empty, in all zones.
    [[nodiscard]] std::size_t released_machines(const std::string& zone = "") const {
        return cloud_.released_machines(zone);
    }
    /// Returns the machine type of every provisioning request, in order.
    [[nodiscard]] const std::vector<std::string>& provisioned_types() const {
        return provisioned_types_;
    }
    /// Stops the machine. The cloud lists it as before.
    void kill_machine(const std::string& name) { workers_.kill(workers_.machine(name)); }
    /// Stops the machine. The cloud lists it as failed.
    void fail_machine(const std::string& name);
    /// Restarts the worker at once. Its counters start again and it runs no tasks.
    void restart_machine(const std::string& name);
    /// Repairs the machines that fail every task.
    void repair_faulty_machines() { workers_.repair_faulty(); }
    /// Makes the cloud preempt all machines of the zone.
    void preempt_zone(const std::string& zone) { workers_.preempt_zone(zone); }

    // --- The network.

    void partition(const Partition& partition) { network_.add(partition); }
    /// Until `until`, heartbeats of the machine arrive, but no reply and no command reaches it.
    void block_inbound(const std::string& name, Millis until) {
        workers_.machine(name).inbound_blocked_until = until;
    }
    /// Until `until`, heartbeats of the machine are answered, but no command reaches it.
    void block_commands(const std::string& name, Millis until) {
        workers_.machine(name).commands_blocked_until = until;
    }
    /// Until `until`, heartbeats of the machine are lost. Commands reach it, and its replies
    /// arrive.
    void block_heartbeats(const std::string& name, Millis until) {
        workers_.machine(name).heartbeats_blocked_until = until;
    }
    /// Delivers a copy of the machine's first or last heartbeat to the leader after the duration
    /// `after`. Asserts that the leader sends no commands in reply.
    void redeliver_heartbeat(const std::string& machine, bool first, Millis after);
    [[nodiscard]] std::size_t heartbeat_copies() const { return heartbeat_copies_; }
    [[nodiscard]] std::size_t answered_heartbeat_copies() const {
        return answered_heartbeat_copies_;
    }
    /// Makes workers send their heartbeats to `forwarders` forwarding controllers instead of to the
    /// leader itself.
    void forward_heartbeats(std::size_t forwarders, ForwardingFaults faults);
    ForwardingSimulation& forwarding() { return *forwarding_; }

    // --- Controllers.

    /// Returns the leader's control loop, or null while there is no leader or the leader is still
    /// loading its records.
    control::ControlLoop* leader();
    /// Returns whether a leader has been elected and has not read all records yet.
    [[nodiscard]] bool leader_is_loading();
    [[nodiscard]] std::size_t term_count() const { return term_; }
    /// Elects another controller at once.
    void fail_over();
    /// From now on, leaders hold a lease in the key-value store. They renew it and lose it when
    /// they cannot reach the store. An unreachable leader acts only as long as its own clock
    /// permits.
    void simulate_leader_leases();
    /// Ends the leader without notice. With leases, the next leader is elected once the lease has
    /// expired.
    void crash_leader();
    void freeze_leader(Millis length);
    /// Injects the fault as the leader sends its `step`-th message from now on to the key-value
    /// store or the cloud.
    void inject_at_send(std::size_t step, SendFault fault);
    /// Returns whether the fault of inject_at_send() has been injected.
    [[nodiscard]] bool injected() const { return sends_ >= inject_at_send_; }
    /// Replaces both shard holders by new processes without state.
    void restart_holders();
    void set_options(const admin::Options& options);
    /// Returns the number of shard grants that a holder accepted.
    [[nodiscard]] std::size_t accepted_shard_grants() const { return accepted_shard_grants_; }
    /// Returns the number of cancellations that were confirmed while a leader of an earlier term
    /// still responded to workers.
    [[nodiscard]] std::size_t cancellations_confirmed_while_old_leaders_respond() const {
        return cancellations_confirmed_while_old_leaders_respond_;
    }
    /// Returns the number of replies 200 to heartbeats by leaders of an earlier term.
    [[nodiscard]] std::size_t replies_by_old_leaders() const { return replies_by_old_leaders_; }
    /// Returns the number of replies 200 to heartbeats by partition responders.
    [[nodiscard]] std::size_t replies_by_responders() const { return replies_by_responders_; }

    // --- The key-value store.

    /// Makes the store refuse requests of the leader only.
    void reject_leader_at_state_service(Millis length);
    /// Makes the store unavailable to all controllers.
    void take_state_service_down(Millis length);
    [[nodiscard]] bool state_service_up() const { return store_.up(); }
    /// Interrupts the leader's watch. The leader reads all open records when the watch is restored.
    void interrupt_watch(Millis length);
    /// Makes the leader read all open records because its watch has missed changes. It receives the
    /// records as they are now, after the duration `after`.
    void reload_open_records(Millis after);
    [[nodiscard]] std::size_t count_records(const std::string& prefix) const {
        return store_.count(prefix);
    }
    /// Returns the number of recorded provisioning intents.
    [[nodiscard]] std::size_t recorded_intents() const { return store_.intents(); }
    /// Returns the number of writes requested from the store.
    [[nodiscard]] std::size_t state_changes() const { return store_.writes(); }
    /// Called when a transaction was applied and its reply lost, with its kind (commit_kind()).
    std::function<void(const std::string& kind)> on_commit_reply_lost;

    // --- Failure messages.

    /// Describes a job that only the leader's cluster state or only the store has; "" if there is
    /// none.
    std::string inconsistent_job();
    [[nodiscard]] std::string describe_running() const { return workers_.describe(); }
    /// Describes the jobs in the leader's cluster state.
    std::string describe_cluster_state();

  private:
    struct Controller;  // tests/cluster_simulation_controller.h
    /// The records that a new leader has read so far.
    struct LoadProgress {
        Millis began = 0;            ///< when it read the first page
        std::uint64_t revision = 0;  ///< revision of the store at the first page
        std::map<std::string, SimulatedKeyValueStore::StoredValue> records;
        std::size_t prefix = 0;  ///< index of the prefix that is being listed
        std::string after;       ///< the last key read with this prefix
    };
    /// When a call arrives at the cloud, and whether its reply is lost.
    struct CloudDelivery {
        Millis arrive_at = 0;
        bool lost = false;
    };
    /// When a transaction arrives at the store, and whether its reply is lost.
    struct CommitDelivery {
        Millis arrive_at = 0;
        bool late = false;                ///< it arrives after the commit timed out
        bool lost = false;                ///< the reply is lost
        bool only_reply_is_lost = false;  ///< because of the fault lost_commit_replies
    };
    /// When commands arrive at a machine, and whether the reply is lost.
    struct CommandDelivery {
        Millis arrive_at = 0;
        bool delayed = false;  ///< because of the fault delayed_commands
        bool lost = false;     ///< the reply is lost
    };
    /// A heartbeat that is delivered once the next leader has loaded its records.
    struct HeldHeartbeat {
        wire::Heartbeat heartbeat;
        /// Index of the receiver. SIZE_MAX: a copy for all controllers.
        std::size_t controller = SIZE_MAX;
        bool follows_reply = false;
        std::size_t process_generation = 0;
    };
    /// A heartbeat in flight, with the incarnation and the process of the worker that sent it.
    struct SentHeartbeat {
        std::string machine;
        Millis sent_at = 0;
        std::uint64_t incarnation = 0;
        std::size_t process_generation = 0;
    };

    // Shard holders, which are controllers 0 and 1 (cluster_simulation_holders.cpp).
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
    void repeat_transaction(const kvstore::Transaction& transaction);
    void apply_commit(const kvstore::Transaction& transaction, const CommitDelivery& delivery,
                      const std::function<void(Millis, const kvstore::CommitReply&)>& done);

    // Calls to the cloud and commands to workers (cluster_simulation_calls.cpp).
    CloudDelivery cloud_delivery();
    CommandDelivery command_delivery(const std::string& machine);
    std::optional<cluster::CommandReply> execute_commands(
        const std::string& machine, std::uint64_t token, std::uint64_t incarnation,
        const std::vector<wire::Command>& commands, bool delayed);
    void repeat_commands(const std::string& machine, std::uint64_t token, std::uint64_t incarnation,
                         const std::vector<wire::Command>& commands);
    void deliver_command_copy(const std::string& machine, std::uint64_t token,
                              std::uint64_t incarnation, const std::vector<wire::Command>& commands,
                              std::size_t process_generation);

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

    /// Delay of a call that is never executed or answered: beyond the end of every simulation.
    static constexpr Millis kBeyondSimulationEnd = 1'000'000'000;

    SimulationContext context_;
    RequestRepeater repeater_{context_};
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

    Millis watch_delivered_at_ = 0;  ///< when the latest change arrives; changes arrive in order
    Millis watch_lost_until_ = 0;    ///< the watch delivers no changes before that
    Millis watch_resumes_at_ = 0;    ///< after a list of all open records
    Millis open_records_listed_at_ = 0;  ///< when that list was read

    std::unique_ptr<ForwardingSimulation> forwarding_;
    std::vector<HeldHeartbeat> held_heartbeats_;
    std::size_t heartbeat_copies_ = 0, answered_heartbeat_copies_ = 0;
    std::size_t replies_by_old_leaders_ = 0, replies_by_responders_ = 0;
    std::size_t cancellations_confirmed_while_old_leaders_respond_ = 0;
};

}  // namespace nickelramp::test
