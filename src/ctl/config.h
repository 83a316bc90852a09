// Where nickelrampctl finds the controllers: a small TOML file.
//
//   controllers = ["10.0.0.1:8080", "10.0.0.2:8080"]   # any of them may answer
//   give_up_s = 60                                     # in all, for one request
#pragma once
#include <string>
#include <vector>

namespace nickelramp::ctl {

struct Config {
    std::vector<std::string> controllers;
    double give_up_s = 60;
};

// Both throw std::runtime_error with a message that names file, line and field.
Config parse_config(const std::string& text, const std::string& name);
// The named file; else $NICKELRAMPCTL; else ~/.config/nickelramp/ctl.toml.
Config read_config(const std::string& path);

}  // namespace nickelramp::ctl
