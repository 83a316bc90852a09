#include "admin/options.h"

#include <spdlog/fmt/fmt.h>

#include <cmath>

namespace nickelramp::admin {

const std::vector<Option>& all_options() {
    static const std::vector<Option> options = {
        {"lent_machines", &Options::delegated_machines, 0, 16, true},
        {"keep_margin", &Options::idle_retention_margin, 0, 20, false},
        {"hire_margin", &Options::provisioning_margin, 0, 20, false},
        {"spot_margin", &Options::spot_margin, 0, 20, false},
        {"replica_margin", &Options::replica_margin, 0, 20, false},
        {"use_spot", &Options::use_spot, 0, 1, true},
    };
    return options;
}

const Option* find_option(const std::string& name) {
    for (const Option& option : all_options()) {
        if (name == option.name) return &option;
    }
    return nullptr;
}

bool set_option(Options& options, const Option& option, const wire::Json& value,
                std::string& error) {
    double v = value.is_boolean()  ? (value.get<bool>() ? 1 : 0)
               : value.is_number() ? value.get<double>()
                                   : NAN;
    if (!std::isfinite(v) || v < option.min || v > option.max ||
        (option.whole_number && v != std::floor(v))) {
        error =
            fmt::format("{} must be a {} from {} to {}", option.name,
                        option.whole_number ? "whole number" : "number", option.min, option.max);
        return false;
    }
    options.*option.member = v;
    return true;
}

wire::Json options_json(const Options& options) {
    wire::Json out = wire::Json::object();
    for (const Option& option : all_options()) out[option.name] = options.*option.member;
    return out;
}

Options read_options(const wire::Json& record) {
    Options out;
    std::string error;
    for (const Option& option : all_options()) {
        if (const wire::Json* v = wire::field(record, option.name))
            set_option(out, option, *v, error);
    }
    return out;
}

}  // namespace nickelramp::admin
