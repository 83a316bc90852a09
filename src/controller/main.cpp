// Entry point of `nickelramp`. Reads the command line and the settings, and runs one controller.
//
// Exit status: 0 after --help, --version and --check; 1 if listening on an address fails; 2 for
// invalid input.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <uv.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <string>

#include "controller/controller.h"
#include "wire/settings.h"

namespace {

using nickelramp::controller::Controller;
using nickelramp::controller::FeatureFlags;
using nickelramp::wire::Settings;

constexpr int kListenFailed = 1;
constexpr int kBadInput = 2;

struct CommandLine {
    std::string settings_file;
    bool only_check_settings = false;
    FeatureFlags features;
};

// Holds either a command line to run or the exit status of the program.
struct ParsedCommandLine {
    std::optional<CommandLine> command_line;
    int exit_status = 0;
};

ParsedCommandLine parse_command_line(int argc, char** argv) {
    CommandLine command_line;
    CLI::App cli{"nickelramp: a cluster scheduler service"};
    cli.add_option("--config", command_line.settings_file, "settings file (JSON)")->required();
    cli.add_flag("--plans", command_line.features.drain_plans, "serve drain plans, /admin/plans");
    cli.add_flag("--check", command_line.only_check_settings, "check the settings and end");
    cli.set_version_flag("--version", NICKELRAMP_VERSION);
    try {
        cli.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return {std::nullopt, cli.exit(error) == 0 ? 0 : kBadInput};
    }
    return {command_line, 0};
}

// Returns false if LOG_LEVEL holds an unknown level.
bool set_up_log() {
    auto logger = spdlog::stderr_logger_st("nickelramp");
    logger->set_pattern("%L %v");
    spdlog::set_default_logger(logger);
    const char* variable = std::getenv("LOG_LEVEL");
    const std::string level = variable == nullptr || *variable == '\0' ? "info" : variable;
    if (level == "error") {
        spdlog::set_level(spdlog::level::err);
    } else if (level == "info") {
        spdlog::set_level(spdlog::level::info);
    } else if (level == "debug") {
        spdlog::set_level(spdlog::level::debug);
    } else {
        return false;
    }
    return true;
}

// Prints the reason and returns nothing if the file cannot be read or is invalid.
std::optional<Settings> read_settings(const std::string& path) {
    const std::ifstream file(path);
    if (!file) {
        std::cerr << "cannot read " << path << "\n";
        return std::nullopt;
    }
    std::stringstream text;
    text << file.rdbuf();
    auto settings = nickelramp::wire::parse_settings(text.str());
    if (!settings) {
        std::cerr << settings.error().message() << "\n";
        return std::nullopt;
    }
    return *std::move(settings);
}

int run_controller(const Settings& settings, const FeatureFlags& features) {
    signal(SIGPIPE, SIG_IGN);
    uv_loop_t* loop = uv_default_loop();
    Controller controller(loop, settings, features);
    if (const int error = controller.start(); error < 0) {
        std::cerr << "cannot listen on " << settings.listen << ": " << uv_strerror(error) << "\n";
        return kListenFailed;
    }
    spdlog::info("controller started: name={} zone={} listen={}", settings.name, settings.zone,
                 settings.listen);
    uv_run(loop, UV_RUN_DEFAULT);
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    const ParsedCommandLine parsed = parse_command_line(argc, argv);
    if (!parsed.command_line) return parsed.exit_status;
    if (!set_up_log()) {
        std::cerr << "LOG_LEVEL must be error, info or debug\n";
        return kBadInput;
    }
    const std::optional<Settings> settings = read_settings(parsed.command_line->settings_file);
    if (!settings) return kBadInput;
    if (parsed.command_line->only_check_settings) {
        std::cout << "settings are fine\n";
        return 0;
    }
    return run_controller(*settings, parsed.command_line->features);
}
