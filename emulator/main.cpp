// nickelramp-scale: runs controllers under an emulated load. See docs/CAPACITY.md.
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
constexpr std::size_t kMostControllers = 22, kMostWorkers = 12'000;
ScaleRun* running = nullptr;

void add_options(CLI::App& cli, ScaleOptions& o) {
    using CLI::Range;
    cli.add_option("--program", o.program, "the controller to run")->check(CLI::ExistingFile);
    cli.add_option("--directory", o.directory, "for settings and logs")->required();
    cli.add_option("--report", o.report, "file for the figures as JSON");
    cli.add_option("--controllers", o.controllers)->check(Range(std::size_t{1}, kMostControllers));
    cli.add_option("--workers", o.workers)->check(Range(std::size_t{1}, kMostWorkers));
    cli.add_option("--zones", o.zones)->check(Range(1, 100));
    cli.add_option("--teams", o.teams)->check(Range(1, 1'000));
    cli.add_option("--gpu-limit", o.gpu_limit, "of each team")->check(Range(0.0, 1e6));
    cli.add_option("--tasks", o.load.initial_tasks, "submitted at the start")
        ->check(Range(0, 400'000));
    cli.add_option("--array-tasks", o.load.array_tasks, "of one array")->check(Range(1, 100'000));
    cli.add_option("--arrays", o.load.arrays_per_s, "a second")->check(Range(0.0, 1e4));
    cli.add_option("--gangs", o.load.gangs_per_s, "a second")->check(Range(0.0, 1e4));
    cli.add_option("--gang-tasks", o.load.gang_tasks)->check(Range(1, 128));
    cli.add_option("--services", o.load.services, "at the start")->check(Range(0.0, 1e4));
    cli.add_option("--run-s", o.load.run_s, "of a task, on average")->check(Range(0.1, 1e5));
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
    cli.add_option("--sockets", o.sockets, "limit of a controller")->check(Range(64, 20'000));
    cli.add_option("--kill-leader-at", o.kill_leader_at_s, "seconds from the start; 0: not")
        ->check(Range(0.0, 1e5));
    cli.add_option("--back-after", o.back_after_s, "seconds until it is started again")
        ->check(Range(0.1, 1e5));
    cli.add_option("--machine-failures", o.failures_per_day, "a day")->check(Range(0.0, 1e6));
    cli.add_option("--boot-s", o.boot_s)->check(Range(0.1, 600.0));
    cli.add_option("--warmup", o.warmup_s, "seconds before it is measured")->check(Range(0.0, 1e4));
    cli.add_option("--duration", o.duration_s, "seconds that are measured")->check(Range(1.0, 1e4));
    cli.add_option("--first-port", o.first_port)->check(Range(1'024, 30'000));
    cli.add_option("--seed", o.seed);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App cli{"nickelramp-scale: real controllers among emulated workers on loopback"};
    ScaleOptions options;
    add_options(cli, options);
    try {
        cli.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        return cli.exit(e) == 0 ? 0 : kBadInput;
    }
    options.load.teams = options.teams;
    spdlog::set_default_logger(spdlog::stderr_logger_st("nickelramp-scale"));
    spdlog::set_pattern("%L %v");
    std::error_code error;
    std::filesystem::create_directories(options.directory, error);
    if (error) {
        std::cerr << "cannot make " << options.directory << ": " << error.message() << "\n";
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
