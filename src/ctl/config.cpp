#include "ctl/config.h"

#include <toml++/toml.h>

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "net/address.h"

namespace nickelramp::ctl {

namespace {
constexpr double kMaxGiveUpS = 3600;

[[noreturn]] void throw_config_error(const std::string& name, const toml::source_region& at,
                                     const std::string& what) {
    throw std::runtime_error(name + ":" + std::to_string(at.begin.line) + ": " + what);
}

std::string default_path() {
    if (const char* path = std::getenv("NICKELRAMPCTL"); path != nullptr && *path != '\0') {
        return path;
    }
    const char* home = std::getenv("HOME");
    return std::string(home == nullptr ? "" : home) + "/.config/nickelramp/ctl.toml";
}
}  // namespace

Config parse_config(const std::string& text, const std::string& name) {
    toml::table table;
    try {
        table = toml::parse(text, name);
    } catch (const toml::parse_error& e) {
        throw_config_error(name, e.source(), std::string(e.description()));
    }
    Config out;
    for (const auto& [key, value] : table) {
        if (key == "controllers") {
            const toml::array* list = value.as_array();
            if (list == nullptr)
                throw_config_error(name, value.source(), "controllers must be a list");
            for (const toml::node& n : *list) {
                const auto address = n.value<std::string>();
                if (!address || !net::parse_address(*address)) {
                    throw_config_error(name, n.source(),
                                       "controllers must be like \"10.0.0.1:8080\"");
                }
                out.controllers.push_back(*address);
            }
        } else if (key == "give_up_s") {
            out.give_up_s = value.value<double>().value_or(0);
            if (!(out.give_up_s >= 1 && out.give_up_s <= kMaxGiveUpS)) {
                throw_config_error(name, value.source(),
                                   "give_up_s must be a number from 1 to 3600");
            }
        } else {
            throw_config_error(name, value.source(),
                               "unknown field '" + std::string(key.str()) + "'");
        }
    }
    if (out.controllers.empty())
        throw std::runtime_error(name + ": controllers is missing or empty");
    return out;
}

Config read_config(const std::string& path) {
    const std::string name = path.empty() ? default_path() : path;
    std::ifstream file(name);
    if (!file) {
        throw std::runtime_error("cannot read " + name +
                                 " (use --config or --controller to say where the service is)");
    }
    std::stringstream text;
    text << file.rdbuf();
    return parse_config(text.str(), name);
}

}  // namespace nickelramp::ctl
