#include <signal.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <uv.h>

#include <CLI/CLI.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "controller/controller.h"
#include "wire/settings.h"

namespace {

constexpr int kBadInput = 2;

// False for an unknown level.
bool set_up_log() {
    auto logger = spdlog::stderr_logger_st("nickelramp");
    logger->set_pattern("%L %v");
    spdlog::set_default_logger(logger);
    const char* env = std::getenv("LOG_LEVEL");
    std::string level = env == nullptr || *env == '\0' ? "info" : env;
    if (level == "error")
        spdlog::set_level(spdlog::level::err);
    else if (level == "info")
        spdlog::set_level(spdlog::level::info);
    else if (level == "debug")
        spdlog::set_level(spdlog::level::debug);
    else
        return false;
    return true;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App cli{"nickelramp: a cluster scheduler service"};
    std::string config;
    bool check = false;
    cli.add_option("--config", config, "settings file (JSON)")->required();
    nickelramp::controller::FeatureFlags features;
    cli.add_flag("--plans", features.drain_plans, "serve drain plans, /admin/plans");
    cli.add_flag("--check", check, "check the settings and end");
    cli.set_version_flag("--version", NICKELRAMP_VERSION);
    try {
        cli.parse(argc, argv);
    } catch (const CLI::ParseError& e) {
        int rc = cli.exit(e);
        return rc == 0 ? 0 : kBadInput;
    }
    if (!set_up_log()) {
        std::cerr << "LOG_LEVEL must be error, info or debug\n";
        return kBadInput;
    }
    std::ifstream file(config);
    if (!file) {
        std::cerr << "cannot read " << config << "\n";
        return kBadInput;
    }
    std::stringstream text;
    text << file.rdbuf();
    const auto parsed = nickelramp::wire::parse_settings(text.str());
    if (!parsed) {
        std::cerr << parsed.error().message() << "\n";
        return kBadInput;
    }
    const nickelramp::wire::Settings& settings = *parsed;
    if (check) {
        std::cout << "settings are fine\n";
        return 0;
    }
    signal(SIGPIPE, SIG_IGN);
    uv_loop_t* loop = uv_default_loop();
    nickelramp::controller::Controller node(loop, settings, features);
    if (int rc = node.start(); rc < 0) {
        std::cerr << "cannot listen on " << settings.listen << ": " << uv_strerror(rc) << "\n";
        return 1;
    }
    spdlog::info("{} in {} listens on {}", settings.name, settings.zone, settings.listen);
    uv_run(loop, UV_RUN_DEFAULT);
    return 0;
}
