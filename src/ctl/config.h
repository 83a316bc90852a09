/// @file
/// Configuration of nickelrampctl: the addresses of the controllers, read from a TOML file.
///
///     controllers = ["10.0.0.1:8080", "10.0.0.2:8080"]   # any of them can answer
///     give_up_s = 60                                     # per request, including its retries
#pragma once
#include <string>
#include <vector>

namespace nickelramp::ctl {

struct Config {
    std::vector<std::string> controllers;
    double give_up_s = 60;
};

/// Parses a configuration.
/// @param name the file name for error messages
/// @throw std::runtime_error with a message that names the file and, where known, line and field
Config parse_config(const std::string& text, const std::string& name);
/// Reads and parses the named file. If `path` is empty, reads the file that $NICKELRAMPCTL names,
/// and without that variable ~/.config/nickelramp/ctl.toml.
/// @throw std::runtime_error like parse_config(), also if the file cannot be read
Config read_config(const std::string& path);

}  // namespace nickelramp::ctl
