// A scale run: real controllers, with emulated workers, users, cloud and state service around them
// in one process. It measures what each of them uses, and whether the rules of the protocol held.
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

/// The options of nickelramp-scale. Rates and limits of 0 mean that there is none.
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
    double gpu_limit = 0;  // of each team
    Load load;
};

/// One run: starts the controllers, lets the load pass, and samples every second.
class ScaleRun {
  public:
    explicit ScaleRun(const ScaleOptions& options);
    ~ScaleRun();
    ScaleRun(const ScaleRun&) = delete;
    ScaleRun& operator=(const ScaleRun&) = delete;

    /// Returns when its time is over or after stop(). Empty, or what kept it from starting.
    [[nodiscard]] std::string run();
    void stop() { over_ = true; }
    /// The measurements of a run that is over, as nickelramp-scale prints them.
    [[nodiscard]] wire::Json result() const;
    [[nodiscard]] bool rules_hold() const { return rules_.violations().empty(); }

  private:
    struct Sampled {
        Usage first, last;
        double peak_part = 0;  // of a core, between two samples
        double most_memory_mb = 0;
        std::size_t most_files = 0;
    };
    // Counters, which only grow.
    struct Totals {
        std::uint64_t reports = 0, starts = 0, requests = 0, changes = 0, transactions = 0,
                      refused = 0, worker_bytes = 0, calls = 0, direct = 0;
    };
    static ControllerSettings controller_settings(const ScaleOptions& o);
    Millis now() const { return static_cast<Millis>(uv_now(loop_)); }
    void sample();
    void sample_process(Sampled& s, pid_t pid, double passed_s) const;
    void find_leader();
    void crash_leader();
    Totals totals() const;
    wire::Json describe(const Sampled& s, double seconds) const;
    [[nodiscard]] double measured_s() const;
    /// The mean rate of a counter over the measured time.
    [[nodiscard]] double per_s(std::uint64_t Totals::*total) const;
    [[nodiscard]] wire::Json load_asked_for() const;
    [[nodiscard]] wire::Json load_reached() const;
    [[nodiscard]] wire::Json controllers_result() const;
    [[nodiscard]] wire::Json workers_result() const;
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
    net::Timer sample_timer_, crash_timer_, back_timer_;
    std::unique_ptr<net::HttpClient> asker_;
    bool over_ = false, measuring_ = false;
    Millis began_ = 0, measured_at_ = 0, sampled_at_ = 0, ended_at_ = 0;
    std::string leader_;
    std::size_t crashed_ = SIZE_MAX, ended_ = 0;
    std::vector<Sampled> samples_;  // of the controllers
    Sampled own_usage_;
    Totals at_first_, at_last_, at_sample_;
    double most_starts_per_s_ = 0, most_changes_per_s_ = 0;
    std::size_t most_running_ = 0, most_workers_ = 0;
};

}  // namespace nickelramp::emulator
