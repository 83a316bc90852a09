/// @file
/// A scale run: real controller processes, with workers, users, cloud and state service emulated
/// in this process. It measures the resource usage of each controller and of the emulation, and
/// checks the rules of the protocol.
#pragma once
#include <uv.h>

#include <memory>
#include <string>
#include <vector>

#include "emulator/cloud_emulator.h"
#include "emulator/controller_processes.h"
#include "emulator/state_service_emulator.h"
#include "emulator/user_emulator.h"
#include "emulator/worker_emulator.h"

namespace nickelramp::emulator {

/// The options of nickelramp-scale. A rate of 0 disables that load; a limit of 0 is no limit.
struct ScaleOptions {
    std::string program = "nickelramp", directory, report;
    std::size_t controllers = 3, workers = 1'000, zones = 13, teams = 46;
    double warmup_s = 60, duration_s = 60;
    std::uint64_t seed = 1;
    int first_port = 21'000;
    double state_requests_per_s = 0, state_changes_per_s = 0, cloud_requests_per_s = 0;
    std::size_t sockets = 20'000;
    double report_s = 8, lease_s = 45, cancel_s = 65, boot_s = 5;
    double kill_leader_at_s = 0, back_after_s = 5, failures_per_day = 0;
    double gpu_limit = 0;  ///< quota of each team
    double failing_tasks = 0;
    double repeated_requests = 0;  ///< of controllers and users, with each service
    double restart_every_s = 0;    ///< kills one controller after the other
    Load load;
};

/// One run: starts the controllers, generates the load and takes a sample every second.
class ScaleRun {
  public:
    explicit ScaleRun(const ScaleOptions& options);
    ~ScaleRun();
    ScaleRun(const ScaleRun&) = delete;
    ScaleRun& operator=(const ScaleRun&) = delete;

    /// Runs until the duration is over or stop() is called.
    /// @return an error message if the run could not start, otherwise empty.
    [[nodiscard]] std::string run();
    /// Ends run(). Called from signal handlers.
    void stop() { finished_ = true; }
    /// Returns the measurements of a finished run as nickelramp-scale prints them.
    [[nodiscard]] wire::Json result() const;
    /// Returns whether no rule of the protocol was violated.
    [[nodiscard]] bool rules_hold() const { return rules_.violations().empty(); }

  private:
    // Usage of one process.
    struct Sampled {
        Usage first, last;      // at the start and the end of the measured time
        double peak_cores = 0;  // highest processor usage between two samples, in cores
        double peak_memory_mb = 0;
        std::size_t peak_files = 0;
    };
    // Counters since the start of the run.
    struct Totals {
        std::uint64_t reports = 0, starts = 0, requests = 0, changes = 0, transactions = 0,
                      refused = 0, worker_bytes = 0, cloud_requests = 0, direct = 0;
    };
    static ControllerSettings controller_settings(const ScaleOptions& o);
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }
    void sample();
    void sample_process(Sampled& s, pid_t pid, double elapsed_s) const;
    void find_leader();
    // Kills the leader and schedules its restart.
    void crash_leader();
    // Kills the next controller and schedules its restart.
    void crash_next();
    void crash(std::size_t controller);
    Totals totals() const;
    wire::Json describe(const Sampled& s, double seconds) const;
    [[nodiscard]] double measured_s() const;
    // The mean rate of a counter over the measured time.
    [[nodiscard]] double per_s(std::uint64_t Totals::*total) const;
    [[nodiscard]] wire::Json load_requested() const;
    [[nodiscard]] wire::Json load_reached() const;
    [[nodiscard]] wire::Json controllers_result() const;
    [[nodiscard]] wire::Json workers_result() const;
    [[nodiscard]] wire::Json copies_result() const;
    [[nodiscard]] wire::Json state_service_result() const;
    [[nodiscard]] wire::Json cloud_result() const;
    [[nodiscard]] wire::Json users_result() const;

    const ScaleOptions options_;
    uv_loop_t* loop_;
    ProtocolRules rules_;
    StateServiceEmulator state_;
    WorkerEmulator workers_;
    CloudEmulator cloud_;
    ControllerProcesses controllers_;
    UserEmulator users_;
    net::Timer sample_timer_, crash_timer_, crash_next_timer_, restart_timer_;
    std::unique_ptr<net::HttpClient> status_client_;
    bool finished_ = false, measuring_ = false;
    Millis started_at_ = 0, measured_at_ = 0, sampled_at_ = 0, ended_at_ = 0;
    std::string leader_;
    std::size_t crashed_ = SIZE_MAX, next_to_crash_ = 0, unexpected_exits_ = 0;
    std::vector<Sampled> samples_;  // by controller
    Sampled own_usage_;
    Totals totals_at_start_, totals_at_end_, totals_at_sample_;
    double peak_starts_per_s_ = 0, peak_changes_per_s_ = 0;
    std::size_t peak_running_ = 0, peak_workers_ = 0;
};

}  // namespace nickelramp::emulator
