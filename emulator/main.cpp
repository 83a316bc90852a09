/// @file
/// nickelramp-scale: runs real controllers under an emulated load and prints measurements as JSON.
/// See docs/CAPACITY.md.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include "emulator/scale_run.h"

namespace {

using nickelramp::emulator::ScaleOptions;
using nickelramp::emulator::ScaleRun;

constexpr int kRuleBroken = 1, kBadInput = 2;
constexpr std::size_t kMaxControllers = 22, kMaxWorkers = 12'000;
ScaleRun* running = nullptr;

void add_options(CLI::App& cli, ScaleOptions& o) {
    using CLI::Range;
    cli.add_option("--program", o.program, "path of the controller program to run")
        ->check(CLI::ExistingFile);
    cli.add_option("--directory", o.directory, "directory for settings and logs of the controllers")
        ->required();
    cli.add_option("--report", o.report, "file for the measurements as JSON");
    cli.add_option("--controllers", o.controllers)->check(Range(std::size_t{1}, kMaxControllers));
    cli.add_option("--workers", o.workers)->check(Range(std::size_t{1}, kMaxWorkers));
    cli.add_option("--zones", o.zones)->check(Range(1, 100));
    cli.add_option("--teams", o.teams)->check(Range(1, 1'000));
    cli.add_option("--gpu-limit", o.gpu_limit, "GPU quota of each team; 0: no limit")
        ->check(Range(0.0, 1e6));
    cli.add_option("--tasks", o.load.initial_tasks,
                   "number of tasks submitted at the start, in arrays")
        ->check(Range(0, 400'000));
    cli.add_option("--array-tasks", o.load.array_tasks, "number of tasks in each array")
        ->check(Range(1, 100'000));
    cli.add_option("--arrays", o.load.arrays_per_s, "a second")->check(Range(0.0, 1e4));
    cli.add_option("--gangs", o.load.gangs_per_s, "a second")->check(Range(0.0, 1e4));
    cli.add_option("--gang-tasks", o.load.gang_tasks)->check(Range(1, 128));
    cli.add_option("--services", o.load.services, "number of service jobs submitted at the start")
        ->check(Range(0.0, 1e4));
    cli.add_option("--run-s", o.load.run_s, "mean run time of a task in seconds")
        ->check(Range(0.1, 1e5));
    cli.add_option("--settings-changes", o.load.settings_changes_per_s, "a second")
        ->check(Range(0.0, 100.0));
    cli.add_option("--burst-at", o.load.burst_at_s, "seconds from the start")
        ->check(Range(0.0, 1e5));
    cli.add_option("--burst-tasks", o.load.burst_tasks)->check(Range(0, 100'000));
    cli.add_option("--state-requests", o.state_requests_per_s, "a second; 0: no limit")
        ->check(Range(0.0, 1e6));
    cli.add_option("--state-changes", o.state_changes_per_s, "a second; 0: no limit")
        ->check(Range(0.0, 1e6));
    cli.add_option("--cloud-requests", o.cloud_requests_per_s, "a second; 0: no limit")
        ->check(Range(0.0, 1e6));
    cli.add_option("--sockets", o.sockets, "limit of open sockets of each controller")
        ->check(Range(64, 20'000));
    cli.add_option("--kill-leader-at", o.kill_leader_at_s, "seconds from the start; 0: never")
        ->check(Range(0.0, 1e5));
    cli.add_option("--back-after", o.back_after_s, "seconds until the killed leader is restarted")
        ->check(Range(0.1, 1e5));
    cli.add_option("--restart-every", o.restart_every_s,
                   "seconds between kills of one controller after the other; 0: never")
        ->check(Range(0.0, 1e5));
    cli.add_option("--failing-tasks", o.failing_tasks, "share of the attempts that fail")
        ->check(Range(0.0, 1.0));
    cli.add_option("--cancelled", o.load.cancelled, "share of the arrays that are cancelled")
        ->check(Range(0.0, 1.0));
    cli.add_option("--repeated-requests", o.repeated_requests,
                   "share of the answered requests that arrive again, three times within 16 s")
        ->check(Range(0.0, 1.0));
    cli.add_option("--machine-failures", o.failures_per_day, "a day")->check(Range(0.0, 1e6));
    cli.add_option("--boot-s", o.boot_s)->check(Range(0.1, 600.0));
    cli.add_option("--warmup", o.warmup_s, "seconds before the measurement begins")
        ->check(Range(0.0, 1e4));
    cli.add_option("--duration", o.duration_s, "seconds of measurement")->check(Range(1.0, 1e4));
    cli.add_option("--first-port", o.first_port)->check(Range(1'024, 30'000));
    cli.add_option("--seed", o.seed);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App cli{"nickelramp-scale: runs real controllers with emulated workers on loopback"};
    ScaleOptions options;
    add_options(cli, options);
    try {
        cli.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return cli.exit(e) == 0 ? 0 : kBadInput;
    }
    options.load.teams = options.teams;
    options.load.repeated_requests = options.repeated_requests;
    spdlog::set_default_logger(spdlog::stderr_logger_st("nickelramp-scale"));
    spdlog::set_pattern("%L %v");
    std::error_code error;
    std::filesystem::create_directories(options.directory, error);
    if (error) {
        std::cerr << "cannot create directory " << options.directory << ": " << error.message()
                  << "\n";
        return kBadInput;
    }
    signal(SIGPIPE, SIG_IGN);
    ScaleRun run(options);
    running = &run;
    for (int s : {SIGINT, SIGTERM, SIGHUP}) signal(s, [](int) { running->stop(); });
    if (std::string failed = run.run(); !failed.empty()) {
        std::cerr << failed << "\n";
        return kBadInput;
    }
    const std::string figures = run.result().dump(2);
    std::cout << figures << "\n";
    if (!options.report.empty()) std::ofstream(options.report) << figures << "\n";
    return run.rules_hold() ? 0 : kRuleBroken;
}
