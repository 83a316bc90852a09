// Emulated workers, thousands of them in one process. Each sends heartbeats,
// executes commands and loses its lease as the protocol says; a task is only a
// timer. Simplified: images are never evicted from the cache, and the tasks of
// a stopped gang save their state independently.
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
#include <vector>

#include "emulator/histogram.h"
#include "emulator/protocol_rules.h"
#include "emulator/worker_messages.h"
#include "net/http_client.h"
#include "net/http_server.h"
#include "net/timer.h"

namespace nickelramp::emulator {

/// What all emulated workers have in common.
struct WorkerSettings {
    double report_s = 8, lease_s = 45, gang_wait_s = 30, gang_peer_s = 4;
    double fetch_gb_per_s = 1;
    int port = 0;                          ///< of all workers, each on an address of its own
    std::vector<std::string> controllers;  ///< names
    std::vector<std::string> addresses;    ///< of the controllers, in the same order
};

/// The workers of all machines that are up. ProtocolRules hears what truly runs
/// on them.
class WorkerEmulator {
  public:
    struct Counters {
        std::uint64_t reports = 0, answered = 0, redirected = 0, refused = 0, unanswered = 0;
        std::uint64_t dropped_tokens = 0, leases_lost = 0;
        std::uint64_t direct = 0, direct_conflicts = 0, starts = 0, exits = 0;
        std::uint64_t bytes_sent = 0, bytes_received = 0;  ///< of message bodies
    };
    WorkerEmulator(uv_loop_t* loop, WorkerSettings settings, ProtocolRules& rules,
                   std::uint64_t seed);

    /// 0 or a libuv error.
    [[nodiscard]] int listen();
    /// Of the machine with that number: one of 127.0.0.0/8, with the port.
    [[nodiscard]] std::string address(std::size_t number) const;
    /// A machine is up, and its worker begins to send heartbeats.
    void boot(std::size_t number, const std::string& name, const std::string& type,
              const std::string& zone, bool spot);
    /// The machine is gone, with its tasks.
    void remove(const std::string& name);

    [[nodiscard]] const Counters& counters() const { return counters_; }
    /// From a heartbeat to its reply.
    [[nodiscard]] const Histogram& report_ms() const { return report_ms_; }
    [[nodiscard]] std::size_t size() const { return workers_.size(); }
    /// Tasks that occupy a machine.
    [[nodiscard]] std::size_t running() const { return running_; }
    /// How many workers report to each controller, by its name.
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
        std::uint64_t life = 0;
        std::string name, type, zone;
        bool spot = false;
        std::uint64_t session = 1, seq = 0, token = 0;
        Millis lease_from = 0, reported_at = 0, seen_token_at = 0;
        std::size_t target = 0;
        bool in_flight = false, changed = false, again_soon = false;
        std::unique_ptr<net::HttpClient> client;
        std::map<TaskId, Task> tasks;
        std::set<std::string> images;
    };
    struct Gang {
        std::map<std::uint32_t, std::string> members;  // by task: its machine
        std::size_t ready = 0;
        bool began = false;
    };
    struct Due {
        Millis at = 0;
        std::uint64_t order = 0;
        std::function<void()> act;
        bool operator<(const Due& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
    };

    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }
    void at(Millis when, std::function<void()> act);
    void run_due();
    // Unless the machine is gone by then.
    void later(const Worker& w, Millis wait, std::function<void(Worker&)> act);

    void report(Worker& w);
    void on_reply(Worker& w, const net::ClientReply& reply, std::uint64_t session, Millis sent);
    void on_redirect(Worker& w, const net::ClientReply& reply);
    void on_commands(Worker& w, const net::ClientReply& reply, std::uint64_t session, Millis sent);
    void reconnect_after(Worker& w, Millis wait);
    void schedule_report(Worker& w);
    void try_next_controller(Worker& w);
    void report_soon(Worker& w);
    void check_lease(Worker& w);
    void lose_lease(Worker& w);
    wire::Heartbeat describe(Worker& w);

    void on_direct(const net::Request& request, const net::Responder& responder);
    void execute(Worker& w, const std::vector<wire::Command>& commands);
    void start(Worker& w, const wire::Command& command);
    void stop(Worker& w, const wire::Command& command);
    void fetched(Worker& w, const TaskId& id, std::uint32_t attempt);
    void run(Worker& w, const TaskId& id, std::uint32_t attempt);
    void complete(Worker& w, const TaskId& id, std::uint32_t attempt);
    void exit_task(Worker& w, const TaskId& id, wire::ExitCause cause, bool saved);
    void gang_ready(Worker& w, const TaskId& id, std::uint32_t attempt);
    void gang_lost(const TaskId& id, std::uint32_t attempt, wire::ExitCause cause);
    void leave(const TaskId& id, const Task& task);
    Task* find(Worker& w, const TaskId& id, std::uint32_t attempt);
    Worker* worker(const std::string& name);
    Millis jitter(double seconds_mean);

    uv_loop_t* loop_;
    const WorkerSettings settings_;
    ProtocolRules& rules_;
    std::mt19937_64 random_;
    net::HttpServer server_;
    net::Timer due_timer_;
    std::priority_queue<Due> due_;
    std::uint64_t order_ = 0, lives_ = 0;
    std::unordered_map<std::string, Worker> workers_;
    std::unordered_map<std::string, std::string> by_ip_;
    std::map<std::pair<std::string, std::uint32_t>, Gang> gangs_;  // by job and attempt
    std::size_t running_ = 0;
    Counters counters_;
    Histogram report_ms_;
};

}  // namespace nickelramp::emulator
