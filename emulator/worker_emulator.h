/// @file
/// Emulates thousands of workers in one process. Each sends heartbeats, executes commands and loses
/// its lease as the protocol requires. A task is only a timer. Simplifications: images are never
/// evicted from the cache, and the tasks of a stopped gang save their state independently.
#pragma once
#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "emulator/histogram.h"
#include "emulator/protocol_rules.h"
#include "emulator/request_repeater.h"
#include "emulator/worker_messages.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/timer.h"

namespace nickelramp::emulator {

/// Settings that all emulated workers share.
struct WorkerSettings {
    double report_s = 8, lease_s = 45, gang_wait_s = 30, gang_peer_s = 4;
    double fetch_gb_per_s = 1;
    double failing_tasks = 0;              ///< share of the attempts that fail while they run
    double repeated_requests = 0;          ///< share of direct messages that arrive again
    int port = 0;                          ///< of all workers; each has its own loopback address
    std::vector<std::string> controllers;  ///< names
    std::vector<std::string> addresses;    ///< of the controllers, in the same order
};

/// The workers of all machines that are up. Reports the tasks that run on them to ProtocolRules.
class WorkerEmulator {
  public:
    /// Totals since the start. `reports` are heartbeats, `direct` are requests from controllers.
    struct Counters {
        std::uint64_t reports = 0, answered = 0, redirected = 0, refused = 0, unanswered = 0;
        std::uint64_t dropped_tokens = 0, leases_lost = 0;
        std::uint64_t direct = 0, direct_conflicts = 0, starts = 0, exits = 0;
        /// Copies of direct messages: rejected, accepted, and start commands in the accepted ones
        /// and how many of these took effect.
        std::uint64_t copies_rejected = 0, copies_accepted = 0, copied_starts = 0,
                      started_by_copies = 0;
        std::uint64_t bytes_sent = 0, bytes_received = 0;  ///< of message bodies
    };
    WorkerEmulator(uv_loop_t* loop, WorkerSettings settings, ProtocolRules& rules,
                   std::uint64_t seed);

    /// @return 0 or a libuv error.
    [[nodiscard]] int listen();
    /// Returns the address and port of a machine, in 127.0.0.0/8.
    [[nodiscard]] std::string address(std::size_t number) const;
    /// Adds the worker of a machine that has booted; it begins to send heartbeats.
    void boot(std::size_t number, const std::string& name, const std::string& type,
              const std::string& zone, bool spot);
    /// Removes a machine with its tasks.
    void remove(const std::string& name);

    [[nodiscard]] const Counters& counters() const { return counters_; }
    /// Delay from sending a heartbeat to receiving its reply.
    [[nodiscard]] const Histogram& report_ms() const { return report_ms_; }
    /// Delay from the end of a task to the next start command on its machine.
    [[nodiscard]] const Histogram& next_start_ms() const { return next_start_ms_; }
    [[nodiscard]] std::size_t size() const { return workers_.size(); }
    /// Number of tasks that occupy a machine.
    [[nodiscard]] std::size_t running() const { return running_; }
    /// Number of workers that send heartbeats to each controller, by its name.
    [[nodiscard]] std::map<std::string, std::size_t> by_controller() const;

  private:
    using TaskId = std::pair<std::string, std::uint32_t>;
    struct Task {
        std::uint32_t attempt = 0;
        wire::TaskPhase phase = wire::TaskPhase::fetching;
        wire::ExitCause cause = wire::ExitCause::none;
        bool saved = false;
    };
    struct Worker {
        std::size_t number = 0;
        std::uint64_t life = 0;  // unique for each boot
        std::string name, type, zone;
        bool spot = false;
        // Incarnation (a lost lease begins a new one), number of the last heartbeat, and highest
        // fencing token received.
        std::uint64_t session = 1, seq = 0, token = 0;
        Millis lease_from = 0, reported_at = 0, seen_token_at = 0;
        Millis exited_at = 0;    // when a task ended since the last start; 0: none
        std::size_t target = 0;  // index of the controller that receives the heartbeats
        // A heartbeat awaits its reply; the state changed since the last heartbeat; a heartbeat is
        // scheduled early.
        bool in_flight = false, changed = false, report_scheduled = false;
        std::unique_ptr<net::HttpClient> client;
        std::map<TaskId, Task> tasks;
        // Exited and not yet forgotten attempts of tasks that were started again here.
        std::map<std::pair<TaskId, std::uint32_t>, Task> superseded;
        std::set<std::string> images;
    };
    struct Gang {
        std::map<std::uint32_t, std::string> members;  // machine by task
        std::size_t ready = 0;                         // tasks that have their image
        bool began = false;
        bool broken = false;  // a member is gone, so the others cannot complete
    };
    // An action that is due at a time; earlier times, then lower `order`, come first.
    struct Due {
        Millis at = 0;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const Due& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
    };

    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }
    void at(Millis when, std::function<void()> action);
    void run_due();
    // Runs the action after `wait`, unless the machine was removed by then.
    void schedule(const Worker& w, Millis wait, std::function<void(Worker&)> action);

    void report(Worker& w);
    void on_reply(Worker& w, const net::ClientReply& reply, std::uint64_t session, Millis sent);
    void on_redirect(Worker& w, const net::ClientReply& reply);
    void on_commands(Worker& w, const net::ClientReply& reply, std::uint64_t session, Millis sent);
    void reconnect_after(Worker& w, Millis wait);
    void schedule_report(Worker& w);
    void try_next_controller(Worker& w);
    void report_soon(Worker& w);
    void check_lease(Worker& w);
    // Ends all tasks and begins a new incarnation.
    void lose_lease(Worker& w);
    wire::Heartbeat describe(Worker& w);

    // Handles commands that a controller sends to a worker outside of heartbeat replies.
    void on_direct(const net::Request& request, const net::Responder& responder);
    // Executes the commands unless the token or the incarnation is outdated. Returns whether.
    bool execute_direct(Worker& w, const WorkerCommands& received);
    void repeat_direct(const Worker& w, const WorkerCommands& received);
    // Checks that the copy of an answered message starts nothing.
    void on_direct_copy(Worker& w, const WorkerCommands& received);
    void take_token(Worker& w, std::uint64_t token);
    void execute(Worker& w, const std::vector<wire::Command>& commands);
    void forget(Worker& w, const wire::Command& command);
    void start(Worker& w, const wire::Command& command);
    void stop(Worker& w, const wire::Command& command);
    void fetched(Worker& w, const TaskId& id, std::uint32_t attempt);
    void run(Worker& w, const TaskId& id, std::uint32_t attempt);
    void complete(Worker& w, const TaskId& id, std::uint32_t attempt);
    void fail(Worker& w, const TaskId& id, std::uint32_t attempt);
    void exit_task(Worker& w, const TaskId& id, wire::ExitCause cause, bool saved);
    void gang_ready(Worker& w, const TaskId& id, std::uint32_t attempt);
    // Ends the remaining tasks of a gang that lost a member.
    void gang_lost(const TaskId& id, std::uint32_t attempt, wire::ExitCause cause);
    // Records that the task no longer occupies its machine.
    void release_task(const TaskId& id, const Task& task);
    // Returns nullptr if the worker does not have this attempt of the task.
    Task* find(Worker& w, const TaskId& id, std::uint32_t attempt);
    Worker* worker(const std::string& name);
    Millis jitter(double seconds_mean);

    uv_loop_t* loop_;
    const WorkerSettings settings_;
    ProtocolRules& rules_;
    std::mt19937_64 random_;
    net::HttpServer server_;
    net::Timer due_timer_;
    RequestRepeater repeater_;
    std::priority_queue<Due> due_;
    std::uint64_t order_ = 0, lives_ = 0;
    std::unordered_map<std::string, Worker> workers_;
    std::unordered_map<std::string, std::string> by_ip_;           // machine names
    std::map<std::pair<std::string, std::uint32_t>, Gang> gangs_;  // by job and attempt
    std::size_t running_ = 0;
    Counters counters_;
    Histogram report_ms_, next_start_ms_;
};

}  // namespace nickelramp::emulator
